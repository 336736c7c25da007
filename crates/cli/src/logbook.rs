//! `orchidvalve logbook`: inspects and repairs the directory of a log store. Inspection works while the store is in
//! use.

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::time::Instant;

use clap::{Args, Subcommand};
use orchidvalve_log_store::disk::Disk;
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::repair::{CheckReport, RecoveredRecord, check, live, records};
use orchidvalve_log_store::{CompactionStep, LogStore, LogStoreOptions, RecordKind};
use serde_json::{Value, json};

use crate::error::CommandError;

#[derive(Subcommand)]
pub enum Command {
    /// Read every byte and report damage; the exit status is 2 if there is any. Works on a log store in use
    Check(Dir),
    /// List the live records, oldest first. Works on a log store in use
    Dump(Dir),
    /// List segments with their sizes and records. Works on a log store in use
    Stats(Dir),
    /// Merge all segments that are worth it. The log store must not be in use
    Compact(CompactArgs),
    /// List all records that can be recovered from quarantined files, or from the named file
    Salvage(SalvageArgs),
}

#[derive(Args)]
pub struct Dir {
    /// The log store's directory
    dir: String,
    /// Print JSON: one object, or one object per line for records
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct CompactArgs {
    #[command(flatten)]
    dir: Dir,
    /// Name of the log store, as its owner opens it
    #[arg(long, default_value = "orchidvalve-node")]
    name: String,
}

#[derive(Args)]
pub struct SalvageArgs {
    #[command(flatten)]
    dir: Dir,
    /// A file in the directory, such as salvage-0000000000000007.seg; left out: all quarantined files
    #[arg(long)]
    file: Option<String>,
}

pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check(dir) => check_directory(&dir, true),
        Command::Stats(dir) => check_directory(&dir, false),
        Command::Dump(dir) => {
            let records = live(&open(&dir)?).map_err(CommandError::about(&dir.dir))?;
            print(&records, dir.json)
        }
        Command::Compact(args) => compact(&args),
        Command::Salvage(args) => salvage(&args),
    }
}

fn open(dir: &Dir) -> Result<RealDisk, CommandError> {
    RealDisk::open(&dir.dir).map_err(CommandError::about(&dir.dir))
}

/// Returns a progress callback that prints to standard error, if that is a terminal.
fn progress() -> impl FnMut(u64, u64) {
    let (mut last_printed, is_terminal) = (Instant::now(), std::io::stderr().is_terminal());
    move |done, all| {
        if is_terminal && (last_printed.elapsed().as_millis() > 200 || done >= all) {
            last_printed = Instant::now();
            let end = if done >= all { "\n" } else { "" };
            eprint!("\r{} of {} MB{end}", done >> 20, all >> 20);
        }
    }
}

fn check_directory(dir: &Dir, fail_on_damage: bool) -> Result<(), CommandError> {
    let report = check(&open(dir)?, progress()).map_err(CommandError::about(&dir.dir))?;
    if dir.json {
        println!("{}", as_json(&report));
    } else {
        println!("{:<24} {:>12} {:>10} {:>14} {:>14}  kind", "segment", "bytes", "records", "first", "next");
        for s in &report.segments {
            let kind = match (s.is_active, s.is_merged, s.unread_tail) {
                (true, ..) if s.unread_tail.is_some() => "active, its end is not whole",
                (true, ..) => "active",
                (_, true, _) => "merged",
                _ => "sealed",
            };
            println!(
                "{:<24} {:>12} {:>10} {:>14} {:>14}  {kind}",
                s.name, s.bytes, s.records, s.first, s.next
            );
        }
        let sum = |of: fn(&orchidvalve_log_store::repair::SegmentCheck) -> u64| {
            report.segments.iter().map(of).sum::<u64>()
        };
        println!("{:<24} {:>12} {:>10}", "all", sum(|s| s.bytes), sum(|s| s.records));
        report.quarantined.iter().for_each(|name| println!("kept aside: {name}"));
    }
    match report.faults.first() {
        Some(_) if fail_on_damage => {
            Err(CommandError::Damaged { dir: dir.dir.clone(), faults: report.faults })
        }
        _ => Ok(()),
    }
}

fn as_json(report: &CheckReport) -> Value {
    let segments = report.segments.iter().map(|s| {
        json!({"name": s.name, "bytes": s.bytes, "records": s.records, "first": s.first, "next": s.next,
               "merged": s.is_merged, "active": s.is_active, "unread_from": s.unread_tail.map(|tail| tail.offset)})
    });
    json!({"generation": report.generation, "segments": segments.collect::<Vec<_>>(), "missing": report.missing,
           "aside": report.quarantined, "faults": report.faults})
}

/// Returns a key or value as text if it is printable, else as hexadecimal digits.
fn printable(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains(char::is_control) => text.to_owned(),
        _ => bytes.iter().map(|b| format!("{b:02x}")).collect(),
    }
}

fn print(records: &[RecoveredRecord], as_json: bool) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    for r in records {
        let kind = if r.kind == RecordKind::Put { "put" } else { "delete" };
        let (key, value) = (printable(&r.key), printable(&r.value));
        let line = if as_json {
            json!({"sequence": r.sequence, "kind": kind, "space": r.keyspace, "key": key, "value": value})
                .to_string()
        } else {
            format!("{:>12} {kind:<6} {:>5} {key} {value}", r.sequence, r.keyspace)
        };
        // The reader of the output may have closed it early, which is no error.
        if writeln!(out, "{line}").is_err() {
            return Ok(());
        }
    }
    Ok(())
}

fn compact(args: &CompactArgs) -> Result<(), CommandError> {
    let dir = &args.dir.dir;
    let options = LogStoreOptions::named(&args.name);
    let (mut store, _) =
        LogStore::open(Arc::new(open(&args.dir)?), options).map_err(CommandError::about(dir))?;
    store.seal_active_segment().map_err(CommandError::about(dir))?;
    let (before, mut runs, mut done, mut report_progress) = (store.size_bytes(), 0, 0, progress());
    loop {
        match store.compact_step_unthrottled().map_err(CommandError::about(dir))? {
            CompactionStep::Idle | CompactionStep::Throttled => break,
            CompactionStep::Corrupt(number) => {
                return Err(CommandError::UnreadableSegment { dir: dir.clone(), number });
            }
            CompactionStep::Progressed(bytes) => {
                done += bytes;
                report_progress(done, 2 * before);
            }
            CompactionStep::Merged { .. } => runs += 1,
        }
    }
    let after = store.size_bytes();
    if args.dir.json {
        println!("{}", json!({"before": before, "after": after, "runs": runs}));
    } else {
        println!("{before} bytes before, {after} after, {runs} runs merged");
    }
    Ok(())
}

fn salvage(args: &SalvageArgs) -> Result<(), CommandError> {
    let disk = open(&args.dir)?;
    let dir = &args.dir.dir;
    let names = match &args.file {
        Some(name) => vec![name.clone()],
        None => disk
            .list()
            .map_err(CommandError::about(dir))?
            .into_iter()
            .filter(|n| n.starts_with("salvage-"))
            .collect(),
    };
    for name in names {
        let found = records(&disk, &name).map_err(CommandError::about(format!("{dir}/{name}")))?;
        if !args.dir.json {
            println!("{name}: {} records", found.len());
        }
        print(&found, args.dir.json)?;
    }
    Ok(())
}
