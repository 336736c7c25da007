//! Golden test of frames on the wire: a length before each message.

use std::path::Path;

use orchidvalve_golden::check_samples;
use orchidvalve_protocol::frames::{MAX_FRAME_BYTES, read_frame, write_frame};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/frames.txt");

#[test]
fn frames_are_written_as_recorded() {
    let framed = |write: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = Vec::new();
        write(&mut bytes);
        bytes
    };
    let several = |out: &mut Vec<u8>| {
        write_frame(out, &1_u64);
        write_frame(out, &"two".to_owned());
        write_frame(out, &vec![3_u8, 3, 3]);
    };
    let samples = [
        ("small-number", framed(&|out| write_frame(out, &7_u64))),
        ("large-number", framed(&|out| write_frame(out, &u64::MAX))),
        ("text", framed(&|out| write_frame(out, &"a text".to_owned()))),
        ("pair", framed(&|out| write_frame(out, &("large".to_owned(), 9_u64)))),
        ("none", framed(&|out| write_frame(out, &None::<u32>))),
        ("some", framed(&|out| write_frame(out, &Some(300_u32)))),
        ("share", framed(&|out| write_frame(out, &0.75_f32))),
        ("long", framed(&|out| write_frame(out, &"x".repeat(300)))),
        ("several", framed(&several)),
        ("greatest-size", (MAX_FRAME_BYTES as u64).to_le_bytes().to_vec()),
    ];
    check_samples(Path::new(FILE), &samples);
    let all = &samples[8].1;
    let (first, taken) = read_frame::<u64>(all).unwrap().unwrap();
    let (second, more) = read_frame::<String>(&all[taken..]).unwrap().unwrap();
    let (third, rest) = read_frame::<Vec<u8>>(&all[taken + more..]).unwrap().unwrap();
    assert_eq!((first, second.as_str(), third), (1, "two", vec![3, 3, 3]));
    assert_eq!(taken + more + rest, all.len());
}
