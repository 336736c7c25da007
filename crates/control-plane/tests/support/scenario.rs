//! The parameters of a simulation run, and its summary.

use orchidvalve_control_plane::peer_messages::PeerMessage;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fault_script::FaultStep;
use super::random_faults::{RandomFault, SINGLE_MACHINE_FAULTS};

/// Bugs that a run plants on purpose, to prove that the invariant checker detects them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlantedBug {
    /// Disks report records as durable as soon as they are appended.
    LyingDisks,
    /// Changes are answered as done as soon as they are submitted.
    EarlyAnswers,
    /// Refused changes are answered as done.
    RefusalsAsDone,
    /// Changes that are done are answered as refused.
    DoneAsRefusals,
    /// Reads are answered from the local state of the machine, without a barrier.
    LocalReads,
    /// Every machine occasionally skips a committed change.
    SkippedChanges,
    /// Requests never complete with an unknown outcome.
    NoTimeouts,
    /// Messages of the chain are lost forever once the faults have ended.
    SilentChain,
    /// Refusals are decided from the local state of the machine.
    LocalRefusals,
    /// A start does not find the latest entries of its log.
    ForgottenEntries,
    /// A start does not find the promises and decisions of the agreement on views.
    ForgottenVotes,
    /// Learners always report that they are caught up.
    HastyLearners,
    /// Members acknowledge entries to their predecessors before the entries are durable.
    EarlyAcknowledgements,
    /// A process exits as soon as it receives the stop signal.
    HastyShutdowns,
    /// All starts of a process use the same incarnation, and thus the same request numbers.
    SameIncarnation,
    /// A control node uses a subscriber's position from an earlier session.
    StaleFeedPositions,
    /// Subscribers replace a newer state by an older one.
    BackwardFeed,
    /// A control node without a quorum keeps its subscribers.
    KeptSubscribers,
    /// Server tables are numbered by the epoch of the view, which outlives the process of the head, and not by a term.
    ViewNumberedTables,
    /// A new head gives orders without waiting for the lease of the former head to expire.
    NoLease,
    /// A machine responds from its local state alone that a store node does not exist.
    LocalNotFound,
}

/// The parameters of a simulation run. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub machines: u8,
    pub tolerance: usize,
    pub faults: Vec<RandomFault>,
    /// Mean time between faults.
    pub fault_interval: u64,
    /// Time span outside of which no fault begins.
    pub fault_window: (u64, u64),
    /// Fractions of the messages that are lost and duplicated in the fault window, and the longest delay of a message.
    pub loss: f64,
    pub duplication: f64,
    pub delay: u64,
    /// Time after the end of the fault window by which all machines must be in the chain again.
    pub back_within: u64,
    pub client_interval: u64,
    /// Bytes of filling in each configuration.
    pub filling: usize,
    /// Changes proposed by the head itself at each step of the clients.
    pub own_changes: u32,
    /// Number of operators, which replace the random clients; 0 runs the random clients.
    pub operators: usize,
    /// Pause between two requests of one operator.
    pub operator_pause: u64,
    /// Time after a start in the fault window during which chain entries sent to the process are lost.
    pub slow_copies: u64,
    /// `(every, bytes)`: every so many changes of the operators, one has this many bytes of filling.
    pub huge: Option<(usize, usize)>,
    pub subscribers: usize,
    /// Pause between two placement changes proposed by the head; 0 disables them.
    pub placement_pause: u64,
    /// Whether links keep the order of their messages, as connections do.
    pub keeps_order: bool,
    /// Whether the head polls the platform's list, distributes server tables and gives orders.
    pub platform: bool,
    pub script: Vec<FaultStep>,
    /// Whether faults affect only machines that are already lost once these are as many as the tolerance permits.
    pub within_tolerance: bool,
    /// Bytes per millisecond that a machine can send; `None` for no limit.
    pub bandwidth: Option<u64>,
    /// Whether the states of all machines are compared; very large bodies make this too slow.
    pub compares_states: bool,
    /// Fraction of the acknowledgements that are followed by a fault of all machines.
    pub blackout_after_acknowledgement: f64,
    pub planted_bug: Option<PlantedBug>,
    pub mutation: Option<Mutation>,
}

impl Scenario {
    /// Random faults of single machines until 12 s, on links that lose messages in half of the runs.
    pub fn with_random_faults(seed: u64, machines: u8) -> Scenario {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5bd1_e995);
        let lossy = random.random_bool(0.5);
        Scenario {
            faults: SINGLE_MACHINE_FAULTS.to_vec(),
            fault_interval: random.random_range(200..2_500),
            // All seeds take part in the first view: a machine that joins later is only included in a second view.
            fault_window: (random.random_range(800..2_000), 12_000),
            loss: if lossy { random.random_range(0.0..0.1) } else { 0.0 },
            duplication: if lossy { 0.05 } else { 0.0 },
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
            duplication: 0.0,
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

/// The way in which one message is mutated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MutationKind {
    Drop,
    Duplicate,
    /// Only a part of the message arrives, and its connection closes.
    Truncate,
    /// The message arrives twice, the second time 4 s later, after further views.
    Replay,
}

/// Selects the message to mutate: by its kind, and by its number among that kind, from 0.
#[derive(Clone, Copy, Debug)]
pub struct Mutation {
    pub kind: usize,
    pub number: u32,
    pub how: MutationKind,
}

/// Returns the number of a message's kind, or `None` for messages that the state machine does not process.
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

/// Counters of a simulation run.
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
    /// The largest number of records held on any disk.
    pub records: usize,
    pub graceful_shutdowns: u64,
    /// Graceful shutdowns that waited until the other machines no longer needed the process.
    pub handed_over: u64,
}
