//! `orchidvalve why`: explains from a front node's trace what happened to one query, and why queries ended over time.
//!
//! Scripts read the output, so its words stay those of `docs/trace.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader};

use clap::Args;
use derive_more::{Display, Error};
use orchidvalve::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::trace::{TraceEvent, TraceRecord};
use orchidvalve_frontnode::trace_writer::LINE_PREFIX;

#[derive(Args)]
pub struct WhyArgs {
    /// Traces, or logs that contain traces; - for standard input
    #[arg(required = true)]
    files: Vec<String>,
    /// Print all events of one query, given by its request id or its number
    #[arg(long, value_name = "ID")]
    retrieval: Option<String>,
    /// Ignore events before this second of the trace
    #[arg(long, value_name = "S", default_value_t = 0.0)]
    from: f64,
    /// Ignore events after this second of the trace
    #[arg(long, value_name = "S", default_value_t = f64::INFINITY)]
    to: f64,
    /// Seconds per line of the table
    #[arg(long, value_name = "S", default_value_t = 1.0)]
    every: f64,
    /// List the ids of queries that ended for this reason, such as crowded-out
    #[arg(long, value_name = "REASON")]
    list: Option<String>,
}

/// Why a trace cannot be explained.
#[derive(Debug, Display, Error)]
pub enum WhyError {
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable { path: String, source: std::io::Error },
    /// The file has no trace lines.
    #[display("{path}: contains no trace; a node writes one with --trace FILE")]
    NoTrace { path: String },
    /// The trace has no query with this id or number.
    #[display("{path}: contains no retrieval '{id}'")]
    UnknownQuery { path: String, id: String },
    /// The number of seconds per line of the table is not above 0.
    #[display("--every: should be above 0, not {seconds}")]
    Interval { seconds: f64 },
}

pub fn run(args: &WhyArgs) -> Result<(), WhyError> {
    for (position, path) in args.files.iter().enumerate() {
        let trace = Trace::read(path)?;
        if args.files.len() > 1 {
            println!("{}{path}", if position == 0 { "" } else { "\n" });
        }
        match (&args.retrieval, &args.list) {
            (Some(id), _) => print_story(&trace, id, path)?,
            (None, Some(reason)) => print_list(&trace, args, reason),
            (None, None) => print_totals(&trace, args)?,
        }
    }
    Ok(())
}

/// The query and shard of a shard request in a trace.
struct TracedShardRequest {
    query: QueryIndex,
    shard: usize,
}

/// A parsed trace.
#[derive(Default)]
struct Trace {
    records: Vec<TraceRecord>,
    replica_names: HashMap<ReplicaIndex, String>,
    /// Request ids by query. `queries` is the inverse map.
    ids: HashMap<QueryIndex, String>,
    queries: HashMap<String, QueryIndex>,
    requests: HashMap<ShardRequestIndex, TracedShardRequest>,
}

impl Trace {
    fn read(path: &str) -> Result<Trace, WhyError> {
        let unreadable = |source| WhyError::Unreadable { path: path.to_owned(), source };
        let input: Box<dyn BufRead> = match path {
            "-" => Box::new(BufReader::new(std::io::stdin())),
            path => Box::new(BufReader::new(std::fs::File::open(path).map_err(unreadable)?)),
        };
        let mut trace = Trace::default();
        for line in input.split(b'\n') {
            let line = line.map_err(unreadable)?;
            let Ok(line) = std::str::from_utf8(&line) else { continue };
            // Log collectors often add a prefix to each line.
            if let Some((_, line)) = line.split_once(LINE_PREFIX).filter(|(prefix, _)| prefix.len() < 80) {
                trace.add_line(line);
            }
        }
        if trace.records.is_empty() {
            return Err(WhyError::NoTrace { path: path.to_owned() });
        }
        Ok(trace)
    }

