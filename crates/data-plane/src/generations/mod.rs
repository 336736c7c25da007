//! Runs the groups of generations that store nodes have assigned to this gateway, without I/O of its own.
//!
//! The inputs of [`Runner`] are assignments, the server table and events of streams; its outputs are
//! [`RunnerCommand`]s for attempts, cancellations and reports. The scheduler of `orchidvalve_scheduler` selects the
//! servers; this module is responsible for texts, versions of weights, failures, reward calls and expiry.
//!
//! Times are `u64` values in milliseconds of a steady clock. The host calls [`Runner::tick`] once after a batch of
//! inputs, and again at the time returned by [`Runner::next_wakeup`].

mod attempt;
mod eligibility;
mod ewma;
mod group;
mod interface;
mod item;
mod reward_calls;
mod runner;
mod servers;
mod text;
mod text_archive;
mod timers;

pub use interface::{
    Assignment, AttemptId, AttemptOutcome, GroupId, Item, ItemResult, ModelVersion, RewardCallId,
    RewardOutcome, RewardRoute, RouteSettings, Routes, RunnerCommand, Scorer, ServerInfo, ServerKey,
};
pub use runner::Runner;
pub use servers::slot_limit;
