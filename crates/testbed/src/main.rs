//! The program `orchidvalve-testbed`: runs the whole system on one machine against emulators.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use orchidvalve_testbed::scenario::{self, Fault, ScenarioOptions};

/// Emulators of everything outside the system
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run a small scenario with two trainers and plain clients, and report what came of it
    #[bpaf(command("demo"))]
    Demo {
        /// How long traffic lasts, in seconds
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        seconds: u64,
        /// Edge machines with a disk: they serve control, and traffic too
        #[bpaf(long("controls"), argument("N"), fallback(3), display_fallback)]
        control_nodes: usize,
        /// Edge machines in all
        #[bpaf(long("doors"), argument("N"), fallback(4), display_fallback)]
        gateways: usize,
        /// Storage machines
        #[bpaf(long("stores"), argument("N"), fallback(3), display_fallback)]
        store_nodes: usize,
        /// Seed of names, requests and work
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// The program with the roles control, door and store
        #[bpaf(argument("PATH"))]
        program: PathBuf,
        /// A fault, such as kill-store, kill-control or freeze-store; may be given several times
        #[bpaf(long("trouble"), argument("NAME"), many)]
        faults: Vec<Fault>,
        /// How long links are partitioned, in seconds
        #[bpaf(long("cut-seconds"), argument("N"), fallback(20), display_fallback)]
        partition_seconds: u64,
        /// Configure no tenants: nobody sends a key
        without_tenants: bool,
        /// Leave settings, data and logs behind
        keep: bool,
    },
}

fn main() -> ExitCode {
    let Options::Demo {
        seconds,
        control_nodes,
        gateways,
        store_nodes,
        seed,
        program,
        faults,
        partition_seconds,
        without_tenants,
        keep,
    } = options().run();
    if let Err(error) = orchidvalve_settings::logging::start(log::LevelFilter::Info) {
        eprintln!("{error}");
    }
    let options = ScenarioOptions {
        seconds,
        control_nodes: control_nodes.max(1),
        gateways,
        store_nodes: store_nodes.max(1),
        seed,
        program,
        faults,
        partition_seconds,
        without_tenants,
        keep,
    };
    match scenario::run(&options) {
        Ok(report) => {
            print!("{report}");
            if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
