//! The fleet of front nodes as seen by one of them: its members, budgets that hold for all of them together, and
//! verdicts that one node reaches and all should know. The crate does no I/O and reads no clock: the host passes in
//! the time and the received datagrams, and sends the datagrams that [`Fleet::round`] writes. Membership is SWIM, by
//! the crate `foca`. Budgets are shared by leases between peers ([`leases`]), verdicts spread by gossip with their
//! age ([`verdicts`]), and discovery's list can be downloaded from peers that have it ([`lists`]).
//!
//! ```
//! use std::net::SocketAddrV4;
//! use orchidvalve_fleet::{Fleet, FleetSettings, Outbox};
//!
//! let me: SocketAddrV4 = "127.0.0.1:7001".parse().unwrap();
//! let other: SocketAddrV4 = "127.0.0.1:7002".parse().unwrap();
//! let mut fleet = Fleet::new(FleetSettings::new(me, vec![other], 2), 7, 0);
//! let mut out = Outbox::default();
//! fleet.round(0, |_| {}, &mut out);
//! assert!(out.sent.iter().any(|(to, _)| *to == other), "it announces itself to the configured peers");
//! ```

pub mod leases;
pub mod lists;
pub mod token_bucket;
pub mod verdicts;
pub mod wire;

mod fleet;
mod inbox;
mod membership;
mod peer;
mod settings;

pub use fleet::{Fleet, FleetCounts, MemberCounts};
pub use inbox::{DatagramSink, Inbox, Outbox, OutgoingMessage};
pub use peer::Peer;
pub use settings::FleetSettings;

/// A point in time or a duration, in whole nanoseconds.
pub type Nanos = i64;
