//! Logging of the programs to standard error.

use std::io;

use derive_more::{Display, Error, From};

/// Logging cannot be set up.
#[derive(Debug, Display, Error, From)]
#[display("logging cannot be set up: {_0}; set it up only once")]
pub struct LoggingError(log::SetLoggerError);

/// Writes log records of `level` and more severe ones to standard error, each as a line `LEVEL message`. A
/// message begins with the name of the part of the program that it concerns.
///
/// # Errors
///
/// Returns an error if logging is already set up.
pub fn start(level: log::LevelFilter) -> Result<(), LoggingError> {
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level)
        .chain(io::stderr())
        .apply()?;
    Ok(())
}
