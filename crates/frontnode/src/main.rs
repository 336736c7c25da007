//! One front node, configured by the file that `$NODE_CONFIG` names.

use std::process::ExitCode;

use orchidvalve_frontnode::{config, log, node, node::Node};

fn serve() -> Result<(), String> {
    let signals = node::signals()?;
    let mut node = Node::start(config::from_environment()?)?;
    node.heed(signals)?;
    log!("listening on {}", node.address()?);
    node.run()
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log!("{fault}");
            ExitCode::FAILURE
        }
    }
}
