//! Machines taken out for work, in an order that front nodes agree on: never more of a shard's holders than a stated share
//! at once, never one whose twin is cold or failing, and every node knows the order. Free of I/O and of clocks.
//!
//! [`order`] is the state that a replicated log builds, with the admission [`rule`] in it; [`group`] is the log itself, by the
//! crate `raft`, among a few front nodes; [`post`] carries its messages in datagrams and the order to all others.

pub mod group;
pub mod order;
pub mod post;
pub mod rule;

/// A moment or a length of time, in whole nanoseconds; Unix time where it is a leader's.
pub type Nanos = i64;
