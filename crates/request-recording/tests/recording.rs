//! Recordings round-trip, and a truncated or corrupted recording yields a prefix of the recorded arrivals.

use orchidvalve_request_recording::{Arrival, Header, read, write_arrival, write_header};
use proptest::prelude::*;

fn arrival() -> impl Strategy<Value = Arrival> {
    let shards = proptest::collection::vec(0u32..1000, 0..40);
    (0u64..1 << 40, 0u32..8, proptest::option::of(0u32..300), any::<bool>(), 0u64..1 << 30, shards).prop_map(
        |(gap_us, class, tenant, is_retry, expected_work_us, shards)| Arrival {
            gap_us,
            class,
            tenant,
            is_retry,
            expected_work_us,
            shards,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    #[test]
    fn a_truncated_or_corrupted_recording_yields_a_prefix(all in proptest::collection::vec(arrival(), 0..12)) {
        let header = Header { node: "n".into(), started_unix_ms: 7, classes: vec!["look".into()], tenants: vec!["t".into()] };
        let mut bytes = Vec::new();
        write_header(&header, &mut bytes);
        let first = bytes.len();
        all.iter().for_each(|a| assert!(write_arrival(a, &mut bytes)));
        let complete = read(&bytes).unwrap();
        prop_assert_eq!((&complete.header, &complete.arrivals, complete.torn_bytes), (&header, &all, 0));
        for at in 0..bytes.len() {
            match read(&bytes[..at]) {
                Ok(truncated) => prop_assert!(all.starts_with(&truncated.arrivals) && at >= first),
                Err(error) => prop_assert!(error.to_string().starts_with("no recording") && at < first),
            }
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << (at % 8);
            if let Ok(corrupted) = read(&flipped) {
                prop_assert!(all.starts_with(&corrupted.arrivals), "unknown arrivals after a flip at {}", at);
            }
        }
    }
}
