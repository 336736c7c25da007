//! What may happen in a run, and what it has seen.

use orchidvalve_control_plane::peer_messages::PeerMessage;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fault_script::FaultStep;
use super::random_faults::{RandomFault, SINGLE_MACHINE_FAULTS};

/// Ways in which a run cheats, to prove that the invariant checker sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlantedBug {
    /// Disks report records as durable as soon as they are appended.
    LyingDisks,
    /// Changes are answered as done as soon as they are entered.
    EarlyAnswers,
    /// Refused changes are answered as done.
    RefusalsAsDone,
    /// Changes that are done are answered as refused.
    DoneAsRefusals,
    /// Reads are answered with what the machine happens to hold.
    LocalReads,
    /// Every machine skips a committed change at times.
    SkippedChanges,
    /// Calls are never answered as unclear.
    NoTimeouts,
    /// Messages of the chain get lost for ever once the faults have ended.
    SilentChain,
    /// Refusals are given by what the machine happens to hold.
    LocalRefusals,
    /// A start doesn't find the newest entries of its log.
    ForgottenEntries,
    /// A start doesn't find what the agreement has promised and decided.
    ForgottenVotes,
    /// Machines that copy the log say at once that they have it all.
    HastyLearners,
    /// Members acknowledge entries to their predecessors before these are on their disks.
    EarlyAcknowledgements,
    /// A process that is told to stop ends at once.
    HastyShutdowns,
    /// All starts of a process number their calls alike.
    SameIncarnation,
    /// A control node goes by the position that it knows of an earlier session of a subscriber.
    StaleFeedPositions,
    /// Subscribers take an older state for a newer one.
    BackwardFeed,
    /// A control node that has no quorum keeps its subscribers.
    KeptSubscribers,
    /// Tables of servers bear the view of the head, which outlives its process, in place of a term of its own.
    ViewNumberedTables,
    /// A new head gives orders without waiting for the lease of the former one.
    NoLease,
    /// A machine says by its own state alone that there is no such store.
    LocalNotFound,
}

/// What may happen in a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub machines: u8,
    pub tolerance: usize,
    pub faults: Vec<RandomFault>,
    /// Mean time between faults.
    pub fault_interval: u64,
    /// No fault happens before and after these times.
    pub fault_window: (u64, u64),
    /// Shares of the messages that are lost and doubled in the fault window, and their longest delay.
    pub loss: f64,
    pub doubling: f64,
    pub delay: u64,
    /// All machines have to be in the chain again so long after the end of the fault window.
    pub back_within: u64,
    pub client_interval: u64,
    /// Bytes of filling in each configuration.
    pub filling: usize,
    /// Changes that the head enters by itself at each step of the clients.
    pub own_changes: u32,
    /// Operators that work as the pages say, in place of the random clients; 0 for these.
    pub operators: usize,
    /// Pause between two calls of one operator.
    pub operator_pause: u64,
    /// Entries of the chain that are sent to a process get lost for so long after a start in the fault window.
    pub slow_copies: u64,
    /// Every so many changes of the operators, one has so many bytes of filling.
    pub huge: Option<(usize, usize)>,
    pub subscribers: usize,
    /// Pause between two changes of placements that the head enters; 0 for none.
    pub placement_pause: u64,
    /// Whether links keep the order of their messages, as connections do.
    pub keeps_order: bool,
    /// Whether the head reads the platform's list, tells everyone of it and gives orders.
    pub platform: bool,
    pub script: Vec<FaultStep>,
    /// Whether faults affect machines that are lost already, once these are as many as the tolerance bears.
    pub within_tolerance: bool,
    /// Bytes per millisecond that a machine can send; None for any number.
    pub bandwidth: Option<u64>,
    /// Whether every state is compared with that of all others; bodies may be too large for that.
    pub compares_states: bool,
    /// Share of the acknowledgements that a blackout follows.
    pub blackout_after_acknowledgement: f64,
    pub planted_bug: Option<PlantedBug>,
    pub mutation: Option<Mutation>,
}

