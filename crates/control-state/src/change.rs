//! Changes of the control state, and the results of applying them.

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use orchidvalve_configuration::ConfigurationError;
use orchidvalve_protocol::identity::MemberId;

use crate::placement::Placement;
use crate::snapshot::StateSnapshot;
use crate::usage_reports::UsageReport;

/// A change of the control state. The encoding identifies variants by their positions: new ones are added at the end.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Change {
    /// The complete state as of this change; earlier changes are no longer needed.
    Checkpoint(StateSnapshot),
    /// A complete configuration, sent by the operator.
    Replace {
        /// Version of the configuration that the change is based on; 0 for the first.
        base: u64,
        /// Body of the operator's request.
        #[musli(bytes)]
        body: Vec<u8>,
    },
    /// Changes of named items of the configuration, sent by the operator.
    Patch {
        /// Version of the configuration that the change is based on.
        base: u64,
        /// Body of the operator's request.
        #[musli(bytes)]
        body: Vec<u8>,
    },
    /// A trainer has named a version of a model's weights.
    NameVersion {
        /// Name of the model.
        model: String,
        /// The version. If it isn't above the latest one, nothing changes.
        version: u64,
    },
    /// A store node joins, or returns with another disk or address.
    RegisterStore {
        /// Name of the machine.
        name: String,
        /// Zone in which the machine is located.
        zone: String,
        /// Address and disk of the store node.
        member: MemberId,
    },
    /// New placements of partitions, by partition number.
    Place(Vec<(u16, Placement)>),
    /// The operator has ordered the retirement of a store node: its partitions are moved away from it.
    Retire {
        /// Name of the machine.
        name: String,
    },
    /// The head of the control chain starts to act in the singleton roles. The sequence number of this change is its
    /// term: a new one for every start of a head, also within one view, and higher than the terms of all earlier heads.
    BeginTerm,
    /// Submitted batch jobs use a model in this way.
    RecordModelUsage {
        /// Name of the model.
        model: String,
        /// How the jobs use the model.
        usage: ModelUsage,
    },
    /// The counts of a usage window are decided: its report has these counts, whichever node sends it.
    DecideUsageReport(UsageReport),
    /// The platform has accepted the usage report of a window.
    AcceptUsageReport {
        /// Number of the window.
        window: u64,
    },
}

/// How trainers use a model.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ModelUsage {
    /// Whether some texts must be generated under a single version of the weights.
    pub single_version: bool,
    /// The smallest number of versions that the oldest permitted one was behind the latest when a job was submitted.
    /// `None` while no job has reported one; jobs that permit every version report none.
    pub lag: Option<u64>,
}

impl ModelUsage {
    /// Returns the usage that covers both.
    pub(crate) fn with(self, other: ModelUsage) -> ModelUsage {
        let lag = match (self.lag, other.lag) {
            (Some(lag), Some(other)) => Some(lag.min(other)),
            (lag, other) => lag.or(other),
        };
        ModelUsage { single_version: self.single_version || other.single_version, lag }
    }
}

/// The effect of applying a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Applied {
    /// The state has changed.
    Changed,
    /// The state is the same: the change was applied before or contains nothing new.
    Unchanged,
}

/// The reason why a change was not applied.
#[derive(Debug, PartialEq, Display, Error)]
pub enum ChangeError {
    /// The change is based on a version of the configuration that isn't the current one.
    #[display("version {current} is current, not {base}: read the configuration and build on it")]
    VersionConflict {
        /// Version that the change is based on.
        base: u64,
        /// The current version.
        current: u64,
    },
    /// The change is based on a version so old that it is unknown whether this change was accepted already.
    #[display(
        "changes on top of version {base} are no longer remembered: read the configuration and build on it"
    )]
    BaseTooOld {
        /// Version that the change is based on.
        base: u64,
    },
    /// The configuration, or the change to it, is invalid.
    #[display("{_0}")]
    Invalid(#[error(not(source))] ConfigurationError),
    /// No store node is registered under this name.
    #[display("no storage machine is called {name}: see the members")]
    UnknownStore {
        /// The unknown name.
        name: String,
    },
}
