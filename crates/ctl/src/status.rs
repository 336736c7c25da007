//! Formats the status of the system as a table.

use std::fmt::Write;

use orchidvalve_configuration::reader::{ReadError, ValueReader};
use serde_json::Value;

use crate::error::CommandError;

/// The number of spaces between two columns.
const GAP: usize = 2;

/// Formats the status document of a control node as a table.
///
/// # Errors
///
/// Returns an error if a field is missing or has an unexpected type.
pub fn table(status: &Value) -> Result<String, CommandError> {
    layout(&ValueReader::root(status))
        .map_err(|error| CommandError::UnexpectedResponse { reason: error.to_string() })
}

fn layout(status: &ValueReader<'_, '_>) -> Result<String, ReadError> {
    let in_touch = match status.field("in-touch")?.flag()? {
        true => "in touch with a majority",
        false => "NOT in touch with a majority: what follows may be old",
    };
    let number = |name: &str| Ok::<_, ReadError>(status.field(name)?.unsigned()?.to_string());
    let duties = status.optional("duties")?.map(|d| d.text()).transpose()?;
    let mut facts = vec![
        vec!["asked".to_owned(), format!("{}, {in_touch}", status.field("name")?.text()?)],
        vec!["epoch".to_owned(), number("epoch")?],
        vec!["chain".to_owned(), joined(&status.field("chain")?, " -> ")?],
        vec!["voters".to_owned(), joined(&status.field("voters")?, ", ")?],
        vec!["duties".to_owned(), duties.unwrap_or("nobody").to_owned()],
        vec!["change".to_owned(), number("change")?],
        vec!["configuration".to_owned(), number("configuration")?],
        vec!["servers".to_owned(), number("servers")?],
    ];
    facts.extend(usage(status)?);
    let mut text = columns(&facts);
    for rows in [versions(status)?, members(status)?, partitions(status)?] {
        text.push('\n');
        text.push_str(&columns(&rows));
    }
    Ok(text)
}

/// Returns the row about usage reports: the last decided window, and the number of reports that the platform has not
/// accepted.
fn usage(status: &ValueReader<'_, '_>) -> Result<Option<Vec<String>>, ReadError> {
    let Some(usage) = status.optional("usage")? else { return Ok(None) };
    let unaccepted = usage.field("unaccepted")?.items()?.count();
    let text = match usage.optional("last-decided")? {
        Some(window) => format!("decided through window {}, {unaccepted} not accepted", window.unsigned()?),
        None => "none decided".to_owned(),
    };
    Ok(Some(vec!["usage".to_owned(), text]))
}

fn versions(status: &ValueReader<'_, '_>) -> Result<Vec<Vec<String>>, ReadError> {
    let mut rows = vec![header(&["MODEL", "VERSION"])];
    let versions = status.field("versions")?;
    for (model, version) in versions.object()? {
        rows.push(vec![model.clone(), version.to_string()]);
    }
    Ok(rows)
}

fn members(status: &ValueReader<'_, '_>) -> Result<Vec<Vec<String>>, ReadError> {
    let mut rows = Vec::new();
    for member in status.field("members")?.items()? {
        let field = |name: &str| Ok::<_, ReadError>(member.field(name)?.text()?.to_owned());
        rows.push(vec![field("name")?, field("role")?, field("zone")?]);
    }
    rows.sort();
    rows.insert(0, header(&["MEMBER", "ROLE", "ZONE"]));
    Ok(rows)
}

fn partitions(status: &ValueReader<'_, '_>) -> Result<Vec<Vec<String>>, ReadError> {
    let mut rows = vec![header(&["PARTITION", "EPOCH", "CHAIN", "LEARNERS"])];
    for (number, partition) in status.field("partitions")?.items()?.enumerate() {
        rows.push(vec![
            number.to_string(),
            partition.field("epoch")?.unsigned()?.to_string(),
            joined(&partition.field("members")?, " -> ")?,
            joined(&partition.field("learners")?, ", ")?,
        ]);
    }
    Ok(rows)
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn joined(list: &ValueReader<'_, '_>, separator: &str) -> Result<String, ReadError> {
    let texts: Vec<&str> = list.items()?.map(|item| item.text()).collect::<Result<_, _>>()?;
    Ok(if texts.is_empty() { "-".to_owned() } else { texts.join(separator) })
}

/// Formats rows with every column as wide as its widest cell.
fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|r| r.get(column)).map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing into a String cannot fail.
            let _ = write!(line, "{cell:<pad$}", pad = width + GAP);
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