    fn add_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            [_, "replica", number, name] => {
                if let Ok(number) = number.parse() {
                    self.replica_names.insert(ReplicaIndex(number), name.to_owned());
                }
            }
            [_, "retrieval", number, id] => {
                if let Ok(number) = number.parse() {
                    self.ids.insert(QueryIndex(number), id.to_owned());
                    self.queries.insert(id.to_owned(), QueryIndex(number));
                }
            }
            _ => {
                let Some(record) = TraceRecord::read(line) else { return };
                if let TraceEvent::ShardRequestReceived { request, query, shard } = record.event {
                    self.requests.insert(request, TracedShardRequest { query, shard });
                }
                self.records.push(record);
            }
        }
    }

    fn start(&self) -> Nanos {
        self.records.iter().map(|record| record.at).min().unwrap_or(0)
    }

    fn replica(&self, replica: ReplicaIndex) -> String {
        self.replica_names.get(&replica).cloned().unwrap_or_else(|| format!("replica {}", replica.0))
    }

    fn shard(&self, request: ShardRequestIndex) -> String {
        self.requests.get(&request).map_or("?".to_owned(), |request| request.shard.to_string())
    }

    /// Returns the records within the requested time, with their seconds since the start of the trace.
    fn within(&self, args: &WhyArgs) -> impl Iterator<Item = (f64, &TraceRecord)> {
        let (start, from, to) = (self.start(), args.from, args.to);
        let timed = self.records.iter().map(move |record| ((record.at - start) as f64 / 1e9, record));
        timed.filter(move |(at, _)| (from..=to).contains(at))
    }

    /// Returns the query that an event belongs to, if any.
    fn query_of(&self, event: TraceEvent) -> Option<QueryIndex> {
        match event {
            TraceEvent::QueryReceived { query, .. }
            | TraceEvent::ShardRequestReceived { query, .. }
            | TraceEvent::NotAdmitted { query, .. }
            | TraceEvent::QueryAnswered { query, .. }
            | TraceEvent::QueryEnded { query, .. } => Some(query),
            TraceEvent::AttemptStarted { request, .. }
            | TraceEvent::ReplicaExcluded { request, .. }
            | TraceEvent::AttemptWithheld { request, .. } => {
                self.requests.get(&request).map(|request| request.query)
            }
            TraceEvent::ReplicaEjected { .. }
            | TraceEvent::ReplicaReadmitted { .. }
            | TraceEvent::LatenciesEstimated { .. }
            | TraceEvent::MembershipListUsed { .. } => None,
        }
    }

    fn describe(&self, event: TraceEvent) -> String {
        let ms = |time: Nanos| format!("{:.1} ms", time as f64 / 1e6);
        match event {
            TraceEvent::QueryReceived { class, is_retry, .. } => {
                format!("taken, grade {class}{}", if is_retry { ", asked again by its client" } else { "" })
            }
            TraceEvent::ShardRequestReceived { shard, .. } => format!("a part in shard {shard}"),
            TraceEvent::NotAdmitted { with_capacity, least_backlog, .. } => format!(
                "not let in: {with_capacity} parts find room, the others' least crowded holder would take {}",
                ms(least_backlog)
            ),
            TraceEvent::AttemptStarted { request, replica, reason } => format!(
                "shard {} launched at {}: {}",
                self.shard(request),
                self.replica(replica),
                reason.help()
            ),
            TraceEvent::ReplicaExcluded { request, replica, reason } => format!(
                "shard {}: {} passed over: {}",
                self.shard(request),
                self.replica(replica),
                reason.help()
            ),
            TraceEvent::AttemptWithheld { request, reason } => {
                format!("shard {} not launched: {}", self.shard(request), reason.help())
            }
            TraceEvent::ReplicaEjected { replica, reason } => {
                format!("{} set aside: {}", self.replica(replica), reason.help())
            }
            TraceEvent::ReplicaReadmitted { replica } => format!("{} let back", self.replica(replica)),
            TraceEvent::QueryAnswered { complete, .. } => {
                format!("answered, {}", if complete { "whole" } else { "short" })
            }
            TraceEvent::QueryEnded { reason, rejected, .. } => {
                format!("{}: {}", if rejected { "dismissed" } else { "given up" }, reason.help())
            }
            TraceEvent::MembershipListUsed { source, age, replicas, unverified_steps } => format!(
                "goes by {}, {:.1} s old, {replicas} replicas, doubted by {unverified_steps} steps",
                source.help(),
                age as f64 / 1e9
            ),
            TraceEvent::LatenciesEstimated { median, longest, response_timeout } => {
                format!(
                    "usual part {}, longest {}, patience {}",
                    ms(median),
                    ms(longest),
                    ms(response_timeout)
                )
            }
        }
    }
}

