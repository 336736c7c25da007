//! Settings of a trainer. Times are in milliseconds.

/// What a trainer asks for, and how long it waits.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// Name in reports.
    pub name: String,
    /// Zone of the trainer.
    pub zone: String,
    /// Value of `Host`.
    pub host: String,
    /// API keys of the trainer's tenant; without any it sends none.
    pub keys: Vec<String>,
    /// The model that is trained.
    pub model: String,
    /// When steps begin.
    pub steps: StepSettings,
    /// The batch job of a step.
    pub batch: BatchSettings,
    /// The items of a batch job.
    pub items: ItemSettings,
    /// When batch jobs are read again.
    pub review: ReviewTimes,
    /// Seed of batch jobs.
    pub seed: u64,
}

/// When steps begin.
#[derive(Clone, Debug)]
pub struct StepSettings {
    /// Steps begin at this time,
    pub from: u64,
    /// and before this one.
    pub until: u64,
    /// Time from one step to the next.
    pub interval_ms: u64,
    /// Time from the end of a step to its version.
    pub train_ms: u64,
    /// Step k is submitted once version k + 1 - `steps_ahead` is named.
    pub steps_ahead: u64,
}

/// The batch job of a step.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Its groups.
    pub groups: usize,
    /// Items of a group.
    pub group_size: usize,
    /// Complete groups that the trainer waits for.
    pub required_groups: usize,
    /// Groups that were not complete are brought back by the next batch job, as many as make up half of
    /// `required_groups`.
    pub carry_over: bool,
    /// Step k allows version k + 1 - `version_lag` and newer.
    pub version_lag: u64,
    /// Each item may be generated under one version only.
    pub single_version: bool,
    /// Attempts that may fail before an item is given up.
    pub max_attempts: u64,
    /// Time after the first send at which items may be given up.
    pub max_queue_ms: u64,
    /// Time after the first send by which results are due.
    pub target_run_ms: u64,
    /// Time after the first send at which the trainer gives up.
    pub deadline_ms: u64,
}

/// The items of a batch job.
#[derive(Clone, Debug)]
pub struct ItemSettings {
    /// Beginning of their paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Tokens of a prompt that are its own.
    pub prompt_tokens: u64,
    /// Tokens of a prompt that the group shares.
    pub shared_tokens: u64,
    /// Events of a text at most.
    pub max_events: u64,
    /// Tokens in one event.
    pub stride: u64,
    /// Length of an item's body; that of its reward call has half of it.
    pub body_bytes: usize,
    /// Value of `Host` for reward calls.
    pub reward_host: String,
    /// Beginning of the paths of reward calls.
    pub reward_prefix: String,
}

/// When every batch job is read again from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReviewTimes {
    /// Time after which that begins.
    pub from: u64,
    /// Time after which it has to be done.
    pub until: u64,
}
