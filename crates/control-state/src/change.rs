//! Changes of the control state, and what applying one leads to.

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use orchidvalve_configuration::ConfigurationError;
use orchidvalve_protocol::identity::MemberId;

use crate::placement::Placement;
use crate::snapshot::StateSnapshot;
use crate::usage_reports::UsageReport;

/// A change of the control state. The encoding knows the variants by their positions: new ones go to the end.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Change {
    /// The whole state as of this change; what came before isn't needed any more.
    Checkpoint(StateSnapshot),
    /// A whole configuration, sent by the operator.
    Replace {
        /// Version of the configuration that it builds on; 0 for the first.
        base: u64,
        /// Body of the operator's request.
        #[musli(bytes)]
        body: Vec<u8>,
    },
    /// Named items of the configuration, changed.
    Patch {
        /// Version of the configuration that it builds on.
        base: u64,
        /// Body of the operator's request.
        #[musli(bytes)]
        body: Vec<u8>,
    },
    /// A trainer names a version of a model's weights.
    NameVersion {
        /// Name of the model.
        model: String,
        /// The version; one that isn't above the newest changes nothing.
        version: u64,
    },
    /// A store node joins, or comes back with another disk or address.
    RegisterStore {
        /// Name of the machine.
        name: String,
        /// Zone that it stands in.
        zone: String,
        /// Its identity.
        member: MemberId,
    },
    /// New placements of partitions, by partition number.
    Place(Vec<(u16, Placement)>),
    /// A store node is to be emptied.
    Retire {
        /// Name of the machine.
        name: String,
    },
    /// The head of the control chain begins to act in the singleton roles. The sequence number of this change is its
    /// term: new for every start of a head, also within one view, and higher than that of every head before.
    BeginTerm,
    /// Batch jobs were seen that use a model so.
    RecordModelUsage {
        /// Name of the model.
        model: String,
        /// How they use it.
        usage: ModelUsage,
    },
    /// The counts of a window of usage are decided: the report of it says this from now on, whoever sends it.
    DecideUsageReport(UsageReport),
    /// The platform has accepted the report of a window.
    AcceptUsageReport {
        /// Number of the window.
        window: u64,
    },
}

/// How trainers use a model.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ModelUsage {
    /// Some texts have to be made under a single version.
    pub single_version: bool,
    /// Fewest versions that the oldest allowed one was behind the newest when a job came; None while no job
    /// has told, since jobs that allow every version tell nothing.
    pub lag: Option<u64>,
}

impl ModelUsage {
    /// The usage that covers both.
    pub(crate) fn with(self, other: ModelUsage) -> ModelUsage {
        let lag = match (self.lag, other.lag) {
            (Some(lag), Some(other)) => Some(lag.min(other)),
            (lag, other) => lag.or(other),
        };
        ModelUsage { single_version: self.single_version || other.single_version, lag }
    }
}

/// What applying a change did.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Applied {
    /// The state is another one.
    Changed,
    /// The state says so already: the change was applied before, or brings nothing new.
    Unchanged,
}

/// Why a change isn't applied.
#[derive(Debug, PartialEq, Display, Error)]
pub enum ChangeError {
    /// The change builds on another version of the configuration than the current one.
    #[display("version {current} is current, not {base}: read the configuration and build on it")]
    VersionConflict {
        /// Version that the change builds on.
        base: u64,
        /// The current version.
        current: u64,
    },
    /// A change on top of a version so old that it isn't known whether this one was accepted.
    #[display(
        "changes on top of version {base} are no longer remembered: read the configuration and build on it"
    )]
    BaseTooOld {
        /// Version that the change builds on.
        base: u64,
    },
    /// The configuration, or the change of it, is invalid.
    #[display("{_0}")]
    Invalid(#[error(not(source))] ConfigurationError),
    /// No store node has this name.
    #[display("no storage machine is called {name}: see the members")]
    UnknownStore {
        /// The name.
        name: String,
    },
}
