//! `orchidvalve search`: explains queries and checks files of search routes.

use std::io::Read;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use orchidvalve_search::query::field_usage;
use orchidvalve_search::request::SearchRequest;
use orchidvalve_search::routes::{Routes, RoutingContext, ShardSelection};

use crate::error::CommandError;

#[derive(Subcommand)]
pub enum Command {
    /// Print where a query goes and what its shard requests carry, or why it is rejected
    Explain(ExplainArgs),
    /// Check a file of routes, and list its indices
    CheckRoutes(CheckArgs),
}

#[derive(Args)]
pub struct RoutingContextArgs {
    /// The number of shards (the settings' extra.slices)
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    slices: u32,
    /// A front node's configuration; routes are checked against its service classes and shards
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
}

#[derive(Args)]
pub struct ExplainArgs {
    /// The file of routes
    #[arg(long, value_name = "FILE")]
    routes: String,
    #[arg(long)]
    index: String,
    /// Routing values, separated by commas
    #[arg(long)]
    routing: Option<String>,
    /// The search preference, _shards:N,M
    #[arg(long)]
    preference: Option<String>,
    /// Time that `now` stands for in the query, in milliseconds since 1970; left out: the current time
    #[arg(long, value_name = "MS")]
    now: Option<i64>,
    #[command(flatten)]
    context: RoutingContextArgs,
    /// The body of a _search, or - for standard input
    file: String,
}

#[derive(Args)]
pub struct CheckArgs {
    #[command(flatten)]
    context: RoutingContextArgs,
    /// The file of routes
    file: String,
}

pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Explain(args) => explain(&args),
        Command::CheckRoutes(args) => check(&args),
    }
}

fn read(path: &str) -> Result<String, CommandError> {
    let mut text = String::new();
    let read = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(|_| text),
        path => std::fs::read_to_string(path),
    };
    read.map_err(CommandError::about(path))
}

/// Reads a file of routes. Without a configuration, every service class that the file names is accepted.
fn routes(path: &str, context: &RoutingContextArgs) -> Result<Routes, CommandError> {
    let text = read(path)?;
    let context = match &context.config {
        Some(config) => {
            let text = read(config)?;
            let (plan, _) = orchidvalve_frontnode::config::read(
                &text,
                orchidvalve_frontnode::config::OperatorFiles::default(),
            )
            .map_err(CommandError::about(config))?;
            RoutingContext { classes: plan.route_classes(), shards: plan.shards }
        }
        None => RoutingContext { classes: Routes::classes_named(&text), shards: context.slices as usize },
    };
    Routes::read(&text, &context).map_err(CommandError::about(path))
}

fn explain(args: &ExplainArgs) -> Result<(), CommandError> {
    let routes = routes(&args.routes, &args.context)?;
    let index = routes.index(&args.index).map_err(CommandError::about(&args.routes))?;
    let now = args.now.unwrap_or_else(|| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    });
    let body = read(&args.file)?;
    let search = SearchRequest::read(body.as_bytes(), &index.name, &index.mapping, now)
        .map_err(CommandError::about(&args.file))?;
    let shards = index
        .shard_weights(args.routing.as_deref(), args.preference.as_deref())
        .map_err(CommandError::about(&args.file))?;
    println!("grade      {}", index.class_name);
    for shard in &shards {
        println!("slice      {}, {:.1}% of the whole", shard.shard, shard.weight * 100.0);
    }
    let fields: Vec<String> = field_usage(&search.query).into_keys().collect();
    println!("fields     {}", if fields.is_empty() { "none".to_owned() } else { fields.join(", ") });
    println!("canonical  {}", search.canonical());
    println!("body       {}", search.body());
    Ok(())
}

fn check(args: &CheckArgs) -> Result<(), CommandError> {
    let routes = routes(&args.file, &args.context)?;
    for index in routes.indices.values() {
        let selection = match &index.selection {
            ShardSelection::Routing => "by routing".to_owned(),
            ShardSelection::All => "all slices".to_owned(),
            ShardSelection::Listed(list) => format!("slices {list:?}"),
        };
        let create = if index.create.is_some() { "takes documents" } else { "read only" };
        println!(
            "index {}: grade {}, {selection}, {} fields, {create}",
            index.name,
            index.class_name,
            index.mapping.fields.len()
        );
    }
    let wire = if routes.any_search_store() { "some stores speak search" } else { "all stores speak frames" };
    println!("{wire}; up to {} connections to each of those", routes.pool.connections);
    Ok(())
}
