//! `orchidvalve rehearse`: runs a fault scenario on this machine and reports the results.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::Args;
use orchidvalve_fault_injection::load::{PlannedQuery, arrivals};
use orchidvalve_fault_injection::policy::Policy;
use orchidvalve_fault_injection::real::Program;
use orchidvalve_fault_injection::replay::{ReplayOptions, replayed};
use orchidvalve_fault_injection::report::{Report, Verdict};
use orchidvalve_fault_injection::scenario::Scenario;
use orchidvalve_fault_injection::timeline::Timeline;
use orchidvalve_fault_injection::{SECOND, emulator, real, store_name};

use crate::error::CommandError;

#[derive(Args)]
pub struct RehearseArgs {
    /// The scenario file, such as deploy/rehearsals/moving-weekend.toml
    scenario: PathBuf,
    /// Seed for drawing arrivals, and stores where the scenario draws them
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for report.md, report.json and service.svg, and for the front nodes' files and logs
    #[arg(long, value_name = "DIR", default_value = "rehearsal")]
    out: PathBuf,
    /// Replay these recordings, one of each front node, instead of the scenario's load
    #[arg(long, value_name = "FILE", num_args = 1..)]
    replay: Vec<PathBuf>,
    /// Speed of the replay relative to the recording
    #[arg(long, default_value_t = 1.0, requires = "replay")]
    speed: f64,
    /// Map a recorded service class or tenant to the scenario's name for it
    #[arg(long, value_name = "FROM=TO", requires = "replay", value_parser = renamed)]
    rename: Vec<(String, String)>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Run in virtual time: the front nodes' real decision code without processes, sockets and clocks
    #[arg(long = "virtual")]
    emulate: bool,
    /// Policy of the front nodes in virtual time: ours, random, round-robin, fewest, oracle
    #[arg(long, default_value = "ours", requires = "emulate", value_parser = policy)]
    policy: Policy,
    /// In virtual time: write the reason of each decision, one file per front node, for `orchidvalve why`
    #[arg(long, value_name = "DIR", requires = "emulate")]
    trace: Option<PathBuf>,
    /// Only check the scenario and draw its faults
    #[arg(long)]
    check: bool,
}

/// Parses a policy. Clap prints the returned text if the value is invalid.
fn policy(word: &str) -> Result<Policy, String> {
    let found = Policy::ALL.into_iter().find(|policy| policy.name() == word);
    found.ok_or_else(|| format!("should be one of {}", Policy::ALL.map(Policy::name).join(", ")))
}

/// Parses FROM=TO. Clap prints the returned text if the value is invalid.
fn renamed(word: &str) -> Result<(String, String), String> {
    let (from, to) = word.split_once('=').ok_or("should be FROM=TO")?;
    Ok((from.to_owned(), to.to_owned()))
}

/// Runs the scenario and returns the exit status: 0 if the service target was reached, 1 if it was not, 2 if a rule was
/// violated, 3 if the scenario could not be run; 3 also stands for errors.
pub fn run(args: &RehearseArgs) -> Result<u8, CommandError> {
    let name = args.scenario.display();
    let text = std::fs::read_to_string(&args.scenario).map_err(CommandError::about(&name))?;
    let scenario = Scenario::read(&text).map_err(CommandError::about(&name))?;
    if args.check {
        let timeline = Timeline::new(&scenario, args.seed).map_err(CommandError::about(&name))?;
        print_faults(&timeline);
        return Ok(0);
    }
    let planned = load(&scenario, args)?;
    let report =
        if args.emulate { emulate(&scenario, args, planned)? } else { play(&scenario, args, planned)? };
    finish(&report, args)
}

fn print_faults(timeline: &Timeline) {
    for event in timeline.events() {
        let at = event.at as f64 / SECOND as f64;
        let begins = if event.begins { "begins" } else { "ends" };
        let store = event.store.map_or(String::new(), |store| format!(" at {}", store_name(store)));
        println!("{at:8.2} s  {:?} {begins}{store}", event.kind);
    }
}

