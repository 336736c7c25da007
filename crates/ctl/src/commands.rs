//! The commands of the command line.

use std::fs;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::Path;

use orchidvalve_settings::Settings;

use crate::arguments::{Addresses, Arguments, Command};
use crate::control_client::ControlClient;
use crate::error::CommandError;
use crate::path_name::path_name;
use crate::retry::Timing;
use crate::{check, jobs};

/// Runs the command and writes its output to `out`.
///
/// # Errors
///
/// Returns an error if the command failed; its message names a remedy.
pub fn run(arguments: &Arguments, timing: &Timing, out: &mut dyn Write) -> Result<(), CommandError> {
    let control = || {
        let addresses = addresses(&arguments.control, CommandError::NoControlAddress)?;
        Ok::<_, CommandError>(ControlClient { addresses, timing })
    };
    let gateways = || addresses(&arguments.gateway, CommandError::NoGatewayAddress);
    match &arguments.command {
        Command::Check { file } => check_file(file, &read_file(file)?, out),
        Command::Settings { file } => check_settings(file, out),
        Command::Get => control()?.get(out),
        Command::Put { base, file } => {
            let body = read_file(file)?;
            check_file(file, &body, &mut std::io::sink())?;
            control()?.change("PUT", *base, body, out)
        }
        Command::Patch { base, file } => control()?.change("PATCH", *base, read_file(file)?, out),
        Command::Status { json } => control()?.status(*json, out),
        Command::Retire { seconds, wait, node } => control()?.retire(node, *seconds, *wait, out),
        Command::NameVersion { model, version } => control()?.name_version(model, *version, out),
        Command::Job { json, id } => {
            jobs::show(gateways()?, timing, path_name("batch job's id", id)?, *json, out)
        }
        Command::End { id } => jobs::end(gateways()?, timing, path_name("batch job's id", id)?, out),
    }
}

fn addresses(given: &Option<Addresses>, missing: CommandError) -> Result<&[SocketAddrV4], CommandError> {
    given.as_ref().map(|addresses| addresses.0.as_slice()).ok_or(missing)
}

fn read_file(path: &Path) -> Result<Vec<u8>, CommandError> {
    fs::read(path).map_err(|source| CommandError::Unreadable { path: path.to_owned(), source })
}

fn check_file(path: &Path, body: &[u8], out: &mut dyn Write) -> Result<(), CommandError> {
    let errors = check::errors(body);
    if !errors.is_empty() {
        return Err(CommandError::InvalidConfiguration { path: path.to_owned(), errors });
    }
    writeln!(out, "{}: no errors", path.display())?;
    Ok(())
}

fn check_settings(path: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let text = String::from_utf8_lossy(&read_file(path)?).into_owned();
    let settings = Settings::parse(&text, path)?;
    writeln!(out, "{}: the settings of {} can be used", path.display(), settings.node_name)?;
    Ok(())
}
