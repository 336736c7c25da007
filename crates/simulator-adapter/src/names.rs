//! Names in the simulator's protocol for the indices of the aggregator.

use std::collections::{HashMap, VecDeque};

use orchidvalve::interface::{QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::AggregatorState;

/// The item that a name of the protocol refers to.
#[derive(Clone, Copy)]
pub enum Named {
    Query(QueryIndex),
    ShardRequest(ShardRequestIndex),
}

/// Names in the order of their indices. Names that are no longer needed are dropped from the front.
#[derive(Default)]
struct NameWindow {
    first: usize,
    names: VecDeque<String>,
}

impl NameWindow {
    fn get(&self, index: usize) -> &str {
        &self.names[index - self.first]
    }

    fn drop_before(&mut self, first: usize, mut on_drop: impl FnMut(String)) {
        while self.first < first {
            self.names.pop_front().into_iter().for_each(&mut on_drop);
            self.first += 1;
        }
    }
}

/// Names of one instance's queries, shard requests and servers, in both directions.
#[derive(Default)]
pub struct Names {
    named: HashMap<String, Named>,
    /// Queries by the number that their shard requests refer to.
    queries_by_number: HashMap<u64, QueryIndex>,
    /// The same numbers, in the order of the queries.
    query_numbers: VecDeque<u64>,
    queries: NameWindow,
    requests: NameWindow,
    replicas: HashMap<String, ReplicaIndex>,
    servers: Vec<String>,
}

impl Names {
    pub fn add_query(&mut self, name: String, number: u64, query: QueryIndex) {
        self.queries.names.push_back(name.clone());
        self.query_numbers.push_back(number);
        self.queries_by_number.insert(number, query);
        self.named.insert(name, Named::Query(query));
    }

    pub fn add_request(&mut self, name: String, request: ShardRequestIndex) {
        self.requests.names.push_back(name.clone());
        self.named.insert(name, Named::ShardRequest(request));
    }

    pub fn add_replica(&mut self, server: &str, replica: ReplicaIndex) {
        self.servers.push(server.to_owned());
        self.replicas.insert(server.to_owned(), replica);
    }

    pub fn named(&self, name: &str) -> Option<Named> {
        self.named.get(name).copied()
    }

    pub fn query_of_number(&self, number: u64) -> Option<QueryIndex> {
        self.queries_by_number.get(&number).copied()
    }

    pub fn replica(&self, server: &str) -> Option<ReplicaIndex> {
        self.replicas.get(server).copied()
    }

    pub fn query(&self, ix: QueryIndex) -> &str {
        self.queries.get(ix.0)
    }

    pub fn request(&self, ix: ShardRequestIndex) -> &str {
        self.requests.get(ix.0)
    }

    pub fn server(&self, ix: ReplicaIndex) -> &str {
        &self.servers[ix.0]
    }

    /// Drops the names of queries and shard requests that the aggregator no longer keeps.
    pub fn prune(&mut self, state: &AggregatorState) {
        let named = &mut self.named;
        self.requests.drop_before(state.first_shard_request().0, |name| {
            named.remove(&name);
        });
        let (numbers, by_number) = (&mut self.query_numbers, &mut self.queries_by_number);
        self.queries.drop_before(state.first_query().0, |name| {
            named.remove(&name);
            numbers.pop_front().map(|number| by_number.remove(&number));
        });
    }
}