impl Scenario {
    /// Random faults of single machines for eleven seconds, on links that lose messages in half of the runs.
    pub fn with_random_faults(seed: u64, machines: u8) -> Scenario {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5bd1_e995);
        let lossy = random.random_bool(0.5);
        Scenario {
            faults: SINGLE_MACHINE_FAULTS.to_vec(),
            fault_interval: random.random_range(200..2_500),
            // All seeds take part in the first view: one that joins later is taken in with a second one only.
            fault_window: (random.random_range(800..2_000), 12_000),
            loss: if lossy { random.random_range(0.0..0.1) } else { 0.0 },
            doubling: if lossy { 0.05 } else { 0.0 },
            delay: random.random_range(2..60),
            back_within: 25_000,
            ..Scenario::without_faults(machines)
        }
    }

    pub fn without_faults(machines: u8) -> Scenario {
        Scenario {
            machines,
            tolerance: if machines >= 5 { 2 } else { 1 },
            faults: Vec::new(),
            fault_interval: 1_000_000,
            fault_window: (1_500, 3_000),
            loss: 0.0,
            doubling: 0.0,
            delay: 4,
            back_within: 4_000,
            client_interval: 40,
            filling: 0,
            own_changes: 0,
            operators: 0,
            operator_pause: 200,
            slow_copies: 0,
            huge: None,
            subscribers: 0,
            placement_pause: 0,
            keeps_order: false,
            platform: false,
            script: Vec::new(),
            within_tolerance: false,
            bandwidth: None,
            compares_states: true,
            blackout_after_acknowledgement: 0.0,
            planted_bug: None,
            mutation: None,
        }
    }
}

/// How one message is changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MutationKind {
    Drop,
    Double,
    /// The message arrives in part, and its connection ends.
    CutOff,
    /// The message arrives, and once more after the next views.
    Replay,
}

/// The message of a kind, counted from 0 after the first view, that is changed.
#[derive(Clone, Copy, Debug)]
pub struct Mutation {
    pub kind: usize,
    pub number: u32,
    pub how: MutationKind,
}

/// Number of a message's kind; None for those that the state machine doesn't take.
pub fn kind_of(message: &PeerMessage) -> Option<usize> {
    use orchidvalve_chain_replication::Message as Chain;
    use orchidvalve_consensus::Message as Agreement;
    let kind = match message {
        PeerMessage::Agreement(message) => match message {
            Agreement::Hello { .. } => 0,
            Agreement::Ping { .. } => 1,
            Agreement::Pong { .. } => 2,
            Agreement::Prepare { .. } => 3,
            Agreement::Promise { .. } => 4,
            Agreement::Accept { .. } => 5,
            Agreement::Accepted { .. } => 6,
            Agreement::Nack { .. } => 7,
            Agreement::Decided { .. } => 8,
        },
        PeerMessage::Chain(message) => match message {
            Chain::Position { .. } => 9,
            Chain::Locate { .. } => 17,
            Chain::Entries { .. } => 10,
            Chain::Acknowledge { .. } => 11,
            Chain::Reset { .. } => 12,
            Chain::Confirm { .. } => 13,
            Chain::Confirmed { .. } => 14,
        },
        PeerMessage::Forward { .. } => 15,
        PeerMessage::ForwardOutcome { .. } => 16,
        PeerMessage::Handshake { .. }
        | PeerMessage::Sessions { .. }
        | PeerMessage::SessionsUnchanged
        | PeerMessage::Usage { .. }
        | PeerMessage::Load { .. }
        | PeerMessage::Servers(_)
        | PeerMessage::Workers(_)
        | PeerMessage::LearnerCaughtUp { .. } => return None,
    };
    Some(kind)
}

/// What a run has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub events: u64,
    pub faults: u64,
    pub blackouts: u64,
    pub views: u64,
    pub acknowledged: u64,
    pub refused: u64,
    pub unclear: u64,
    pub reads: u64,
    pub checkpoints: u64,
    /// Most records that a disk held.
    pub records: usize,
    pub graceful_shutdowns: u64,
    /// Graceful shutdowns that waited until the others could do without.
    pub handed_over: u64,
}
