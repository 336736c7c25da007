//! The former name of `orchidvalvectl`, kept for existing scripts.

use std::process::ExitCode;

fn main() -> ExitCode {
    orchidvalve_ctl::run_program()
}
