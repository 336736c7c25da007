//! The platform's server list: paginated, filtered by zone, and delayed.

use std::collections::VecDeque;

use serde_json::{Value, json};

use crate::effects::ModelVersion;

/// A server as it appears in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Id of the incarnation.
    pub instance: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address at which the server accepts requests.
    pub address: String,
    /// Zone of the server.
    pub zone: String,
    /// Number of requests that the server runs concurrently.
    pub slots: usize,
    /// Whether the server is about to be removed.
    pub draining: bool,
    /// Models that a model server serves, with their versions; empty for other servers.
    pub models: Vec<ModelVersion>,
}

impl ListedServer {
    fn to_json(&self) -> Value {
        let mut entry = json!({
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "config-version": "v1",
            "slots": self.slots,
            "state": if self.draining { "draining" } else { "available" },
            "cold-remaining-ms": 0,
        });
        if !self.models.is_empty() {
            let models = self.models.iter();
            entry["stage"] = json!("both");
            entry["models"] = models
                .map(|held| json!({"name": held.model, "config-version": held.version, "adapters": []}))
                .collect();
        }
        entry["instance-id"] = json!(self.instance);
        entry
    }
}

/// A version of the list with the time from which it is visible.
#[derive(Debug)]
struct PublishedList {
    from: u64,
    servers: Vec<ListedServer>,
}

/// The current servers, and the delayed lists that callers can see.
#[derive(Debug)]
pub(super) struct ServerList {
    lag_ms: u64,
    page_size: usize,
    servers: Vec<ListedServer>,
    /// The visible list and the later ones, oldest first.
    published: VecDeque<PublishedList>,
}

impl ServerList {
    pub fn new(lag_ms: u64, page_size: usize) -> ServerList {
        ServerList { lag_ms, page_size, servers: Vec::new(), published: VecDeque::new() }
    }

    pub fn add(&mut self, now: u64, server: ListedServer) {
        self.servers.push(server);
        self.publish(now);
    }

    pub fn remove(&mut self, now: u64, instance: &str) {
        self.servers.retain(|server| server.instance != instance);
        self.publish(now);
    }

    pub fn change(&mut self, now: u64, instance: &str, apply: impl FnOnce(&mut ListedServer)) {
        if let Some(server) = self.servers.iter_mut().find(|server| server.instance == instance) {
            apply(server);
            self.publish(now);
        }
    }

    fn publish(&mut self, now: u64) {
        // The first list is visible at once.
        let lag_ms = if self.published.is_empty() { 0 } else { self.lag_ms };
        self.published.push_back(PublishedList { from: now + lag_ms, servers: self.servers.clone() });
    }

    fn shown(&mut self, now: u64) -> &[ListedServer] {
        while self.published.get(1).is_some_and(|list| list.from <= now) {
            self.published.pop_front();
        }
        self.published.front().map_or(&[], |list| &list.servers)
    }

    /// Returns one page of the list as JSON.
    pub fn page(&mut self, now: u64, zone: Option<&str>, from: usize) -> Value {
        let size = self.page_size;
        let list: Vec<&ListedServer> =
            self.shown(now).iter().filter(|server| zone.is_none_or(|zone| server.zone == zone)).collect();
        let end = (from + size).min(list.len());
        let instances: Vec<Value> =
            list.get(from..end).unwrap_or_default().iter().map(|server| server.to_json()).collect();
        let next = if end < list.len() { json!(format!("p-{end}")) } else { Value::Null };
        json!({"instances": instances, "next-token": next})
    }
}
