//! The scenario of a run: a TOML file written by an operator. Every key is checked, and an error names the key's path.
//!
//! ```
//! use orchidvalve_fault_injection::scenario::Scenario;
//!
//! let text = "name = 'quiet'\nlasts_s = 2.0\nfronts = 1\n[stores]\ncells = 2\n[[grade]]\nname = 'look'\n\
//!             effect = 'pure'\nsoft_ms = 300\nabandon_ms = 1000\n[[load]]\nfrom_s = 0.0\nto_s = 2.0\nrate = 20.0\n";
//! assert_eq!(Scenario::read(text).unwrap().stores.count(), 2);
//! let error = Scenario::read(&text.replace("lasts_s = 2.0", "lasts_s = 2000.0")).unwrap_err();
//! assert_eq!(error.to_string(), "lasts_s: should be 0.1 to 600, not 2000");
//! ```

mod check;

use serde::Deserialize;

use crate::error::ScenarioError;
use crate::{MS, Nanos, SECOND};

/// A scenario: the fleet, the load and the faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// How long clients send queries, in seconds.
    pub lasts_s: f64,
    /// The fraction of queries, 0 to 1, that must receive a response before their deadline for the run to pass.
    #[serde(rename = "aim", default = "Scenario::default_service_target")]
    pub service_target: f64,
    /// The number of front nodes.
    #[serde(rename = "fronts")]
    pub front_nodes: usize,
    /// The stores and their layout.
    pub stores: Stores,
    /// The service classes; at least one.
    #[serde(rename = "grade")]
    pub classes: Vec<ServiceClass>,
    /// The tenants; empty if queries belong to no tenant.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The load over time; left out if a recording is replayed instead.
    #[serde(default)]
    pub load: Vec<Load>,
    /// How clients retry.
    #[serde(default)]
    pub clients: Clients,
    /// The limits that front nodes are configured with and the invariant checker enforces.
    #[serde(default)]
    pub rules: Rules,
    /// The maintenance queue among the front nodes; left out: each machine is taken out of service on its own.
    #[serde(default)]
    pub order: Option<Order>,
    /// The limits and verdicts that front nodes share; left out: each front node decides alone.
    #[serde(default)]
    pub fleet: Option<Fleet>,
    /// Whether each front node that runs as a process records its requests, in a file beside its configuration.
    #[serde(default)]
    pub record: bool,
    /// The faults that are injected.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// The stores: their layout, capacity and timing.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stores {
    /// The number of cells in the ring, which is also the number of shards: a shard is held by its own cell and the
    /// `reach - 1` cells after it.
    pub cells: usize,
    /// The number of consecutive cells that hold a shard.
    pub reach: usize,
    /// The number of stores in a cell.
    pub per_cell: usize,
    /// Names of the failure domains; the stores of a cell are spread over them.
    pub zones: Vec<String>,
    /// The number of shard requests that a store processes at once.
    pub cores: usize,
    /// Processing time of a shard request, in milliseconds.
    pub work_ms: f64,
    /// The number of shard requests that may wait for a core; further ones are rejected.
    pub queue: usize,
    /// How long a store warms up after its start, in seconds: its capacity grows from `rules.cold_share` of the full
    /// capacity to all of it.
    pub cold_s: f64,
    /// How long a store is down after it was overloaded while warming up, in seconds.
    pub fall_s: f64,
    /// The delay until discovery notices that a store died, in milliseconds.
    pub notice_ms: u64,
}

impl Default for Stores {
    fn default() -> Stores {
        Stores {
            cells: 3,
            reach: 1,
            per_cell: 1,
            zones: vec!["a".to_owned()],
            cores: 4,
            work_ms: 5.0,
            queue: 64,
            cold_s: 2.0,
            fall_s: 1.0,
            notice_ms: 1000,
        }
    }
}

impl Stores {
    /// Returns the number of stores.
    pub fn count(&self) -> usize {
        self.cells * self.per_cell
    }

    /// Returns the cell of store `n`.
    pub fn cell(&self, n: usize) -> usize {
        n % self.cells
    }

    /// Returns the failure domain of store `n`.
    pub fn zone(&self, n: usize) -> &str {
        &self.zones[n / self.cells % self.zones.len()]
    }

    /// Returns whether the stores of a cell hold a shard.
    pub fn holds(&self, cell: usize, shard: usize) -> bool {
        (cell + self.cells - shard) % self.cells < self.reach
    }

    /// Returns the stores that hold a shard.
    pub fn stores_of(&self, shard: usize) -> impl Iterator<Item = usize> {
        (0..self.count()).filter(move |n| self.holds(self.cell(*n), shard))
    }
}

