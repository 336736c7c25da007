//! `orchidvalve standin`: a stub store on loopback for manual tests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use clap::Args;
use derive_more::{Display, Error};
use orchidvalve_search::evaluate::Document;
use orchidvalve_search::routes::{Routes, RoutingContext};
use orchidvalve_test_store::{Documents, Fault, FaultPlan, Store};

use crate::error::CommandError;

#[derive(Args)]
pub struct StandinArgs {
    /// Address to listen on, on loopback only
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The file of routes with its indices and their fields
    #[arg(long, value_name = "FILE")]
    routes: String,
    /// The number of shards
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    slices: u32,
    /// Documents, one object per line: {"index": .., "id": .., "routing": .., "document": {..}}
    #[arg(long, value_name = "FILE")]
    documents: Option<String>,
    /// Faults: WORDS=TROUBLE for shard requests whose text contains the words, TROUBLE for all others. One of silent,
    /// stall, trickle, slow, full, error, garbled, short, late, cut, dead
    #[arg(long = "trouble", value_name = "[WORDS=]TROUBLE")]
    faults: Vec<String>,
}

/// Why a line of the documents file cannot be used.
#[derive(Debug, Display, Error)]
enum DocumentError {
    #[display("{_0}")]
    Json(serde_json::Error),
    #[display("{field}: missing or not a string")]
    NotAString { field: &'static str },
    #[display("{_0}")]
    Rejected(#[error(not(source))] String),
    #[display("id: '{id}' is used twice")]
    DuplicateId { id: String },
}

pub fn run(args: StandinArgs) -> Result<(), CommandError> {
    if !args.listen.ip().is_loopback() {
        return Err(CommandError::NotLoopback { address: args.listen });
    }
    let text = read(&args.routes)?;
    let routing_context =
        RoutingContext { classes: Routes::classes_named(&text), shards: args.slices as usize };
    let routes = Routes::read(&text, &routing_context).map_err(CommandError::about(&args.routes))?;
    let mut documents = Documents::new(Arc::new(routes));
    if let Some(path) = &args.documents {
        for (n, line) in read(path)?.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            put(&mut documents, line).map_err(CommandError::about(format!("{path}:{}", n + 1)))?;
        }
    }
    let fault_plan = fault_plan(&args.faults)?;
    let store = Store::start(args.listen, Arc::new(Mutex::new(documents)))
        .map_err(CommandError::about("--listen"))?;
    store.set_faults(fault_plan);
    println!("listening on {}", store.address);
    loop {
        std::thread::park();
    }
}

fn read(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(CommandError::about(path))
}

fn put(documents: &mut Documents, text: &str) -> Result<(), DocumentError> {
    let line: serde_json::Value = serde_json::from_str(text).map_err(DocumentError::Json)?;
    let text_of = |field: &'static str| line[field].as_str().ok_or(DocumentError::NotAString { field });
    let (name, id) = (text_of("index")?, text_of("id")?);
    let rejected = |error: &dyn std::fmt::Display| DocumentError::Rejected(error.to_string());
    let routes = documents.routes.clone();
    let index = routes.index(name).map_err(|error| rejected(&error))?;
    let home = index.document_shard(id, line["routing"].as_str()).map_err(|error| rejected(&error))?;
    let document =
        Document::new(id, line["document"].clone(), &index.mapping).map_err(|error| rejected(&error))?;
    if documents.insert(name, home, document) {
        Ok(())
    } else {
        Err(DocumentError::DuplicateId { id: id.to_owned() })
    }
}

fn fault_plan(arguments: &[String]) -> Result<FaultPlan, CommandError> {
    let mut plan = FaultPlan::default();
    for argument in arguments {
        let (words, name) = argument.rsplit_once('=').unwrap_or(("", argument));
        let fault = serde_json::from_value::<Fault>(name.into()).map_err(CommandError::about("--trouble"))?;
        if words.is_empty() {
            plan.default = Some(fault);
        } else {
            plan.rules.push((words.to_owned(), fault));
        }
    }
    Ok(plan)
}
