//! Pages of results.

use musli::storage;
use orchidvalve_batch::results::{MAX_PAGE_BYTES, write_results_page, write_results_page_within, write_text};
use orchidvalve_batch::{ItemResult, ItemState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

fn completed(id: &str, message: &str) -> ItemResult {
    ItemResult {
        id: id.into(),
        state: ItemState::Completed,
        message: message.as_bytes().to_vec(),
        weight_versions: vec![6, 7],
        score: Some("3e1b.07.5a2".to_owned()),
    }
}

fn parse(page: &[u8]) -> Value {
    serde_json::from_slice(page).unwrap()
}

#[test]
fn a_page_holds_all_fields() {
    let results = [completed("e5b2907c14da6f38", "one\ntwo"), ItemResult::expired("i-2")];
    let mut page = b"kept".to_vec();
    assert_eq!(write_results_page(&mut page, 40, 11, &results), 2);
    let expected = json!({
        "total": 40, "next-token": 13,
        "results": [
            {"instance-id": "e5b2907c14da6f38", "state": "completed", "message": "one\ntwo",
             "weight-versions": [6, 7], "score": "3e1b.07.5a2"},
            {"instance-id": "i-2", "state": "expired", "message": "", "weight-versions": []}
        ]
    });
    assert_eq!(parse(page.strip_prefix(b"kept").unwrap()), expected);
}

#[test]
fn an_empty_page_repeats_its_position() {
    let mut page = Vec::new();
    assert_eq!(write_results_page(&mut page, 40, 12, &[]), 0);
    assert_eq!(parse(&page), json!({"total": 40, "next-token": 12, "results": []}));
}

#[test]
fn pages_are_bounded_but_hold_at_least_one_result() {
    let results: Vec<ItemResult> =
        (0..6).map(|n| completed(&format!("i-{n}"), &"x".repeat(300_000))).collect();
    let mut page = Vec::new();
    assert_eq!(write_results_page(&mut page, 6, 0, &results), 3);
    assert!(page.len() <= MAX_PAGE_BYTES);
    assert_eq!(parse(&page)["next-token"], 3);
    let large = [completed("a", &"y".repeat(2_000_000)), completed("b", "")];
    page.clear();
    assert_eq!(write_results_page(&mut page, 2, 0, &large), 1);
    assert_eq!(parse(&page)["results"][0]["message"].as_str().unwrap().len(), 2_000_000);
}

#[test]
fn every_size_limit_gives_a_valid_page() {
    let results: Vec<ItemResult> = (0..5).map(|n| completed(&format!("i-{n}"), "some\ttext")).collect();
    let mut before = 1;
    for bound in 0..1_000 {
        let mut page = Vec::new();
        let count = write_results_page_within(&mut page, bound, 5, 0, &results);
        assert!(count >= before, "{bound}");
        assert!(count == 1 || page.len() <= bound, "{bound}");
        let parsed = parse(&page);
        assert_eq!(parsed["results"].as_array().unwrap().len() as u64, count);
        assert_eq!(parsed["next-token"], count);
        before = count;
    }
    assert_eq!(before, 5);
}

#[rstest]
#[case("")]
#[case("plain")]
#[case("\"quoted\" and \\ back")]
#[case("\u{0}\u{1}\u{8}\u{b}\u{c}\u{1f}\u{7f}\r\n\t")]
#[case("Zürich 日本 🚂 \u{2028}\u{2029}\u{feff}")]
#[case("/slash</script>")]
fn texts_parse_as_written(#[case] text: &str) {
    let mut out = Vec::new();
    write_text(&mut out, text.as_bytes());
    assert_eq!(parse(&out), json!(text));
}

/// Every byte that may have to be escaped, at every position of a longer text.
#[test]
fn special_characters_are_escaped_at_every_position() {
    for special in (0..0x80_u8).map(char::from).chain(['é', '🚂']) {
        for position in 0..20 {
            let text: String = (0..20).map(|index| if index == position { special } else { '~' }).collect();
            let mut out = Vec::new();
            write_text(&mut out, text.as_bytes());
            assert_eq!(parse(&out), json!(text), "{special:?} at {position}");
        }
    }
}

#[test]
fn random_texts_parse_as_written() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2_000 {
        let length = random.random_range(0..40);
        let text: String = (0..length)
            .filter_map(|_| {
                let above = if random.random() { 0x80 } else { 0x11_0000 };
                char::from_u32(random.random_range(0..above))
            })
            .collect();
        let mut out = Vec::new();
        write_text(&mut out, text.as_bytes());
        assert_eq!(parse(&out), json!(text));
    }
}

#[test]
fn invalid_utf8_gives_valid_json() {
    let mut out = Vec::new();
    write_text(&mut out, b"a\xff\"b");
    assert_eq!(parse(&out), json!("a\u{fffd}\"b"));
}

#[test]
fn results_decode_as_encoded() {
    let mut binary = completed("an-id-longer-than-twenty-four-bytes-in-all", "text");
    binary.message = vec![0xff, 0, 1];
    for result in [binary, completed("", ""), ItemResult::expired("e")] {
        let bytes = storage::to_vec(&result).unwrap();
        assert_eq!(storage::from_slice::<ItemResult>(&bytes).unwrap(), result);
        for length in 0..bytes.len() {
            assert!(storage::from_slice::<ItemResult>(&bytes[..length]).is_err(), "{length}");
        }
    }
}
