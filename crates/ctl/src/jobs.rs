//! Commands for batch jobs: printing the results so far, and ending a job.

use std::io::Write;
use std::net::SocketAddrV4;

use orchidvalve_configuration::reader::{ReadError, ValueReader};
use serde_json::Value;

use crate::error::CommandError;
use crate::exchange::Request;
use crate::retry::{Timing, send};

const JOBS_PREFIX: &str = "/v1/lots/";
const NOT_FOUND: &str = "no such batch job; check the id";

/// One page of results.
struct Page {
    /// The number of items in the job.
    total: u64,
    /// The position after the last result of the page.
    next: u64,
    results: Vec<Value>,
}

/// Prints the results of a batch job so far to `out`, in order of position.
///
/// # Errors
///
/// Returns an error if the request was rejected, if no gateway gave a conclusive response, or if a response is not a
/// page of results.
pub fn show(
    gateways: &[SocketAddrV4],
    timing: &Timing,
    id: &str,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let mut after = 0;
    loop {
        let target = format!("{JOBS_PREFIX}{id}?after-seq={after}");
        let request = Request { method: "GET", target, headers: Vec::new(), body: Vec::new() };
        let document = send(gateways, &request, timing)?.document(NOT_FOUND)?;
        let page = read_page(&document)?;
        for (result, position) in page.results.iter().zip(after..) {
            if json {
                writeln!(out, "{result}")?;
            } else {
                writeln!(out, "{}", line(position, result)?)?;
            }
        }
        // Stops at the last page, and at a page that does not advance, which would otherwise be requested forever.
        if page.next <= after || page.next >= page.total {
            if !json {
                writeln!(out, "{} of {} results", page.next, page.total)?;
            }
            return Ok(());
        }
        after = page.next;
    }
}

/// Ends a batch job.
///
/// # Errors
///
/// Returns an error if the request was rejected, or if no gateway gave a conclusive response.
pub fn end(
    gateways: &[SocketAddrV4],
    timing: &Timing,
    id: &str,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let target = format!("{JOBS_PREFIX}{id}");
    let request = Request { method: "DELETE", target, headers: Vec::new(), body: Vec::new() };
    send(gateways, &request, timing)?.success(NOT_FOUND)?;
    writeln!(out, "{id} is ended")?;
    Ok(())
}

fn read_page(document: &Value) -> Result<Page, CommandError> {
    let read = || -> Result<Page, ReadError> {
        let root = ValueReader::root(document);
        Ok(Page {
            total: root.field("total")?.unsigned()?,
            next: root.field("next-token")?.unsigned()?,
            results: root.field("results")?.items()?.map(|result| result.value().clone()).collect(),
        })
    };
    read().map_err(|error| CommandError::UnexpectedResponse { reason: error.to_string() })
}

fn line(position: u64, result: &Value) -> Result<String, CommandError> {
    let read = || -> Result<String, ReadError> {
        let result = ValueReader::root(result);
        let (item, state) = (result.field("instance-id")?, result.field("state")?);
        let bytes = result.field("message")?.text()?.len();
        let versions = match result.optional("weight-versions")? {
            Some(versions) => versions.value().to_string(),
            None => "[]".to_owned(),
        };
        let scored = if result.optional("score")?.is_some() { "scored" } else { "no score" };
        Ok(format!(
            "{position:>5}  {}  {}  {bytes} bytes  versions {versions}  {scored}",
            item.text()?,
            state.text()?
        ))
    };
    read().map_err(|error| CommandError::UnexpectedResponse { reason: error.to_string() })
}