/// The effect of a repeated execution of a shard request, under its name in scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// No effect: the shard request may be executed any number of times.
    Pure,
    /// No effect within a window: stores drop repetitions by their idempotency key.
    Receipted,
    /// Each execution has an effect.
    Effectful,
}

/// A service class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceClass {
    /// Name of the service class.
    pub name: String,
    /// The effect of a repeated execution.
    pub effect: Effect,
    /// Latency target, in milliseconds.
    #[serde(rename = "soft_ms")]
    pub latency_target_ms: u64,
    /// Deadline of queries, in milliseconds after they are sent; clients stop waiting then.
    #[serde(rename = "abandon_ms")]
    pub deadline_ms: u64,
    /// Weight of this service class in the mix of queries.
    #[serde(default = "one")]
    pub weight: f64,
    /// The number of shards that a query reads; 0: all of them.
    #[serde(default)]
    pub shards: usize,
    /// The minimum completeness of a response, 0 to 1. Below 1, a response may be partial if it is not marked
    /// complete.
    #[serde(default = "one")]
    pub floor: f64,
    /// How long stores remember an idempotency key, in milliseconds, if the service class is receipted.
    #[serde(default = "ServiceClass::window_ms")]
    pub window_ms: u64,
}

/// A tenant of the scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Weight of this tenant in the mix of queries.
    #[serde(default = "one")]
    pub weight: f64,
    /// Quota of the tenant over all front nodes, in queries per second; left out: unlimited.
    #[serde(default)]
    pub share: Option<f64>,
}

/// A period of load. Where periods overlap, their rates add up.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Start of the period, in seconds since the run began.
    pub from_s: f64,
    /// End of the period, in seconds since the run began.
    pub to_s: f64,
    /// Queries per second at the start of the period.
    pub rate: f64,
    /// Queries per second at the end of the period, reached linearly; left out: same as `rate`.
    #[serde(default)]
    pub rate_end: Option<f64>,
    /// Name of the only tenant that sends these queries; left out: all tenants, by their weights.
    #[serde(default)]
    pub tenant: Option<String>,
}

/// How clients retry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The maximum number of retries after a rejection, or after a failure if the query can be repeated safely.
    pub tries: u32,
    /// Pause before the first retry, in milliseconds.
    pub wait_ms: u64,
    /// The maximum pause between tries, in milliseconds; the pause doubles with each try. A longer
    /// `Retry-After` of the response takes precedence.
    pub most_ms: u64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients { tries: 2, wait_ms: 100, most_ms: 1000 }
    }
}

/// The limits that front nodes are configured with and the invariant checker enforces.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The maximum number of attempts of a shard request.
    pub attempts_cap: usize,
    /// Time after which a store receives no new attempts once discovery published it as draining or gone, in
    /// milliseconds.
    pub grace_ms: u64,
    /// Fraction of its full capacity that a store has at the start of its warm-up, 0 to 1. A warming store fails when
    /// it receives more than `cold_multiple` times its current capacity during `cold_window_ms`.
    pub cold_share: f64,
    /// Multiple of the current capacity; see `cold_share`.
    pub cold_multiple: f64,
    /// Length of the window, in milliseconds; see `cold_share`.
    pub cold_window_ms: u64,
    /// The number of further attempts (beyond the first of a shard request) that a front node may always send in a
    /// window; left out: no budget is configured or checked.
    pub further_free: Option<f64>,
    /// Further attempts per received query or shard request in a window, in addition to `further_free`.
    pub further_share: f64,
    /// Length of the window, in milliseconds; see `further_free`.
    pub further_window_ms: u64,
    /// Tolerance of the checker's time limits, in milliseconds, for delays of the machine that runs the scenario.
    pub slack_ms: u64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            attempts_cap: 4,
            grace_ms: 1000,
            cold_share: 0.27,
            cold_multiple: 4.0,
            cold_window_ms: 1000,
            further_free: None,
            further_share: 0.2,
            further_window_ms: 1000,
            slack_ms: 100,
        }
    }
}

/// The maintenance queue that front nodes agree on (`crates/maintenance`).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The number of front nodes, the first ones, that are members of the group.
    pub members: usize,
    /// How long a machine drains before it is taken out of service, in milliseconds.
    #[serde(default = "Order::drain_ms")]
    pub drain_ms: u64,
    /// The maximum fraction of a shard's stores that may be out of service at once, 0 to 1.
    #[serde(default = "Order::share")]
    pub share: f64,
}

/// The state that front nodes share (`crates/fleet`).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The minimum number of attempts in a window that the fleet sends to a warming store.
    #[serde(default = "one")]
    pub cold_floor: f64,
    /// Budget of further attempts of the whole fleet, per second; left out: no shared budget.
    #[serde(default)]
    pub retries_a_second: Option<f64>,
}

