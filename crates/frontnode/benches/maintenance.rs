//! A maintenance weekend in seconds: three crews that start at the same time patch half of six servers, including both
//! replicas of one shard; once in the order that the front nodes agree on, and once each crew on its own.
//! `cargo bench -p orchidvalve-frontnode --bench maintenance -- DIR` runs five nodes as processes, prints a table to
//! standard output and writes a chart of the served queries to DIR.

#[path = "../tests/node_group/mod.rs"]
mod node_group;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use node_group::{Fleet, FleetOptions, SHARDS};
use orchidvalve_test_store::discovery::Behavior;
use orchidvalve_test_store::{Fault, FaultPlan};
use plotters::prelude::*;
use serde_json::{Value, json};

const NODES: usize = 5;
const MEMBERS: usize = 3;
/// The servers that the crews patch: both replicas of shard 0 and one of shard 1.
const PATCHED: [usize; 3] = [0, SHARDS, 1];
/// The time from a server's draining in discovery until it is switched off, and the time that it is off.
const DRAINS: Duration = Duration::from_millis(600);
const OFF: Duration = Duration::from_millis(1500);
const BIN: Duration = Duration::from_millis(500);
const LINES: &str = "tick_ms = 20\nfollow_ms = 50\ndrain_ms = 600\nlook_lasts_ms = 3000\nzone_share = 1.0\n";

struct RunResult {
    /// The numbers of queries answered with 200 and of all queries, in each half second.
    bins: Vec<(usize, usize)>,
    /// The maximum number of servers off at the same time, and whether both replicas of one shard were off.
    max_off: usize,
    both_off: bool,
    /// Shard requests received by servers while they were off.
    requests_while_off: usize,
    elapsed: Duration,
}

fn stage(f: &Fleet, node: usize, machine: &str) -> String {
    let view = f.operator(node, "GET", "/_maintenance", &Value::Null).1;
    let entry =
        view["entries"].as_array().and_then(|all| all.iter().find(|e| e["machine"] == machine).cloned());
    entry.and_then(|e| e["stage"].as_str().map(str::to_owned)).unwrap_or_default()
}

