//! One instance: its aggregator, the translation of the simulator's events to facts, and of decisions to actions.

use std::cell::RefCell;
use std::rc::Rc;

use orchidvalve::Aggregator;
use orchidvalve::interface::{ActionSink, Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::{AggregatorState, AttemptOutcome};
use orchidvalve_aggregator_settings::{Section, read};
use serde_json::{Value, json};

use crate::AdapterError;
use crate::names::{Named, Names};
use crate::server_list::ListedServer;

/// An event for an instance, with the server list that it refers to.
pub struct InstanceEvent<'a> {
    pub item: Section<'a>,
    pub list: Option<Rc<Vec<ListedServer>>>,
}

/// One aggregator, under its number in the simulator.
pub struct Instance {
    number: i64,
    classes: usize,
    aggregator: Aggregator,
    names: RefCell<Names>,
}

impl Instance {
    /// Starts an instance with the settings and the seed of its `boot` event.
    pub fn start(number: i64, boot: &Section) -> Result<Instance, AdapterError> {
        if !boot.has("conf") {
            return Err(AdapterError::field(boot.error("conf", "missing")));
        }
        let seed = boot.get("nonce64").and_then(|n| n.as_u64().or(n.as_i64().map(|n| n as u64)));
        let seed =
            seed.ok_or_else(|| AdapterError::field(boot.error("nonce64", "should be a whole number")))?;
        let conf = boot.section("conf").map_err(AdapterError::field)?;
        let settings = read(&conf).map_err(AdapterError::field)?;
        let classes = settings.classes.len();
        Ok(Instance {
            number,
            classes,
            aggregator: Aggregator::new(settings, seed),
            names: RefCell::default(),
        })
    }

    /// Runs one round and returns its actions. If an event is invalid, no action is returned and the error ends the
    /// instance.
    pub fn round(&mut self, now: Nanos, events: &[InstanceEvent]) -> Result<Vec<Value>, AdapterError> {
        let (names, classes) = (&self.names, self.classes);
        let mut actions = Actions { instance: self.number, names, output: Vec::new() };
        let mut recorded = Ok(());
        let receive = |state: &mut AggregatorState| {
            let mut recorder = Recorder { names: &mut names.borrow_mut(), classes, state };
            recorded = events.iter().try_for_each(|event| recorder.record(event));
        };
        self.aggregator.round(now, receive, &mut actions);
        let output = actions.output;
        self.names.borrow_mut().prune(self.aggregator.state());
        recorded.map(|()| output)
    }
}

/// Records the events of a round in the aggregator's state.
struct Recorder<'a> {
    names: &'a mut Names,
    classes: usize,
    state: &'a mut AggregatorState,
}

