//! Errors of the commands.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use orchidvalve_fault_injection::error::{ReplayError, RunError};

use crate::why::WhyError;

/// An error of a library.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a command failed. It is printed as `orchidvalve: ERROR` on standard error.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A file, a directory, an address or a flag cannot be used.
    #[display("{subject}: {source}")]
    #[from(ignore)]
    About {
        /// The file, directory, address or flag.
        subject: String,
        /// The cause.
        source: Cause,
    },
    /// A run cannot be started or completed, or its report cannot be written.
    #[display("{_0}")]
    Run(RunError),
    /// Recordings cannot be replayed on a scenario.
    #[display("{_0}")]
    Replay(ReplayError),
    /// A trace cannot be explained.
    #[display("{_0}")]
    Why(WhyError),
    /// A front node responded with an unexpected status.
    #[display("{node}: {status}: {response}")]
    #[from(ignore)]
    Status { node: SocketAddr, status: u16, response: String },
    /// The response of a front node is malformed.
    #[display("{node}: malformed HTTP response")]
    #[from(ignore)]
    MalformedResponse { node: SocketAddr },
    /// The maintenance queue did not list a requested change in time.
    #[display(
        "{node}: the maintenance queue did not list the change within {seconds} s; it may still be carried out: check with `list`"
    )]
    #[from(ignore)]
    ChangeNotListed { node: SocketAddr, seconds: u64 },
    /// The directory of a log store is damaged.
    #[display("{dir}: {}", faults.join("; "))]
    #[from(ignore)]
    Damaged { dir: String, faults: Vec<String> },
    /// A segment of a log store cannot be read.
    #[display("{dir}: segment {number:016x} cannot be read; see logbook check")]
    #[from(ignore)]
    UnreadableSegment { dir: String, number: u64 },
    /// The address of a stub store is not on loopback.
    #[display("--listen: {address} is not on loopback")]
    #[from(ignore)]
    NotLoopback { address: SocketAddr },
    /// The recordings contain no query in the duration of the scenario.
    #[display("the recordings contain no query within the duration of the scenario")]
    NothingRecorded,
    /// The experiment was stopped before its last run.
    #[display("stopped with {done} of {all} runs completed: run the same command again to resume")]
    #[from(ignore)]
    Stopped { done: usize, all: usize },
}

impl CommandError {
    /// Returns a conversion of a cause to an error about a file, a directory, an address or a flag.
    pub fn about<E: Into<Cause>>(subject: impl std::fmt::Display) -> impl FnOnce(E) -> CommandError {
        move |error| CommandError::About { subject: subject.to_string(), source: error.into() }
    }
}
