//! The control state: every kind of change, repeated and conflicting changes, snapshots.

use std::net::Ipv4Addr;

use orchidvalve_control_state::{
    Applied, Change, ChangeError, ControlState, MAX_UNACCEPTED_REPORTS, Placement, REMEMBERED_CHANGES,
    StateSnapshot, UsageReport,
};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::json;

fn body(version: u64, note: &str) -> Vec<u8> {
    let document =
        json!({"config-version": version, "routes": [], "services": [{"name": "blue"}], "note": note});
    document.to_string().into_bytes()
}

fn replace(base: u64, version: u64, note: &str) -> Change {
    Change::Replace { base, body: body(version, note) }
}

fn patch(base: u64, version: u64, note: &str) -> Change {
    let upsert = json!({"services": [{"name": "green", "note": note}]});
    let document = json!({"config-version": version, "upsert": upsert});
    Change::Patch { base, body: document.to_string().into_bytes() }
}

fn name(model: &str, version: u64) -> Change {
    Change::NameVersion { model: model.to_owned(), version }
}

fn member(disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 2, 1), 7000), disk }
}

fn register(name: &str, disk: u64) -> Change {
    Change::RegisterStore { name: name.to_owned(), zone: "north".to_owned(), member: member(disk) }
}

fn retire(name: &str) -> Change {
    Change::Retire { name: name.to_owned() }
}

fn place(partition: u16, epoch: u64, disk: u64) -> Change {
    let placement =
        Placement { epoch, members: vec![member(disk)], learners: Vec::new(), ..Placement::default() };
    Change::Place(vec![(partition, placement)])
}

/// A state with at least one item of every kind.
fn state() -> ControlState {
    let mut state = ControlState::default();
    let changes = [
        replace(0, 5, "first"),
        patch(5, 7, "second"),
        name("large", 3),
        register("store-1", 1),
        register("store-2", 2),
        retire("store-2"),
        place(1, 4, 1),
    ];
    for change in changes {
        assert_eq!(state.apply(&change), Ok(Applied::Changed), "{change:?}");
    }
    state
}

/// The result of a change on top of [`state`]: "changed", "already" (unchanged), or the kind of the error.
#[rstest]
#[case::replace(replace(7, 9, "x"), "changed")]
#[case::repeated_replace(replace(0, 5, "first"), "already")]
#[case::patch(patch(7, 8, "x"), "changed")]
#[case::repeated_patch(patch(5, 7, "second"), "already")]
#[case::older_base(replace(5, 9, "x"), "other version")]
#[case::newer_base(replace(8, 9, "x"), "other version")]
#[case::same_body_on_another_base(replace(5, 5, "first"), "other version")]
#[case::conflicting_change(patch(5, 7, "other"), "other version")]
#[case::version_not_above(replace(7, 7, "x"), "invalid")]
#[case::broken(Change::Replace { base: 7, body: b"{".to_vec() }, "invalid")]
#[case::broken_patch(Change::Patch { base: 7, body: b"[]".to_vec() }, "invalid")]
#[case::version_named(name("large", 4), "changed")]
#[case::version_skipped(name("large", 9), "changed")]
#[case::version_named_again(name("large", 3), "already")]
#[case::version_below(name("large", 2), "already")]
#[case::first_version_of_a_model(name("small", 2), "changed")]
#[case::initial_version(name("small", 1), "already")]
#[case::new_store(register("store-3", 3), "changed")]
#[case::store_with_another_disk(register("store-1", 9), "changed")]
#[case::retire(retire("store-1"), "changed")]
#[case::retire_again(retire("store-2"), "already")]
#[case::retire_unknown_store(retire("store-9"), "unknown store")]
#[case::place(place(1, 5, 2), "changed")]
#[case::begin_term(Change::BeginTerm, "already")]
#[case::checkpoint(Change::Checkpoint(ControlState::default().snapshot()), "changed")]
fn changes_have_the_expected_result(#[case] change: Change, #[case] expected: &str) {
    let mut state = state();
    let before = state.snapshot();
    let result = match state.apply(&change) {
        Ok(Applied::Changed) => "changed",
        Ok(Applied::Unchanged) => "already",
        Err(ChangeError::VersionConflict { .. }) => "other version",
        Err(ChangeError::BaseTooOld { .. }) => "forgotten",
        Err(ChangeError::Invalid(_)) => "invalid",
        Err(ChangeError::UnknownStore { .. }) => "unknown store",
    };
    assert_eq!(result, expected);
    assert_eq!(state.snapshot() != before, expected == "changed");
}

#[rstest]
#[case::replace(replace(0, 5, "x"), true)]
#[case::patch_of_nothing(patch(0, 5, "x"), false)]
#[case::with_a_base(replace(1, 5, "x"), false)]
fn first_configuration_must_be_complete(#[case] change: Change, #[case] accepted: bool) {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&change).is_ok(), accepted);
    assert_eq!(state.configuration_version(), if accepted { 5 } else { 0 });
}

