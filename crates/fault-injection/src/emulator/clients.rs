//! Emulated clients: the queries that they send, the responses that they receive, and when they stop waiting.

use orchidvalve::interface::QueryIndex;

use super::front_nodes::Input;
use super::world::{ScheduledEvent, World, request_id};
use super::{DELAY, SETUP_TIME};
use crate::invariants::Event;
use crate::load::{ClientRetries, NextStep, PlannedQuery, Reply};
use crate::scenario::{Effect, Scenario, ms};
use crate::statistics::QueryOutcome;

/// A client's try that is in flight.
#[derive(Clone, Copy)]
pub struct ClientTry {
    /// Number of the try, counted over all clients.
    pub number: usize,
    /// Index of the query at the front node, once the front node has received it.
    pub query: Option<QueryIndex>,
}

/// A client with its one query.
pub struct EmulatedClient {
    pub query: PlannedQuery,
    pub retries: ClientRetries,
    pub front_node: usize,
    pub tries: u32,
    pub in_flight: Option<ClientTry>,
    pub ended: bool,
}

impl EmulatedClient {
    pub fn new(scenario: &Scenario, query: PlannedQuery) -> EmulatedClient {
        let class = &scenario.classes[query.class];
        let began = SETUP_TIME + query.at;
        let retries = ClientRetries::new(&scenario.clients, class.effect, began, ms(class.deadline_ms));
        let front_node = query.front_node;
        EmulatedClient { query, retries, front_node, tries: 0, in_flight: None, ended: false }
    }
}

impl World<'_> {
    pub fn client_sends(&mut self, client_index: usize) {
        let count = self.front_nodes.len();
        let first = self.clients[client_index].front_node;
        let up = (0..count).map(|n| (first + n) % count).find(|n| self.front_nodes[*n].is_up);
        self.tries += 1;
        let number = self.tries;
        let client = &mut self.clients[client_index];
        let until = client.retries.until();
        client.tries += 1;
        client.in_flight = Some(ClientTry { number, query: None });
        self.statistics.record_delay(1);
        let Some(front_node) = up else {
            let (reply, outcome) = (Reply::Lost, QueryOutcome::Lost);
            let lost = ScheduledEvent::ClientReceives { client: client_index, number, reply, outcome };
            return self.schedule(self.now + DELAY, lost);
        };
        let client = &mut self.clients[client_index];
        client.front_node = front_node;
        let PlannedQuery { class, tenant, ref shards, .. } = client.query;
        let shards = shards.clone();
        self.shard_requests += shards.len() as u64;
        let (id, key) = (request_id(front_node, number), self.idempotency_key(client_index));
        self.observe(&Event::QuerySent { id, front_node, class, tenant, shards, key, until });
        self.deliver(front_node, Input::Query { client: client_index });
        let leaves = ScheduledEvent::ClientLeaves { client: client_index, number };
        self.schedule(until + ms(self.scenario.rules.slack_ms) * 2, leaves);
    }

    pub fn idempotency_key(&self, client: usize) -> Option<String> {
        let class = self.clients[client].query.class;
        let is_receipted = self.scenario.classes[class].effect == Effect::Receipted;
        is_receipted.then(|| format!("{client:032x}"))
    }

    pub fn client_receives(&mut self, index: usize, number: usize, reply: Reply, outcome: QueryOutcome) {
        let client = &mut self.clients[index];
        if client.ended || client.in_flight.is_none_or(|in_flight| in_flight.number != number) {
            return;
        }
        client.in_flight = None;
        match client.retries.next_step(self.now, reply) {
            NextStep::Ends => {
                client.ended = true;
                self.statistics.record(&client.query, self.now - SETUP_TIME, outcome, client.tries);
            }
            NextStep::Again { at, elsewhere } => {
                client.front_node = (client.front_node + usize::from(elsewhere)) % self.front_nodes.len();
                self.schedule(at, ScheduledEvent::ClientSends { client: index });
            }
        }
    }

    pub fn client_leaves(&mut self, index: usize, number: usize) {
        let Some(in_flight) = self.clients[index].in_flight.filter(|tried| tried.number == number) else {
            return;
        };
        if let Some(query) = in_flight.query {
            self.deliver(self.clients[index].front_node, Input::ClientLeft { query });
        }
        self.client_receives(index, number, Reply::Late, QueryOutcome::Late);
    }
}
