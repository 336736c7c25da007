//! Starts the system's programs on loopback: machines with their settings files, and their processes.

mod launcher;
mod plan;
mod sockets;

pub use launcher::{LaunchError, Launcher, ProcessId, Usage};
pub use plan::{Machine, Plan, Ports, Role, ZONES, settings_text};
