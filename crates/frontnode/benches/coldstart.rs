//! The load on discovery and on a newly started store when many front nodes start at the same time, with and without
//! the cold start. `cargo bench -p orchidvalve-frontnode --bench coldstart -- DIR` runs processes on loopback, prints a
//! table to standard output and writes a chart of it to DIR.

#[path = "../tests/node_group/mod.rs"]
mod node_group;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use node_group::{Fleet, FleetOptions};
use orchidvalve_test_store::discovery::Behavior;
use plotters::prelude::*;

const SECONDS: u64 = 6;
/// The configured rate of requests to discovery per second.
const RATE: f64 = 2.0;

struct RunResult {
    /// Requests for complete lists: in total, and the maximum within a second.
    list_requests: (usize, usize),
    /// The time until every node had a list.
    time_to_serve: Duration,
    /// Shard requests and health checks at the newly started store in each second.
    cold_store_load: Vec<usize>,
    answered: (usize, usize),
}

fn run_nodes(nodes: usize, on: bool) -> RunResult {
    let mut options = FleetOptions::of(nodes);
    (options.fleet, options.known, options.discovery) = (on, false, Behavior::Normal);
    (options.started_ms, options.cold_ms) = (vec![(0, 0)], 20_000);
    options.coldstart = on.then(|| format!("fetches_a_second = {RATE}\n"));
    let started = Instant::now();
    let f = Fleet::open(&format!("coldbench-{nodes}-{on}"), &options);
    let (answered, time_to_serve) = (Mutex::new((0, 0)), Mutex::new(None));
    let mut cold_store_load = vec![0; SECONDS as usize];
    std::thread::scope(|scope| {
        scope.spawn(|| {
            f.wait_until("all have a list", |f| (0..nodes).all(|n| f.serves(n)));
            *time_to_serve.lock().unwrap() = Some(started.elapsed());
        });
        for node in 0..nodes {
            let (f, answered) = (&f, &answered);
            scope.spawn(move || {
                // Each node sends one query every two seconds; the nodes start at different moments.
                let offset = Duration::from_millis(2000 * node as u64 / nodes as u64);
                let mut n = 0;
                while started.elapsed() < Duration::from_secs(SECONDS) {
                    let next = offset + Duration::from_secs(2 * n);
                    if let Some(wait) = next.checked_sub(started.elapsed()) {
                        std::thread::sleep(wait);
                    }
                    let status = f.query(node, &format!("n{node}-{n}"), &format!("c{node}x{n}y"));
                    let mut answered = answered.lock().unwrap();
                    *answered = (answered.0 + usize::from(status == 200), answered.1 + 1);
                    n += 1;
                }
            });
        }
        let (mut second, mut before) = (0, 0);
        while second < SECONDS as usize {
            if started.elapsed() >= Duration::from_secs(second as u64 + 1) {
                let received = f.stores[0].observations();
                let total = received.payloads.len() + received.health_checks;
                (cold_store_load[second], before) = (total - before, total);
                second += 1;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    let list_requests = f.agent.requests().iter().filter(|a| a.from.unwrap_or(0) == 0).count();
    let (max_list_requests, answered) =
        (f.agent.max_first_requests_within(Duration::from_secs(1)), *answered.lock().unwrap());
    let time_to_serve = time_to_serve.lock().unwrap().unwrap_or_default();
    RunResult { list_requests: (list_requests, max_list_requests), time_to_serve, cold_store_load, answered }
}

fn main() {
    let dir = std::env::args().skip(1).find(|a| !a.starts_with("--"));
    let mut lines: [Vec<(f64, f64)>; 2] = Default::default();
    println!(
        "| front nodes | cold start | asks at discovery | most in a second | all serve after s | \
         at the cold store in each second | answered whole |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for nodes in [8, 16, 32, 48] {
        for on in [false, true] {
            let p = run_nodes(nodes, on);
            let each: Vec<String> = p.cold_store_load.iter().map(usize::to_string).collect();
            println!(
                "| {nodes} | {} | {} | {} | {:.2} | {} | {} of {} |",
                if on { "on" } else { "off" },
                p.list_requests.0,
                p.list_requests.1,
                p.time_to_serve.as_secs_f64(),
                each.join(", "),
                p.answered.0,
                p.answered.1
            );
            lines[usize::from(on)].push((nodes as f64, p.list_requests.1 as f64));
        }
    }
    if let Some(dir) = dir {
        chart(&format!("{dir}/coldstart-processes.svg"), &lines).expect("the chart is written");
    }
}

fn chart(path: &str, lines: &[Vec<(f64, f64)>; 2]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (640, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("most asks for the whole list in a second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..50f64, 0f64..50f64)?;
    chart.configure_mesh().x_desc("front nodes that start at once").draw()?;
    for (line, name, colour) in [(&lines[0], "each at once", RED), (&lines[1], "waiting its turn", BLUE)] {
        chart
            .draw_series(LineSeries::new(line.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).position(SeriesLabelPosition::UpperLeft).draw()?;
    root.present()?;
    Ok(())
}
