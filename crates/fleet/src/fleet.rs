//! One front node's part in the fleet: the rounds that its host drives.

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

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Datagrams that could not be read, of a later version, or signed.
    pub undecodable: u64,
    /// Dropped as more than a peer may send in a gossip interval.
    pub rate_limited: u64,
    /// Grants not requested, or come after their time.
    pub unused_grants: u64,
    /// Calls that `foca` refused, such as datagrams of its own that it could not read.
    pub membership_faults: u64,
}

/// How many front nodes there are, as far as one of them knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Other front nodes alive.
    pub alive_peers: usize,
    /// Front nodes counted in the shares of budgets, this one among them.
    pub counted: usize,
}

/// One front node's part in the fleet.
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
    /// Datagrams of each peer in this gossip interval.
    datagrams_of: BTreeMap<Peer, usize>,
    counts: FleetCounts,
    buffer: Vec<u8>,
}

impl Fleet {
    /// Alone at first. All that is drawn at random comes from `seed`.
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

    /// This node as its peers know it.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// One round: handles what came in and the timers that fell due, and writes what is to be sent.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn DatagramSink) {
        // The time never goes back here; a step forward ends leases that this node holds early, which is safe, and
        // those that it lent early, which is not: the design page bounds what that costs.
        self.now = self.now.max(now);
        let now = self.now;
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        let mut membership_output = MembershipOutput::default();
        self.membership.announce(&self.settings, now, &mut membership_output);
        let members = self.counted();
        let datagrams = std::mem::take(&mut inbox.datagrams);
        self.apply_host_inputs(inbox);
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
        self.carry_out(membership_output, outgoing, sink);
    }

    /// Applies what the host itself asks for and reports.
    fn apply_host_inputs(&mut self, inbox: Inbox) {
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
            // Only members are lent to: a stranger could otherwise drain every share.
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

    /// Leases that ended are renewed, lists that are wanted asked for.
    fn step(&mut self, outgoing: &mut OutgoingMessages) {
        let now = self.now;
        self.next_step = now + self.settings.step_interval;
        self.membership.forget(self.settings.forget_after, now);
        let peers = self.shuffled_peers();
        self.leases.step(self.counted(), &peers, now, outgoing);
        self.lists.step(&peers, now, &mut outgoing.lists);
    }

    /// A gossip interval is over: verdicts go to some peers, and limits per interval begin anew.
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

    fn carry_out(
        &mut self,
        mut membership_output: MembershipOutput,
        outgoing: OutgoingMessages,
        sink: &mut dyn DatagramSink,
    ) {
        // Declared down while alive, membership goes on under a renewed identity: the messages must say so, or peers
        // take them for a stranger's.
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

    /// Front nodes counted in the base shares, never fewer than expected.
    fn counted(&self) -> usize {
        self.membership.counted().max(self.settings.expected)
    }

    /// Peers alive, in an order drawn from the seed (Fisher and Yates).
    fn shuffled_peers(&mut self) -> Vec<Peer> {
        let mut peers = self.membership.peers();
        peers.sort();
        for at in (1..peers.len()).rev() {
            let other = rand::RngExt::random_range(&mut self.rng, 0..=at);
            peers.swap(at, other);
        }
        peers
    }

    /// When the next round is due at the latest.
    pub fn next_due(&self) -> Nanos {
        self.membership.next_due().min(self.next_step).min(self.next_gossip)
    }

    /// Units a second of a budget that this node may use now.
    pub fn allowance(&self, key: BudgetKey) -> f64 {
        self.leases.allowance(key, self.counted(), self.now)
    }

    /// Whether a verdict holds now, by this node or by what it heard.
    pub fn holds(&self, key: VerdictKey) -> bool {
        self.verdicts.holds(key, self.now)
    }

    /// Verdicts known now, with the time each was seen at its origin as this node tells it.
    pub fn verdicts(&self) -> impl Iterator<Item = (&VerdictKey, &KnownVerdict)> {
        let now = self.now;
        self.verdicts.known.iter().filter(move |(_, verdict)| verdict.until > now)
    }

    /// A list that came whole from a peer since the last look.
    pub fn take_received_list(&mut self) -> Option<ListVersion> {
        self.lists.take_received()
    }

    /// What was counted of lists since the start.
    pub fn list_counts(&self) -> ListCounts {
        self.lists.counts()
    }

    /// How many front nodes there are, as far as this node knows.
    pub fn members(&self) -> MemberCounts {
        MemberCounts { alive_peers: self.membership.alive(), counted: self.counted() }
    }

    /// What was counted since the start.
    pub fn counts(&self) -> FleetCounts {
        FleetCounts { membership_faults: self.membership.faults(), ..self.counts }
    }

    /// Lent to peers and borrowed from them now, over all budgets.
    pub fn leases(&self) -> LeaseTotals {
        self.leases.totals(self.now)
    }

    /// The verdicts as they would be sent to a peer now.
    pub fn gossiped_verdicts(&self) -> Vec<GossipedVerdict> {
        self.verdicts.freshest(usize::MAX, self.now)
    }
}

/// What is to be sent at the end of a round.
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
