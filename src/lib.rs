//! Decisions of an aggregator that spreads the shard requests of queries over replicated shards.
//!
//! [`decisions`] holds the decisions, [`state`] the facts that they are based on, [`interface`] the types that a host
//! exchanges with the aggregator, and [`trace`] the reasons of the decisions.
//!
//! ```
//! use orchidvalve::Aggregator;
//! use orchidvalve::interface::*;
//!
//! #[derive(Default)]
//! struct Sent(Vec<(ShardRequestIndex, ReplicaIndex)>);
//!
//! impl ActionSink for Sent {
//!     fn start_attempt(&mut self, request: ShardRequestIndex, replica: ReplicaIndex, _limit: Nanos, _send_within: Nanos) {
//!         self.0.push((request, replica));
//!     }
//!     fn cancel_attempt(&mut self, _: ShardRequestIndex, _: usize) {}
//!     fn answer(&mut self, _: QueryIndex, _: bool) {}
//!     fn reject(&mut self, _: QueryIndex, _: Nanos) {}
//!     fn expire(&mut self, _: QueryIndex) {}
//!     fn check_health(&mut self, _: ReplicaIndex) {}
//!     fn wake_at(&mut self, _: Nanos) {}
//!     fn request_membership(&mut self) {}
//! }
//!
//! let second = 1_000_000_000;
//! let class = ServiceClass {
//!     latency_target: second, latency_target_stretch: 0.0, deadline: 3 * second, late_value: 0.3,
//!     idempotence: Idempotence::Idempotent, min_completeness: 1.0, full_completeness: 1.0, partial_value: 0.0,
//!     second_step_requests: 0,
//! };
//! let slow_start =
//!     SlowStart { initial_share: 0.25, duration: 10 * second, overload_multiple: 4.0, overload_window: second };
//! let settings = AggregatorSettings {
//!     classes: vec![class], tenant_rates: vec![], front_nodes: 1, cells: 2, cells_per_shard: 2, requests_per_call: 1,
//!     max_attempts: 4, may_cancel: true, may_hedge: true, may_check_health: true, queues_reported: false,
//!     max_retry_after: 0, membership_on_request: false, membership_request_interval: 10 * second, retry_budget: None,
//!     slow_start, tick: second / 200,
//! };
//!
//! let (mut aggregator, mut sent) = (Aggregator::new(settings, 7), Sent::default());
//! let receive = |state: &mut orchidvalve::state::AggregatorState| {
//!     state.membership_update_begins(true);
//!     for cell in 0..2 {
//!         let replica = state.replica_discovered(cell);
//!         state.member_listed(replica, cell, true, None);
//!     }
//!     state.membership_update_ends();
//!     let query = state.query_received(0, 0, 3 * second, 0, false);
//!     state.shard_request_received(query, 0, 0.5);
//!     state.shard_request_received(query, 1, 0.5);
//! };
//! aggregator.round(0, receive, &mut sent);
//! // Both replicas hold both shards. The second shard request goes to the replica without one.
//! assert_eq!(sent.0.len(), 2);
//! assert_ne!(sent.0[0].1, sent.0[1].1);
//! ```

pub mod decisions;
pub mod interface;
pub mod state;
pub mod trace;

pub use decisions::Aggregator;
