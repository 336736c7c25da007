//! One front node, configured by the file that `$NODE_CONFIG` names.

use std::process::ExitCode;

use orchidvalve_frontnode::{config, log, node::Node};

fn serve() -> Result<(), String> {
    let mut node = Node::start(config::from_environment()?)?;
    node.heed_signals()?;
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
