//! The bytes of a recording match those recorded earlier, and earlier files are still decoded correctly, including one
//! with a torn tail.

use std::path::Path;

use orchidvalve_golden::{check_samples, read_samples};
use orchidvalve_request_recording::{Arrival, Header, read, write_arrival, write_header};

fn header() -> Header {
    Header {
        node: "front-1".into(),
        started_unix_ms: 1_700_000_123_456,
        classes: vec!["look".into(), "pay".into()],
        tenants: vec!["small".into(), "large".into(), "other".into()],
    }
}

fn arrivals() -> Vec<Arrival> {
    vec![
        Arrival { gap_us: 0, class: 0, tenant: None, is_retry: false, expected_work_us: 0, shards: vec![] },
        Arrival {
            gap_us: 1500,
            class: 1,
            tenant: Some(2),
            is_retry: true,
            expected_work_us: 70_000,
            shards: vec![0, 3, 200],
        },
        Arrival {
            gap_us: u64::MAX,
            class: u32::MAX,
            tenant: Some(u32::MAX),
            is_retry: false,
            expected_work_us: u64::MAX,
            shards: vec![u32::MAX, 1],
        },
    ]
}

fn path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

#[test]
fn the_encoding_is_unchanged() {
    let mut samples: Vec<(String, Vec<u8>)> = Vec::new();
    let mut bytes = Vec::new();
    write_header(&header(), &mut bytes);
    samples.push(("head".into(), bytes.clone()));
    for (n, arrival) in arrivals().iter().enumerate() {
        let mut record = Vec::new();
        assert!(write_arrival(arrival, &mut record));
        bytes.extend_from_slice(&record);
        samples.push((format!("record-{n}"), record));
    }
    samples.push(("whole".into(), bytes.clone()));
    samples.push(("torn-tail".into(), bytes[..bytes.len() - 5].to_vec()));
    let mut without_names = Vec::new();
    write_header(&Header { classes: vec!["x".repeat(1 << 16)], ..header() }, &mut without_names);
    samples.push(("head-of-too-long-names".into(), without_names));
    check_samples(&path("recording.txt"), &samples);
    let too_large = Arrival { shards: vec![u32::MAX; 20_000], ..arrivals()[0].clone() };
    let mut none = Vec::new();
    assert!(!write_arrival(&too_large, &mut none) && none.is_empty());
}

#[test]
fn an_earlier_recording_is_decoded_correctly() {
    let samples = read_samples(&path("recording.txt"));
    let sample = |name: &str| {
        &samples.iter().find(|(found, _)| found == name).expect("the sample is in the golden file").1
    };
    let complete = read(sample("whole")).expect("a valid recording");
    assert_eq!((complete.header, complete.arrivals, complete.torn_bytes), (header(), arrivals(), 0));
    let torn = read(sample("torn-tail")).expect("a recording with a torn tail");
    assert_eq!((torn.header, torn.arrivals), (header(), arrivals()[..2].to_vec()));
    assert_eq!(torn.torn_bytes, sample("record-2").len() - 5);
    let without_names = read(sample("head-of-too-long-names")).expect("a valid recording");
    assert_eq!(
        (without_names.header.classes, without_names.header.tenants, without_names.header.node),
        (vec![], vec![], "front-1".to_owned())
    );
}
