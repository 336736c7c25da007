//! One front node, configured by the file that `$NODE_CONFIG` names.

use std::process::ExitCode;

use orchidvalve_frontnode::config::Source;
use orchidvalve_frontnode::{log, node};

fn main() -> ExitCode {
    log::start(log::Format::Text);
    match Source::from_environment().and_then(node::serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log!("{fault}");
            ExitCode::FAILURE
        }
    }
}