/// Returns the scenario's own load, or the recorded one.
fn load(scenario: &Scenario, args: &RehearseArgs) -> Result<Vec<PlannedQuery>, CommandError> {
    if args.replay.is_empty() {
        return Ok(arrivals(scenario, args.seed));
    }
    let mut recordings = Vec::new();
    for path in &args.replay {
        let name = path.display().to_string();
        let bytes = std::fs::read(path).map_err(CommandError::about(&name))?;
        let recording = orchidvalve_request_recording::read(&bytes).map_err(CommandError::about(&name))?;
        if recording.torn_bytes > 0 {
            eprintln!("{name}: ignoring the last {} bytes, an incomplete record", recording.torn_bytes);
        }
        recordings.push((name, recording));
    }
    let options = ReplayOptions {
        speed: args.speed,
        renamed: args.rename.iter().cloned().collect(),
        at_most: Some((scenario.duration() as f64 * args.speed) as i64),
    };
    let planned = replayed(scenario, &recordings, &options, args.seed)?;
    if planned.is_empty() {
        return Err(CommandError::NothingRecorded);
    }
    Ok(planned)
}

/// Runs the scenario in virtual time.
fn emulate(
    scenario: &Scenario,
    args: &RehearseArgs,
    planned: Vec<PlannedQuery>,
) -> Result<Report, CommandError> {
    let began = std::time::Instant::now();
    let mut files = TraceFiles::default();
    let mut line = |front_node: usize, line: String| files.add_line(front_node, &line);
    let trace = args.trace.is_some().then_some(&mut line as emulator::TraceLines);
    let played = emulator::play_traced(scenario, args.seed, (args.policy, planned), |_| {}, trace);
    let (report, effort) = played.map_err(CommandError::about(args.scenario.display()))?;
    if let Some(dir) = &args.trace {
        files.write(dir).map_err(CommandError::about(dir.display()))?;
    }
    let took = began.elapsed().as_secs_f64();
    eprintln!(
        "{} queries, {} attempts, {} events, {} rounds in {took:.2} s: {:.0} queries a second",
        report.all.queries,
        report.attempts,
        effort.events,
        effort.rounds,
        report.all.queries as f64 / took
    );
    Ok(report)
}

/// Runs the scenario with front nodes as processes.
fn play(
    scenario: &Scenario,
    args: &RehearseArgs,
    planned: Vec<PlannedQuery>,
) -> Result<Report, CommandError> {
    let path = std::env::current_exe().map_err(CommandError::about("this program's path"))?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(CommandError::about("signals"))?;
    }
    let is_shown = std::io::stderr().is_terminal();
    let mut last = -1;
    let mut progress = |now: i64, all: i64| {
        if is_shown && now / SECOND != last {
            last = now / SECOND;
            let _ = write!(std::io::stderr(), "\r{} of {} s", last, all / SECOND);
        }
    };
    let dir = args.out.join("nodes");
    let program = Program { path: &path, args: &["node", "--config"], dir: &dir };
    let report = real::play(scenario, (args.seed, planned), program, &stop, &mut progress)?;
    if is_shown {
        eprintln!();
    }
    Ok(report)
}

/// The trace lines by front node. They are kept until the run is over, so that disk writes do not slow it down.
#[derive(Default)]
struct TraceFiles {
    texts: BTreeMap<usize, String>,
}

impl TraceFiles {
    fn add_line(&mut self, front_node: usize, line: &str) {
        let text = self.texts.entry(front_node).or_default();
        text.push_str(orchidvalve_frontnode::trace_writer::LINE_PREFIX);
        text.push_str(line);
        text.push('\n');
    }

    fn write(&self, dir: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(dir)?;
        for (n, text) in &self.texts {
            std::fs::write(dir.join(format!("front-{n}.trace")), text)?;
        }
        Ok(())
    }
}

fn finish(report: &Report, args: &RehearseArgs) -> Result<u8, CommandError> {
    report.write(&args.out)?;
    if args.json {
        println!("{}", serde_json::to_string(report).map_err(CommandError::about("report"))?);
    } else {
        print!("{}", report.page());
    }
    Ok(report.verdict.exit())
}

/// Returns the exit status after an error.
pub fn error_status() -> u8 {
    Verdict::CouldNotRun.exit()
}
