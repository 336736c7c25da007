//! The role of placing partitions: which store nodes count as live, and when a partition counts as lost.

use std::net::Ipv4Addr;

use orchidvalve_control_plane::node::RetirementVerdict;
use orchidvalve_control_plane::sessions::{Session, SessionTable};
use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Handshake, Role, StoreHealth};

/// Time at which this node became the head, in milliseconds.
const SINCE: u64 = 1_000;

fn member(number: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 2, number), 7000), disk }
}

fn session(member: MemberId) -> Session {
    let handshake = Handshake {
        version: 1,
        role: Role::Store,
        name: format!("store-{}", member.address),
        zone: format!("zone-{}", member.address),
        member,
        incarnation: member.disk,
        cpu_share: 1.0,
    };
    Session::new(&handshake)
}

fn sessions(members: &[MemberId]) -> SessionTable {
    let mut table = SessionTable::default();
    members.iter().for_each(|member| table.open(session(*member), 0));
    table
}

fn placed(members: &[MemberId]) -> ControlState {
    let placement = Placement {
        epoch: 1,
        members: members.to_vec(),
        complete_replicas: members.to_vec(),
        copies: 2,
        ..Placement::default()
    };
    let mut state = ControlState::default();
    state.apply(&Change::Place(vec![(0, placement)])).unwrap();
    state
}

fn roles() -> SingletonRoles {
    let options = SingletonRoleOptions {
        name: "control".to_owned(),
        platform: None,
        lease_ms: 1_000,
        tolerance: 1,
        ..SingletonRoleOptions::default()
    };
    let mut roles = SingletonRoles::new(options);
    roles.view_changed(SINCE, 1, true, false);
    roles
}

/// Returns the next placement of the first partition.
fn next(change: Option<Change>) -> Option<Placement> {
    let Some(Change::Place(mut placements)) = change else { return None };
    Some(placements.remove(0).1)
}

/// Runs the role every 50 ms for up to `max_ms`. Returns the time and the contents of the first change of the placement.
fn first_change(
    roles: &mut SingletonRoles,
    state: &ControlState,
    sessions: &SessionTable,
    max_ms: u64,
) -> Option<(u64, Placement)> {
    let mut times = (SINCE..SINCE + max_ms).step_by(50);
    times.find_map(|now| next(roles.place(now, state, sessions)).map(|placement| (now - SINCE, placement)))
}

#[test]
fn a_new_head_waits_for_sessions_before_members_count_as_lost() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let live = sessions(&[member(1, 1), member(3, 1)]);
    let (after, placement) = first_change(&mut roles(), &state, &live, 5_000).unwrap();
    assert_eq!(after, 1_500);
    assert_eq!(placement.members, [member(1, 1)]);
}

#[test]
fn a_wiped_member_is_removed_at_once() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let live = sessions(&[member(1, 1), member(2, 2)]);
    let (after, placement) = first_change(&mut roles(), &state, &live, 5_000).unwrap();
    assert_eq!(after, 0);
    assert_eq!((placement.members, placement.learners), (vec![member(1, 1)], vec![member(2, 2)]));
}

/// Returns sessions of these members, of which the first reports that it is shutting down.
fn first_is_shutting_down(members: &[MemberId]) -> SessionTable {
    let mut table = sessions(members);
    let health = StoreHealth { draining: true, ..StoreHealth::default() };
    table.open(Session { health: Some(health), ..session(members[0]) }, 0);
    table
}

#[test]
fn a_store_node_that_shuts_down_stays_a_member_until_it_is_replaced() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let live = first_is_shutting_down(&[member(1, 1), member(2, 1), member(3, 1)]);
    let (after, placement) = first_change(&mut roles(), &state, &live, 5_000).unwrap();
    assert_eq!(after, 0);
    assert_eq!(placement.members, [member(1, 1), member(2, 1)]);
    assert_eq!(placement.learners, [member(3, 1)]);
}

#[test]
fn nothing_changes_if_no_node_can_replace_one_that_shuts_down() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let live = first_is_shutting_down(&[member(1, 1), member(2, 1)]);
    assert_eq!(first_change(&mut roles(), &state, &live, 5_000), None);
}

#[test]
fn a_store_node_that_returns_after_a_shutdown_is_eligible() {
    let state = placed(&[member(2, 1), member(3, 1)]);
    let mut live = first_is_shutting_down(&[member(1, 1), member(2, 1)]);
    live.open(Session { incarnation: 9, ..session(member(1, 1)) }, 0);
    let (_, placement) = first_change(&mut roles(), &state, &live, 5_000).unwrap();
    assert_eq!((placement.members, placement.learners), (vec![member(2, 1)], vec![member(1, 1)]));
}

