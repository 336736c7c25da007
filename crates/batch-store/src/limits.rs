//! The part of the configuration that concerns batch jobs.

use orchidvalve_protocol::time_limit::TimeLimit;

/// Time limits of the jobs of a route, counted from the acceptance of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// Time by which all results are due.
    pub target_run: TimeLimit,
    /// Time after which items may expire.
    pub max_queue: TimeLimit,
}

impl JobLimits {
    /// Limits of jobs whose route is not known to this store.
    pub(crate) const DEFAULT: JobLimits =
        JobLimits { target_run: TimeLimit::from_millis(60_000), max_queue: TimeLimit::from_millis(600_000) };
}

/// The current configuration as far as the store needs it.
pub trait LimitSource {
    /// Returns the limits of jobs on this route; `None` if there is no such route.
    fn limits(&self, hostname: &str, route_prefix: &str) -> Option<JobLimits>;

    /// Returns whether a tenant with this name exists.
    fn has_tenant(&self, name: &str) -> bool;
}
