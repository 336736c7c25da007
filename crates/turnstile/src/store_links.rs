//! Links of this door to the stores, and the calls on them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use orchidvalve_track::frames::{read_frame, write_frame};
use orchidvalve_track::identity::NodeAddress;
use orchidvalve_track::messages::{FromStore, Introduction, LinkKind, ToStore};
use orchidvalve_track::network::{ConnectionId, Network};

/// Pause between two heartbeats.
const HEARTBEAT_MS: u64 = 400;
/// A store that is silent for this time has lost its leases here, and its link is opened anew.
pub const LEASE_MS: u64 = 1_400;
/// A store whose link is lost has lost its leases here after this time; up to then the next head of its partitions
/// may take them over. Jobs that it ends without this door knowing stop no later.
pub const LOST_LEASE_MS: u64 = 2_300;
/// A link that isn't up within this time is opened anew.
const CONNECT_TIMEOUT_MS: u64 = 300;
const RETRY_MS: u64 = 150;
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Link {
    connection: Option<ConnectionId>,
    up: bool,
    begun_at: u64,
    heard_at: u64,
    /// When something of this store's last came, or its leases began without a word; None when they are over.
    leased_at: Option<u64>,
    heartbeat_at: u64,
    retry_at: u64,
}

impl Link {
    /// When the store's leases are over, whether or not the link comes up again without a word from the store.
    fn lease_ends(&self) -> Option<u64> {
        self.leased_at.map(|at| at + LOST_LEASE_MS)
    }
}

/// All links to stores.
#[derive(Debug)]
pub struct StoreLinks {
    introduction: Introduction,
    links: BTreeMap<NodeAddress, Link>,
    work_limit: u32,
}

impl StoreLinks {
    pub fn new(introduction: Introduction) -> StoreLinks {
        StoreLinks { introduction, links: BTreeMap::new(), work_limit: 0 }
    }

    /// Stores that links are kept to. Returns those whose links were given up: nothing that they were asked is answered.
    pub fn set_stores(&mut self, network: &mut Network, stores: &BTreeSet<NodeAddress>) -> Vec<NodeAddress> {
        let mut left = Vec::new();
        self.links.retain(|address, link| {
            let keep = stores.contains(address);
            if !keep {
                left.push(*address);
                link.connection.take().into_iter().for_each(|connection| network.forget(connection));
            }
            keep
        });
        for address in stores {
            self.links.entry(*address).or_insert(Link {
                connection: None,
                up: false,
                begun_at: 0,
                heard_at: 0,
                leased_at: None,
                heartbeat_at: 0,
                retry_at: 0,
            });
        }
        left
    }

    /// The store is the head of a partition from now on, and the groups that its former head handed out pass to it: its
    /// leases begin, and end if nothing is heard of it.
    pub fn expect_word(&mut self, store: NodeAddress, now: u64) {
        if let Some(link) = self.links.get_mut(&store) {
            link.leased_at.get_or_insert(now);
        }
    }

    /// Generations that this door can have in flight or queued; told to all stores.
    pub fn set_work_limit(&mut self, network: &mut Network, limit: u32) {
        if limit != self.work_limit {
            self.work_limit = limit;
            for link in self.links.values().filter(|l| l.up) {
                send(network, link, &ToStore::Heartbeat { work_limit: limit });
            }
        }
    }

    pub fn is_up(&self, store: NodeAddress) -> bool {
        self.links.get(&store).is_some_and(|l| l.up)
    }

    /// Sends a message; false if the link isn't up.
    pub fn send(&self, network: &mut Network, store: NodeAddress, message: &ToStore) -> bool {
        match self.links.get(&store).filter(|l| l.up) {
            Some(link) => {
                send(network, link, message);
                true
            }
            None => false,
        }
    }

    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.links.values().any(|l| l.connection == Some(connection))
    }

    /// Drops links whose stores were silent for too long, before anything that waits on them is read. Returns
    /// the stores: their leases here are over.
    pub fn drop_silent(&mut self, network: &mut Network, now: u64) -> Vec<NodeAddress> {
        let mut dropped = Vec::new();
        for (address, link) in &mut self.links {
            let silent = link.up && now >= link.heard_at + LEASE_MS;
            let stuck = !link.up && now >= link.begun_at + CONNECT_TIMEOUT_MS;
            if let Some(connection) = link.connection.take_if(|_| silent || stuck) {
                network.forget(connection);
                link.up = false;
                link.retry_at = now;
            }
            if silent || link.lease_ends().is_some_and(|at| now >= at) {
                link.leased_at = None;
                dropped.push(*address);
            }
        }
        dropped
    }

    /// Opens missing links and sends heartbeats.
    pub fn maintain(&mut self, network: &mut Network, now: u64) {
        for (address, link) in &mut self.links {
            if link.connection.is_none() && now >= link.retry_at {
                link.retry_at = now + RETRY_MS;
                link.begun_at = now;
                link.connection = network.connect(address.socket(), USER_TIMEOUT).ok();
            }
            if link.up && now >= link.heartbeat_at {
                link.heartbeat_at = now + HEARTBEAT_MS;
                send(network, link, &ToStore::Heartbeat { work_limit: self.work_limit });
            }
        }
    }

    /// When [`StoreLinks::maintain`] or [`StoreLinks::drop_silent`] have to be called next.
    pub fn next_wakeup(&self) -> u64 {
        let due = |link: &Link| {
            let due = match (link.connection, link.up) {
                (None, _) => link.retry_at,
                (Some(_), true) => link.heartbeat_at.min(link.heard_at + LEASE_MS),
                (Some(_), false) => link.begun_at + CONNECT_TIMEOUT_MS,
            };
            due.min(link.lease_ends().unwrap_or(u64::MAX))
        };
        self.links.values().map(due).min().unwrap_or(u64::MAX)
    }

    /// A connection is up; the store if it is one of these links.
    pub fn connected(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<NodeAddress> {
        let limit = self.work_limit;
        let (address, link) = self.links.iter_mut().find(|(_, l)| l.connection == Some(connection))?;
        link.up = true;
        link.heard_at = now;
        link.heartbeat_at = now + HEARTBEAT_MS;
        network.send(connection, &[LinkKind::StoreClient.byte()]);
        send(network, link, &ToStore::Introduce(self.introduction.clone()));
        send(network, link, &ToStore::Heartbeat { work_limit: limit });
        Some(*address)
    }

    /// A connection ended; the store if it was one of these links.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<NodeAddress> {
        let (address, link) = self.links.iter_mut().find(|(_, l)| l.connection == Some(connection))?;
        network.forget(connection);
        link.connection = None;
        link.up = false;
        link.retry_at = now + RETRY_MS;
        Some(*address)
    }

    /// Messages that have arrived on a link, and the store that they came from.
    pub fn read(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<(NodeAddress, Vec<FromStore>)> {
        let (address, link) = self.links.iter_mut().find(|(_, l)| l.connection == Some(connection))?;
        link.heard_at = now;
        link.leased_at = Some(now);
        let mut messages = Vec::new();
        loop {
            match read_frame::<FromStore>(network.inbox(connection)) {
                Ok(Some((message, length))) => {
                    network.consume(connection, length);
                    messages.push(message);
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("stores: {error}");
                    network.forget(connection);
                    link.connection = None;
                    link.up = false;
                    link.retry_at = now + RETRY_MS;
                    break;
                }
            }
        }
        Some((*address, messages))
    }
}

fn send(network: &mut Network, link: &Link, message: &ToStore) {
    if let Some(outbox) = link.connection.and_then(|c| network.outbox(c)) {
        write_frame(outbox, message);
    }
}