#[test]
fn one_of_two_changes_on_the_same_base_is_applied() {
    let mut state = state();
    assert_eq!(state.apply(&replace(7, 9, "one")), Ok(Applied::Changed));
    let lost = state.apply(&replace(7, 10, "other"));
    assert_eq!(lost, Err(ChangeError::VersionConflict { base: 7, current: 9 }));
    assert_eq!(state.apply(&replace(7, 9, "one")), Ok(Applied::Unchanged));
    assert_eq!(state.configuration_version(), 9);
}

#[test]
fn repeated_change_is_recognised_after_many_others() {
    let mut state = ControlState::default();
    for version in 0..200 {
        assert_eq!(state.apply(&replace(version, version + 1, "x")), Ok(Applied::Changed));
    }
    assert_eq!(state.apply(&replace(0, 1, "x")), Ok(Applied::Unchanged));
    let restored = ControlState::from_snapshot(&state.snapshot()).unwrap();
    assert_eq!(restored.clone().apply(&replace(0, 1, "x")), Ok(Applied::Unchanged));
}

/// The operator's order was acknowledged: losing the disk in the meantime doesn't revert it.
#[test]
fn retiring_store_with_another_disk_stays_retiring() {
    let mut state = state();
    state.apply(&register("store-2", 2)).unwrap();
    assert!(state.stores()["store-2"].retiring);
    state.apply(&register("store-2", 9)).unwrap();
    assert!(state.stores()["store-2"].retiring);
    assert_eq!(state.stores()["store-2"].member, member(9));
}

#[test]
fn a_store_at_another_address_is_not_retiring_under_the_same_name() {
    let mut state = state();
    let address = NodeAddress::new(Ipv4Addr::new(10, 0, 2, 77), 7000);
    let member = MemberId { address, disk: 2 };
    let change = Change::RegisterStore { name: "store-2".to_owned(), zone: "north".to_owned(), member };
    state.apply(&change).unwrap();
    assert!(!state.stores()["store-2"].retiring);
    assert_eq!(state.stores()["store-2"].member, member);
}

/// Such a change may be one that was accepted long ago, so it is never reported as a version conflict.
#[test]
fn change_based_on_a_forgotten_version_is_rejected_as_too_old() {
    let mut state = ControlState::default();
    let last = REMEMBERED_CHANGES as u64 + 10;
    for version in 0..last {
        assert_eq!(state.apply(&replace(version, version + 1, "x")), Ok(Applied::Changed));
    }
    for mut state in [ControlState::from_snapshot(&state.snapshot()).unwrap(), state] {
        assert_eq!(state.apply(&replace(9, 10, "x")), Err(ChangeError::BaseTooOld { base: 9 }));
        assert_eq!(state.apply(&replace(9, 10, "other")), Err(ChangeError::BaseTooOld { base: 9 }));
        assert_eq!(state.apply(&replace(10, 11, "x")), Ok(Applied::Unchanged));
        let refused = state.apply(&replace(10, 11, "other"));
        assert_eq!(refused, Err(ChangeError::VersionConflict { base: 10, current: last }));
    }
}

#[rstest]
#[case::older(3, 1)]
#[case::same(4, 1)]
#[case::newer(5, 9)]
fn only_a_placement_of_a_higher_epoch_is_applied(#[case] epoch: u64, #[case] disk: u64) {
    let mut state = state();
    state.apply(&place(1, epoch, 9)).unwrap();
    assert_eq!(state.partitions()[1].members, [member(disk)]);
    assert_eq!(state.partitions()[0], Placement::default());
}

#[test]
fn snapshot_restores_the_complete_state() {
    let state = state();
    let snapshot: StateSnapshot = decode(&encode(&state.snapshot())).unwrap();
    assert_eq!(snapshot, state.snapshot());
    let restored = ControlState::from_snapshot(&snapshot).unwrap();
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.configuration_version(), 7);
    assert_eq!(restored.versions()["large"], 3);
}

#[test]
fn checkpoint_replaces_the_previous_state() {
    let (complete, mut other) = (state(), ControlState::default());
    other.apply(&replace(0, 99, "other")).unwrap();
    other.apply(&register("store-7", 7)).unwrap();
    assert_eq!(other.apply(&Change::Checkpoint(complete.snapshot())), Ok(Applied::Changed));
    assert_eq!(other.snapshot(), complete.snapshot());
}

/// Every kind of change decodes to itself; truncated bytes are rejected.
#[rstest]
#[case(replace(1, 2, "x"))]
#[case(patch(1, 2, "x"))]
#[case(name("large", 2))]
#[case(register("store-1", 1))]
#[case(place(3, 4, 5))]
#[case(retire("store-1"))]
#[case(Change::BeginTerm)]
#[case(Change::Checkpoint(state().snapshot()))]
fn changes_round_trip_through_their_encoding(#[case] change: Change) {
    let bytes = encode(&change);
    assert_eq!(decode::<Change>(&bytes), Some(change));
    for length in 0..bytes.len() {
        assert_eq!(decode::<Change>(&bytes[..length]), None, "{length}");
    }
}

