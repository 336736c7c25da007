//! One front node of the fleet, driven in rounds by its host.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Nanos;
use crate::inbox::{DatagramSink, Inbox, OutgoingMessage};
use crate::leases::{BudgetKey, LeaseGrant, LeaseMessages, LeaseRequest, LeaseTotals, Leases};
use crate::lists::{ListCounts, ListMessage, ListVersion, Lists};
use crate::membership::{Membership, MembershipOutput, SwimMessage};
use crate::peer::Peer;
use crate::settings::FleetSettings;
use crate::verdicts::{GossipedVerdict, KnownVerdict, VerdictKey, Verdicts};
use crate::wire::{self, Message};

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Received datagrams that were malformed, had a later version, or were signed with an unknown key.
    pub undecodable: u64,
    /// Datagrams dropped because their peer exceeded its limit per gossip interval.
    pub rate_limited: u64,
    /// Lease grants that were not requested, or arrived after they had expired.
    pub unused_grants: u64,
    /// Errors of the membership protocol, such as datagrams that `foca` could not decode.
    pub membership_faults: u64,
}

/// The number of front nodes, as known to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// The number of other live front nodes.
    pub alive_peers: usize,
    /// The number of front nodes among which budgets are divided, including this one.
    pub counted: usize,
}

/// One front node of the fleet.
pub struct Fleet {
    settings: FleetSettings,
    me: Peer,
    membership: Membership,
    leases: Leases,
    verdicts: Verdicts,
    lists: Lists,
    rng: Pcg64Mcg,
    now: Nanos,
    next_step: Nanos,
    next_gossip: Nanos,
    /// The number of datagrams of each peer in this gossip interval.
    datagrams_of: BTreeMap<Peer, usize>,
    counts: FleetCounts,
    buffer: Vec<u8>,
}

