//! Errors of scenarios, plans, replays and runs.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

/// Why a scenario, or a plan of many runs, is invalid.
#[derive(Debug, Display, Error, From)]
pub enum ScenarioError {
    /// The text is not TOML, or a key is missing, unknown or of the wrong type.
    #[display("{_0}")]
    Toml(toml::de::Error),
    /// A value is out of bounds or refers to an unknown name.
    #[display("{key}: {reason}")]
    #[from(ignore)]
    Value {
        /// The path of the key in the file.
        key: String,
        /// The expected value, and the actual one where it is short.
        reason: String,
    },
    /// A scenario with keys set by a plan cannot be serialized to TOML again.
    #[display("{_0}")]
    Unwritable(toml::ser::Error),
}

impl ScenarioError {
    pub(crate) fn value(key: impl Into<String>, reason: impl Into<String>) -> ScenarioError {
        ScenarioError::Value { key: key.into(), reason: reason.into() }
    }
}

/// Why recordings cannot be replayed on a scenario.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ReplayError {
    /// The speed is not above 0.
    #[display("speed: should be above 0, not {speed}")]
    Speed {
        /// The requested speed.
        speed: f64,
    },
    /// The scenario has no service class of a recorded name.
    #[display(
        "{recording}: the scenario has no grade '{class}'; map it to one of the scenario's with --rename"
    )]
    UnknownClass {
        /// Name of the recording's file.
        recording: String,
        /// The recorded name of the service class.
        class: String,
    },
    /// The scenario has no tenant of a recorded name.
    #[display(
        "{recording}: the scenario has no tenant '{tenant}'; map it to one of the scenario's with --rename"
    )]
    UnknownTenant {
        /// Name of the recording's file.
        recording: String,
        /// The recorded name of the tenant.
        tenant: String,
    },
}

/// Why a run cannot be started or completed, or its report cannot be written.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The scenario is invalid.
    #[display("{_0}")]
    Scenario(ScenarioError),
    /// The scenario does not yield valid settings for front nodes.
    #[display("{fault}")]
    #[from(ignore)]
    Settings {
        /// The key and the reason.
        #[error(not(source))]
        fault: String,
    },
    /// The scenario has more front nodes than can run as processes on one machine.
    #[display("fronts: at most {most} front nodes can run as processes; run more in virtual time")]
    #[from(ignore)]
    TooManyFrontNodes {
        /// The maximum number of front nodes.
        most: usize,
    },
    /// A file or directory cannot be read or written.
    #[display("{}: {source}", path.display())]
    #[from(ignore)]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A component of the test bed cannot be started.
    #[display("{what}: {source}")]
    #[from(ignore)]
    Start {
        /// Name of the component.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A front node ended before it listened for clients.
    #[display("front node {index} did not start: {log}")]
    #[from(ignore)]
    FrontNodeEnded {
        /// Index of the front node.
        index: usize,
        /// The lines that the front node logged.
        log: String,
    },
    /// A front node has no standard error to read its address from.
    #[display("front node {index}: its standard error cannot be read")]
    #[from(ignore)]
    NoLog {
        /// Index of the front node.
        index: usize,
    },
    /// The front nodes were not ready in time.
    #[display("the front nodes were not ready within {seconds} s")]
    #[from(ignore)]
    NotReady {
        /// The time limit, in seconds.
        seconds: u64,
    },
    /// The run was stopped from outside.
    #[display("it was stopped")]
    Stopped,
    /// The report cannot be serialized as JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The chart cannot be drawn.
    #[display("{}: {reason}", path.display())]
    #[from(ignore)]
    Chart {
        /// Path of the chart's directory.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
}

impl RunError {
    pub(crate) fn settings(fault: impl std::fmt::Display) -> RunError {
        RunError::Settings { fault: fault.to_string() }
    }

    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> RunError + '_ {
        |source| RunError::File { path: path.to_owned(), source }
    }

    pub(crate) fn start(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
        |source| RunError::Start { what: what.into(), source }
    }
}
