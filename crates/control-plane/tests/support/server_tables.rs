//! The platform's server list, the server tables that the head makes of it, and their distribution to the other machines
//! and to subscribers. The rules are those of `singleton_roles`, `process::connections` and `subscribers`, without
//! sockets: a link keeps the order of its messages and begins with the complete table.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use orchidvalve_control_plane::discovery::{POLL_INTERVAL_MS, REQUEST_TIMEOUT_MS, RETRY_INTERVAL_MS};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ControlMessage, ServerEntry, ServerTableUpdate};
use orchidvalve_protocol::server_table::ServerTable;

use super::cluster::{Cluster, Event};
use super::scenario::PlantedBug;

/// Interval in ms at which the platform's list changes.
const CHANGE_MS: u64 = 300;
/// Time in ms until a page of the list arrives.
const PAGE_MS: u64 = 7;
/// Pause in ms until the delivery of a blocked message is retried.
const HELD_MS: u64 = 50;
/// In a stable cluster, subscribers show the platform's list with at most this delay in ms.
pub const LISTED_MS: u64 = 2_500;

/// A page of the platform's list on its way to the head.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    requested_at: u64,
    list: u32,
}

/// The knowledge of one process about the platform's list.
#[derive(Default, Debug)]
pub struct ListState {
    pub table: ServerTable,
    /// Whether the process was the head at its last turn.
    is_head: bool,
    listed: Option<u32>,
    reading: Option<PendingRead>,
    next_poll: u64,
}

/// Tables in flight on one link, in order, each with the start number of the receiving process.
pub type TableQueue = VecDeque<(u32, ServerTableUpdate)>;

/// Returns the number of the platform's list at the given time in ms.
fn list_at(time: u64) -> u32 {
    u32::try_from(time / CHANGE_MS).unwrap_or(u32::MAX)
}

/// Returns the servers of a list: a single server whose slot count is the number of the list.
fn servers_of(list: u32) -> Vec<ServerEntry> {
    vec![ServerEntry {
        instance: "i-1".to_owned(),
        service: "movemind".to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, 1), 8080),
        zone: "north".to_owned(),
        slots: list,
        draining: false,
        models: Vec::new(),
    }]
}

/// Returns the number of the list that a table shows, or 0 if the table is empty.
pub fn list_of(table: &ServerTable) -> u32 {
    table.servers().next().map_or(0, |server| server.slots)
}

impl Cluster {
    /// Updates the server table of a process, as it does after each input.
    pub fn maintain_table(&mut self, machine: usize) {
        if !self.scenario.platform {
            return;
        }
        let now = self.now;
        let host = &mut self.machines[machine];
        let Some(control_node) = &host.control_node else { return };
        let (is_head, mut term) = (control_node.is_head(), control_node.leadership_term());
        if self.scenario.planted_bug == Some(PlantedBug::ViewNumberedTables) {
            term = term.map(|_| control_node.epoch());
        }
        let list_state = &mut host.list_state;
        if is_head != list_state.is_head {
            let table = std::mem::take(&mut list_state.table);
            *list_state = ListState { table, is_head, next_poll: now, ..ListState::default() };
        }
        if !is_head {
            return;
        }
        if let Some(reading) = list_state.reading.filter(|reading| now >= reading.requested_at + PAGE_MS) {
            list_state.reading = None;
            if now < reading.requested_at + REQUEST_TIMEOUT_MS {
                list_state.listed = Some(reading.list);
                list_state.next_poll = now + POLL_INTERVAL_MS;
                self.publish(machine, reading.list, term);
            } else {
                list_state.next_poll = now + RETRY_INTERVAL_MS;
            }
        }
        let list_state = &mut self.machines[machine].list_state;
        if term.is_some() && list_state.reading.is_none() && now >= list_state.next_poll {
            list_state.reading = Some(PendingRead { requested_at: now, list: list_at(now) });
        }
    }

    fn publish(&mut self, machine: usize, list: u32, term: Option<u64>) {
        self.trace(|| format!("machine {machine}: list {list} is read, term {term:?}"));
        let Some(term) = term else { return };
        let table = &mut self.machines[machine].list_state.table;
        let Some(update) = table.replace(term, servers_of(list)) else { return };
        self.trace(|| format!("machine {machine}: list {list} under term {term}"));
        for other in (0..self.machines.len()).filter(|m| *m != machine) {
            let address = self.machines[other].address;
            if let Some(start) = self.machines[machine].links.start_at(address) {
                self.send_table(machine, other, start, update.clone());
            }
        }
    }

    /// Sends the complete table, the first message on a newly opened link.
    pub fn send_full_table(&mut self, machine: usize, other: usize, start: u32) {
        if self.scenario.platform {
            let snapshot = self.machines[machine].list_state.table.snapshot();
            self.send_table(machine, other, start, snapshot);
        }
    }

    fn send_table(&mut self, from: usize, to: usize, start: u32, update: ServerTableUpdate) {
        if let Some(outputs) = &mut self.outputs {
            outputs.add_table(self.now, from, to, &update);
        }
        self.table_queues.entry((from, to)).or_default().push_back((start, update));
        self.schedule(self.scenario.delay, Event::Table { from, to });
    }

    /// Delivers the next table on a link, or retries later if the link is blocked or the receiver is frozen.
    pub fn table_arrives(&mut self, from: usize, to: usize) {
        if self.blocked_links.contains(&(from, to)) || self.machines[to].frozen {
            return self.schedule(HELD_MS, Event::Table { from, to });
        }
        let next = self.table_queues.get_mut(&(from, to)).and_then(VecDeque::pop_front);
        let Some((start, update)) = next else { return };
        if self.machines[to].control_node.is_some() && self.machines[to].start == start {
            self.machines[to].list_state.table.apply(&update);
            self.turn(to);
        }
    }

    /// Sends every subscriber the updates that its table lacks.
    pub fn advance_tables(&mut self, machine: usize) {
        if !self.scenario.platform {
            return;
        }
        let host = &mut self.machines[machine];
        let mut messages = Vec::new();
        for (number, hosted) in &mut host.sessions {
            let updates = host.list_state.table.updates_since(hosted.table);
            messages.extend(updates.into_iter().map(|update| (*number, hosted.subscriber, update)));
            hosted.table = hosted.table.max(host.list_state.table.version());
        }
        for (number, subscriber, update) in messages {
            self.send_to_subscriber(machine, subscriber, number, ControlMessage::Servers(update));
        }
    }

    /// Whether all subscribers that are not partitioned show the list that the platform had `LISTED_MS` ago.
    pub fn reachable_subscribers_show_list(&self) -> bool {
        let expected = list_at(self.now.saturating_sub(LISTED_MS));
        !self.scenario.platform || self.lists_of_reachable_subscribers().all(|list| list >= expected)
    }
}
