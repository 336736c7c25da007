//! The command line for operators: `orchidvalve node`, `experiment`, `logbook`, `maintenance`, `rehearse`, `search`,
//! `standin`, `why`.

mod error;
mod experiment;
mod logbook;
mod maintenance;
mod rehearse;
mod search;
mod standin;
mod why;

use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use orchidvalve_frontnode::config::{
    COLDSTART_VARIABLE, ConfigSource, FLEET_VARIABLE, LOGBOOK_VARIABLE, MAINTENANCE_VARIABLE,
    RECORD_VARIABLE, ROUTES_VARIABLE, TRACE_VARIABLE, VARIABLE,
};
use orchidvalve_frontnode::{log, node};

/// Exit status for a file, key or query that cannot be used. The error is printed as `FILE: PATH: reason`.
pub const UNUSABLE_INPUT: u8 = 2;

#[derive(Parser)]
#[command(name = "orchidvalve", version, about = "Co-ordinates queries over replicated shards")]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front node until SIGTERM
    Node(NodeArgs),
    /// Explain queries and check routes of the search gateway, without a node
    #[command(subcommand)]
    Search(search::Command),
    /// Inspect, compact or salvage the directory of a log store
    #[command(subcommand)]
    Logbook(logbook::Command),
    /// Take machines out for maintenance in the order that the front nodes agree on
    Maintenance(maintenance::MaintenanceArgs),
    /// Run a error scenario on this machine: front nodes as processes, stub stores, load and faults
    Rehearse(rehearse::RehearseArgs),
    /// Run many scenarios in virtual time: a grid of scenario keys, seeds and policies
    Experiment(experiment::ExperimentArgs),
    /// Explain from a trace why queries ended as they did
    Why(why::WhyArgs),
    /// Run a stub store on loopback, with documents in memory
    Standin(standin::StandinArgs),
}

#[derive(Args)]
struct NodeArgs {
    /// The configuration file
    #[arg(long, env = VARIABLE, value_name = "FILE")]
    config: String,
    /// The file of search routes, if the configuration does not name it
    #[arg(long, env = ROUTES_VARIABLE, value_name = "FILE")]
    search: Option<String>,
    /// The settings file of the log store, if the configuration does not name it
    #[arg(long, env = LOGBOOK_VARIABLE, value_name = "FILE")]
    logbook: Option<String>,
    /// The settings file of the fleet of front nodes, if the configuration does not name it
    #[arg(long, env = FLEET_VARIABLE, value_name = "FILE")]
    fleet: Option<String>,
    /// The settings file of the cold start, if the configuration does not name it
    #[arg(long, env = COLDSTART_VARIABLE, value_name = "FILE")]
    coldstart: Option<String>,
    /// The settings file of machine maintenance, if the configuration does not name it
    #[arg(long, env = MAINTENANCE_VARIABLE, value_name = "FILE")]
    maintenance: Option<String>,
    /// The settings file of request recording, if the configuration does not name it
    #[arg(long, env = RECORD_VARIABLE, value_name = "FILE")]
    record: Option<String>,
    /// Write the reason of each decision to this file, - for standard error; `orchidvalve why` reads it
    #[arg(long, env = TRACE_VARIABLE, value_name = "FILE")]
    trace: Option<String>,
    /// Format of the log lines on standard error
    #[arg(long, value_enum, default_value = "text")]
    log_format: LogFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Node(args) => {
            log::start(match args.log_format {
                LogFormat::Text => log::Format::Text,
                LogFormat::Json => log::Format::Json,
            });
            node::serve(ConfigSource {
                config: args.config,
                search: args.search,
                logbook: args.logbook,
                fleet: args.fleet,
                coldstart: args.coldstart,
                maintenance: args.maintenance,
                record: args.record,
                trace: args.trace,
            })
            .map_err(|error| error.to_string())
            .map_err(|error| (1, error))
        }
        Command::Search(command) => search::run(command).map_err(|error| (UNUSABLE_INPUT, error.to_string())),
        Command::Logbook(command) => {
            logbook::run(command).map_err(|error| (UNUSABLE_INPUT, error.to_string()))
        }
        Command::Maintenance(args) => {
            maintenance::run(&args).map_err(|error| (UNUSABLE_INPUT, error.to_string()))
        }
        Command::Rehearse(args) => match rehearse::run(&args) {
            Ok(status) => return ExitCode::from(status),
            Err(error) => Err((rehearse::error_status(), error.to_string())),
        },
        Command::Experiment(args) => {
            experiment::run(&args).map_err(|error| (UNUSABLE_INPUT, error.to_string()))
        }
        Command::Why(args) => why::run(&args).map_err(|error| (UNUSABLE_INPUT, error.to_string())),
        Command::Standin(args) => standin::run(args).map_err(|error| (UNUSABLE_INPUT, error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err((status, error)) => {
            eprintln!("orchidvalve: {error}");
            ExitCode::from(status)
        }
    }
}