/// The kind of a fault, under its name in scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// The process ends: connections are reset and new ones refused. It restarts at the end of the fault, warming up.
    Die,
    /// Responses begin and never end.
    Stall,
    /// Connections are accepted, and no request receives a response.
    Silent,
    /// Shard requests take longer.
    Slow {
        /// Factor of the processing time, at least 1.
        factor: f64,
    },
    /// The store loses a fraction of its cores.
    Cpu {
        /// The lost fraction of the cores, 0 to 1.
        lost: f64,
    },
    /// The store rejects a fraction of its shard requests.
    Refuse {
        /// The fraction of shard requests, 0 to 1.
        part: f64,
    },
    /// The store fails a fraction of its shard requests with an error.
    Spoil {
        /// The fraction of shard requests, 0 to 1.
        part: f64,
    },
    /// Discovery publishes the store as draining.
    Drain,
    /// The store drains and is removed for good; a new one replaces it at once and warms up.
    Replace,
    /// Maintenance of the store's machine: it drains, is off, and returns warming up. The front nodes' maintenance
    /// queue orders it, if the scenario has one.
    Patch {
        /// How long the store drains, in milliseconds.
        drain_ms: u64,
    },
    /// Discovery publishes all changes with a delay.
    RosterLag {
        /// The delay, in milliseconds.
        by_ms: u64,
    },
    /// Discovery is unresponsive.
    RosterSilent,
    /// Discovery keeps publishing dead stores as running.
    RosterLies,
    /// A front node is killed, and restarted at the end of the fault.
    FrontKilled {
        /// Index of the front node.
        front: usize,
    },
    /// A front node reloads its configuration.
    FrontReload {
        /// Index of the front node.
        front: usize,
    },
    /// A network partition between front nodes: datagrams between the first ones and the others are lost.
    FrontsCut {
        /// The number of front nodes on the first side of the partition.
        first: usize,
    },
}

impl FaultKind {
    /// Returns whether the fault affects stores.
    pub fn affects_stores(self) -> bool {
        use FaultKind::{Cpu, Die, Drain, Patch, Refuse, Replace, Silent, Slow, Spoil, Stall};
        matches!(
            self,
            Die | Stall
                | Silent
                | Slow { .. }
                | Cpu { .. }
                | Refuse { .. }
                | Spoil { .. }
                | Drain
                | Replace
                | Patch { .. }
        )
    }
}

/// A fault, its time, and the stores that it affects.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Start of the fault, in seconds since the run began.
    pub at_s: f64,
    /// Duration, in seconds; left out: the fault has none, or lasts until the end of the run if its kind has a
    /// duration.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Names of the affected stores. A fault of stores sets exactly one of `stores`, `zone` and `draw`.
    #[serde(default)]
    pub stores: Vec<String>,
    /// The failure domain whose stores are all affected.
    #[serde(default)]
    pub zone: Option<String>,
    /// The number of affected stores, drawn from the seed.
    #[serde(default)]
    pub draw: usize,
    /// For `draw`: the maximum fraction of a shard's replicas that are faulty at once, 0 to 1; one replica is always
    /// allowed.
    #[serde(default = "Fault::share")]
    pub share: f64,
    /// The kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

fn one() -> f64 {
    1.0
}

impl Scenario {
    fn default_service_target() -> f64 {
        0.95
    }
}

impl ServiceClass {
    fn window_ms() -> u64 {
        5000
    }
}

impl Order {
    fn drain_ms() -> u64 {
        600
    }
    fn share() -> f64 {
        0.5
    }
}

impl Fault {
    fn share() -> f64 {
        0.5
    }

    /// Returns the start of the fault.
    pub fn at(&self) -> Nanos {
        seconds(self.at_s)
    }

    /// Returns the end of the fault, at the latest the end of the run at `lasts`.
    pub fn until(&self, lasts: Nanos) -> Nanos {
        self.for_s.map_or(lasts, |s| (self.at() + seconds(s)).min(lasts)).max(self.at())
    }
}

/// Converts seconds to nanoseconds.
pub fn seconds(s: f64) -> Nanos {
    (s * SECOND as f64) as Nanos
}

/// Converts milliseconds to nanoseconds.
pub fn ms(ms: u64) -> Nanos {
    ms as Nanos * MS
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML, or if a key is missing or unknown or its value is out of bounds.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        check::unknown_keys(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns how long clients send queries.
    pub fn duration(&self) -> Nanos {
        seconds(self.lasts_s)
    }

    /// Returns the longest deadline of all service classes.
    pub fn longest_deadline(&self) -> Nanos {
        self.classes.iter().map(|g| ms(g.deadline_ms)).max().unwrap_or(SECOND)
    }
}
