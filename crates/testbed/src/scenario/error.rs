//! Errors that end a scenario early.

use std::io;

use derive_more::{Display, Error, From};

use crate::launch::LaunchError;

/// The reason why a scenario cannot be run to its end.
#[derive(Debug, Display, Error, From)]
pub enum ScenarioError {
    /// The system's processes cannot be started or reached.
    #[display("{_0}")]
    Launch(LaunchError),
    /// The emulators' event loop failed.
    #[display("the emulators cannot continue: {_0}; check that addresses in 127.0.0.0/8 and ports are free")]
    Host(io::Error),
    /// The system did not accept the first configuration in time.
    #[display("the system did not accept a configuration in time; read the logs in {directory}")]
    #[from(skip)]
    NotReady {
        /// Directory of the settings, data and logs.
        #[error(not(source))]
        directory: String,
    },
}
