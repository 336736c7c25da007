//! The operators' command line: configurations, status, batch jobs, retirements.
//!
//! [`run`] executes a parsed command line and writes its output. Each request uses a new connection, and is sent to one
//! address after another until there is a conclusive response.

use std::io;
use std::process::ExitCode;

pub mod arguments;
pub mod check;
mod commands;
mod control_client;
pub mod error;
mod exchange;
mod jobs;
mod path_name;
pub mod retry;
mod status;

pub use arguments::{Arguments, Command, arguments};
pub use commands::run;
pub use error::CommandError;
pub use retry::Timing;

/// Runs the command line of this process: output goes to standard output, errors to standard error.
pub fn run_program() -> ExitCode {
    let arguments = arguments().run();
    match run(&arguments, &Timing::default(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
