//! The faults that a scenario may have, by their names on the command line.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::concurrent_operators::OperatorPace;

/// Operators that change the configuration at the same time.
const CONCURRENT_OPERATORS: usize = 8;

/// A fault of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A storage machine is killed and started again.
    KillStore,
    /// A machine with a control node is killed and started again.
    KillControl,
    /// A gateway is killed and started again.
    KillGateway,
    /// A storage machine is paused for a while.
    PauseStore,
    /// A machine with a control node is paused for a while.
    PauseControl,
    /// A gateway is shut down gracefully and started again.
    TerminateGateway,
    /// A storage machine is shut down gracefully and started again.
    TerminateStore,
    /// A storage machine is killed and comes back without its disk.
    WipeStore,
    /// A machine with a control node is killed and comes back without its disk.
    WipeControl,
    /// All machines are killed and started again.
    KillAll,
    /// An empty storage machine is added.
    AddStore,
    /// An empty storage machine is added, and another one is retired.
    RetireStore,
    /// A model server crashes and is started again.
    CrashServer,
    /// A model server says nothing for a while.
    UnresponsiveServer,
    /// A model server is slow for a while.
    SlowServer,
    /// A stream of each model server breaks.
    BreakStreams,
    /// Each model server sends a malformed response.
    MalformedResponses,
    /// A model server drains, and ends later.
    DrainServer,
    /// The operator changes the configuration.
    ChangeConfiguration,
    /// The operator makes two changes on top of one version.
    RaceConfiguration,
    /// The operator puts an invalid configuration.
    InvalidConfiguration,
    /// A control node is partitioned from all other machines.
    PartitionControl,
    /// Nothing reaches a control node from other machines.
    PartitionControlInbound,
    /// Nothing of a control node reaches other machines.
    PartitionControlOutbound,
    /// Connections of a control node are reset for a while.
    ResetControlLinks,
    /// The links of a control node are slow for a while.
    SlowControlLinks,
    /// Operators lose most responses.
    LoseResponses,
    /// A control node is replaced, and then another one loses its disk.
    ReplaceControlThenWipe,
    /// A store node is told to leave while it has the only copy of partitions.
    LeaveWithOnlyCopy,
    /// All machines restart after hundreds of changes.
    RestartAfterManyChanges,
    /// All servers respond twice, and some early.
    DuplicateResponses,
    /// A machine with a control node runs under a quota of processor time: at full speed until it is spent, then not at
    /// all until the end of its period.
    QuotaControl,
    /// The same for a storage machine.
    QuotaStore,
    /// The same for a gateway.
    QuotaGateway,
    /// The same for all machines.
    QuotaAll,
    /// Keys are taken away one after the other while clients go on to use them; some are given back or passed on.
    RevokeKey,
    /// A tenant loses all of its keys, and then all tenants but one are removed.
    RevokeLastKey,
    /// Clients send keys that never existed, other schemes, several keys, and names of tenants.
    UnknownKeys,
    /// Calls of the platform are answered late for a while.
    PlatformSlow,
    /// The platform takes calls and answers none for a while.
    PlatformSilent,
    /// The platform refuses all calls for a while.
    PlatformBusy,
    /// The platform resets connections after it has taken calls, for a while.
    PlatformReset,
    /// Nothing reaches the platform for a while.
    PlatformCutOff,
    /// The machine that acted last as the leader is killed and started again.
    KillLeader,
    /// The machine that acted last as the leader is paused for a while.
    FreezeLeader,
    /// The machine that acted last as the leader is partitioned from all other machines; it still reaches the platform.
    CutLeader,
    /// The machine that acted last as the leader is paused while the platform answers nothing.
    FreezeLeaderPlatformSilent,
}

