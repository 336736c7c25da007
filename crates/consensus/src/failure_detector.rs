//! Failure detection by heartbeats (Chandra and Toueg 1996), and the time up to which each peer has confirmed the
//! epoch.

use std::collections::VecDeque;

use orchidvalve_protocol::identity::MemberId;

use crate::status::{Health, MemberStatus};
use crate::timing::{FAILURE_TIMEOUT, Milliseconds, PING_INTERVAL};

/// The maximum number of members that are recorded as caught up; far above the number of voters and learners.
const MAX_CAUGHT_UP: usize = 32;

#[derive(Clone, Debug)]
struct Peer {
    member: MemberId,
    /// Time at which pings to this peer began, or at which this process was last found to have been frozen.
    watched_since: Milliseconds,
    answered_at: Option<Milliseconds>,
    /// Latest send time of a ping to which the peer replied for the current epoch without a pending accepted view.
    confirmed_at: Option<Milliseconds>,
    /// Number of the latest ping to which it replied; `status` is from that reply.
    answered_number: u64,
    status: MemberStatus,
    /// Set once the peer has reported that the view of the current epoch is on its disk.
    has_durable_view: bool,
}

/// A round of pings to which replies are still accepted.
#[derive(Clone, Debug)]
struct HeartbeatRound {
    number: u64,
    sent_at: Milliseconds,
}

/// Tracks the peers that are pinged: the other voters and the learners.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    peers: Vec<Peer>,
    /// Members that hold every acknowledged entry as of the current epoch.
    caught_up: Vec<MemberId>,
    /// Rounds that are still open, ordered by number.
    rounds: VecDeque<HeartbeatRound>,
    last_number: u64,
    next_ping_at: Milliseconds,
}

impl FailureDetector {
    /// Replaces the watched members; the state of members that stay is kept.
    pub fn watch(&mut self, now: Milliseconds, members: impl Iterator<Item = MemberId>) {
        let mut previous = std::mem::take(&mut self.peers);
        for member in members {
            if self.peers.iter().any(|peer| peer.member == member) {
                continue;
            }
            let known = previous.iter().position(|peer| peer.member == member);
            self.peers
                .push(known.map_or_else(|| Peer::new(member, now), |index| previous.swap_remove(index)));
        }
    }

    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        self.peers.iter().map(|peer| peer.member)
    }

    /// Clears the times of all replies after this process was frozen.
    pub fn reset(&mut self, now: Milliseconds) {
        self.rounds.clear();
        self.next_ping_at = now;
        for peer in &mut self.peers {
            peer.watched_since = now;
            peer.answered_at = None;
        }
    }

    /// Clears everything that was confirmed for the previous epoch.
    pub fn enter_epoch(&mut self) {
        for peer in &mut self.peers {
            peer.confirmed_at = None;
            peer.has_durable_view = false;
            peer.status.reaches_chain = false;
        }
        self.caught_up.clear();
    }

    pub fn next_ping_at(&self) -> Milliseconds {
        self.next_ping_at
    }

    /// Schedules the next round of pings at `time` unless it is due earlier.
    pub fn ping_at(&mut self, time: Milliseconds) {
        self.next_ping_at = self.next_ping_at.min(time);
    }

    /// Returns the earliest time at which a live peer would count as dead.
    pub fn next_expiry(&self) -> Option<Milliseconds> {
        self.peers.iter().filter_map(|peer| peer.answered_at).map(|at| at + FAILURE_TIMEOUT).min()
    }

    /// Starts numbering pings at half of `number`, which leaves enough numbers for all later rounds.
    pub fn number_rounds_from(&mut self, number: u64) {
        self.last_number = number >> 1;
    }

    /// Returns the number for a round of pings sent now; it exceeds every earlier number of this run.
    pub fn start_heartbeat_round(&mut self, now: Milliseconds) -> u64 {
        self.next_ping_at = now + PING_INTERVAL;
        if let Some(round) = self.rounds.back()
            && round.sent_at == now
        {
            return round.number;
        }
        while self.rounds.pop_front_if(|round| round.sent_at + FAILURE_TIMEOUT <= now).is_some() {}
        self.last_number = (self.last_number + 1).max(now);
        self.rounds.push_back(HeartbeatRound { number: self.last_number, sent_at: now });
        self.last_number
    }

    /// Records a reply; `current` is set if it is for the current epoch. Returns whether the state of the peer changed.
    pub fn pong_received(
        &mut self,
        now: Milliseconds,
        from: MemberId,
        number: u64,
        current: bool,
        status: MemberStatus,
    ) -> bool {
        let Ok(index) = self.rounds.binary_search_by_key(&number, |round| round.number) else {
            return false;
        };
        let sent_at = self.rounds[index].sent_at;
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.member == from) else {
            return false;
        };
        if sent_at + FAILURE_TIMEOUT <= now {
            return false;
        }
        let changed = peer.answered(now, number, current, status);
        if current && !status.unsettled {
            peer.confirmed_at = peer.confirmed_at.max(Some(sent_at));
        }
        let newly_caught_up = current && status.caught_up && self.mark_caught_up(from);
        changed || newly_caught_up
    }

    /// Marks `member` as caught up until the epoch ends; returns true if it was not marked before.
    pub fn mark_caught_up(&mut self, member: MemberId) -> bool {
        let is_new = !self.caught_up.contains(&member) && self.caught_up.len() < MAX_CAUGHT_UP;
        if is_new {
            self.caught_up.push(member);
        }
        is_new
    }

    pub fn health(&self, now: Milliseconds, member: MemberId) -> Health {
        let peer = self.peers.iter().find(|peer| peer.member == member);
        peer.map_or(Health::Unknown, |peer| peer.health(now, self.caught_up.contains(&member)))
    }

    pub fn confirmed_at(&self, member: MemberId) -> Option<Milliseconds> {
        self.peers.iter().find(|peer| peer.member == member)?.confirmed_at
    }

    /// Returns whether `member` has reported that the view of the current epoch is on its disk.
    pub fn has_durable_view(&self, member: MemberId) -> bool {
        self.peers.iter().any(|peer| peer.member == member && peer.has_durable_view)
    }
}

impl Peer {
    fn new(member: MemberId, now: Milliseconds) -> Peer {
        Peer {
            member,
            watched_since: now,
            answered_at: None,
            confirmed_at: None,
            answered_number: 0,
            status: MemberStatus::default(),
            has_durable_view: false,
        }
    }

    /// Records a reply; returns whether the state of the peer changed. A reply that arrives after the reply to a later
    /// ping shows only that the peer is alive.
    fn answered(&mut self, now: Milliseconds, number: u64, current: bool, status: MemberStatus) -> bool {
        let revived = self.answered_at.is_none();
        let before = (self.status, self.has_durable_view);
        self.answered_at = Some(now);
        self.has_durable_view |= current;
        if number >= self.answered_number {
            self.answered_number = number;
            self.status = MemberStatus { reaches_chain: current && status.reaches_chain, ..status };
        }
        revived || before != (self.status, self.has_durable_view)
    }

    fn health(&self, now: Milliseconds, caught_up: bool) -> Health {
        let dead_at =
            self.answered_at.unwrap_or(self.watched_since).max(self.watched_since) + FAILURE_TIMEOUT;
        match now.checked_sub(dead_at) {
            Some(duration) => Health::Dead { duration },
            None if self.answered_at.is_some() => Health::Alive(MemberStatus { caught_up, ..self.status }),
            None => Health::Unknown,
        }
    }
}
