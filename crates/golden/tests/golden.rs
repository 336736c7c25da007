//! Golden files: hashes are stable, comparison is exact, and a check never overwrites or creates a file.

use std::panic::catch_unwind;
use std::path::PathBuf;

use orchidvalve_golden::{RECORD_VARIABLE, Trace, check_hashes, check_samples, read_samples};

fn file(name: &str, content: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("orchidvalve-golden-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for the test");
    let path = directory.join(name);
    std::fs::write(&path, content).expect("a file for the test");
    path
}

#[test]
fn the_hash_is_the_published_one() {
    let mut trace = Trace::new();
    assert_eq!(trace.finish(), 0xcbf2_9ce4_8422_2325);
    trace.add_number(0);
    // FNV-1a of eight zero bytes.
    assert_eq!(
        trace.finish(),
        (0..8).fold(0xcbf2_9ce4_8422_2325_u64, |hash, _| hash.wrapping_mul(0x100_0000_01b3))
    );
}

#[test]
fn outputs_divided_differently_have_different_hashes() {
    let hash = |outputs: &[&[u8]]| {
        let mut trace = Trace::new();
        outputs.iter().for_each(|bytes| trace.add(bytes));
        trace.finish()
    };
    assert_ne!(hash(&[b"ab", b"c"]), hash(&[b"a", b"bc"]));
    assert_ne!(hash(&[b"ab"]), hash(&[b"ba"]));
    assert_eq!(hash(&[b"ab", b"c"]), hash(&[b"ab", b"c"]));
}

#[test]
fn equal_values_pass_and_every_difference_is_found() {
    let path = file("hashes", "one 000000000000000a\ntwo 000000000000000b\n");
    check_hashes(&path, &[("one", 10), ("two", 11)]);
    for wrong in [
        vec![("one", 10), ("two", 12)],
        vec![("one", 10)],
        vec![("one", 10), ("two", 11), ("three", 0)],
        vec![("two", 10), ("two", 11)],
        vec![],
    ] {
        assert!(catch_unwind(|| check_hashes(&path, &wrong)).is_err(), "{wrong:?} passed");
    }
}

#[test]
fn samples_are_compared_byte_for_byte_and_read_back() {
    let path = file("samples", "first 00ff10\nempty \n");
    check_samples(&path, &[("first", vec![0, 255, 16]), ("empty", vec![])]);
    assert!(
        catch_unwind(|| check_samples(&path, &[("first", vec![0, 255, 17]), ("empty", vec![])])).is_err()
    );
    assert_eq!(read_samples(&path), [("first".to_owned(), vec![0, 255, 16]), ("empty".to_owned(), vec![])]);
}

#[test]
fn a_missing_file_fails() {
    let path = file("present", "").with_file_name("absent");
    if std::env::var_os(RECORD_VARIABLE).is_none() {
        assert!(catch_unwind(|| check_hashes(&path, &[("one", 1)])).is_err());
        assert!(!path.exists());
    }
}
