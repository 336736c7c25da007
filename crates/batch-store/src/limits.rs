//! What the configuration says about batch jobs.

/// What the configuration says about the jobs of a route, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// Time until all results are due.
    pub target_run_ms: u64,
    /// Time after which an item may expire.
    pub max_queue_ms: u64,
}

impl JobLimits {
    /// Limits of jobs whose route isn't known here yet.
    pub(crate) const DEFAULT: JobLimits = JobLimits { target_run_ms: 60_000, max_queue_ms: 600_000 };
}

/// The configuration in force, as far as the store needs it.
pub trait LimitSource {
    /// Limits of the route of these jobs; None if there is no such route.
    fn limits(&self, hostname: &str, route_prefix: &str) -> Option<JobLimits>;

    /// Whether there is a tenant with this name.
    fn has_tenant(&self, name: &str) -> bool;
}
