//! The fleet of front nodes as each of them sees it: who else is there, budgets that hold for all of them together,
//! and verdicts that one comes to and all should know. Free of I/O and of clocks: the host hands over the time and the
//! datagrams that came, and sends what [`Fleet::round`] writes. Membership is SWIM, by the crate `foca`; budgets are
//! leases between peers ([`leases`]); verdicts spread by gossip with their age ([`verdicts`]); discovery's list
//! is had from peers that know it ([`lists`]).
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
//! assert!(out.sent.iter().any(|(to, _)| *to == other), "it announces itself to the peers it was given");
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

/// A moment or a length of time, in whole nanoseconds.
pub type Nanos = i64;
