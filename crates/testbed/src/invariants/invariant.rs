//! The invariants, their time bounds, and violations of them.

use derive_more::Display;

/// An invariant. Its name in reports is the one of the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// Nothing that was accepted or read is gone.
    #[display("LOST")]
    Lost,
    /// Nothing is executed or listed twice that may not be.
    #[display("TWICE")]
    Twice,
    /// Responses and results belong to what was asked, and are whole.
    #[display("MIXED")]
    Mixed,
    /// Texts have all their events, in order.
    #[display("ORDER")]
    Order,
    /// Results name the versions under which they were generated, and only allowed ones.
    #[display("VERSION")]
    Version,
    /// Servers get only what was asked for.
    #[display("UNASKED")]
    Unasked,
    /// What was refused with the promise that it doesn't run is not executed.
    #[display("REFUSED")]
    Refused,
    /// Requests go only to services to which some configuration sends them.
    #[display("ROUTE")]
    Route,
    /// Configurations are accepted one after the other, and the acknowledged one is in force.
    #[display("CONFIG")]
    Config,
    /// A stable control plane acknowledges changes in time.
    #[display("ACKS")]
    Acks,
    /// One leader at a time sends orders to a server, and one holder at a time calls the platform.
    #[display("ONE")]
    One,
    /// Draining servers get no more requests.
    #[display("DRAIN")]
    Drain,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{invariant} at {at} ms: {subject}: {detail}")]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Id of the request, batch job, item, version or server.
    pub subject: String,
    /// Time of the observation, in milliseconds of the host's clock.
    pub at: u64,
    /// What was observed, in words.
    pub detail: String,
}

/// Time bounds of the invariants, in milliseconds. The names are those of the settings `bounds.*`.
#[derive(Clone, Copy, Debug)]
pub struct InvariantBounds {
    /// Time after a disruption until all machines are in contact again.
    pub contact_ms: u64,
    /// How long a stable control plane may take to acknowledge a change.
    pub ack_ms: u64,
    /// How long an acknowledged configuration may take to be in force everywhere.
    pub config_apply_ms: u64,
    /// How long what was accepted or read may take to show everywhere.
    pub settle_ms: u64,
    /// How long items of a cancelled batch job may still be executed.
    pub cancel_ms: u64,
    /// How long the lease of a leader lasts.
    pub lease_ms: u64,
    /// How long orders and calls don't count after their sender was thawed or its link has healed.
    pub thaw_slack_ms: u64,
    /// How long a server may get requests after the list shows that it's draining.
    pub drain_ms: u64,
    /// How far the platform's list lags.
    pub list_lag_ms: u64,
    /// How long a stopping process may take.
    pub grace_ms: u64,
    /// Time after which a lost connection can't be that of a request that came too late.
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
