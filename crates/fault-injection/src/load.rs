//! The load of a run: arrivals are drawn from the seed before the run begins, so that a slow front node never slows the
//! load down. Also the retries of clients. This module has no I/O and no clock.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Clients, Effect, Scenario, ms, seconds};
use crate::{Nanos, SECOND};

/// The first try of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedQuery {
    /// The planned time, since the run began.
    pub at: Nanos,
    /// Index of the service class.
    pub class: usize,
    /// Index of the tenant, if the scenario has tenants.
    pub tenant: Option<usize>,
    /// The shards that the query reads.
    pub shards: Vec<usize>,
    /// The front node of the first try.
    pub front_node: usize,
}

fn weighted_index(weights: impl Iterator<Item = f64> + Clone, drawn: f64) -> usize {
    let all: f64 = weights.clone().sum();
    let mut left = drawn * all;
    let position = weights.clone().position(|w| {
        left -= w;
        left < 0.0
    });
    position.unwrap_or(weights.count().saturating_sub(1))
}

/// Draws all queries of a scenario's load, in the order of their times.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<PlannedQuery> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6f72_6368_6964);
    let mut planned = Vec::new();
    for load in &scenario.load {
        let (from, to) = (seconds(load.from_s), seconds(load.to_s));
        let (first, last) = (load.rate, load.rate_end.unwrap_or(load.rate));
        let highest = first.max(last);
        let tenant = load.tenant.as_ref().and_then(|t| scenario.tenants.iter().position(|x| x.name == *t));
        let mut at = from;
        if highest <= 0.0 {
            continue;
        }
        loop {
            // Thinning: gaps are drawn at the highest rate, and each arrival is kept with probability current rate /
            // highest rate.
            let gap = -(1.0 - rng.random::<f64>()).ln() / highest;
            at += (gap * SECOND as f64) as Nanos + 1;
            if at >= to {
                break;
            }
            let rate = first + (last - first) * (at - from) as f64 / (to - from).max(1) as f64;
            if rng.random::<f64>() * highest > rate {
                continue;
            }
            let class = weighted_index(scenario.classes.iter().map(|g| g.weight), rng.random());
            let drawn = rng.random();
            let drawn_tenant = (!scenario.tenants.is_empty())
                .then(|| weighted_index(scenario.tenants.iter().map(|t| t.weight), drawn));
            let cells = scenario.stores.cells;
            let shard_count = scenario.classes[class].shards;
            let mut shards: Vec<usize> = (0..cells).collect();
            if shard_count > 0 {
                let first_shard = rng.random_range(0..cells);
                shards = (0..shard_count).map(|n| (first_shard + n) % cells).collect();
                shards.sort_unstable();
            }
            let front_node = rng.random_range(0..scenario.front_nodes);
            planned.push(PlannedQuery { at, class, tenant: tenant.or(drawn_tenant), shards, front_node });
        }
    }
    planned.sort_by_key(|w| w.at);
    planned
}

/// The result of a try, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete or partial response.
    Answered,
    /// A rejection, with the time to wait before a retry if the response has one.
    Rejected(Option<Nanos>),
    /// The query expired, or the response is unreadable or has an unexpected status.
    Expired,
    /// The connection ended without a response.
    Lost,
    /// The client's deadline passed.
    Late,
}

/// A client's decision after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The query has ended for the client.
    Ends,
    /// The client sends the query again.
    Again {
        /// Time of the next try.
        at: Nanos,
        /// Whether the next try goes to another front node, because the connection to this one was lost.
        elsewhere: bool,
    },
}

/// The retries of one query: each pause is twice the last one, up to a maximum, and all tries are within the deadline.
#[derive(Clone, Debug)]
pub struct ClientRetries {
    tries: u32,
    wait: Nanos,
    most: Nanos,
    until: Nanos,
    effect: Effect,
}

impl ClientRetries {
    /// Returns the retries of a query that is first sent at `began` and has a deadline `abandon` nanoseconds later.
    pub fn new(clients: &Clients, effect: Effect, began: Nanos, abandon: Nanos) -> ClientRetries {
        let (wait, most) = (ms(clients.wait_ms), ms(clients.most_ms));
        ClientRetries { tries: clients.tries, wait, most, until: began + abandon, effect }
    }

    /// Returns the deadline, when the client stops waiting.
    pub fn until(&self) -> Nanos {
        self.until
    }

    /// Returns what the client does after a try.
    pub fn next_step(&mut self, now: Nanos, reply: Reply) -> NextStep {
        let may_retry = match reply {
            Reply::Answered | Reply::Late => false,
            // A rejected query was not executed, so it can be sent again.
            Reply::Rejected(_) => true,
            Reply::Expired | Reply::Lost => self.effect != Effect::Effectful,
        };
        if !may_retry || self.tries == 0 {
            return NextStep::Ends;
        }
        self.tries -= 1;
        let retry_after = if let Reply::Rejected(Some(after)) = reply { after } else { 0 };
        let at = now + self.wait.max(retry_after);
        self.wait = (self.wait * 2).min(self.most);
        if at >= self.until {
            NextStep::Ends
        } else {
            NextStep::Again { at, elsewhere: reply == Reply::Lost }
        }
    }
}
