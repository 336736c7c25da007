//! A node that is killed repeatedly while it stores endpoint lists under load.

mod search_node;

use std::sync::atomic::Ordering::Relaxed;

use search_node::*;
use serde_json::json;

/// Returns the revision of the endpoint list that a node logged as recovered.
fn recovered_revision(lines: &[String]) -> Option<i64> {
    let line = lines.iter().find_map(|l| l.split("logbook: endpoint list revision ").nth(1))?;
    line.split(' ').next().unwrap().parse().ok()
}

#[test]
fn a_node_killed_under_load_recovers_a_list_no_older_than_the_previous_one() {
    let mut harness = Harness::open("killed", 2, OS, "# logbook\n");
    harness.fill("jobs", 20);
    let published = harness.publish_constantly();
    let mut last = 0;
    for round in 0..25 {
        let before = harness.counter("roster_news");
        for _ in 0..round % 5 {
            harness.ask("POST", "/jobs/_search", &json!({}));
        }
        harness
            .wait_until("it receives endpoint lists", |harness| harness.counter("roster_news") > before + 3);
        let lines = harness.restart();
        let found =
            recovered_revision(&lines).unwrap_or_else(|| panic!("no endpoint list recovered: {lines:?}"));
        assert!(found >= last && found <= published.load(Relaxed), "{found} after {last}");
        assert!(
            lines.iter().any(|l| l.contains("3 replicas") && l.contains(" 0 records unreadable")),
            "{lines:?}"
        );
        assert!(!lines.iter().any(|l| l.contains("is damaged")), "{lines:?}");
        last = found;
    }
    assert!(last > 50, "{last}");
}

#[test]
fn a_second_node_on_the_same_directory_does_not_start() {
    let harness = Harness::open("second", 1, OS, "# logbook\n");
    let (said, status) = harness.run_second_node();
    assert!(said.contains("logbook.dir: ") && said.contains("another process has it open"), "{said}");
    assert_eq!(status, Some(1));
    assert_eq!(harness.ask("POST", "/jobs/_search", &json!({})).0, 200, "the first serves on");
}
