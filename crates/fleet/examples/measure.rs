//! Overshoot, staleness and datagram rate of a fleet by number of nodes and loss, in virtual time on one core:
//! `cargo run --release -p orchidvalve-fleet --example measure -- [DIR]`. Prints a table to standard output, and draws
//! charts to DIR/fleet-*.svg if DIR is given.

#[path = "../tests/net/mod.rs"]
mod net;

use net::{Faults, MS, Net, S};
use orchidvalve_fleet::leases::BudgetKey;
use orchidvalve_fleet::verdicts::{Topic, VerdictKey};
use plotters::prelude::*;

const KEY: BudgetKey = BudgetKey { family: 1, subject: 7 };
const TOTAL: f64 = 100.0;

struct Row {
    nodes: usize,
    loss: f64,
    /// Largest excess of the summed allowances over the total at any tick.
    over: f64,
    /// Fraction of their demand that the heavy nodes got, on average.
    served: f64,
    /// Time until a verdict was known at every node: median of five, and maximum.
    stale_mid: f64,
    stale_most: f64,
    /// Datagrams sent per second by each node.
    datagrams: f64,
}

fn simulate(nodes: usize, loss: f64) -> Row {
    let mut net = Net::new(nodes, nodes, 17 + nodes as u64, |o| o);
    net.faults = Faults { loss, duplicates: loss / 3.0, delay: 2 * MS, jitter: 20 * MS };
    // A tenth of the nodes have a demand of five times their base share, the others of a tenth of it.
    let base = TOTAL / nodes as f64;
    let want = |i: usize| if i.is_multiple_of(10) { 5.0 * base } else { 0.1 * base };
    let step = if nodes > 100 { 20 * MS } else { 10 * MS };
    while net.now < 15 * S {
        net.tick(step, |i, inbox| inbox.set_demand(KEY, TOTAL, want(i)));
    }
    let sent_before: u64 = net.alive().map(|f| f.counts().sent).sum();
    let (mut over, mut served, mut samples) = (f64::MIN, 0.0, 0);
    let mut stale = Vec::new();
    let began = net.now;
    for verdict in 0..5u64 {
        let key = VerdictKey { subject: verdict, service_class: 0, topic: Topic::Failing };
        let from = (verdict as usize * 7) % nodes;
        net.tick(step, |i, inbox| {
            inbox.set_demand(KEY, TOTAL, want(i));
            if i == from {
                inbox.verdict(key, true, 60 * S);
            }
        });
        let sent_at = net.now;
        let mut known = None;
        while net.now < sent_at + 4 * S {
            net.tick(step, |i, inbox| inbox.set_demand(KEY, TOTAL, want(i)));
            let sum: f64 = net.alive().map(|f| f.allowance(KEY)).sum();
            over = over.max(sum - TOTAL);
            let heavy = net.alive().enumerate().filter(|(i, _)| i.is_multiple_of(10));
            served += heavy.map(|(i, f)| f.allowance(KEY).min(want(i)) / want(i)).sum::<f64>();
            samples += nodes.div_ceil(10);
            if known.is_none() && net.alive().all(|f| f.holds(key)) {
                known = Some((net.now - sent_at) as f64 / 1e9);
            }
        }
        stale.push(known.unwrap_or(f64::INFINITY));
    }
    let seconds = (net.now - began) as f64 / 1e9;
    let sent: u64 = net.alive().map(|f| f.counts().sent).sum::<u64>() - sent_before;
    stale.sort_by(f64::total_cmp);
    Row {
        nodes,
        loss,
        over,
        served: served / samples as f64,
        stale_mid: stale[2],
        stale_most: stale[4],
        datagrams: sent as f64 / nodes as f64 / seconds,
    }
}

fn chart(path: &str, title: &str, y: &str, lines: &[(String, Vec<(f64, f64)>)]) {
    let most = lines.iter().flat_map(|(_, p)| p.iter().map(|&(_, y)| y)).fold(0.0f64, f64::max);
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE).unwrap();
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((8.0..400.0).log_scale(), 0.0..most * 1.2 + 1e-9)
        .unwrap();
    chart.configure_mesh().x_desc("front nodes").y_desc(y).draw().unwrap();
    for (n, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(line).unwrap();
        drawn.label(name.clone()).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw().unwrap();
    root.present().unwrap();
}

fn main() {
    let dir = std::env::args().nth(1);
    println!(
        "| nodes | loss | most over the total | heavy nodes served | verdict known by all, middle s | most s | datagrams a second a node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let (mut stale, mut sent) = (Vec::new(), Vec::new());
    for loss in [0.0, 0.1, 0.3] {
        let (mut s, mut d) = (Vec::new(), Vec::new());
        for nodes in [10, 30, 100, 300] {
            let r = simulate(nodes, loss);
            println!(
                "| {} | {:.1} | {:.3} | {:.2} | {:.2} | {:.2} | {:.1} |",
                r.nodes, r.loss, r.over, r.served, r.stale_mid, r.stale_most, r.datagrams
            );
            s.push((nodes as f64, r.stale_most));
            d.push((nodes as f64, r.datagrams));
        }
        stale.push((format!("loss {loss:.1}"), s));
        sent.push((format!("loss {loss:.1}"), d));
    }
    if let Some(dir) = dir {
        chart(
            &format!("{dir}/fleet-staleness.svg"),
            "A verdict known by all",
            "seconds, most of five",
            &stale,
        );
        chart(&format!("{dir}/fleet-datagrams.svg"), "Datagrams", "a second, each node", &sent);
    }
}