fn print_story(trace: &Trace, id: &str, path: &str) -> Result<(), WhyError> {
    let query = trace.queries.get(id).copied().or_else(|| id.parse().ok().map(QueryIndex));
    let received_at = |query: QueryIndex| {
        let is_receipt = |record: &&TraceRecord| matches!(record.event, TraceEvent::QueryReceived { query: received, .. } if received == query);
        trace.records.iter().find(is_receipt).map(|record| record.at)
    };
    let (query, began) = query
        .and_then(|query| received_at(query).map(|at| (query, at)))
        .ok_or_else(|| WhyError::UnknownQuery { path: path.to_owned(), id: id.to_owned() })?;
    let is_of_query = |record: &&TraceRecord| trace.query_of(record.event) == Some(query);
    let ended = trace.records.iter().filter(is_of_query).map(|record| record.at).max().unwrap_or(began);
    let name = trace.ids.get(&query).map_or(String::new(), |id| format!(", request {id}"));
    println!("retrieval {}{name}, {:.3} s into the trace", query.0, (began - trace.start()) as f64 / 1e9);
    // Replicas that the query used or excluded; their ejections and readmissions meanwhile are part of the story.
    let concerned: BTreeSet<ReplicaIndex> = trace
        .records
        .iter()
        .filter(is_of_query)
        .filter_map(|record| match record.event {
            TraceEvent::AttemptStarted { replica, .. } | TraceEvent::ReplicaExcluded { replica, .. } => {
                Some(replica)
            }
            _ => None,
        })
        .collect();
    for record in &trace.records {
        let is_of_this_query = is_of_query(&record);
        let is_related = (began..=ended).contains(&record.at)
            && match record.event {
                TraceEvent::ReplicaEjected { replica, .. } | TraceEvent::ReplicaReadmitted { replica } => {
                    concerned.contains(&replica)
                }
                TraceEvent::MembershipListUsed { .. } => true,
                _ => false,
            };
        if is_of_this_query || is_related {
            let marker = if is_of_this_query { ' ' } else { '*' };
            let at = (record.at - began) as f64 / 1e6;
            println!("{at:>10.1} ms {marker} {}", trace.describe(record.event));
        }
    }
    Ok(())
}

fn print_list(trace: &Trace, args: &WhyArgs, wanted: &str) {
    for (at, record) in trace.within(args) {
        if let TraceEvent::QueryEnded { query, reason, .. } = record.event
            && reason.word() == wanted
        {
            println!("{at:>9.3} s  {} {}", query.0, trace.ids.get(&query).map_or("", String::as_str));
        }
    }
}

/// A column of the table. Columns are ordered by group.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Column {
    group: usize,
    word: &'static str,
    help: &'static str,
}

/// Labels of the groups of columns in the lines below the table.
const GROUPS: [&str; 9] = [
    "",
    "launched",
    "answered",
    "ended",
    "",
    "passed over",
    "not launched",
    "replicas set aside",
    "lists gone by",
];

impl Column {
    /// Returns the column that counts an event, if there is one.
    fn of(event: TraceEvent) -> Option<Column> {
        let (group, word, help) = match event {
            TraceEvent::QueryReceived { is_retry: false, .. } => (0, "taken", "retrievals taken"),
            TraceEvent::QueryReceived { is_retry: true, .. } => {
                (0, "retaken", "retrievals that their client asked again")
            }
            TraceEvent::AttemptStarted { reason, .. } => (1, reason.word(), reason.help()),
            TraceEvent::QueryAnswered { complete: true, .. } => (2, "whole", "answered, marked whole"),
            TraceEvent::QueryAnswered { complete: false, .. } => (2, "short", "answered, not marked whole"),
            TraceEvent::QueryEnded { reason, .. } => (3, reason.word(), reason.help()),
            TraceEvent::NotAdmitted { .. } => {
                (4, "waits", "not let in, or fewer parts find room than before")
            }
            TraceEvent::ReplicaExcluded { reason, .. } => (5, reason.word(), reason.help()),
            TraceEvent::AttemptWithheld { reason, .. } => (6, reason.word(), reason.help()),
            TraceEvent::ReplicaEjected { reason, .. } => (7, reason.word(), reason.help()),
            TraceEvent::ReplicaReadmitted { .. } => (7, "back", "let back"),
            TraceEvent::MembershipListUsed { source, .. } => (8, source.word(), source.help()),
            TraceEvent::ShardRequestReceived { .. } | TraceEvent::LatenciesEstimated { .. } => return None,
        };
        Some(Column { group, word, help })
    }

    fn width(&self) -> usize {
        self.word.len().max(5)
    }
}

fn print_totals(trace: &Trace, args: &WhyArgs) -> Result<(), WhyError> {
    if !(args.every > 0.0 && args.every.is_finite()) {
        return Err(WhyError::Interval { seconds: args.every });
    }
    let (mut totals, mut lines) =
        (BTreeMap::<Column, u64>::new(), BTreeMap::<u64, BTreeMap<Column, u64>>::new());
    for (at, record) in trace.within(args) {
        let Some(column) = Column::of(record.event) else { continue };
        *totals.entry(column).or_default() += 1;
        *lines.entry((at / args.every) as u64).or_default().entry(column).or_default() += 1;
    }
    print!("{:>8}", "second");
    totals.keys().for_each(|column| print!(" {:>w$}", column.word, w = column.width()));
    println!();
    for (line, counts) in &lines {
        print!("{:>8.1}", *line as f64 * args.every);
        for column in totals.keys() {
            let count = counts.get(column).map_or(String::new(), u64::to_string);
            print!(" {count:>w$}", w = column.width());
        }
        println!();
    }
    println!();
    for (Column { group, word, help }, count) in &totals {
        let kind = GROUPS[*group];
        println!("{count:>8}  {kind}{}{word}: {help}", if kind.is_empty() { "" } else { ", " });
    }
    Ok(())
}
