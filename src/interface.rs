//! The types that a host exchanges with the aggregator: settings, indices, and the sink that receives the decisions.

/// A point in time or a duration, in whole nanoseconds.
pub type Nanos = i64;

/// The longest duration in settings, 30 days; a longer one counts as that. It outlasts any request, and a multiple of it
/// can be added to any point in time without overflow.
pub const MAX_DURATION: Nanos = 30 * 24 * 3_600 * 1_000_000_000;

/// Number of a query, counted from 0 since the aggregator was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryIndex(pub usize);

/// Number of a shard request, counted from 0 over all queries since the aggregator was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardRequestIndex(pub usize);

/// Slot of a replica. A slot is reused for another replica once nothing refers to the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub usize);

/// What happens if a shard request is executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotence {
    /// It may be executed any number of times (RFC 9110, section 9.2.2).
    Idempotent,
    /// Repeats are dropped for this long after the first attempt that may have been executed.
    Deduplicated(Nanos),
    /// It has an effect each time it is executed.
    NotIdempotent,
}

/// Service level of one service class.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Time within which a response earns its full value.
    pub latency_target: Nanos,
    /// The latency target grows by this multiple of the query's expected work.
    pub latency_target_stretch: f64,
    /// Time after which a response is worth nothing.
    pub deadline: Nanos,
    /// Fraction of its value that a response after the latency target earns.
    pub late_value: f64,
    /// Whether a shard request may be executed more than once.
    pub idempotence: Idempotence,
    /// The smallest fraction of the shard requests' weight that a response may be based on.
    pub min_completeness: f64,
    /// Fraction of the first step's weight that makes a complete response.
    pub full_completeness: f64,
    /// Fraction of its value that a partial response earns, scaled by its completeness relative to the full one.
    pub partial_value: f64,
    /// The number of shard requests in the second step; 0 if the class has one step only.
    pub second_step_requests: usize,
}

/// Limit of further attempts (attempts beyond the first of each shard request).
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Further attempts that are always allowed in a window.
    pub reserve: f64,
    /// Additional further attempts allowed for each query and shard request received in a window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Nanos,
}

/// How a server warms up after its start, and which load overloads it meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity that a server has right after its start.
    pub initial_share: f64,
    /// Time from the start until the server has its full capacity.
    pub duration: Nanos,
    /// A warming server is overloaded by more than this multiple of its capacity within the overload window.
    pub overload_multiple: f64,
    /// Length of the overload window.
    pub overload_window: Nanos,
}

/// The settings of an aggregator, fixed before its first query.
#[derive(Clone, Debug)]
pub struct AggregatorSettings {
    /// The service classes; a query names its class by its position here.
    pub classes: Vec<ServiceClass>,
    /// Quota of each tenant over all front nodes, in queries per second; empty if there are no tenants.
    pub tenant_rates: Vec<f64>,
    /// The number of front nodes that share the servers, including this one; 1 if not configured.
    pub front_nodes: usize,
    /// The number of cells of the ring, which is also the number of shards.
    pub cells: usize,
    /// The number of consecutive cells that hold a shard, starting with the shard's own.
    pub cells_per_shard: usize,
    /// The number of shard requests that may share a call.
    pub requests_per_call: usize,
    /// The largest number of attempts of a shard request.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a second attempt may start while the first is in flight.
    pub may_hedge: bool,
    /// Whether health checks may be sent to replicas.
    pub may_check_health: bool,
    /// Whether health checks report the number of waiting shard requests and the rate of completed ones.
    pub queues_reported: bool,
    /// The longest `Retry-After` that clients respect; 0 if rejections carry none.
    pub max_retry_after: Nanos,
    /// Whether membership changes are sent only on request.
    pub membership_on_request: bool,
    /// Time within which lost membership changes are requested again. The pauses between requests are fractions of it.
    pub membership_request_interval: Nanos,
    /// Limit of further attempts; `None` if they are unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// Warm-up of recently started servers.
    pub slow_start: SlowStart,
    /// The shortest time between two rounds.
    pub tick: Nanos,
}

/// Receives the decisions of a round, in order.
pub trait ActionSink {
    /// Sends the shard request to a replica. Attempts of a shard request are numbered from 0. The attempt may take
    /// `limit`. If attempts can wait in the host before they are sent, the host must not send this one, or an earlier
    /// one of the same shard request, after `send_within`.
    fn start_attempt(
        &mut self,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        limit: Nanos,
        send_within: Nanos,
    );
    /// Cancels an attempt that is in flight.
    fn cancel_attempt(&mut self, request: ShardRequestIndex, attempt: usize);
    /// Sends the response of the query, from the shard requests answered so far, marked as complete or partial.
    fn answer(&mut self, query: QueryIndex, complete: bool);
    /// Rejects the query. A retry is harmless; it should wait for `retry_after` unless that is 0.
    fn reject(&mut self, query: QueryIndex, retry_after: Nanos);
    /// Ends the query without a response. It may have been executed.
    fn expire(&mut self, query: QueryIndex);
    /// Sends a health check to a replica.
    fn check_health(&mut self, replica: ReplicaIndex);
    /// Requests a round at the given time.
    fn wake_at(&mut self, at: Nanos);
    /// Requests the membership changes.
    fn request_membership(&mut self);
}
