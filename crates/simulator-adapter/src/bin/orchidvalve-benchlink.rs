//! The simulator adapter under its former name.

use std::process::ExitCode;

fn main() -> ExitCode {
    orchidvalve_simulator_adapter::run()
}