/// Two states that apply the same changes, one of them restored from snapshots in between, stay equal.
#[rstest]
fn random_changes_lead_to_the_same_state(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut one, mut other) = (ControlState::default(), ControlState::default());
    for step in 0..1_000 {
        let base = one.configuration_version().saturating_sub(random.random_range(0..2));
        let version = base + random.random_range(0..3);
        let note = format!("{}", random.random_range(0..step + 1));
        let change = match random.random_range(0..7) {
            0 | 1 => replace(base, version, &note),
            2 => patch(base, version, &note),
            3 => name("large", random.random_range(1..200)),
            4 => register("store-1", random.random_range(1..4)),
            5 => retire("store-1"),
            _ => place(random.random_range(0..8), random.random_range(1..100), 1),
        };
        let result = one.apply(&change);
        if random.random_bool(0.1) {
            let snapshot: StateSnapshot = decode(&encode(&other.snapshot())).unwrap();
            other = ControlState::from_snapshot(&snapshot).unwrap();
        }
        assert_eq!(other.apply(&change), result);
        assert_eq!(one.snapshot(), other.snapshot());
    }
}

/// A placement as encoded by versions before `complete_replicas` was added.
#[derive(musli::Encode)]
struct EarlierPlacement {
    epoch: u64,
    members: Vec<MemberId>,
    learners: Vec<MemberId>,
}

#[test]
fn a_placement_of_an_earlier_version_names_no_complete_replicas() {
    let earlier = EarlierPlacement { epoch: 3, members: vec![member(1)], learners: vec![member(2)] };
    let read: Placement =
        orchidvalve_protocol::frames::decode(&orchidvalve_protocol::frames::encode(&earlier)).unwrap();
    let expected =
        Placement { epoch: 3, members: vec![member(1)], learners: vec![member(2)], ..Placement::default() };
    assert_eq!(read, expected);
    assert!(!read.is_undersized(), "a placement without the number of copies does not count as undersized");
}

fn usage_report(window: u64, requests: u64) -> Change {
    Change::DecideUsageReport(UsageReport { window, counts: [("cuka620".to_owned(), requests)].into() })
}

/// Returns the windows whose reports must be sent, each with the requests of the single tenant.
fn unaccepted(state: &ControlState) -> Vec<(u64, u64)> {
    state.usage_reports().unaccepted().map(|report| (report.window, report.counts["cuka620"])).collect()
}

// Guards against two different reports of one window: the platform accepts both, and the tenant is charged twice.
#[test]
fn the_report_of_a_window_is_decided_once() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&usage_report(7, 3)), Ok(Applied::Changed));
    assert_eq!(state.apply(&usage_report(7, 4)), Ok(Applied::Unchanged));
    assert_eq!(state.apply(&usage_report(6, 4)), Ok(Applied::Unchanged));
    assert_eq!(state.apply(&Change::AcceptUsageReport { window: 7 }), Ok(Applied::Changed));
    assert_eq!(state.apply(&usage_report(7, 4)), Ok(Applied::Unchanged));
    assert_eq!(state.apply(&Change::AcceptUsageReport { window: 7 }), Ok(Applied::Unchanged));
    assert_eq!(state.apply(&usage_report(8, 1)), Ok(Applied::Changed));
    assert_eq!((unaccepted(&state), state.usage_reports().next_window()), (vec![(8, 1)], Some(9)));
}

// Guards against a decision that is lost when the log before a checkpoint is trimmed or all processes restart.
#[test]
fn decided_reports_are_in_a_snapshot() {
    let mut state = ControlState::default();
    state.apply(&usage_report(7, 3)).unwrap();
    state.apply(&usage_report(8, 5)).unwrap();
    state.apply(&Change::AcceptUsageReport { window: 7 }).unwrap();
    let snapshot: StateSnapshot = decode(&encode(&state.snapshot())).unwrap();
    let mut restored = ControlState::from_snapshot(&snapshot).unwrap();
    assert_eq!((unaccepted(&restored), restored.usage_reports().next_window()), (vec![(8, 5)], Some(9)));
    assert_eq!(restored.apply(&usage_report(7, 9)), Ok(Applied::Unchanged));
}

// Guards against a state that grows without bound if the platform accepts no report.
#[test]
fn number_of_unaccepted_reports_is_limited() {
    let mut state = ControlState::default();
    let count = MAX_UNACCEPTED_REPORTS as u64;
    for window in 0..count + 5 {
        assert_eq!(state.apply(&usage_report(window, 1)), Ok(Applied::Changed));
    }
    let windows: Vec<u64> = state.usage_reports().unaccepted_windows().collect();
    assert_eq!(windows, (5..count + 5).collect::<Vec<u64>>());
    assert_eq!(state.apply(&usage_report(0, 2)), Ok(Applied::Unchanged));
}

// Guards against a damaged change that stops every node which applies it, because no window follows the highest number.
#[test]
fn highest_number_is_not_used_for_a_window() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&usage_report(u64::MAX, 3)), Ok(Applied::Unchanged));
    assert_eq!(state.usage_reports().next_window(), None);
}