#[test]
fn a_full_store_node_receives_only_copies_of_lost_nodes() {
    let full = |used_bytes| {
        let health = StoreHealth { used_bytes, capacity_bytes: 100, ..StoreHealth::default() };
        Session { health: Some(health), ..session(member(3, 1)) }
    };
    let state = placed(&[member(1, 1), member(2, 1)]);
    let mut shutting_down = first_is_shutting_down(&[member(1, 1), member(2, 1)]);
    shutting_down.open(full(76), 0);
    assert_eq!(first_change(&mut roles(), &state, &shutting_down, 5_000), None);
    shutting_down.open(full(75), 0);
    assert!(first_change(&mut roles(), &state, &shutting_down, 5_000).is_some());
    let mut lost = sessions(&[member(1, 1)]);
    lost.open(full(76), 0);
    let (_, placement) = first_change(&mut roles(), &state, &lost, 5_000).unwrap();
    assert_eq!((placement.members, placement.learners), (vec![member(1, 1)], vec![member(3, 1)]));
}

#[test]
fn a_partition_restarts_empty_only_after_its_loss_was_confirmed() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let wiped = sessions(&[member(1, 2), member(2, 2), member(3, 1)]);
    let (after, placement) = first_change(&mut roles(), &state, &wiped, 20_000).unwrap();
    assert_eq!(after, 10_000);
    assert_eq!(placement.reset_epoch, 2);
}

#[test]
fn an_interrupted_loss_restarts_the_confirmation_time() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let wiped = sessions(&[member(1, 2), member(2, 2), member(3, 1)]);
    let one_back = sessions(&[member(1, 2), member(3, 1)]);
    let mut roles = roles();
    assert_eq!(next(roles.place(SINCE, &state, &wiped)), None);
    assert_eq!(next(roles.place(SINCE + 9_000, &state, &one_back)), None);
    assert_eq!(next(roles.place(SINCE + 11_000, &state, &wiped)), None);
    assert_eq!(next(roles.place(SINCE + 20_900, &state, &wiped)), None);
    assert!(next(roles.place(SINCE + 21_000, &state, &wiped)).is_some());
}

#[test]
fn a_node_that_loses_the_lease_restarts_the_confirmation_time() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let wiped = sessions(&[member(1, 2), member(2, 2), member(3, 1)]);
    let mut roles = roles();
    assert_eq!(next(roles.place(SINCE, &state, &wiped)), None);
    roles.view_changed(SINCE + 1_000, 2, false, false);
    roles.view_changed(SINCE + 9_000, 3, true, false);
    assert_eq!(next(roles.place(SINCE + 18_900, &state, &wiped)), None);
}

#[test]
fn a_partition_waits_for_members_that_are_only_unreachable() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let others_only = sessions(&[member(3, 1), member(4, 1)]);
    assert_eq!(first_change(&mut roles(), &state, &others_only, 60_000), None);
}

/// All control nodes were suspended: the view is unchanged, and all sessions have ended.
#[test]
fn no_store_node_counts_as_lost_right_after_the_quorum_returns() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let all = sessions(&[member(1, 1), member(2, 1), member(3, 1)]);
    let first_back = sessions(&[member(2, 1)]);
    let mut roles = roles();
    assert_eq!(next(roles.place(SINCE + 10_000, &state, &all)), None);
    roles.set_has_quorum(SINCE + 20_000, false);
    roles.set_has_quorum(SINCE + 20_200, true);
    assert_eq!(next(roles.place(SINCE + 20_200, &state, &first_back)), None);
    roles.set_has_quorum(SINCE + 21_650, true);
    assert_eq!(next(roles.place(SINCE + 21_650, &state, &first_back)), None);
    let placement =
        next(roles.place(SINCE + 21_700, &state, &first_back)).expect("the placement has to change");
    assert_eq!(placement.members, [member(2, 1)]);
}

#[test]
fn no_retirement_is_refused_right_after_the_quorum_returns() {
    let mut state = ControlState::default();
    let stores = [member(1, 1), member(2, 1), member(3, 1)];
    for store in stores {
        let Session { name, zone, member, .. } = session(store);
        state.apply(&Change::RegisterStore { name, zone, member }).unwrap();
    }
    let name = session(stores[0]).name;
    let first_back = sessions(&stores[..1]);
    let mut roles = roles();
    roles.set_has_quorum(SINCE + 20_000, false);
    assert_eq!(roles.retirement(SINCE + 20_100, &state, &first_back, &name), RetirementVerdict::Undetermined);
    roles.set_has_quorum(SINCE + 20_200, true);
    assert_eq!(roles.retirement(SINCE + 21_650, &state, &first_back, &name), RetirementVerdict::Undetermined);
    assert_eq!(roles.retirement(SINCE + 21_700, &state, &first_back, &name), RetirementVerdict::TooFewRemain);
    assert_eq!(
        roles.retirement(SINCE + 21_700, &state, &sessions(&stores), &name),
        RetirementVerdict::Allowed
    );
}

/// Sessions that end because the head has no quorum do not show that a partition is lost.
#[test]
fn a_head_that_lost_its_quorum_restarts_the_confirmation_time() {
    let state = placed(&[member(1, 1), member(2, 1)]);
    let wiped = sessions(&[member(1, 2), member(2, 2), member(3, 1)]);
    let mut roles = roles();
    assert_eq!(next(roles.place(SINCE, &state, &wiped)), None);
    roles.set_has_quorum(SINCE + 1_000, false);
    roles.set_has_quorum(SINCE + 9_000, true);
    assert_eq!(next(roles.place(SINCE + 18_900, &state, &wiped)), None);
}
