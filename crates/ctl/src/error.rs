//! Errors of the commands. Each message names a remedy.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use orchidvalve_settings::SettingsError;

use crate::arguments::{CONTROL_VARIABLE, GATEWAY_VARIABLE};
use crate::retry::AttemptError;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The command needs a control node, and no address was given.
    #[display("no control address: give --control ADDR,.. or set {CONTROL_VARIABLE}")]
    NoControlAddress,
    /// The command needs a gateway, and no address was given.
    #[display("no address of a gateway: give --door ADDR,.. or set {GATEWAY_VARIABLE}")]
    NoGatewayAddress,
    /// A file cannot be read.
    #[display("{}: cannot be read ({source}): check its path and permissions", path.display())]
    #[from(ignore)]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A settings file has an error.
    Settings(SettingsError),
    /// A configuration has errors.
    #[display("{}: correct these {} errors:\n{}", path.display(), errors.len(), errors.join("\n"))]
    #[from(ignore)]
    InvalidConfiguration {
        /// Path of the file.
        path: PathBuf,
        /// The errors, each with its path in the document.
        errors: Vec<String>,
    },
    /// A name contains characters that cannot be part of a request path.
    #[display("{name:?} cannot be a {what}: use only letters, digits, dots, dashes and underscores")]
    #[from(ignore)]
    InvalidName {
        /// The kind of the name, for the message.
        what: &'static str,
        /// The invalid name.
        name: String,
    },
    /// No attempt received a conclusive response. The request may have been executed.
    #[display(
        "no conclusive response in {attempts} attempts (last: {address}: {reason}): check that the nodes and the network are up, \
         then run the command again; a change that was already made is not made twice"
    )]
    #[from(ignore)]
    NoResponse {
        /// The number of attempts.
        attempts: u32,
        /// Address of the last attempt.
        address: SocketAddrV4,
        /// How the last attempt failed.
        reason: AttemptError,
    },
    /// The response is conclusive, but not a success.
    #[display("{address} answered {status}: {reason}")]
    #[from(ignore)]
    Rejected {
        /// Address of the node that rejected the request.
        address: SocketAddrV4,
        /// Status code of the response.
        status: u16,
        /// The reason in the response.
        reason: String,
    },
    /// The body of a response does not have the expected format.
    #[display("unexpected response ({reason}): run orchidvalvectl in the same version as the system")]
    #[from(ignore)]
    UnexpectedResponse {
        /// The difference to the expected format.
        reason: String,
    },
    /// A store node was not empty in time.
    #[display(
        "{node} is not empty after {seconds} s: leave it running and run the command again with --wait; \
         it may be removed only once it is empty"
    )]
    #[from(ignore)]
    RetirementUnfinished {
        /// Name of the store node.
        node: String,
        /// The time limit, in seconds.
        seconds: u64,
    },
    /// The output cannot be written.
    #[display("the output cannot be written ({_0}): check its destination")]
    Output(io::Error),
}
