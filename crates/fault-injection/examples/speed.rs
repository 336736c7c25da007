//! Measures the speed of the emulator: queries per second on one core against the number of stores, with 50 front
//! nodes, ten queries of six shard requests per second for each store, and one store in ten slow. `cargo run
//! --release -p orchidvalve-fault-injection --example speed -- DIR` prints a table and writes a chart to DIR.

use std::time::Instant;

use orchidvalve_fault_injection::emulator::play;
use orchidvalve_fault_injection::policy::Policy;
use orchidvalve_fault_injection::scenario::Scenario;
use plotters::prelude::*;

fn scenario(stores: usize) -> Scenario {
    let text = format!(
        "name = 'speed'\nlasts_s = 4.0\nfronts = 50\n[stores]\ncells = {cells}\nreach = 2\nper_cell = 2\ncores = 2\nwork_ms = 6.0\n\
         [[grade]]\nname = 'look'\neffect = 'pure'\nsoft_ms = 400\nabandon_ms = 2000\nshards = {shards}\n\
         [[load]]\nfrom_s = 0.0\nto_s = 4.0\nrate = {rate}.0\n\
         [[trouble]]\nkind = 'slow'\nfactor = 5.0\nat_s = 1.0\ndraw = {slow}\n",
        cells = stores / 2,
        shards = 6.min(stores / 2),
        rate = stores * 10,
        slow = (stores / 10).max(1)
    );
    Scenario::read(&text).expect("the scenario is valid")
}

fn main() {
    let dir = std::env::args().nth(1);
    println!(
        "| stores | retrievals | launches | took s | retrievals a second | launches a second | service |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut line = Vec::new();
    for stores in [10, 30, 100, 300, 1000] {
        let scenario = scenario(stores);
        let began = Instant::now();
        let (report, _) = play(&scenario, 1, Policy::Aggregator).expect("the run completes");
        let took = began.elapsed().as_secs_f64();
        let (asked, launches) = (report.all.queries as f64, report.attempts as f64);
        println!(
            "| {stores} | {asked} | {launches} | {took:.2} | {:.0} | {:.0} | {:.3} |",
            asked / took,
            launches / took,
            report.service
        );
        line.push((stores as f64, launches / took));
    }
    if let Some(dir) = dir {
        chart(&format!("{dir}/rehearsal-speed.svg"), &line).expect("the chart is written");
    }
}

fn chart(path: &str, line: &[(f64, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let most = line.iter().map(|p| p.1).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (640, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("emulated launches a second on one core", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d((8f64..1200f64).log_scale(), 0f64..most * 1.1)?;
    chart.configure_mesh().x_desc("stores").draw()?;
    chart.draw_series(LineSeries::new(line.iter().copied(), &BLUE))?;
    root.present()?;
    Ok(())
}
