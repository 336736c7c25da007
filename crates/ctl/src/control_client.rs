//! Requests of operators to the control plane.

use std::io::Write;
use std::net::SocketAddrV4;
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use crate::error::CommandError;
use crate::exchange::Request;
use crate::path_name::path_name;
use crate::retry::{Conclusive, Timing, send};
use crate::status;

const CONFIGURATION_PATH: &str = "/v1/configuration";
const VERSION_PATH: &str = "/v1/version-put";
const STATUS_PATH: &str = "/v1/status";
/// The reason that is printed if a rejection has no body.
const UNEXPLAINED: &str = "the response gives no reason; see the log of that node";

/// Sends requests to the control nodes.
pub(crate) struct ControlClient<'a> {
    /// Addresses of the control nodes, tried in turn.
    pub addresses: &'a [SocketAddrV4],
    pub timing: &'a Timing,
}

impl ControlClient<'_> {
    fn send(
        &self,
        method: &'static str,
        target: &str,
        headers: Vec<(&'static str, String)>,
        body: Vec<u8>,
    ) -> Result<Conclusive, CommandError> {
        send(self.addresses, &Request { method, target: target.to_owned(), headers, body }, self.timing)
    }

    /// Prints the configuration to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was rejected, or if no control node gave a conclusive response.
    pub fn get(&self, out: &mut dyn Write) -> Result<(), CommandError> {
        let body = self.send("GET", CONFIGURATION_PATH, Vec::new(), Vec::new())?.success(UNEXPLAINED)?;
        out.write_all(&body)?;
        writeln!(out)?;
        Ok(())
    }

    /// Replaces (PUT) or patches (PATCH) the configuration on top of version `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was rejected, or if no control node gave a conclusive response.
    pub fn change(
        &self,
        method: &'static str,
        base: u64,
        body: Vec<u8>,
        out: &mut dyn Write,
    ) -> Result<(), CommandError> {
        let headers = vec![("If-Match", base.to_string())];
        self.send(method, CONFIGURATION_PATH, headers, body)?.success(UNEXPLAINED)?;
        writeln!(out, "taken on top of version {base}")?;
        Ok(())
    }

    /// Prints the state of the system to `out`, as JSON or as a table.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was rejected, or if no control node gave a conclusive response.
    pub fn status(&self, json: bool, out: &mut dyn Write) -> Result<(), CommandError> {
        let status = self.send("GET", STATUS_PATH, Vec::new(), Vec::new())?.document(UNEXPLAINED)?;
        if json {
            writeln!(out, "{status:#}")?;
        } else {
            out.write_all(status::table(&status)?.as_bytes())?;
        }
        Ok(())
    }

    /// Sets the version of a model's weights.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was rejected, or if no control node gave a conclusive response.
    pub fn name_version(&self, model: &str, version: u64, out: &mut dyn Write) -> Result<(), CommandError> {
        let body = json!({"model": model, "config-version": version}).to_string().into_bytes();
        self.send("POST", VERSION_PATH, Vec::new(), body)?.success(UNEXPLAINED)?;
        writeln!(out, "noted: version {version} of {model}")?;
        Ok(())
    }

    /// Starts the retirement of a store node and, if `wait` is set, waits until the node is empty, at most `seconds`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was rejected, if no control node gave a conclusive response, or if the node is
    /// not empty in time.
    pub fn retire(
        &self,
        node: &str,
        seconds: u64,
        wait: bool,
        out: &mut dyn Write,
    ) -> Result<(), CommandError> {
        let target = format!("/v1/retire/{}", path_name("store node's name", node)?);
        let body = json!({"duration-s": seconds}).to_string().into_bytes();
        let begun = Instant::now();
        self.send("POST", &target, Vec::new(), body)?.success(UNEXPLAINED)?;
        if !wait {
            writeln!(out, "{node} is being emptied; run the command again with --wait to see it through")?;
            return Ok(());
        }
        while !self.is_empty(&target)? {
            if begun.elapsed().as_secs() >= seconds {
                return Err(CommandError::RetirementUnfinished { node: node.to_owned(), seconds });
            }
            thread::sleep(self.timing.poll_interval);
        }
        writeln!(out, "{node} is empty: it may be removed")?;
        Ok(())
    }

    fn is_empty(&self, target: &str) -> Result<bool, CommandError> {
        let document = self.send("GET", target, Vec::new(), Vec::new())?.document(UNEXPLAINED)?;
        match document.get("state").and_then(Value::as_str) {
            Some("completed") => Ok(true),
            Some("in_progress") => Ok(false),
            _ => Err(CommandError::UnexpectedResponse {
                reason: "state: neither completed nor in_progress".to_owned(),
            }),
        }
    }
}
