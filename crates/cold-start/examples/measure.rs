//! Fetches at discovery and health checks at one unverified server, per second of a start of 10 to 300 nodes, in
//! virtual time, with and without drawn slots. `cargo run --release -p orchidvalve-cold-start --example measure --
//! DIR` prints a table and draws charts.

use orchidvalve_cold_start::probe_schedule::probe_from;
use orchidvalve_cold_start::start::{ActionSink, Offer, Source, Start};
use orchidvalve_cold_start::{Nanos, StartSettings};
use plotters::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const SEEDS: u64 = 20;
const SECONDS: usize = 12;

struct Fetched(bool);

impl ActionSink for Fetched {
    fn adopt(&mut self, _: &Offer, _: u32) {}
    fn request_from_peers(&mut self, _: Option<Option<(i64, Nanos)>>) {}
    fn fetch(&mut self, _: bool) {
        self.0 = true;
    }
    fn discovery_timed_out(&mut self) {}
}

/// Returns the number of fetches in each second of one start. Discovery does not respond for the first `down` seconds.
fn fetches(nodes: usize, seed: u64, down: usize) -> Vec<usize> {
    let settings = StartSettings { expected: nodes, fetches_a_second: 50.0, ..StartSettings::default() };
    let mut all: Vec<(Start, Option<(Nanos, bool)>)> =
        (0..nodes as u64).map(|n| (Start::new(settings, seed * 1000 + n, 0, 0), None)).collect();
    let mut each = vec![0; SECONDS];
    let mut now = 0;
    while now < SECONDS as Nanos * S {
        for (start, in_progress) in &mut all {
            let ended = in_progress.filter(|(at, _)| *at <= now);
            let mut fetched = Fetched(false);
            start.round(
                now,
                |inbox| match ended {
                    Some((_, true)) => inbox.offer(Offer {
                        source: Source::Discovery,
                        revision: 1,
                        seen: now,
                        members: 0,
                        comparable: true,
                    }),
                    Some((_, false)) => inbox.fetch_failed(),
                    None => {}
                },
                &mut fetched,
            );
            if ended.is_some() {
                *in_progress = None;
            }
            if fetched.0 {
                each[(now / S) as usize] += 1;
                let up = now >= down as Nanos * S;
                *in_progress = Some((now + if up { 2 * MS } else { 250 * MS }, up));
            }
        }
        now += 10 * MS;
    }
    each
}

/// The same for nodes that fetch at once and retry after 250 ms, doubled up to 4 s, as without slots.
fn fetches_at_once(nodes: usize, down: usize) -> Vec<usize> {
    let mut each = vec![0; SECONDS];
    let (mut at, mut wait) = (0, 250 * MS);
    while at < SECONDS as Nanos * S {
        each[(at / S) as usize] += nodes;
        if at >= down as Nanos * S {
            break;
        }
        at += 250 * MS + wait;
        wait = (wait * 2).min(4 * S);
    }
    each
}

/// Returns the largest number of health checks that one server receives in a second.
fn probes(nodes: usize, seed: u64) -> usize {
    let settings = StartSettings { expected: nodes, ..StartSettings::default() };
    let mut each = [0; 8];
    for n in 0..nodes as u64 {
        each[(probe_from(&settings, nodes, seed * 1000 + n, 42, 0) / S) as usize] += 1;
    }
    each.into_iter().max().unwrap_or(0)
}

fn median(mut of: Vec<usize>) -> usize {
    of.sort_unstable();
    of.get(of.len() / 2).copied().unwrap_or(0)
}

fn main() {
    let dir = std::env::args().nth(1);
    println!(
        "| nodes | at once: most fetches per second | with slots: median, most of 20 seeds | bound | discovery down 4 s, at once | with slots | health checks at a server per second: at once | spread, median and most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut lines: [Vec<(f64, f64)>; 4] = Default::default();
    for nodes in [10, 30, 100, 200, 300] {
        let max_per_second = |down: usize| -> Vec<usize> {
            (1..=SEEDS).map(|seed| fetches(nodes, seed, down).into_iter().max().unwrap_or(0)).collect()
        };
        let at_once = |down: usize| fetches_at_once(nodes, down).into_iter().max().unwrap_or(0);
        let (up, down) = (max_per_second(0), max_per_second(4));
        let probes: Vec<usize> = (1..=SEEDS).map(|seed| probes(nodes, seed)).collect();
        let max_rate = (50.0 + 5.0 * 50f64.sqrt()) as usize;
        let max = |of: &[usize]| of.iter().copied().max().unwrap_or(0);
        println!(
            "| {nodes} | {} | {}, {} | {max_rate} | {} | {}, {} | {nodes} | {}, {} |",
            at_once(0),
            median(up.clone()),
            max(&up),
            at_once(4),
            median(down.clone()),
            max(&down),
            median(probes.clone()),
            max(&probes)
        );
        let x = nodes as f64;
        for (line, y) in lines.iter_mut().zip([at_once(0), max(&up), at_once(4), max(&down)]) {
            line.push((x, y as f64));
        }
    }
    if let Some(dir) = dir {
        draw(&format!("{dir}/coldstart-asks.svg"), &lines).expect("the chart is written");
    }
}

fn draw(path: &str, lines: &[Vec<(f64, f64)>; 4]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (680, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let top = lines.iter().flatten().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("most fetches at discovery per second of a start", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0f64..310f64, 0f64..top * 1.05)?;
    chart.configure_mesh().x_desc("front nodes that start at once").draw()?;
    let names =
        ["at once", "with slots", "at once, discovery down for 4 s", "with slots, discovery down for 4 s"];
    let colours = [RED, BLUE, MAGENTA, GREEN];
    for ((line, name), colour) in lines.iter().zip(names).zip(colours) {
        chart
            .draw_series(LineSeries::new(line.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).position(SeriesLabelPosition::UpperLeft).draw()?;
    root.present()?;
    Ok(())
}
