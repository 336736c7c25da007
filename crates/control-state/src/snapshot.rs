//! The serialised form of the state, as sent and stored.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use crate::change::ModelUsage;
use crate::configuration_history::AcceptedChange;
use crate::placement::{Placement, RegisteredStore};
use crate::usage_reports::UsageReports;

/// The complete state at one sequence number, for the feed and for checkpoints.
#[derive(Clone, PartialEq, Default, Debug, Encode, Decode)]
pub struct StateSnapshot {
    /// The configuration document, and the fingerprint of the request body from which it resulted.
    pub(crate) configuration: Option<(Vec<u8>, u64)>,
    pub(crate) accepted: Vec<AcceptedChange>,
    pub(crate) forgotten_below: u64,
    pub(crate) versions: BTreeMap<String, u64>,
    pub(crate) stores: BTreeMap<String, RegisteredStore>,
    pub(crate) partitions: Vec<Placement>,
    pub(crate) models: BTreeMap<String, ModelUsage>,
    #[musli(default)]
    pub(crate) usage_reports: UsageReports,
}
