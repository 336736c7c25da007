//! Decisions of an aggregator that spreads the parts of retrievals over replicated shards.
//!
//! [`choice`] holds every decision, [`ledger`] the facts they rest on, [`interface`] what a host gives and gets.

pub mod choice;
pub mod interface;
pub mod ledger;

pub use choice::Aggregator;
