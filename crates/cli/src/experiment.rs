//! `orchidvalve experiment`: many runs in virtual time on all cores. Each outcome is stored in a log store when it is
//! known.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clap::Args;
use orchidvalve_fault_injection::experiment::{Cell, Outcome, Plan, chart, page, rows, run as run_one};
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions};

use crate::error::CommandError;

/// Keyspace of the log store: outcomes by name of the run.
const OUTCOMES: u16 = 1;

/// Parameters of the 64-bit FNV-1a hash (RFC 9923).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

#[derive(Args)]
pub struct ExperimentArgs {
    /// The plan: a scenario, seeds, policies and a grid of the scenario's keys
    plan: PathBuf,
    /// Directory for results.jsonl, summary.md and chart.svg, and for the records from which a stopped experiment
    /// resumes
    #[arg(long, value_name = "DIR", default_value = "experiment")]
    out: PathBuf,
    /// The number of parallel runs; left out: one per core
    #[arg(long)]
    jobs: Option<usize>,
}

pub fn run(args: &ExperimentArgs) -> Result<(), CommandError> {
    let plan = Plan::read(&read(&args.plan)?).map_err(CommandError::about(args.plan.display()))?;
    let scenario = args.plan.parent().unwrap_or(Path::new("")).join(&plan.scenario);
    let text = read(&scenario)?;
    std::fs::create_dir_all(&args.out).map_err(CommandError::about(args.out.display()))?;
    let records = Records::open(args.out.join("records"), &text)?;
    let cells = plan.cells();
    let (mut done, mut remaining) = (Vec::new(), Vec::new());
    for cell in &cells {
        match records.get(cell) {
            Some(outcome) => done.push(outcome),
            None => remaining.push(cell),
        }
    }
    eprintln!("{} runs, {} of them completed earlier", cells.len(), done.len());
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(CommandError::about("signals"))?;
    }
    let runs = Runs {
        scenario: &scenario,
        text: &text,
        remaining,
        all: cells.len(),
        next: AtomicUsize::new(0),
        stop: &stop,
        records,
        outcomes: Mutex::new(done),
        error: Mutex::new(None),
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut outcomes = runs.execute(args.jobs.unwrap_or(cores).max(1))?;
    outcomes.sort_by(|a, b| (&a.point, a.policy, a.seed).cmp(&(&b.point, b.policy, b.seed)));
    write_results(&plan, &outcomes, &args.out)
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(CommandError::about(path.display()))
}

/// The stored outcomes, from which a stopped experiment resumes.
struct Records {
    dir: PathBuf,
    /// Hash of the scenario's text, part of every key: after a change of the scenario no stored outcome matches.
    scenario_hash: u64,
    store: Mutex<LogStore>,
}

impl Records {
    fn open(dir: PathBuf, scenario: &str) -> Result<Records, CommandError> {
        std::fs::create_dir_all(&dir).map_err(CommandError::about(dir.display()))?;
        let disk = RealDisk::open_or_create(&dir).map_err(CommandError::about(dir.display()))?;
        let (store, _) = LogStore::open(Arc::new(disk), LogStoreOptions::named("experiment"))
            .map_err(CommandError::about(dir.display()))?;
        let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        let scenario_hash = scenario.bytes().fold(FNV_OFFSET_BASIS, hash);
        Ok(Records { dir, scenario_hash, store: Mutex::new(store) })
    }

    fn key(&self, cell: &Cell) -> Vec<u8> {
        format!("{:016x}|{}", self.scenario_hash, cell.name()).into_bytes()
    }

    fn get(&self, cell: &Cell) -> Option<Outcome> {
        let bytes = locked(&self.store).snapshot().get(OUTCOMES, &self.key(cell)).ok()??;
        serde_json::from_slice::<Outcome>(&bytes).ok()
    }

    fn put(&self, cell: &Cell, outcome: &Outcome) -> Result<(), CommandError> {
        let bytes = serde_json::to_vec(outcome).map_err(CommandError::about(self.dir.display()))?;
        let batch = Batch::new().put(OUTCOMES, &self.key(cell), &bytes);
        let mut store = locked(&self.store);
        store.append(&batch).map_err(CommandError::about(self.dir.display()))?;
        store.sync().map_err(CommandError::about(self.dir.display()))?;
        Ok(())
    }
}

/// The remaining runs of a plan, shared by all threads.
struct Runs<'a> {
    scenario: &'a Path,
    text: &'a str,
    remaining: Vec<&'a Cell>,
    /// The number of runs in the plan.
    all: usize,
    next: AtomicUsize,
    stop: &'a AtomicBool,
    records: Records,
    outcomes: Mutex<Vec<Outcome>>,
    /// The first error, which stops the other threads.
    error: Mutex<Option<CommandError>>,
}

impl Runs<'_> {
    /// Executes the remaining runs with the given number of threads and returns the outcomes of the whole plan.
    fn execute(self, threads: usize) -> Result<Vec<Outcome>, CommandError> {
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| self.run_cells());
            }
        });
        if std::io::stderr().is_terminal() {
            eprintln!();
        }
        if let Some(error) = self.error.into_inner().unwrap_or_else(PoisonError::into_inner) {
            return Err(error);
        }
        let outcomes = self.outcomes.into_inner().unwrap_or_else(PoisonError::into_inner);
        if self.stop.load(Relaxed) {
            return Err(CommandError::Stopped { done: outcomes.len(), all: self.all });
        }
        Ok(outcomes)
    }

    fn run_cells(&self) {
        while let Some(cell) = self.remaining.get(self.next.fetch_add(1, Relaxed)) {
            if self.stop.load(Relaxed) || locked(&self.error).is_some() {
                return;
            }
            match self.run_cell(cell) {
                Ok(outcome) => {
                    let mut outcomes = locked(&self.outcomes);
                    outcomes.push(outcome);
                    if std::io::stderr().is_terminal() {
                        let _ = write!(std::io::stderr(), "\r{} of {}", outcomes.len(), self.all);
                    }
                }
                Err(error) => drop(locked(&self.error).get_or_insert(error)),
            }
        }
    }

    fn run_cell(&self, cell: &Cell) -> Result<Outcome, CommandError> {
        let outcome = run_one(self.text, cell).map_err(CommandError::about(self.scenario.display()))?;
        self.records.put(cell, &outcome)?;
        Ok(outcome)
    }
}

fn write_results(plan: &Plan, outcomes: &[Outcome], out: &Path) -> Result<(), CommandError> {
    let lines: Result<Vec<String>, _> = outcomes.iter().map(serde_json::to_string).collect();
    let lines = lines.map_err(CommandError::about("results.jsonl"))?;
    let write = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(CommandError::about(path.display()))
    };
    write("results.jsonl", lines.join("\n") + "\n")?;
    let rows = rows(plan, outcomes);
    let page = page(plan, &rows);
    print!("{page}");
    write("summary.md", page + "\n![chart](chart.svg)\n")?;
    let drawn = chart(plan, &rows, &out.join("chart.svg"));
    drawn.map_err(|error| CommandError::about(out.display())(error.to_string()))
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
