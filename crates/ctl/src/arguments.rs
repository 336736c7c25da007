//! The command line of `orchidvalvectl`.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use derive_more::{Display, Error};

/// Environment variable with the control addresses, used if the command line gives none.
pub const CONTROL_VARIABLE: &str = "ORCHIDVALVE_CONTROL";
/// Environment variable with the gateways' addresses, used if the command line gives none.
pub const GATEWAY_VARIABLE: &str = "ORCHIDVALVE_DOOR";

/// A list of addresses, tried in turn.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Addresses(pub Vec<SocketAddrV4>);

/// An element of an address list is not `IP:PORT`.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("{text:?} is not an address: write IP:PORT, several separated by commas")]
pub struct AddressError {
    text: String,
}

impl FromStr for Addresses {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Addresses, AddressError> {
        let malformed = |text: &str| AddressError { text: text.to_owned() };
        let addresses = text.split(',').map(|one| one.trim().parse().map_err(|_| malformed(one)));
        addresses.collect::<Result<_, _>>().map(Addresses)
    }
}

/// Operates the system: configurations, status, batch jobs, retirements
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Control addresses, tried in turn
    #[bpaf(long, env("ORCHIDVALVE_CONTROL"), argument("ADDR,.."))]
    pub control: Option<Addresses>,
    /// Gateway addresses, tried in turn; used by the commands for batch jobs
    #[bpaf(long("door"), env("ORCHIDVALVE_DOOR"), argument("ADDR,.."))]
    pub gateway: Option<Addresses>,
    #[expect(missing_docs, reason = "the parser would print it as a heading of the commands")]
    #[bpaf(external)]
    pub command: Command,
}

/// A command of the command line.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Check a configuration file and print every error with its path; nothing is sent
    #[bpaf(command)]
    Check {
        /// The configuration as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the current configuration
    #[bpaf(command)]
    Get,
    /// Replace the whole configuration after checking it
    #[bpaf(command)]
    Put {
        /// Version that the new configuration builds on; 0 for the first one
        #[bpaf(long, argument("N"))]
        base: u64,
        /// The configuration as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Change single items of the configuration
    #[bpaf(command)]
    Patch {
        /// Version that the change builds on
        #[bpaf(long, argument("N"))]
        base: u64,
        /// The change as JSON: config-version, upsert, remove
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show members, chain, epoch, singleton roles, partitions and versions as a control node sees them
    #[bpaf(command)]
    Status {
        /// Print the response as JSON
        json: bool,
    },
    /// Show the results of a batch job so far
    #[bpaf(command)]
    Job {
        /// Print each result as one line of JSON
        json: bool,
        /// Id of the batch job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// End a batch job; none of its items runs from then on
    #[bpaf(command)]
    End {
        /// Id of the batch job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Move all data off a store node, so that the node can be removed
    #[bpaf(command)]
    Retire {
        /// Time within which the node should be empty, in seconds
        #[bpaf(long, argument("N"))]
        seconds: u64,
        /// Wait until the node is empty, at most for that time
        wait: bool,
        /// Name of the store node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Set the version of a model's weights
    #[bpaf(command("name-version"))]
    NameVersion {
        /// Name of the model
        #[bpaf(positional("MODEL"))]
        model: String,
        /// The new version, above the current one
        #[bpaf(positional("N"))]
        version: u64,
    },
    /// Check the settings file of a process; nothing is sent
    #[bpaf(command)]
    Settings {
        /// The settings file with lines of a.b=value
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
