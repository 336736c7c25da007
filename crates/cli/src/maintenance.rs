//! `orchidvalve maintenance`: requests and lists the maintenance of machines through any front node.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use orchidvalve_http::ResponseReader;
use serde_json::{Value, json};

use crate::error::CommandError;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum length of a response's head, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Args)]
pub struct MaintenanceArgs {
    #[command(subcommand)]
    command: Command,
    /// Address of any front node
    #[arg(long, global = true, value_name = "ADDRESS", default_value = "127.0.0.1:8000")]
    node: SocketAddr,
    /// Print the node's response as JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Request maintenance of a machine; it may be taken out once the queue shows it (see `list`)
    Ask {
        machine: String,
        /// Who requests it
        #[arg(long, default_value = "")]
        by: String,
        /// Reason of the maintenance
        #[arg(long, default_value = "")]
        why: String,
        /// Minutes for which the machine is out
        #[arg(long, value_name = "MINUTES", default_value_t = 60)]
        lasts: u64,
        /// Minutes after which the request expires if it is not repeated
        #[arg(long, value_name = "MINUTES", default_value_t = 1440)]
        waits: u64,
        #[command(flatten)]
        wait: Wait,
    },
    /// Cancel a request, or stop waiting for a machine that is out
    Cancel {
        machine: String,
        #[arg(long, default_value = "")]
        by: String,
        #[command(flatten)]
        wait: Wait,
    },
    /// List the maintenance queue as the node knows it
    List {
        /// List recent events, too
        #[arg(long)]
        events: bool,
    },
    /// Explain the stage of a machine
    Explain { machine: String },
}

#[derive(Args)]
struct Wait {
    /// Seconds to wait until the queue shows that the change was carried out
    #[arg(long = "within", value_name = "SECONDS", default_value_t = 15)]
    within: u64,
}

pub fn run(args: &MaintenanceArgs) -> Result<(), CommandError> {
    match &args.command {
        Command::Ask { machine, by, why, lasts, waits, wait } => {
            let body = json!({"machine": machine, "by": by, "why": why,
                              "lasts_ms": lasts.saturating_mul(60_000), "waits_ms": waits.saturating_mul(60_000)});
            change(args, "ask", &body, machine, wait.within)
        }
        Command::Cancel { machine, by, wait } => {
            change(args, "cancel", &json!({"machine": machine, "by": by}), machine, wait.within)
        }
        Command::List { events } => {
            let view = view(args.node)?;
            if args.json {
                println!("{view}");
            } else {
                list(&view, *events);
            }
            Ok(())
        }
        Command::Explain { machine } => {
            let view = view(args.node)?;
            let entry = entry(&view, machine);
            match (entry, args.json) {
                (Some(entry), true) => println!("{entry}"),
                (Some(entry), false) => println!("{machine}: {}", text(entry, "explained")),
                (None, true) => println!("null"),
                (None, false) => println!("{machine}: not in the order, and in use as discovery says"),
            }
            Ok(())
        }
    }
}

/// Sends a change and waits until the maintenance queue shows that it was carried out.
fn change(
    args: &MaintenanceArgs,
    what: &str,
    body: &Value,
    machine: &str,
    within: u64,
) -> Result<(), CommandError> {
    let (status, response) = call(args.node, "POST", &format!("/_maintenance/{what}"), &body.to_string())?;
    if status != 202 {
        return Err(CommandError::Status { node: args.node, status, response: response.trim().to_owned() });
    }
    let response: Value = serde_json::from_str(&response).map_err(CommandError::about(args.node))?;
    let nonce = text(&response, "nonce").to_owned();
    let end = Instant::now() + Duration::from_secs(within);
    loop {
        let view = view(args.node)?;
        if view["done"].as_array().is_some_and(|done| done.iter().any(|n| n.as_str() == Some(&nonce))) {
            match (args.json, entry(&view, machine)) {
                (true, entry) => println!("{}", entry.unwrap_or(&Value::Null)),
                (false, Some(entry)) => println!("{machine}: {}", text(entry, "explained")),
                (false, None) => println!("{machine}: no longer in the order"),
            }
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(CommandError::ChangeNotListed { node: args.node, seconds: within });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn view(node: SocketAddr) -> Result<Value, CommandError> {
    let (status, text) = call(node, "GET", "/_maintenance", "")?;
    if status != 200 {
        let response = "maintenance is not enabled on this node".to_owned();
        return Err(CommandError::Status { node, status, response });
    }
    serde_json::from_str(&text).map_err(CommandError::about(node))
}

fn entry<'a>(view: &'a Value, machine: &str) -> Option<&'a Value> {
    view["entries"].as_array()?.iter().find(|e| e["machine"] == machine)
}

fn text<'a>(of: &'a Value, key: &str) -> &'a str {
    of[key].as_str().unwrap_or_default()
}

fn list(view: &Value, events: bool) {
    let last_contact = view["heard_ms_ago"].as_i64().map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    println!("order {}, heard of {last_contact}", view["version"]);
    let entries = view["entries"].as_array().map_or(&[][..], Vec::as_slice);
    let width = entries.iter().map(|e| text(e, "machine").len()).max().unwrap_or(0).max(7);
    if entries.is_empty() {
        println!("no machine is asked for");
    } else {
        println!("{:width$}  {:9}  {:16}  explained", "machine", "stage", "by");
    }
    for e in entries {
        println!(
            "{:width$}  {:9}  {:16}  {}",
            text(e, "machine"),
            text(e, "stage"),
            text(e, "by"),
            text(e, "explained")
        );
    }
    if events {
        println!();
        for e in view["events"].as_array().into_iter().flatten() {
            println!("{:>8}  {:width$}  {}", e["version"].to_string(), text(e, "machine"), text(e, "event"));
        }
    }
}

fn call(node: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String), CommandError> {
    let mut stream =
        TcpStream::connect_timeout(&node, RESPONSE_TIMEOUT).map_err(CommandError::about(node))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(CommandError::about(node))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).map_err(CommandError::about(node))?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).map_err(CommandError::about(node))?;
    parse_response(method, &response).ok_or(CommandError::MalformedResponse { node })
}

/// Parses a response whose connection has ended. Returns its status and its body.
fn parse_response(method: &str, response: &[u8]) -> Option<(u16, String)> {
    let (mut reader, mut body) = (ResponseReader::new(method), Vec::new());
    let progress = reader.read(response, MAX_HEADER_BYTES, &mut body).ok()?;
    let is_complete = progress.complete || reader.complete_at_close();
    let head = reader.head().filter(|_| is_complete)?;
    Some((head.status, String::from_utf8(body).ok()?))
}
