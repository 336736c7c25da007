//! Agreement on one view per epoch among the control nodes, without I/O.
//!
//! A [`View`] names the voters and the chain of one epoch. The view of epoch `e + 1` is the value of one
//! single-decree Paxos instance among the voters of the view of epoch `e`; there is no log of commands. The
//! first view is decided among the addresses that the settings list, by processes that were started with
//! `bootstrap=true`. If none of these has a disk, they vote on it as witnesses.
//!
//! [`Agreement`] is the state machine that a host drives. Its inputs are the time, messages and notifications of
//! durable writes; its [`Output`]s are messages, writes and new views. It consists of:
//!
//! - Paxos (Lamport 2001): [`acceptor`], [`proposer`] and [`acceptances`] are its roles, [`quorum`] defines who votes,
//!   `paxos` handles its messages, `instance` holds the in-memory state of the current instance, [`witness`] is an
//!   acceptor without a disk;
//! - membership: [`membership_policy`] computes the next view, `flap_damping` keeps members that repeatedly leave the
//!   chain out of it, `seeds` proposes the first view, `leave` determines when a view is effective and when a process
//!   may end;
//! - failure detection: `failure_detector` sends heartbeats, [`status`] is the status that members report;
//! - durability: `pending_writes` defers outputs until the writes they depend on are durable.

pub mod acceptances;
pub mod acceptor;
pub mod agreement;
pub mod durable_state;
pub mod membership_policy;
pub mod message;
pub mod output;
pub mod proposer;
pub mod quorum;
pub mod status;
pub mod timing;
pub mod view;
pub mod witness;

mod clock;
mod failure_detector;
mod flap_damping;
mod instance;
mod leave;
mod messaging;
mod paxos;
mod pending_writes;
mod seeds;

pub use acceptor::AcceptedView;
pub use agreement::Agreement;
pub use durable_state::DurableState;
pub use message::{Ballot, DecodeError, Message};
pub use output::{Output, WriteNumber};
pub use status::MemberStatus;
pub use timing::Timing;
pub use view::{MAX_VOTERS, View};
pub use witness::Witness;
