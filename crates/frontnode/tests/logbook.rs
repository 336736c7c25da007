//! A node that is killed again and again while it remembers rosters under load.

mod rig;

use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering::Relaxed};

use rig::*;
use serde_json::json;

/// The revision that a node said it remembers.
fn remembered(lines: &[String]) -> Option<i64> {
    let line = lines.iter().find_map(|l| l.split("logbook: roster ").nth(1))?;
    line.split(' ').next().unwrap().parse().ok()
}

#[test]
fn a_node_killed_under_load_remembers_a_roster_that_it_was_told_and_never_an_older_one_again() {
    let mut rig = Rig::open("killed", 2, OS, "# logbook\n");
    rig.fill("jobs", 20);
    let (told, over) = (AtomicI64::new(1), AtomicBool::new(false));
    let agent = rig.agent.try_clone().unwrap();
    let members = rig.members.clone();
    std::thread::scope(|scope| {
        // An agent that has news whenever it is asked.
        scope.spawn(|| {
            for stream in agent.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut request = [0; 1024];
                while !over.load(Relaxed) && stream.read(&mut request).is_ok_and(|length| length > 0) {
                    let revision = told.fetch_add(1, Relaxed) + 1;
                    let mut members = members.clone();
                    members[(revision % 3) as usize]["up_since_ms"] = json!(revision);
                    let roster =
                        json!({"revision": revision, "complete": true, "members": members}).to_string();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{roster}", roster.len());
                    if std::io::Write::write_all(&mut stream, answer.as_bytes()).is_err() {
                        break;
                    }
                }
                if over.load(Relaxed) {
                    return;
                }
            }
        });
        let mut last = 0;
        for round in 0..25 {
            let before = rig.counter("roster_news");
            for _ in 0..round % 5 {
                rig.ask("POST", "/jobs/_search", &json!({}));
            }
            rig.until("it hears of rosters", |rig| rig.counter("roster_news") > before + 3);
            let lines = rig.restart();
            let found = remembered(&lines).unwrap_or_else(|| panic!("nothing remembered: {lines:?}"));
            assert!(found >= last && found <= told.load(Relaxed), "{found} after {last}");
            assert!(
                lines.iter().any(|l| l.contains("3 replicas") && l.contains(" 0 records unread")),
                "{lines:?}"
            );
            assert!(!lines.iter().any(|l| l.contains("is damaged")), "{lines:?}");
            last = found;
        }
        assert!(last > 50, "{last}");
        over.store(true, Relaxed);
        drop(std::net::TcpStream::connect(agent.local_addr().unwrap()));
    });
}