impl Recorder<'_> {
    fn record(&mut self, InstanceEvent { item, list }: &InstanceEvent) -> Result<(), AdapterError> {
        match text(item, "verb")? {
            "knock" => self.received(item),
            "finished" => self.attempt_ended(item),
            "lapsed" => {
                if let Some(Named::Query(ix)) = self.names.named(text(item, "xid")?) {
                    self.state.client_left(ix);
                }
                Ok(())
            }
            "topology" => self.membership(item, list.as_deref()),
            "statusBack" => self.health_check_ended(item),
            // A timer only starts a round. Peers and streamed responses are not used by any service class here.
            "ring" | "peerData" | "established" => Ok(()),
            verb => Err(AdapterError::UnknownVerb { verb: verb.to_owned() }),
        }
    }

    /// A query or one of its shard requests was received.
    fn received(&mut self, item: &Section) -> Result<(), AdapterError> {
        let name = text(item, "xid")?.to_owned();
        let number = item.number("query").map_err(AdapterError::field)? as u64;
        let shard = item.number("slice").map_err(AdapterError::field)?;
        if shard < 0.0 {
            self.query_received(item, name, number)?;
        } else if let Some(query) = self.names.query_of_number(number) {
            let weight = item.or("measure", 0.0, Section::number).map_err(AdapterError::field)?;
            let request = self.state.shard_request_received(query, shard as usize, weight);
            self.names.add_request(name, request);
        }
        Ok(())
    }

    fn query_received(&mut self, item: &Section, name: String, number: u64) -> Result<(), AdapterError> {
        let class = item.index("grade").map_err(AdapterError::field)?;
        if class >= self.classes {
            return Err(AdapterError::UnknownClass { class, classes: self.classes });
        }
        let client_deadline = item.integer("validUntilNs").map_err(AdapterError::field)?;
        let expected_work = item.or("weightHintNs", 0, Section::integer).map_err(AdapterError::field)?;
        let tenant = item.or("clientGroup", 0, Section::index).map_err(AdapterError::field)?;
        let is_retry = item.or("isRetry", false, Section::flag).map_err(AdapterError::field)?;
        let query = self.state.query_received(class, tenant, client_deadline, expected_work, is_retry);
        self.names.add_query(name, number, query);
        Ok(())
    }

    fn attempt_ended(&mut self, item: &Section) -> Result<(), AdapterError> {
        let outcome = match text(item, "status")? {
            "served" => AttemptOutcome::Answered,
            "turned_away" => AttemptOutcome::Rejected,
            "no_connection" => AttemptOutcome::ConnectFailed,
            "server_error" => AttemptOutcome::Failed,
            "connection_lost" => AttemptOutcome::ConnectionLost,
            "no_answer" => AttemptOutcome::TimedOut,
            "called_off" => AttemptOutcome::Cancelled,
            "not_sent" => AttemptOutcome::NotSent,
            other => return Err(unknown_value("finished", "status", other)),
        };
        let attempt = item.or("copy", 0, Section::index).map_err(AdapterError::field)?;
        let took = item.or("lagNs", 0, Section::integer).map_err(AdapterError::field)?;
        let request_over = item.or("finished", false, Section::flag).map_err(AdapterError::field)?;
        if let Some(Named::ShardRequest(request)) = self.names.named(text(item, "xid")?) {
            self.state.attempt_ended(request, attempt, outcome, took, request_over);
        }
        Ok(())
    }

    fn health_check_ended(&mut self, item: &Section) -> Result<(), AdapterError> {
        let answered = text(item, "status")? == "served";
        let pressure = item.get("pressure");
        let reported = |name| pressure.and_then(|p| p.get(name)).and_then(Value::as_f64);
        let server = text(item, "server")?;
        let replica = self
            .names
            .replica(server)
            .ok_or_else(|| AdapterError::UnknownServer { server: server.to_owned() })?;
        self.state.health_check_ended(replica, answered, reported("waiting").zip(reported("rps")));
        Ok(())
    }

    fn membership(&mut self, item: &Section, list: Option<&Vec<ListedServer>>) -> Result<(), AdapterError> {
        let complete = match text(item, "form")? {
            "incr" => false,
            "total" | "warm_copy" => true,
            "lost" => {
                self.state.membership_lost();
                return Ok(());
            }
            other => return Err(unknown_value("topology", "form", other)),
        };
        let list = list.ok_or(AdapterError::UndeclaredList)?;
        self.state.membership_update_begins(complete);
        for server in list {
            let replica = self.names.replica(&server.name).unwrap_or_else(|| {
                let replica = self.state.replica_discovered(server.cell);
                self.names.add_replica(&server.name, replica);
                replica
            });
            self.state.member_listed(replica, server.cell, server.serving, server.started_at);
        }
        self.state.membership_update_ends();
        Ok(())
    }
}

fn text<'a>(item: &Section<'a>, name: &str) -> Result<&'a str, AdapterError> {
    item.text(name).map_err(AdapterError::field)
}

fn unknown_value(verb: &'static str, field: &'static str, value: &str) -> AdapterError {
    AdapterError::UnknownValue { verb, field, value: value.to_owned() }
}

/// Collects the decisions of a round as actions of the simulator.
struct Actions<'a> {
    instance: i64,
    names: &'a RefCell<Names>,
    output: Vec<Value>,
}

impl ActionSink for Actions<'_> {
    fn start_attempt(&mut self, request: ShardRequestIndex, replica: ReplicaIndex, limit: Nanos, _: Nanos) {
        let names = self.names.borrow();
        let (xid, server) = (names.request(request), names.server(replica));
        self.output.push(
            json!({"verb": "submitTo", "who": self.instance, "xid": xid, "server": server, "limitNs": limit}),
        );
    }

    fn cancel_attempt(&mut self, request: ShardRequestIndex, attempt: usize) {
        let names = self.names.borrow();
        let xid = names.request(request);
        self.output.push(json!({"verb": "retract", "who": self.instance, "xid": xid, "copy": attempt}));
    }

    fn answer(&mut self, query: QueryIndex, complete: bool) {
        let names = self.names.borrow();
        let xid = names.query(query);
        self.output.push(json!({"verb": "settleQuery", "who": self.instance, "xid": xid, "on": complete}));
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Nanos) {
        let names = self.names.borrow();
        let xid = names.query(query);
        let action = json!({"verb": "turnAway", "who": self.instance, "xid": xid, "coolDownNs": retry_after});
        self.output.push(action);
    }

    fn expire(&mut self, query: QueryIndex) {
        let names = self.names.borrow();
        let xid = names.query(query);
        self.output.push(json!({"verb": "respondError", "who": self.instance, "xid": xid}));
    }

    fn check_health(&mut self, replica: ReplicaIndex) {
        let names = self.names.borrow();
        let server = names.server(replica);
        self.output.push(json!({"verb": "probe", "who": self.instance, "server": server}));
    }

    fn wake_at(&mut self, at: Nanos) {
        self.output.push(json!({"verb": "arm", "who": self.instance, "momentNs": at, "nonce": "wake"}));
    }

    fn request_membership(&mut self) {
        self.output.push(json!({"verb": "subscribe", "who": self.instance, "on": true}));
    }
}