/// Every fault with its name on the command line.
pub(super) const FAULT_NAMES: [(&str, Fault); 47] = [
    ("kill-store", Fault::KillStore),
    ("kill-control", Fault::KillControl),
    ("kill-door", Fault::KillGateway),
    ("freeze-store", Fault::PauseStore),
    ("freeze-control", Fault::PauseControl),
    ("terminate-door", Fault::TerminateGateway),
    ("terminate-store", Fault::TerminateStore),
    ("wipe-store", Fault::WipeStore),
    ("wipe-control", Fault::WipeControl),
    ("kill-all", Fault::KillAll),
    ("add-store", Fault::AddStore),
    ("retire-store", Fault::RetireStore),
    ("crash-server", Fault::CrashServer),
    ("dark-server", Fault::UnresponsiveServer),
    ("slow-server", Fault::SlowServer),
    ("break-streams", Fault::BreakStreams),
    ("wrong-bytes", Fault::MalformedResponses),
    ("drain-server", Fault::DrainServer),
    ("change-configuration", Fault::ChangeConfiguration),
    ("race-configuration", Fault::RaceConfiguration),
    ("invalid-configuration", Fault::InvalidConfiguration),
    ("cut-control", Fault::PartitionControl),
    ("cut-control-inbound", Fault::PartitionControlInbound),
    ("cut-control-outbound", Fault::PartitionControlOutbound),
    ("reset-control", Fault::ResetControlLinks),
    ("slow-control", Fault::SlowControlLinks),
    ("lose-answers", Fault::LoseResponses),
    ("replace-control-then-wipe", Fault::ReplaceControlThenWipe),
    ("leave-with-only-copy", Fault::LeaveWithOnlyCopy),
    ("restart-after-hundreds", Fault::RestartAfterManyChanges),
    ("answer-twice", Fault::DuplicateResponses),
    ("quota-control", Fault::QuotaControl),
    ("quota-store", Fault::QuotaStore),
    ("quota-door", Fault::QuotaGateway),
    ("quota-all", Fault::QuotaAll),
    ("revoke-key", Fault::RevokeKey),
    ("revoke-last-key", Fault::RevokeLastKey),
    ("unknown-keys", Fault::UnknownKeys),
    ("platform-slow", Fault::PlatformSlow),
    ("platform-silent", Fault::PlatformSilent),
    ("platform-busy", Fault::PlatformBusy),
    ("platform-reset", Fault::PlatformReset),
    ("platform-cut-off", Fault::PlatformCutOff),
    ("kill-leader", Fault::KillLeader),
    ("freeze-leader", Fault::FreezeLeader),
    ("cut-leader", Fault::CutLeader),
    ("freeze-leader-platform-silent", Fault::FreezeLeaderPlatformSilent),
];

impl Fault {
    /// Operators that change the configuration all the while, if the fault needs them.
    pub(super) fn operator_pace(self) -> Option<OperatorPace> {
        let pace = |pause_ms, response_loss_percent| {
            Some(OperatorPace { operators: CONCURRENT_OPERATORS, pause_ms, response_loss_percent })
        };
        match self {
            Fault::PartitionControl
            | Fault::PartitionControlInbound
            | Fault::PartitionControlOutbound
            | Fault::ResetControlLinks
            | Fault::SlowControlLinks
            | Fault::ReplaceControlThenWipe => pace(150, 25),
            Fault::LoseResponses => pace(50, 75),
            Fault::RestartAfterManyChanges => pace(10, 10),
            _ => None,
        }
    }

    /// Whether clients go on to use the keys that are taken away.
    pub(super) fn revokes_keys(self) -> bool {
        matches!(self, Fault::RevokeKey | Fault::RevokeLastKey)
    }

    /// Whether the machines have to reach each other through the fault proxy.
    pub(super) fn needs_proxy(self) -> bool {
        matches!(
            self,
            Fault::PartitionControl
                | Fault::PartitionControlInbound
                | Fault::PartitionControlOutbound
                | Fault::ResetControlLinks
                | Fault::SlowControlLinks
                | Fault::CutLeader
        )
    }
}

/// There is no fault of a name.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("there is no fault {name}; choose one of {}", known_names())]
pub struct UnknownFault {
    #[error(not(source))]
    name: String,
}

fn known_names() -> String {
    FAULT_NAMES.map(|(name, _)| name).join(", ")
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Fault, UnknownFault> {
        let found = FAULT_NAMES.iter().find(|(known, _)| *known == name);
        found.map(|(_, fault)| *fault).ok_or_else(|| UnknownFault { name: name.to_owned() })
    }
}
