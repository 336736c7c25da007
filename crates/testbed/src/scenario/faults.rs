//! The faults that a scenario can inject, with their names on the command line.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::concurrent_operators::OperatorPace;

/// Number of operators that change the configuration concurrently.
const CONCURRENT_OPERATORS: usize = 8;

/// A fault of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a storage machine and restarts it.
    KillStore,
    /// Kills a machine with a control node and restarts it.
    KillControl,
    /// Kills a gateway and restarts it.
    KillGateway,
    /// Pauses a storage machine for a while.
    PauseStore,
    /// Pauses a machine with a control node for a while.
    PauseControl,
    /// Shuts down a gateway gracefully and restarts it.
    TerminateGateway,
    /// Shuts down a storage machine gracefully and restarts it.
    TerminateStore,
    /// Kills a storage machine, wipes its disk and restarts it.
    WipeStore,
    /// Kills a machine with a control node, wipes its disk and restarts it.
    WipeControl,
    /// Kills all machines and restarts them.
    KillAll,
    /// Adds an empty storage machine.
    AddStore,
    /// Adds an empty storage machine, and retires another one.
    RetireStore,
    /// A model server crashes and is restarted.
    CrashServer,
    /// A model server is unresponsive for a while.
    UnresponsiveServer,
    /// A model server is slow for a while.
    SlowServer,
    /// Each model server breaks a stream.
    BreakStreams,
    /// Each model server sends a malformed response.
    MalformedResponses,
    /// A model server drains and is later removed.
    DrainServer,
    /// The operator changes the configuration.
    ChangeConfiguration,
    /// The operator sends two changes that are based on the same version.
    RaceConfiguration,
    /// The operator sends an invalid configuration.
    InvalidConfiguration,
    /// A control node is partitioned from all other machines.
    PartitionControl,
    /// A control node receives nothing from other machines.
    PartitionControlInbound,
    /// Other machines receive nothing from a control node.
    PartitionControlOutbound,
    /// The connections of a control node are reset for a while.
    ResetControlLinks,
    /// The links of a control node are slow for a while.
    SlowControlLinks,
    /// Concurrent operators lose most of the responses to their changes.
    LoseResponses,
    /// A control node is replaced, and afterwards another one loses its disk.
    ReplaceControlThenWipe,
    /// A store node is ordered to leave while it has the only copy of some partitions.
    LeaveWithOnlyCopy,
    /// All machines restart after hundreds of configuration changes.
    RestartAfterManyChanges,
    /// All servers send their responses twice, and application servers respond before they have read long request
    /// bodies.
    DuplicateResponses,
    /// A machine with a control node runs under a CPU quota: at full speed until the quota is used up, then not at
    /// all until the end of the period.
    QuotaControl,
    /// A storage machine runs under a CPU quota.
    QuotaStore,
    /// A gateway runs under a CPU quota.
    QuotaGateway,
    /// All machines run under a CPU quota.
    QuotaAll,
    /// API keys are revoked one after the other while clients still use them; some are restored or moved to another
    /// tenant.
    RevokeKey,
    /// All API keys of a tenant are revoked, and then all tenants except that of the trainers are removed.
    RevokeLastKey,
    /// Clients send unknown API keys, other authentication schemes, several keys, and tenant names.
    UnknownKeys,
    /// The platform responds with a delay for a while.
    PlatformSlow,
    /// The platform accepts calls without responding for a while.
    PlatformUnresponsive,
    /// The platform rejects all calls for a while.
    PlatformBusy,
    /// The platform accepts calls and then resets their connections, for a while.
    PlatformReset,
    /// The platform receives no calls for a while.
    PlatformPartitioned,
    /// Kills the machine that last acted as leader, and restarts it.
    KillLeader,
    /// Pauses the machine that last acted as leader for a while.
    PauseLeader,
    /// Partitions the machine that last acted as leader from all other machines; it can still reach the platform.
    PartitionLeader,
    /// Pauses the machine that last acted as leader while the platform does not respond.
    PauseLeaderPlatformUnresponsive,
}

/// All faults with their names on the command line.
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
    ("platform-silent", Fault::PlatformUnresponsive),
    ("platform-busy", Fault::PlatformBusy),
    ("platform-reset", Fault::PlatformReset),
    ("platform-cut-off", Fault::PlatformPartitioned),
    ("kill-leader", Fault::KillLeader),
    ("freeze-leader", Fault::PauseLeader),
    ("cut-leader", Fault::PartitionLeader),
    ("freeze-leader-platform-silent", Fault::PauseLeaderPlatformUnresponsive),
];

impl Fault {
    /// Returns the pace of operators that change the configuration continuously; `None` if the fault needs no
    /// operators.
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

    /// Whether clients keep using API keys that are revoked.
    pub(super) fn revokes_keys(self) -> bool {
        matches!(self, Fault::RevokeKey | Fault::RevokeLastKey)
    }

    /// Whether the machines have to connect to each other through the fault proxy.
    pub(super) fn requires_proxy(self) -> bool {
        matches!(
            self,
            Fault::PartitionControl
                | Fault::PartitionControlInbound
                | Fault::PartitionControlOutbound
                | Fault::ResetControlLinks
                | Fault::SlowControlLinks
                | Fault::PartitionLeader
        )
    }
}

/// No fault has the given name.
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
