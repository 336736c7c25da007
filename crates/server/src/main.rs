//! The program of the system's processes: `orchidvalve-server control`, `orchidvalve-server door` (a gateway) and
//! `orchidvalve-server store`. An environment variable names the settings file.

use std::process::ExitCode;

use bpaf::Bpaf;

mod options;
mod roles;

use roles::{Role, role};

/// Runs a process of the system with the settings file that the environment variable ORCHIDVALVE_BOOT names.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Log debug messages as well
    #[bpaf(short, long)]
    verbose: bool,
    #[bpaf(external)]
    role: Role,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let level = if arguments.verbose { log::LevelFilter::Debug } else { log::LevelFilter::Info };
    if let Err(error) = orchidvalve_settings::logging::start(level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match roles::run(arguments.role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
