//! Step-by-step scenarios of the chain.

mod support;

use orchidvalve_chain_replication::{BATCH_BYTES, Message, Output, WINDOW_BYTES};
use support::{Host, disk, member, settle, view};

fn chain(count: u8) -> Vec<Host> {
    let ids: Vec<_> = (1..=count).map(member).collect();
    let mut hosts: Vec<Host> = ids.iter().map(|&id| Host::new(id, 0)).collect();
    let view = view(1, &ids, &[], count as usize);
    hosts.iter_mut().for_each(|host| host.adopt(&view));
    settle(&mut hosts);
    hosts
}

fn payloads(host: &Host) -> Vec<&[u8]> {
    host.memory.entries.iter().map(|entry| &*entry.payload).collect()
}

#[test]
fn an_entry_is_committed_at_all_members() {
    let mut hosts = chain(3);
    assert_eq!(hosts[0].propose(b"a"), Some(1));
    assert_eq!(hosts[1].propose(b"b"), None);
    settle(&mut hosts);
    for host in &hosts {
        assert_eq!(host.replica.committed(), 1);
        assert!(host.events.contains(&Output::Committed { through: 1 }));
        assert!(host.events.contains(&Output::Synchronized { epoch: 1 }));
    }
}

#[test]
fn a_member_passes_on_only_what_is_on_its_disk() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    assert!(hosts[0].sent.is_empty());
    hosts[0].sync(1);
    let (to, message) = hosts[0].sent.pop().unwrap();
    assert_eq!(to, member(2));
    hosts[1].receive(member(1), message);
    assert!(hosts[1].sent.is_empty());
    assert_eq!(hosts[1].replica.committed(), 0);
    hosts[1].sync(1);
    assert_eq!(hosts[1].sent, vec![(member(1), Message::Acknowledge { epoch: 1, sequence: 1 })]);
}

#[test]
fn a_short_chain_commits_nothing() {
    let mut hosts = vec![Host::new(member(1), 0), Host::new(member(2), 0)];
    let short = view(1, &[member(1), member(2)], &[], 3);
    hosts.iter_mut().for_each(|host| host.adopt(&short));
    hosts[0].propose(b"a");
    settle(&mut hosts);
    assert_eq!(hosts[1].replica.end(), 1);
    assert!(hosts.iter().all(|host| host.replica.committed() == 0));
    let next = view(2, &[member(1), member(2)], &[], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&next));
    settle(&mut hosts);
    assert!(hosts.iter().all(|host| host.replica.committed() == 1));
}

#[test]
fn returning_head_discards_uncommitted_entries() {
    let mut hosts = chain(3);
    hosts[0].propose(b"a");
    settle(&mut hosts);
    hosts[0].propose(b"lost");
    hosts[0].propose(b"lost too");
    hosts[0].sync(2);
    hosts[0].sent.clear();
    let without = view(2, &[member(2), member(3)], &[member(1)], 2);
    hosts[1].adopt(&without);
    hosts[2].adopt(&without);
    hosts[1].propose(b"b");
    settle(&mut hosts[1..]);
    hosts[0].adopt(&without);
    settle(&mut hosts);
    assert_eq!(payloads(&hosts[0]), [&b"a"[..], b"b"]);
    assert!(hosts[2].events.contains(&Output::LearnerCaughtUp { member: member(1), epoch: 2 }));
    assert!(hosts[0].events.iter().all(|event| !matches!(event, Output::Refused(_))));
}

#[test]
fn stale_suffix_is_truncated_even_without_new_entries() {
    let mut hosts = chain(2);
    hosts[0].propose(b"stale");
    hosts[0].sync(1);
    hosts[0].sent.clear();
    let turned = view(2, &[member(2), member(1)], &[], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&turned));
    settle(&mut hosts);
    assert_eq!(hosts[0].replica.end(), 0);
}

#[test]
fn entries_that_survive_are_committed_under_the_next_view() {
    let mut hosts = chain(3);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    let (_, message) = hosts[0].sent.pop().unwrap();
    hosts[1].receive(member(1), message);
    hosts[1].sync(1);
    hosts[1].sent.clear();
    let without = view(2, &[member(2), member(3)], &[], 2);
    hosts[1].adopt(&without);
    hosts[2].adopt(&without);
    settle(&mut hosts[1..]);
    assert_eq!(hosts[1].replica.committed(), 1);
    assert_eq!(hosts[2].replica.committed(), 1);
    assert!(hosts[1].replica.is_recovered());
}

