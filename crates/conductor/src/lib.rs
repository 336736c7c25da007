//! Command line for those who operate the system: configurations, status, batch jobs, retirements.
//!
//! [`run`] takes the parsed command line and writes what it found. Calls go over plain sockets, one connection
//! each, and move on to the next address until there is a clear answer.

pub mod arguments;
pub mod call;
pub mod check;
mod commands;
mod control;
pub mod error;
mod exchange;
mod jobs;
mod path_name;
mod status;

pub use arguments::{Arguments, Command, arguments};
pub use call::Timing;
pub use commands::run;
pub use error::ConductorError;
