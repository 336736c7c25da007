//! A front node, configured by the file that `$NODE_CONFIG` names.

use std::process::ExitCode;

use orchidvalve_frontnode::config::ConfigSource;
use orchidvalve_frontnode::log;
use orchidvalve_frontnode::node::{self, NodeError};

fn main() -> ExitCode {
    log::start(log::Format::Text);
    let served = ConfigSource::from_environment().map_err(NodeError::from).and_then(node::serve);
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}