fn run_nodes(agreed: bool) -> RunResult {
    let mut options = FleetOptions::of(NODES);
    (options.stores_per_cell, options.reach, options.fleet, options.discovery) =
        (2, 1, false, Behavior::Normal);
    if agreed {
        (options.logbook, options.maintenance) = (true, Some((MEMBERS, LINES.to_owned())));
    }
    let f = Fleet::open(&format!("weekend-{agreed}"), &options);
    if agreed {
        f.wait_until("a leader", |f| (0..MEMBERS).any(|n| f.gauge(n, "maintenance_leads") == 1));
    }
    // The servers as discovery publishes them.
    let members = Mutex::new(f.members(&[]));
    let set_member = |store: usize, key: &str, value: Value| {
        let mut members = members.lock().unwrap();
        members[store][key] = value;
        f.agent.publish(members.clone());
    };
    let (off, max_off, both, stop) = (
        Mutex::new(Vec::<usize>::new()),
        AtomicUsize::new(0),
        AtomicBool::new(false),
        AtomicBool::new(false),
    );
    let (bins, requests_while_off, started) = (Mutex::new(Vec::new()), AtomicUsize::new(0), Instant::now());
    std::thread::scope(|scope| {
        for node in 0..NODES {
            let (f, bins, stop) = (&f, &bins, &stop);
            scope.spawn(move || {
                let mut n = 0;
                while !stop.load(Relaxed) {
                    let at = (started.elapsed().as_millis() / BIN.as_millis()) as usize;
                    let answered = f.query(node, &format!("n{node}-{n}"), &format!("c{node}x{n}y")) == 200;
                    let mut bins = bins.lock().unwrap();
                    if bins.len() <= at {
                        bins.resize(at + 1, (0usize, 0usize));
                    }
                    bins[at] = (bins[at].0 + usize::from(answered), bins[at].1 + 1);
                    drop(bins);
                    n += 1;
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let crews: Vec<_> = PATCHED
            .iter()
            .enumerate()
            .map(|(crew, &store)| {
                let (f, set_member, off, max_off, both, requests_while_off) =
                    (&f, &set_member, &off, &max_off, &both, &requests_while_off);
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(1000));
                    let machine = format!("s-{store}");
                    if agreed {
                        let request =
                            json!({"machine": machine, "by": format!("crew {crew}"), "lasts_ms": 60_000});
                        f.operator(crew + 2, "POST", "/_maintenance/ask", &request);
                        f.wait_until("its turn comes", |f| stage(f, crew + 2, &machine) == "out");
                        set_member(store, "phase", json!("draining"));
                    } else {
                        set_member(store, "phase", json!("draining"));
                        std::thread::sleep(DRAINS);
                    }
                    {
                        let mut off = off.lock().unwrap();
                        off.push(store);
                        max_off.fetch_max(off.len(), Relaxed);
                        if off.iter().any(|other| *other != store && other % SHARDS == store % SHARDS) {
                            both.store(true, Relaxed);
                        }
                    }
                    let before = f.stores[store].observations().payloads.len();
                    let disconnected = vec![(String::new(), Fault::Disconnected)];
                    f.stores[store].set_faults(FaultPlan {
                        rules: disconnected,
                        health_checks: Some(Fault::Disconnected),
                        ..FaultPlan::default()
                    });
                    f.stores[store].close_connections();
                    std::thread::sleep(OFF);
                    requests_while_off
                        .fetch_add(f.stores[store].observations().payloads.len() - before, Relaxed);
                    f.stores[store].set_faults(FaultPlan::default());
                    off.lock().unwrap().retain(|other| *other != store);
                    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
                    set_member(store, "up_since_ms", json!(now));
                    set_member(store, "phase", json!("up"));
                })
            })
            .collect();
        crews.into_iter().for_each(|crew| crew.join().unwrap());
        std::thread::sleep(Duration::from_millis(1500));
        stop.store(true, Relaxed);
    });
    let elapsed = started.elapsed();
    RunResult {
        bins: bins.into_inner().unwrap(),
        max_off: max_off.load(Relaxed),
        both_off: both.load(Relaxed),
        requests_while_off: requests_while_off.load(Relaxed),
        elapsed,
    }
}

fn main() {
    let dir = std::env::args().skip(1).find(|a| !a.starts_with("--"));
    println!(
        "| weekend | answered | worst half second | servers off at once | both holders of a shard off | parts at servers that were off | took s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut lines = Vec::new();
    for agreed in [false, true] {
        let p = run_nodes(agreed);
        let (answered, all) = p.bins.iter().fold((0, 0), |(g, a), b| (g + b.0, a + b.1));
        let share = |b: &(usize, usize)| b.0 as f64 / b.1.max(1) as f64;
        let worst = p.bins.iter().filter(|b| b.1 > 0).map(share).fold(1.0, f64::min);
        println!(
            "| {} | {answered} of {all} | {worst:.2} | {} | {} | {} | {:.1} |",
            if agreed { "by the agreed order" } else { "each crew on its own" },
            p.max_off,
            if p.both_off { "yes" } else { "no" },
            p.requests_while_off,
            p.elapsed.as_secs_f64()
        );
        let points = p.bins.iter().enumerate().filter(|(_, b)| b.1 > 0);
        lines.push(points.map(|(n, b)| (n as f64 * BIN.as_secs_f64(), share(b))).collect::<Vec<_>>());
    }
    if let Some(dir) = dir {
        chart(&format!("{dir}/maintenance-weekend.svg"), &lines).expect("the chart is written");
    }
}

fn chart(path: &str, lines: &[Vec<(f64, f64)>]) -> Result<(), Box<dyn std::error::Error>> {
    let end = lines.iter().flatten().map(|p| p.0).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (680, 340)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("share of retrievals answered during the weekend", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..end, 0f64..1.05f64)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for ((line, name), colour) in
        lines.iter().zip(["each crew on its own", "by the agreed order"]).zip([RED, BLUE])
    {
        chart
            .draw_series(LineSeries::new(line.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).position(SeriesLabelPosition::LowerRight).draw()?;
    root.present()?;
    Ok(())
}
