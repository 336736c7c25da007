//! The simulator adapter.

use std::process::ExitCode;

fn main() -> ExitCode {
    orchidvalve_simulator_adapter::run()
}
