//! Replicas that join and leave, and requests for membership changes.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::{AggregatorState, AttemptOutcome};

#[test]
fn a_draining_or_unlisted_replica_gets_no_new_attempt() {
    let mut host = Host::new(settings(2));
    host.round(|state| {
        state.membership_update_begins(true);
        state.member_listed(B, 1, true, None);
        state.membership_update_ends();
    });
    assert!(attempts(&host.traffic(10, &[])).iter().all(|attempt| attempt.1 == B));
    host.round(|state| {
        state.membership_update_begins(false);
        state.member_listed(A, 0, true, None);
        state.member_listed(B, 1, false, None);
        state.membership_update_ends();
    });
    assert!(attempts(&host.traffic(10, &[])).iter().all(|attempt| attempt.1 == A));
}

#[test]
fn a_lost_membership_is_requested_again_after_a_pause() {
    let mut settings = settings(2);
    settings.membership_on_request = true;
    let mut host = Host::new(settings);
    assert!(
        !host.round(AggregatorState::membership_lost).contains(&Action::RequestMembership),
        "not at once"
    );
    let actions: Vec<Action> = (0..300).flat_map(|_| host.wait(10 * MS)).collect();
    assert_eq!(actions.iter().filter(|t| **t == Action::RequestMembership).count(), 1);
}

#[test]
fn every_lost_watch_is_requested_again_within_a_second() {
    let mut settings = settings(2);
    settings.membership_on_request = true;
    let mut host = Host::new(settings);
    for _ in 0..4 {
        host.wait(20_800 * MS);
        host.round(AggregatorState::membership_lost);
        let asked = (0..=100).any(|_| host.wait(10 * MS).contains(&Action::RequestMembership));
        assert!(asked, "the membership is requested within a second of each loss");
    }
}

#[test]
fn slots_of_replaced_replicas_are_reused() {
    let mut host = Host::new(settings(2));
    host.traffic(30, &[]);
    // A answers nothing, is ejected, and is removed with an attempt still in flight there.
    while host.query(0, &[0]).1.iter().all(|t| !matches!(t, Action::StartAttempt(_, r) if *r == A)) {
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
    }
    host.end_attempts(|r| (r == B).then_some(AttemptOutcome::Answered));
    let actions: Vec<Action> = (0..20).flat_map(|_| host.wait(50 * MS)).collect();
    assert!(actions.contains(&Action::CheckHealth(A)));
    let replace = |host: &mut Host, gone: ReplicaIndex| {
        let mut discovered = None;
        host.round(|state| {
            state.health_check_ended(gone, false, None);
            state.membership_update_begins(false);
            state.member_listed(gone, 0, false, None);
            state.replica_removed(gone);
            let ix = state.replica_discovered(0);
            state.member_listed(ix, 0, true, None);
            state.membership_update_ends();
            discovered = Some(ix);
        });
        discovered.unwrap()
    };
    let second = replace(&mut host, A);
    assert_eq!(second, ReplicaIndex(2), "the attempt in flight at A may still be answered");
    host.end_attempts(|_| Some(AttemptOutcome::Answered));
    let mut last = second;
    for _ in 0..20 {
        host.traffic(10, &[]);
        host.now += 10_000 * MS;
        host.wait(0);
        last = replace(&mut host, last);
        assert!(last.0 < 3, "{last:?}");
    }
    // The new replica in the slot does not inherit the ejection state of A.
    assert!(host.traffic(20, &[]).iter().all(|t| !matches!(t, Action::CheckHealth(_))));
    assert!(host.aggregator.state().replicas[last.0].samples.iter().len() > 0);
}

#[test]
fn an_unverified_replica_gets_no_attempt_before_it_answered_its_health_checks() {
    let mut host = Host::new(settings(1));
    let from = host.now + 300 * MS;
    host.round(|state| state.replica_unverified(ReplicaIndex(0), 2, from));
    let (mut checks, mut started) = (0, Vec::new());
    while checks < 2 {
        // The only replica is unverified. Hundreds of front nodes may have the same list, so each waits for its own
        // time.
        assert!(attempts(&host.query(0, &[0]).1).is_empty());
        host.now += 5 * MS;
        if host.round(|_| {}).contains(&Action::CheckHealth(ReplicaIndex(0))) {
            assert!(host.now >= from);
            checks += 1;
            started = attempts(&host.round(|state| state.health_check_ended(ReplicaIndex(0), true, None)));
        }
        assert!(host.now < from + 2_000 * MS, "{checks} health checks");
    }
    assert!(!started.is_empty(), "two steps require two health checks, then the replica serves");
}

#[test]
fn a_replica_that_discovery_names_is_no_longer_unverified() {
    let mut host = Host::new(settings(1));
    let until = host.now + 60_000 * MS;
    host.round(|state| state.replica_unverified(ReplicaIndex(0), 4, until));
    assert!(attempts(&host.query(0, &[0]).1).is_empty());
    host.now += 5 * MS;
    let actions = host.round(|state| state.replica_verified(ReplicaIndex(0)));
    assert_eq!(attempts(&actions).len(), 1, "{actions:?}");
}
