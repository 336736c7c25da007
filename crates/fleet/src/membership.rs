//! Membership by SWIM (Das, Gupta and Motivala 2002), implemented by the crate `foca`. This module keeps its timers,
//! its messages to send, and the peers that are down but still counted.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Nanos;
use crate::peer::Peer;
use crate::settings::FleetSettings;
use crate::wire::MAX_DATAGRAM_BYTES;

/// Bytes of a datagram that membership cannot use: header and sender.
const RESERVED_BYTES: usize = 16;
/// The number of announcements after which the interval no longer doubles.
const MAX_ANNOUNCE_DOUBLINGS: u32 = 6;

/// Outputs of `foca`, collected to be processed after the call.
#[derive(Default)]
pub(crate) struct MembershipOutput {
    pub messages: Vec<SwimMessage>,
    timers: Vec<RequestedTimer>,
    /// Peers that were declared down.
    pub down: Vec<Peer>,
}

/// An encoded message of the membership protocol.
pub(crate) struct SwimMessage {
    pub to: Peer,
    pub bytes: Vec<u8>,
}

struct RequestedTimer {
    timer: Timer<Peer>,
    after: Duration,
}

impl Runtime<Peer> for MembershipOutput {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        if let Notification::MemberDown(peer) = notification {
            self.down.push(*peer);
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.messages.push(SwimMessage { to, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<Peer>, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}

/// Members of the fleet as known to this node.
pub(crate) struct Membership {
    foca: Foca<Peer, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    /// Timers by due time and order of creation.
    timers: BTreeMap<(Nanos, u64), Timer<Peer>>,
    timers_set: u64,
    /// Peers that are down, with the time when they were declared down. They count in the base shares until forgotten.
    down: BTreeMap<Peer, Nanos>,
    next_announce: Nanos,
    /// The number of consecutive announcements without a member.
    announcements: u32,
    /// Errors returned by `foca`, such as for datagrams that it could not decode.
    errors: u64,
}

impl Membership {
    pub fn new(me: Peer, settings: &FleetSettings, seed: u64, now: Nanos) -> Membership {
        Membership {
            foca: Foca::new(me, foca_config(settings), Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            timers: BTreeMap::new(),
            timers_set: 0,
            down: BTreeMap::new(),
            next_announce: now,
            announcements: 0,
            errors: 0,
        }
    }

    /// Announces this node to the configured peers while it has no members, at increasing intervals. Members gossip
    /// only to members, so a peer that was not up yet, or a lost announcement, would otherwise leave the node alone
    /// for good.
    pub fn announce(&mut self, settings: &FleetSettings, now: Nanos, output: &mut MembershipOutput) {
        if self.foca.num_members() > 0 {
            self.announcements = 0;
        } else if now >= self.next_announce {
            self.announcements = (self.announcements + 1).min(MAX_ANNOUNCE_DOUBLINGS);
            self.next_announce = now + settings.probe_interval * (1 << self.announcements);
            for &peer in settings.peers.iter().filter(|peer| **peer != settings.me) {
                let result = self.foca.announce(Peer::at(peer, 0), &mut *output);
                self.count_error(result);
            }
        }
    }

    /// Handles a membership datagram.
    pub fn datagram_received(&mut self, bytes: &[u8], output: &mut MembershipOutput) {
        let result = self.foca.handle_data(bytes, output);
        self.count_error(result);
    }

    /// Runs the due timers.
    pub fn run_timers(&mut self, now: Nanos, output: &mut MembershipOutput) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            let result = self.foca.handle_timer(timer, &mut *output);
            self.count_error(result);
        }
    }

    /// Sets the requested timers, and records the peers that were declared down.
    pub fn apply_output(&mut self, output: &mut MembershipOutput, now: Nanos) {
        for RequestedTimer { timer, after } in output.timers.drain(..) {
            let at = now.saturating_add(i64::try_from(after.as_nanos()).unwrap_or(i64::MAX));
            self.timers_set += 1;
            self.timers.insert((at, self.timers_set), timer);
        }
        self.down.extend(output.down.iter().map(|&peer| (peer, now)));
    }

    /// Stops counting peers that have been down for longer than `forget_after`.
    pub fn forget(&mut self, forget_after: Nanos, now: Nanos) {
        self.down.retain(|_, since| now - *since < forget_after);
    }

    /// Returns the identity of this node. It is renewed if the node is declared down while alive.
    pub fn identity(&self) -> Peer {
        *self.foca.identity()
    }

    pub fn is_member(&self, peer: Peer) -> bool {
        self.foca.iter_members().any(|member| *member.id() == peer)
    }

    /// Returns the live peers.
    pub fn peers(&self) -> Vec<Peer> {
        self.foca.iter_members().map(|member| *member.id()).collect()
    }

    /// Returns the number of live peers.
    pub fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// Returns the number of front nodes in the base shares: this one, live or suspected ones, and those down but not
    /// forgotten.
    pub fn counted(&self) -> usize {
        let known = self.foca.iter_members().filter(|member| !self.down.contains_key(member.id())).count();
        1 + known + self.down.len()
    }

    pub fn errors(&self) -> u64 {
        self.errors
    }

    /// Returns when the next timer or announcement is due.
    pub fn next_due(&self) -> Nanos {
        let timer = self.timers.first_key_value().map_or(Nanos::MAX, |((at, _), _)| *at);
        let announce = if self.foca.num_members() == 0 { self.next_announce } else { Nanos::MAX };
        timer.min(announce)
    }

    fn count_error(&mut self, result: Result<(), foca::Error>) {
        self.errors += u64::from(result.is_err());
    }
}

fn foca_config(settings: &FleetSettings) -> foca::Config {
    let duration = |ns: Nanos| Duration::from_nanos(ns.max(1) as u64);
    let non_zero = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let size = (settings.expected as f64).max(2.0);
    // Enough retransmissions for an update to reach all members despite losses: SWIM's λ·log n with λ = 3.
    let transmissions = (3.0 * size.log2()).ceil().clamp(1.0, 255.0) as u8;
    let announce = foca::PeriodicParams {
        frequency: duration(settings.probe_interval * 10),
        num_members: NonZeroUsize::MIN,
    };
    foca::Config {
        probe_period: duration(settings.probe_interval),
        probe_rtt: duration(settings.probe_rtt),
        num_indirect_probes: non_zero(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(settings.suspicion_timeout),
        remove_down_after: Some(duration(settings.forget_after)),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - RESERVED_BYTES),
        notify_down_members: true,
        periodic_announce: Some(announce.clone()),
        periodic_announce_to_down_members: Some(announce),
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: duration(settings.gossip_interval),
            num_members: non_zero(settings.gossip_fanout.max(1)),
        }),
    }
}
