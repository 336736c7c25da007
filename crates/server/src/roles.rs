//! Runs the process of each role.

use bpaf::Bpaf;
use derive_more::{Display, Error, From};
use orchidvalve_bootstrap::ProcessError;
use orchidvalve_data_plane::gateway::GatewayError;
use orchidvalve_protocol::identity::random_incarnation;
use orchidvalve_settings::{Settings, SettingsError};

use crate::options::{MissingSetting, control_options, gateway_options, observer_options, store_options};

/// The role of the process.
#[derive(Clone, Copy, Debug, Bpaf)]
pub enum Role {
    /// Run a control node, which keeps the configuration and decides placements
    #[bpaf(command)]
    Control,
    /// Run a gateway, which accepts requests of clients and runs generations
    #[bpaf(command("door"))]
    Gateway,
    /// Run a store node, which keeps batch jobs and their results
    #[bpaf(command)]
    Store,
    /// Check the settings, print the first error in them, and exit
    #[bpaf(command)]
    Check,
}

/// The reason why a process ends with an error.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The settings cannot be read.
    Settings(SettingsError),
    /// The settings lack a key that the role requires.
    Missing(MissingSetting),
    /// The control node failed.
    #[display("control: {_0}")]
    #[from(ignore)]
    Control(ProcessError),
    /// The gateway failed.
    Gateway(GatewayError),
    /// The store node failed.
    #[display("store: {_0}")]
    #[from(ignore)]
    Store(ProcessError),
}

/// Runs the process of a role until it exits.
///
/// # Errors
///
/// Returns an error if the settings are invalid for the role, or if the process fails.
pub fn run(role: Role) -> Result<(), RunError> {
    let settings = Settings::load_from_environment()?;
    match role {
        Role::Control if settings.data_directory.is_none() => {
            let result =
                orchidvalve_control_plane::observer::run(&observer_options(&settings)?, random_incarnation());
            result.map_err(|error| RunError::Control(error.into()))
        }
        Role::Control => {
            orchidvalve_control_plane::process::run(control_options(&settings)?).map_err(RunError::Control)
        }
        Role::Gateway => Ok(orchidvalve_data_plane::gateway::run(gateway_options(&settings)?)?),
        Role::Store => {
            orchidvalve_batch_store::process::run(store_options(&settings)?).map_err(RunError::Store)
        }
        Role::Check => {
            println!("the settings of {} can be used", settings.node_name);
            Ok(())
        }
    }
}
