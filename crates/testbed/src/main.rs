//! The program `orchidvalve-testbed`: runs the complete system on a single host against emulators.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use orchidvalve_testbed::scenario::{self, ScenarioOptions, TimedFault};

/// Emulators of everything outside the system
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run a small scenario with two trainers and plain clients, and print a report
    #[bpaf(command("demo"))]
    Demo {
        /// Duration of the traffic, in seconds
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        seconds: u64,
        /// Number of edge machines with a disk; each runs a control node and a gateway
        #[bpaf(long("controls"), argument("N"), fallback(3), display_fallback)]
        control_nodes: usize,
        /// Number of all edge machines
        #[bpaf(long("doors"), argument("N"), fallback(4), display_fallback)]
        gateways: usize,
        /// Number of storage machines
        #[bpaf(long("stores"), argument("N"), fallback(3), display_fallback)]
        store_nodes: usize,
        /// Seed of the generated names, requests and service times
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// The program with the roles control, door and store
        #[bpaf(argument("PATH"))]
        program: PathBuf,
        /// A fault, such as kill-store, kill-control or freeze-store; may be given several times. All begin together,
        /// except those given as NAME@SECONDS, which begin so many seconds later
        #[bpaf(long("trouble"), argument("NAME"), many)]
        faults: Vec<TimedFault>,
        /// Duration of link faults, in seconds
        #[bpaf(long("cut-seconds"), argument("N"), fallback(20), display_fallback)]
        partition_seconds: u64,
        /// Configure no tenants, so that clients send no API keys
        without_tenants: bool,
        /// Keep settings, data and logs
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