#[test]
fn restarted_head_continues_the_numbering_of_its_epoch() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    settle(&mut hosts);
    hosts[0].propose(b"never durable");
    let kept = hosts[0].disk.clone();
    hosts[0] = Host::recovered(member(1), kept, 0, 77);
    hosts[0].adopt(&view(1, &[member(1), member(2)], &[], 2));
    hosts[1].input(|replica, _, outputs| replica.link_up(member(1), outputs));
    settle(&mut hosts);
    assert_eq!(hosts[0].propose(b"b"), Some(2));
    settle(&mut hosts);
    assert_eq!(payloads(&hosts[1]), [&b"a"[..], b"b"]);
    assert!(hosts.iter().all(|host| host.replica.committed() == 2));
}

#[test]
fn log_of_a_new_member_starts_where_the_trimmed_log_starts() {
    let mut hosts = chain(2);
    for number in 0..10u8 {
        hosts[0].propose(&[number]);
    }
    settle(&mut hosts);
    hosts[0].trim(4);
    hosts[1].trim(6);
    hosts.push(Host::new(member(3), 0));
    let grown = view(2, &[member(1), member(2)], &[member(3)], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&grown));
    settle(&mut hosts);
    assert_eq!(hosts[2].replica.first(), 6);
    assert_eq!(payloads(&hosts[2]), [&[5u8][..], &[6], &[7], &[8], &[9]]);
    assert!(hosts[1].events.contains(&Output::LearnerCaughtUp { member: member(3), epoch: 2 }));
}

#[test]
fn learner_is_reported_as_caught_up_once_per_epoch() {
    let mut hosts = chain(1);
    hosts.push(Host::new(member(2), 0));
    let grown = view(2, &[member(1)], &[member(2)], 1);
    hosts.iter_mut().for_each(|host| host.adopt(&grown));
    for number in 0..5u8 {
        hosts[0].propose(&[number]);
        settle(&mut hosts);
    }
    let ready =
        hosts[0].events.iter().filter(|event| matches!(event, Output::LearnerCaughtUp { .. })).count();
    assert_eq!(ready, 1);
}

#[test]
fn window_to_an_unresponsive_successor_is_bounded() {
    let mut hosts = chain(2);
    for _ in 0..100 {
        hosts[0].propose(&[0; 100_000]);
    }
    hosts[0].sync(100);
    let sizes: Vec<usize> = hosts[0]
        .sent
        .iter()
        .map(|(_, message)| match message {
            Message::Entries { entries, .. } => entries.iter().map(|entry| entry.payload.len()).sum(),
            other => panic!("unexpected {other:?}"),
        })
        .collect();
    assert!(sizes.iter().all(|&size| size <= 256 * 1024));
    let total: usize = sizes.iter().sum();
    assert!((WINDOW_BYTES..=WINDOW_BYTES + BATCH_BYTES).contains(&total), "{total}");
    settle(&mut hosts);
    assert_eq!(hosts[0].replica.committed(), 100);
}

#[test]
fn a_barrier_needs_all_members_in_the_same_view() {
    let mut hosts = chain(3);
    hosts[0].propose(b"a");
    settle(&mut hosts);
    hosts[1].input(|replica, _, outputs| replica.barrier(9, outputs));
    settle(&mut hosts);
    assert!(hosts[1].events.contains(&Output::Confirmed { barrier: 9, committed: 1 }));
    let without = view(2, &[member(1), member(2)], &[], 2);
    hosts[0].adopt(&without);
    hosts[2].input(|replica, _, outputs| replica.barrier(10, outputs));
    settle(&mut hosts);
    hosts[2].tick(10_000);
    settle(&mut hosts);
    assert!(hosts[2].events.iter().all(|event| !matches!(event, Output::Confirmed { .. })));
}

#[test]
fn barrier_waits_for_entries_that_may_have_been_acknowledged() {
    // The tail committed and acknowledged the entry; its acknowledgement was lost with it.
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    let (_, message) = hosts[0].sent.pop().unwrap();
    hosts[1].receive(member(1), message);
    hosts[1].sync(1);
    assert_eq!(hosts[1].replica.committed(), 1);
    hosts[1] = Host::new(disk(2, 2), 0);
    let renewed = view(2, &[member(1)], &[disk(2, 2)], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&renewed));
    hosts[0].input(|replica, _, outputs| replica.barrier(1, outputs));
    settle(&mut hosts);
    assert!(hosts[0].events.iter().all(|event| !matches!(event, Output::Confirmed { .. })));
    let grown = view(3, &[member(1), disk(2, 2)], &[], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&grown));
    settle(&mut hosts);
    assert!(hosts[0].events.contains(&Output::Confirmed { barrier: 1, committed: 1 }));
}

