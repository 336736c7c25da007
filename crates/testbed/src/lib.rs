//! Emulators on loopback of everything outside the system, so that the whole system runs on one machine.
//!
//! Each emulator is a state machine without I/O: what happens comes in together with the time in milliseconds of a
//! steady clock, and what it does is collected in [`effects::Effects`]. [`host::Host`] puts the emulators on sockets,
//! [`launch`] starts the system's programs, [`scenario`] plays load and faults by time, and
//! [`invariants::InvariantChecker`] compares what all emulators saw with the rules.

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
