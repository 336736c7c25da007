//! The program `orchidvalvectl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    orchidvalve_ctl::run_program()
}
