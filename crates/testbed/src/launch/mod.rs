//! Starts the system's processes on loopback: machines with settings files, and their processes.

mod error;
mod launcher;
mod settings_file;
mod signals;
mod spawner;
mod topology;
mod usage;

pub use error::LaunchError;
pub use launcher::{Launcher, ProcessId};
pub use settings_file::settings_text;
pub use topology::{Machine, Ports, Role, Topology, ZONES};
pub use usage::Usage;
