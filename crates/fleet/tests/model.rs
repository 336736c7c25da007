//! Model check of the lease protocol with the code of `leases` itself, under every order of its messages: each may be
//! lost, duplicated, or delayed by any number of ticks, and the demand may change. `stateright` checks it up to a
//! given depth.

use std::hash::{Hash, Hasher};

use orchidvalve_fleet::leases::{BudgetKey, LeaseGrant, LeaseMessages, LeaseRequest, LeaseSettings, Leases};
use orchidvalve_fleet::{Nanos, Peer};
use stateright::{Checker, Model, Property};

const KEY: BudgetKey = BudgetKey { family: 0, subject: 1 };
const TOTAL: f64 = 8.0;
/// Long compared to the lender's guard of one millisecond, so that a lease counted from the wrong time is detected.
const LEASE_DURATION: Nanos = 10_000_000_000;
const TICK: Nanos = LEASE_DURATION / 2;
const HORIZON: Nanos = 4 * LEASE_DURATION;

fn peer(n: u8) -> Peer {
    Peer { ip: [10, 0, 0, n], port: 1, incarnation: 0 }
}

fn settings() -> LeaseSettings {
    LeaseSettings {
        duration: LEASE_DURATION,
        drift: 0.0,
        lend_share: 0.5,
        renew_at: 0.5,
        peers_per_request: 2,
        answer_timeout: 2 * TICK,
        max_budgets: 4,
        max_lent: 8,
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
}

/// Three nodes: 0 borrows, 1 and 2 lend. `in_flight` holds the messages in flight with receiver and sender.
#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    nodes: Vec<Leases>,
    in_flight: Vec<(u8, u8, Message)>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

struct OutgoingMessages(u8, Vec<(u8, u8, Message)>);

impl LeaseMessages for OutgoingMessages {
    fn request(&mut self, to: Peer, request: LeaseRequest) {
        self.1.push((to.ip[3], self.0, Message::LeaseRequest(request)));
    }
    fn grant(&mut self, to: Peer, grant: LeaseGrant) {
        self.1.push((to.ip[3], self.0, Message::LeaseGrant(grant)));
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    /// The borrower checks its leases, with this demand.
    Step(u8),
    Deliver(usize),
    /// The message is delivered, and a duplicate stays in flight.
    Duplicate(usize),
    Lose(usize),
}

struct LeaseExchange;

const MEMBERS: usize = 3;

impl Model for LeaseExchange {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut nodes: Vec<Leases> = (0..3).map(|_| Leases::new(settings())).collect();
        for (n, node) in nodes.iter_mut().enumerate() {
            node.set_demand(KEY, TOTAL, if n == 0 { 0.0 } else { 1.0 }, 0);
        }
        vec![State { now: 0, nodes, in_flight: Vec::new() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < HORIZON {
            actions.push(Action::Tick);
        }
        actions.extend([Action::Step(2), Action::Step(6)]);
        for at in 0..state.in_flight.len() {
            actions.extend([Action::Deliver(at), Action::Duplicate(at), Action::Lose(at)]);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut next = last.clone();
        let now = next.now;
        let mut out = OutgoingMessages(0, Vec::new());
        match action {
            Action::Tick => next.now += TICK,
            Action::Step(want) => {
                next.nodes[0].set_demand(KEY, TOTAL, f64::from(want), now);
                next.nodes[0].step(MEMBERS, &[peer(1), peer(2)], now, &mut out);
            }
            Action::Deliver(at) | Action::Duplicate(at) | Action::Lose(at) => {
                let (to, from, message) = if matches!(action, Action::Duplicate(_)) {
                    next.in_flight[at].clone()
                } else {
                    next.in_flight.remove(at)
                };
                if matches!(action, Action::Lose(_)) {
                    return Some(next);
                }
                out.0 = to;
                let node = &mut next.nodes[usize::from(to)];
                match message {
                    Message::LeaseRequest(request) => {
                        node.request_received(peer(from), request, MEMBERS, now, &mut out);
                    }
                    Message::LeaseGrant(grant) => drop(node.grant_received(peer(from), grant, now)),
                }
            }
        }
        next.in_flight.extend(out.1);
        // Messages in flight are a multiset: their order is irrelevant.
        next.in_flight.sort_by_key(|(to, from, l)| (*to, *from, format!("{l:?}")));
        (next.in_flight.len() <= 4).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the fleet is never allowed more than the total", |_, s: &State| {
                let sum: f64 = s.nodes.iter().map(|n| n.allowance(KEY, MEMBERS, s.now)).sum();
                sum <= TOTAL + 1e-9
            }),
            Property::always("no lease is counted twice", |_, s: &State| {
                let held = s.nodes[0].budgets.get(&KEY).map_or(Vec::new(), |b| b.borrowed.clone());
                held.iter()
                    .enumerate()
                    .all(|(i, a)| held[..i].iter().all(|b| (a.lender, a.request) != (b.lender, b.request)))
            }),
            Property::always("what a borrower counts, its lender counts too", |_, s: &State| {
                let held = s.nodes[0].budgets.get(&KEY).map_or(Vec::new(), |b| b.borrowed.clone());
                held.iter().filter(|b| b.until > s.now).all(|b| {
                    let lender = &s.nodes[usize::from(b.lender.ip[3])].budgets[&KEY];
                    lender
                        .lent
                        .iter()
                        .any(|l| l.request == b.request && l.until > s.now && l.amount == b.amount)
                })
            }),
            Property::sometimes("the borrower borrows", |_, s: &State| {
                s.nodes[0].allowance(KEY, MEMBERS, s.now) > TOTAL / MEMBERS as f64 + 1e-9
            }),
        ]
    }
}

/// Depth 9 in CI; `FLEET_MODEL_DEPTH=11` for a longer run (548,517 unique states).
#[test]
fn leases_hold_under_loss_duplication_and_delay_in_every_order() {
    let depth = std::env::var("FLEET_MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(9);
    let checker = LeaseExchange.checker().target_max_depth(depth).spawn_bfs().join();
    println!("states: {} ({} unique) to depth {depth}", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "too few states for the depth");
}