#[test]
fn messages_of_another_epoch_are_dropped() {
    let mut hosts = chain(2);
    let before = hosts[1].replica.end();
    hosts[1].adopt(&view(2, &[member(1), member(2)], &[], 2));
    hosts[0].propose(b"thawed");
    hosts[0].sync(1);
    let (_, message) = hosts[0].sent.pop().unwrap();
    hosts[1].sent.clear();
    hosts[1].receive(member(1), message);
    assert_eq!(hosts[1].replica.end(), before);
    assert!(hosts[1].sent.is_empty());
}

#[test]
fn entries_lost_with_one_link_to_the_successor_are_sent_again() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    hosts[0].sent.clear();
    hosts[0].replica.link_down(member(2));
    hosts[0].input(|replica, _, outputs| replica.link_up(member(2), outputs));
    hosts[0].propose(b"b");
    settle(&mut hosts);
    hosts[0].tick(100);
    settle(&mut hosts);
    assert!(hosts.iter().all(|host| host.replica.committed() == 2));
}

#[test]
fn unresponsive_successor_is_probed() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    hosts[0].sent.clear();
    for now in [100, 1_000, 2_000] {
        hosts[0].tick(now);
    }
    settle(&mut hosts);
    assert!(hosts.iter().all(|host| host.replica.committed() == 1));
}

#[test]
fn learners_may_come_and_go_within_an_epoch() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    settle(&mut hosts);
    let current = hosts[0].replica.view().clone();
    hosts.push(Host::new(member(3), 0));
    hosts[2].adopt(&current);
    let change = |hosts: &mut Vec<Host>, learners: &[_]| {
        for host in hosts.iter_mut() {
            host.input(|replica, log, outputs| {
                replica.learners_changed(learners.to_vec(), log, outputs);
            });
        }
        settle(hosts);
    };
    change(&mut hosts, &[member(3)]);
    assert_eq!(payloads(&hosts[2]), [b"a"]);
    assert!(hosts[1].events.contains(&Output::LearnerCaughtUp { member: member(3), epoch: 1 }));
    change(&mut hosts, &[]);
    hosts[0].propose(b"b");
    settle(&mut hosts);
    assert_eq!(hosts[1].replica.committed(), 2);
    assert_eq!(payloads(&hosts[2]), [b"a"]);
    change(&mut hosts, &[member(3)]);
    assert_eq!(payloads(&hosts[2]), [&b"a"[..], b"b"]);
}

/// The commit is announced while the entry is still being written to the learner's disk, and no message follows it.
#[test]
fn learner_commits_entries_whose_commit_preceded_their_durability() {
    let mut hosts = chain(1);
    hosts.push(Host::new(member(2), 0));
    let grown = view(2, &[member(1)], &[member(2)], 1);
    hosts.iter_mut().for_each(|host| host.adopt(&grown));
    settle(&mut hosts);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    for message in std::mem::take(&mut hosts[0].sent) {
        hosts[1].receive(member(1), message.1);
    }
    hosts[0].tick(100);
    for message in std::mem::take(&mut hosts[0].sent) {
        hosts[1].receive(member(1), message.1);
    }
    assert_eq!(hosts[1].replica.committed(), 0);
    hosts[1].sync(1);
    assert_eq!(hosts[1].replica.committed(), 1);
}

/// A successor that learns the view first sends its position too early. The predecessor requests the position when it
/// enters the view itself, so that replication does not wait for the next repetition.
#[test]
fn position_sent_too_early_is_requested_again() {
    let ids = [member(1), member(2)];
    let mut hosts: Vec<Host> = ids.iter().map(|&id| Host::new(id, 0)).collect();
    let view = view(1, &ids, &[], 2);
    hosts[1].adopt(&view);
    settle(&mut hosts);
    hosts[0].adopt(&view);
    hosts[0].propose(b"a");
    settle(&mut hosts);
    assert_eq!((hosts[0].replica.committed(), hosts[1].replica.committed()), (1, 1));
}

/// A predecessor was killed and restarted at once. Entries sent by its earlier run reach the successor after the new
/// link is up. They are no reply to the successor's position, which the predecessor never received.
#[test]
fn entries_of_an_earlier_run_are_no_reply_to_a_position() {
    let mut hosts = chain(2);
    hosts[0].propose(b"a");
    hosts[0].sync(1);
    let earlier = std::mem::take(&mut hosts[0].sent);
    hosts[1].input(|replica, _, outputs| replica.link_up(member(1), outputs));
    hosts[1].sent.clear();
    for (_, message) in earlier {
        hosts[1].receive(member(1), message);
    }
    hosts[1].sent.clear();
    hosts[1].tick(1_000);
    let sends_position = hosts[1].sent.iter().any(|(_, message)| matches!(message, Message::Position { .. }));
    assert!(sends_position, "{:?}", hosts[1].sent);
}
