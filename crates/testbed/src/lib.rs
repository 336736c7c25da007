//! Emulators of everything outside the system, on loopback, so that the complete system runs on a single host.
//!
//! Each emulator is a state machine without I/O. It receives events with the time of a monotonic clock in
//! milliseconds, and collects its actions in [`effects::Effects`]. [`host::Host`] connects the emulators to sockets,
//! [`launch`] starts the system's processes, [`scenario`] runs load and faults on a schedule, and
//! [`invariants::InvariantChecker`] checks the observations of all emulators against the invariants.

pub mod application_server;
pub mod clients;
pub mod concurrent_operators;
pub mod configuration_document;
pub mod control_call;
pub mod credentials;
pub mod directory;
pub mod effects;
pub mod fault_proxy;
pub mod host;
pub mod http;
pub mod invariants;
pub mod launch;
pub mod model_server;
pub mod observation;
pub mod operator;
pub mod platform;
pub mod readiness_checks;
pub mod scenario;
pub mod server_fault;
mod server_frontend;
pub mod synthetic_text;
pub mod trainer;
