//! Errors of a launch.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// The reason why a process cannot be started, reached or ended.
#[derive(Debug, Display, Error, From)]
pub enum LaunchError {
    /// No block of ports is free at all addresses of the launch.
    #[display("no block of ports is free; end the processes that use them")]
    NoFreePorts,
    /// A file or directory of the launch cannot be used.
    #[display("{}: {error}; check that the directory is writable", path.display())]
    #[from(skip)]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The program cannot be started.
    #[display("{} cannot be started: {error}; build it and pass its path with --program", program.display())]
    #[from(skip)]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The process is not running.
    #[display("{_0} is not running; start it first")]
    #[from(skip)]
    NotRunning(#[error(not(source))] String),
    /// The disk of a running process cannot be wiped.
    #[display("{_0} is running; kill it before wiping its disk")]
    #[from(skip)]
    StillRunning(#[error(not(source))] String),
    /// A signal cannot be sent.
    #[display("a signal cannot be sent: {_0}; the process has exited, restart it")]
    Signal(rustix::io::Errno),
    /// The process cannot be killed or waited for.
    #[display("{process} cannot be killed: {error}; kill it manually")]
    #[from(skip)]
    End {
        /// Name of the process.
        process: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The thread that starts processes has exited.
    #[display("the thread that starts processes has exited; restart the launch")]
    #[from(skip)]
    SpawnerGone,
}