impl Fleet {
    /// Returns a node that knows no members yet. All random choices derive from `seed`.
    pub fn new(settings: FleetSettings, seed: u64, now: Nanos) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let incarnation = settings.incarnation.unwrap_or_else(|| rand::RngExt::random(&mut rng));
        let me = Peer::at(settings.me, incarnation);
        Fleet {
            membership: Membership::new(me, &settings, seed ^ 0x5eed, now),
            leases: Leases::new(settings.leases),
            verdicts: Verdicts::new(settings.max_verdicts),
            lists: Lists::new(settings.lists),
            settings,
            me,
            rng,
            now,
            next_step: now,
            next_gossip: now,
            datagrams_of: BTreeMap::new(),
            counts: FleetCounts::default(),
            buffer: Vec::with_capacity(wire::MAX_DATAGRAM_BYTES),
        }
    }

    /// Returns the identity of this node.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Runs one round: handles inputs and due timers, and passes the datagrams to send to the sink.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn DatagramSink) {
        // Time never goes back here. If the clock steps forward, leases that this node holds end early, which is
        // safe; leases that it lent end early too, which is not. The design page bounds the effect.
        self.now = self.now.max(now);
        let now = self.now;
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        let mut membership_output = MembershipOutput::default();
        self.membership.announce(&self.settings, now, &mut membership_output);
        let members = self.counted();
        let datagrams = std::mem::take(&mut inbox.datagrams);
        self.apply_inputs(inbox);
        let mut outgoing = OutgoingMessages::default();
        for bytes in &datagrams {
            self.receive(bytes, members, &mut membership_output, &mut outgoing);
        }
        self.membership.run_timers(now, &mut membership_output);
        if now >= self.next_step {
            self.step(&mut outgoing);
        }
        if now >= self.next_gossip {
            self.gossip(&mut outgoing);
        }
        self.send_messages(membership_output, outgoing, sink);
    }

    /// Applies the demands, verdicts and lists of the host.
    fn apply_inputs(&mut self, inbox: Inbox) {
        let now = self.now;
        for demand in inbox.demands {
            self.leases.set_demand(demand.key, demand.total, demand.demand, now);
        }
        for verdict in inbox.verdicts {
            self.verdicts.record_own(self.me, verdict.key, verdict.holds, verdict.lasts, now);
        }
        inbox.offered_list.into_iter().for_each(|version| self.lists.publish(version));
        match inbox.list_wanted {
            Some(Some(wanted)) => self.lists.request(wanted, now),
            Some(None) => self.lists.cancel(),
            None => {}
        }
    }

    fn receive(
        &mut self,
        bytes: &[u8],
        members: usize,
        membership_output: &mut MembershipOutput,
        outgoing: &mut OutgoingMessages,
    ) {
        self.counts.received += 1;
        let Ok((from, message)) = wire::decode(bytes) else {
            self.counts.undecodable += 1;
            return;
        };
        let datagrams = self.datagrams_of.entry(from).or_default();
        *datagrams += 1;
        if *datagrams > self.settings.datagrams_per_peer || from == self.me {
            self.counts.rate_limited += u64::from(from != self.me);
            return;
        }
        let now = self.now;
        match message {
            Message::Swim(bytes) => self.membership.datagram_received(&bytes, membership_output),
            // Leases are granted to members only; otherwise a stranger could drain every base share.
            Message::LeaseRequest(request) if self.membership.is_member(from) => {
                self.leases.request_received(from, request, members, now, outgoing);
            }
            Message::LeaseRequest(_) => {}
            Message::LeaseGrant(grant) => {
                let result = self.leases.grant_received(from, grant, now);
                self.counts.unused_grants += u64::from(result.is_err());
            }
            Message::Verdicts(verdicts) => {
                for verdict in verdicts {
                    self.verdicts.merge(verdict, now);
                }
            }
            Message::List(message) if self.membership.is_member(from) => {
                self.lists.message_received(from, message, now, &mut outgoing.lists);
            }
            Message::List(_) => {}
        }
    }

    /// Requests leases that are needed or end soon, and wanted lists.
    fn step(&mut self, outgoing: &mut OutgoingMessages) {
        let now = self.now;
        self.next_step = now + self.settings.step_interval;
        self.membership.forget(self.settings.forget_after, now);
        let peers = self.shuffled_peers();
        self.leases.step(self.counted(), &peers, now, outgoing);
        self.lists.step(&peers, now, &mut outgoing.lists);
    }

    /// Ends a gossip interval: sends verdicts to some peers, and resets the limits per interval.
    fn gossip(&mut self, outgoing: &mut OutgoingMessages) {
        let now = self.now;
        self.next_gossip = now + self.settings.gossip_interval;
        self.datagrams_of.clear();
        self.lists.reset_serve_limit();
        self.verdicts.expire(now);
        let verdicts = self.verdicts.freshest(wire::MAX_VERDICTS, now);
        if verdicts.is_empty() {
            return;
        }
        for peer in self.shuffled_peers().into_iter().take(self.settings.gossip_fanout) {
            outgoing.push(peer, Message::Verdicts(verdicts.clone()));
        }
    }

    fn send_messages(
        &mut self,
        mut membership_output: MembershipOutput,
        outgoing: OutgoingMessages,
        sink: &mut dyn DatagramSink,
    ) {
        // If this node was declared down while alive, its identity was renewed. The messages must carry the new one,
        // or peers do not recognize the sender.
        self.me = self.membership.identity();
        self.membership.apply_output(&mut membership_output, self.now);
        membership_output.down.into_iter().for_each(|peer| self.leases.peer_down(peer));
        let swim = membership_output.messages.into_iter();
        let swim =
            swim.map(|SwimMessage { to, bytes }| OutgoingMessage { to, message: Message::Swim(bytes) });
        let lists = outgoing.lists.into_iter();
        let lists = lists
            .map(|OutgoingMessage { to, message }| OutgoingMessage { to, message: Message::List(message) });
        for OutgoingMessage { to, message } in swim.chain(outgoing.messages).chain(lists) {
            wire::encode(self.me, &message, &mut self.buffer);
            self.counts.sent += 1;
            sink.send(to.address(), &self.buffer);
        }
    }

    /// Returns the number of front nodes among which budgets are divided, at least the expected number.
    fn counted(&self) -> usize {
        self.membership.counted().max(self.settings.expected)
    }

    /// Returns the live peers in random order (Fisher-Yates shuffle).
    fn shuffled_peers(&mut self) -> Vec<Peer> {
        let mut peers = self.membership.peers();
        peers.sort();
        for at in (1..peers.len()).rev() {
            let other = rand::RngExt::random_range(&mut self.rng, 0..=at);
            peers.swap(at, other);
        }
        peers
    }

    /// Returns the latest time of the next round.
    pub fn next_due(&self) -> Nanos {
        self.membership.next_due().min(self.next_step).min(self.next_gossip)
    }

    /// Returns the units per second of a budget that this node may use now.
    pub fn allowance(&self, key: BudgetKey) -> f64 {
        self.leases.allowance(key, self.counted(), self.now)
    }

    /// Whether a verdict holds now, reached by this node or received.
    pub fn holds(&self, key: VerdictKey) -> bool {
        self.verdicts.holds(key, self.now)
    }

    /// Returns the known verdicts that have not expired. Their times are by this node's clock.
    pub fn verdicts(&self) -> impl Iterator<Item = (&VerdictKey, &KnownVerdict)> {
        let now = self.now;
        self.verdicts.known.iter().filter(move |(_, verdict)| verdict.until > now)
    }

    /// Returns and removes a list that was downloaded completely from a peer.
    pub fn take_received_list(&mut self) -> Option<ListVersion> {
        self.lists.take_received()
    }

    /// Returns the counters of lists since the start.
    pub fn list_counts(&self) -> ListCounts {
        self.lists.counts()
    }

    /// Returns the number of front nodes, as known to this one.
    pub fn members(&self) -> MemberCounts {
        MemberCounts { alive_peers: self.membership.alive(), counted: self.counted() }
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> FleetCounts {
        FleetCounts { membership_faults: self.membership.errors(), ..self.counts }
    }

    /// Returns the units lent to and borrowed from peers, over all budgets.
    pub fn leases(&self) -> LeaseTotals {
        self.leases.totals(self.now)
    }

    /// Returns the verdicts as they would be sent to a peer now.
    pub fn gossiped_verdicts(&self) -> Vec<GossipedVerdict> {
        self.verdicts.freshest(usize::MAX, self.now)
    }
}

/// Messages to be sent at the end of a round.
#[derive(Default)]
struct OutgoingMessages {
    messages: Vec<OutgoingMessage<Message>>,
    lists: Vec<OutgoingMessage<ListMessage>>,
}

impl OutgoingMessages {
    fn push(&mut self, to: Peer, message: Message) {
        self.messages.push(OutgoingMessage { to, message });
    }
}

impl LeaseMessages for OutgoingMessages {
    fn request(&mut self, to: Peer, request: LeaseRequest) {
        self.push(to, Message::LeaseRequest(request));
    }

    fn grant(&mut self, to: Peer, grant: LeaseGrant) {
        self.push(to, Message::LeaseGrant(grant));
    }
}
