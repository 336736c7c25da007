//! The control nodes that may be contacted for a session, and the order in which they are contacted.
//!
//! They come from three sources: a control node that has a quorum, whose list replaces the previous one; a control node
//! without a quorum, whose list may be old and is only added to the others; and the settings file. A node isn't
//! contacted again within [`RETRY_INTERVAL_MS`]; of the remaining ones, the one contacted longest ago is next. During a
//! search without success, the list of the last session and the other nodes alternate, so neither an outdated list nor
//! seeds that no longer exist delay the search.

use std::collections::BTreeMap;

use orchidvalve_protocol::identity::NodeAddress;

/// The minimum time between two attempts at the same control node, in milliseconds.
pub(crate) const RETRY_INTERVAL_MS: u64 = 300;
/// The number of attempts at nodes of the last session's list for each attempt at another node, during a search.
const LISTED_PER_OTHER: u32 = 2;
/// The maximum number of addresses kept from the lists of nodes without a quorum.
const MAX_HINTS: usize = 32;

/// All control nodes known to this process.
#[derive(Debug)]
pub(crate) struct Candidates {
    seeds: Vec<NodeAddress>,
    /// List from the control node of the last session.
    listed: Vec<NodeAddress>,
    /// Addresses from lists of control nodes without a quorum, latest last.
    hints: Vec<NodeAddress>,
    attempted_at: BTreeMap<NodeAddress, u64>,
    /// Time at which the last session ended.
    search_started_at: u64,
    /// Consecutive attempts at nodes of the last session's list.
    consecutive_listed: u32,
    /// Random: determines where each list is started, so that processes spread over the nodes.
    spread: usize,
}

impl Candidates {
    pub fn new(seeds: Vec<NodeAddress>, spread: u64) -> Candidates {
        Candidates {
            seeds,
            listed: Vec::new(),
            hints: Vec::new(),
            attempted_at: BTreeMap::new(),
            search_started_at: 0,
            consecutive_listed: 0,
            spread: spread as usize,
        }
    }

    /// Replaces the list with that of `by`, the control node of the session.
    pub fn set_listed(&mut self, by: NodeAddress, control_nodes: Vec<NodeAddress>) {
        if control_nodes.is_empty() {
            return;
        }
        self.listed = control_nodes;
        if !self.listed.contains(&by) {
            self.listed.push(by);
        }
        self.hints.clear();
        let is_known = |address: &NodeAddress| self.listed.contains(address) || self.seeds.contains(address);
        self.attempted_at.retain(|address, _| is_known(address));
    }

    /// Adds the nodes listed by a control node without a quorum.
    pub fn add_hints(&mut self, control_nodes: Vec<NodeAddress>) {
        for address in control_nodes {
            if !self.listed.contains(&address) && !self.seeds.contains(&address) {
                self.hints.retain(|hint| *hint != address);
                self.hints.push(address);
            }
        }
        let surplus = self.hints.len().saturating_sub(MAX_HINTS);
        self.hints.drain(..surplus);
    }

    /// Returns the last session's list, or the hints if there is none.
    pub fn known(&self) -> Vec<NodeAddress> {
        if self.listed.is_empty() { self.hints.clone() } else { self.listed.clone() }
    }

    /// Records that the session with `address` has ended; the search for another one starts with other nodes.
    pub fn session_ended(&mut self, address: NodeAddress, now: u64) {
        self.search_started_at = now;
        self.attempted_at.insert(address, now);
    }

    /// Returns the control node to contact now, or `None` while all were contacted too recently.
    pub fn next(&mut self, now: u64) -> Option<NodeAddress> {
        let listed = self.least_recently_attempted(&self.listed, now);
        let others: Vec<NodeAddress> = self.others().collect();
        let other = self.least_recently_attempted(&others, now);
        let is_new = |address: &NodeAddress| {
            self.attempted_at.get(address).is_none_or(|at| *at < self.search_started_at)
        };
        let chosen = match (listed, other) {
            (Some(listed), _) if is_new(&listed) => listed,
            (Some(_), Some(other)) if self.consecutive_listed >= LISTED_PER_OTHER => other,
            (Some(address), _) | (None, Some(address)) => address,
            (None, None) => return None,
        };
        self.consecutive_listed = if Some(chosen) == listed { self.consecutive_listed + 1 } else { 0 };
        self.attempted_at.insert(chosen, now);
        Some(chosen)
    }

    /// Returns when a node may be contacted again after [`Candidates::next`] returned `None`.
    pub fn next_at(&self) -> Option<u64> {
        let all = self.listed.iter().copied().chain(self.others());
        all.map(|address| self.attempted_at.get(&address).map_or(0, |at| at + RETRY_INTERVAL_MS)).min()
    }

    fn others(&self) -> impl Iterator<Item = NodeAddress> {
        self.hints.iter().chain(&self.seeds).copied().filter(|address| !self.listed.contains(address))
    }

    /// Returns the node that was never contacted, or longest ago, among those in `list` that may be contacted.
    fn least_recently_attempted(&self, list: &[NodeAddress], now: u64) -> Option<NodeAddress> {
        let start = self.spread % list.len().max(1);
        let rotated = list[start..].iter().chain(&list[..start]);
        let due = rotated
            .filter(|address| self.attempted_at.get(address).is_none_or(|at| now >= at + RETRY_INTERVAL_MS));
        due.min_by_key(|address| self.attempted_at.get(address).map_or(0, |at| at + 1)).copied()
    }
}
