//! Faults of shard requests and health checks.

/// A fault of a shard request or health check. Scenarios and the command line use the lower-case names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
pub enum Fault {
    /// The request is accepted and never answered.
    #[serde(rename = "silent")]
    Silent,
    /// Only the head of the response is sent.
    #[serde(rename = "stall")]
    Stalled,
    /// The response is sent byte by byte, with a pause before each byte.
    #[serde(rename = "trickle")]
    Trickled,
    /// The complete response is sent after 40 ms.
    #[serde(rename = "slow")]
    Slow,
    /// The complete response is sent once the store is released by `Store::set_released`.
    #[serde(rename = "held")]
    Held,
    /// The request is rejected before it is executed.
    #[serde(rename = "full")]
    Rejected,
    /// The store responds with an internal error.
    #[serde(rename = "error")]
    Error,
    /// The response is invalid in either protocol.
    #[serde(rename = "garbled")]
    Garbled,
    /// The response says that it is incomplete; an error in the protocol that cannot express this.
    #[serde(rename = "short")]
    Incomplete,
    /// The response says that its time limit was exceeded; an error in the protocol that cannot express this.
    #[serde(rename = "late")]
    TimedOut,
    /// Half of the response is sent, and the connection is closed.
    #[serde(rename = "cut")]
    Truncated,
    /// The request is executed, and the connection is closed without a response.
    #[serde(rename = "dead")]
    Disconnected,
    /// These bytes are sent in place of the response.
    #[serde(skip)]
    Replaced(ReplacedResponse),
}

/// The bytes that a store sends in place of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplacedResponse(pub &'static [u8]);

/// Selects the faults of shard requests and health checks.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Pairs of a text and a fault: the first rule whose text occurs in the payload decides.
    pub rules: Vec<(String, Fault)>,
    /// The fault of shard requests that match no rule.
    pub default: Option<Fault>,
    /// The fault of health checks.
    pub health_checks: Option<Fault>,
}

impl FaultPlan {
    /// Returns the fault of a shard request with this payload.
    pub(crate) fn of(&self, payload: &str) -> Option<Fault> {
        let rule = self.rules.iter().find(|(words, _)| payload.contains(words));
        rule.map(|(_, fault)| *fault).or(self.default)
    }
}
