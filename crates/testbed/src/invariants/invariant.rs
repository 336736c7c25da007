//! The invariants, their time bounds, and violations of them.

use derive_more::Display;

/// An invariant. Reports print the name that the operators' documentation uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// Everything that was accepted or read stays available.
    #[display("LOST")]
    Lost,
    /// Nothing is executed or listed twice unless that is allowed.
    #[display("TWICE")]
    Twice,
    /// Responses and results belong to their requests and are complete.
    #[display("MIXED")]
    Mixed,
    /// Texts contain all their events, in order.
    #[display("ORDER")]
    Order,
    /// Results name the versions that generated them, and all of these versions are allowed.
    #[display("VERSION")]
    Version,
    /// Servers receive only requests that were sent by a client or a trainer.
    #[display("UNASKED")]
    Unasked,
    /// A request that was rejected with a status that promises no execution is not executed.
    #[display("REFUSED")]
    Refused,
    /// Requests reach only services to which at least one configuration routes them.
    #[display("ROUTE")]
    Route,
    /// Configurations are accepted one after the other, and the acknowledged one is active.
    #[display("CONFIG")]
    Config,
    /// A stable control plane acknowledges changes within the time bound.
    #[display("ACKS")]
    Acks,
    /// One leader at a time sends orders to a server, and one leader at a time calls the platform.
    #[display("ONE")]
    One,
    /// Draining servers receive no new requests.
    #[display("DRAIN")]
    Drain,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{invariant} at {at} ms: {subject}: {detail}")]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Id of the request, batch job, item, version or server concerned.
    pub subject: String,
    /// Time of the observation, in milliseconds of the host's clock.
    pub at: u64,
    /// Description of what was observed.
    pub detail: String,
}

/// Time bounds of the invariants, in milliseconds. The fields are named like the settings `bounds.*`.
#[derive(Clone, Copy, Debug)]
pub struct InvariantBounds {
    /// Time after a disruption until all machines can reach each other again.
    pub contact_ms: u64,
    /// Maximum time in which a stable control plane acknowledges a change.
    pub ack_ms: u64,
    /// Maximum time until an acknowledged configuration is active on all nodes.
    pub config_apply_ms: u64,
    /// Maximum time until accepted or read data is visible on all nodes.
    pub settle_ms: u64,
    /// Maximum time during which items of a cancelled batch job may still be executed.
    pub cancel_ms: u64,
    /// Duration of a leader's lease.
    pub lease_ms: u64,
    /// Time after a resumed sender or a restored link during which orders and platform calls are not checked.
    pub thaw_slack_ms: u64,
    /// Time during which a server may receive requests after the list shows it as draining.
    pub drain_ms: u64,
    /// Delay of the platform's server list.
    pub list_lag_ms: u64,
    /// Maximum time that a graceful shutdown takes.
    pub grace_ms: u64,
    /// Time after which a lost connection cannot be explained by a request that arrived after the gateway stopped
    /// reading.
    pub loss_slack_ms: u64,
}

impl Default for InvariantBounds {
    fn default() -> InvariantBounds {
        InvariantBounds {
            contact_ms: 3_000,
            ack_ms: 4_000,
            config_apply_ms: 2_000,
            settle_ms: 1_000,
            cancel_ms: 3_000,
            lease_ms: 3_000,
            thaw_slack_ms: 300,
            drain_ms: 3_000,
            list_lag_ms: 800,
            grace_ms: 8_000,
            loss_slack_ms: 200,
        }
    }
}
