//! Both client protocols in front of both store protocols, measured in turns within one run: queries per second of the
//! node's processor time, latencies, memory. `cargo bench -p orchidvalve-frontnode --bench doors`, with `-- ROUNDS` for
//! more.

#[path = "../tests/search_node/mod.rs"]
mod search_node;

mod play;

use play::{Measurement, resident_kb};
use search_node::{FRAMES, OS};

fn main() {
    // Cargo adds its own flags.
    let rounds = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(5);
    let mut all = [
        Measurement::new("own door, frames", true, FRAMES, ""),
        Measurement::new("search door, frames", false, FRAMES, ""),
        Measurement::new("own door, search", true, OS, ""),
        Measurement::new("search door, search", false, OS, ""),
    ];
    for round in 0..rounds {
        eprintln!("round {} of {rounds}", round + 1);
        all.iter_mut().for_each(|figures| figures.run_turn(round));
    }
    println!(
        "| door, wire | a processor second | a second | p50 ms | p99 ms | highest memory MB | of own door, frames |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let base = all[0].done as f64 / all[0].processor_seconds;
    for f in &all {
        let rate = f.done as f64 / f.processor_seconds;
        let ms = |q| f.latencies.value_at_quantile(q) as f64 / 1e3;
        println!(
            "| {} | {rate:.0} | {:.0} | {:.2} | {:.2} | {:.1} | {:.2} |",
            f.name,
            f.done as f64 / f.seconds,
            ms(0.5),
            ms(0.99),
            resident_kb(&f.harness) as f64 / 1024.0,
            rate / base
        );
    }
    for f in &all {
        let least = f.rates.iter().copied().fold(f64::INFINITY, f64::min);
        let most = f.rates.iter().copied().fold(0.0, f64::max);
        println!("{}: turns between {least:.0} and {most:.0} a processor second", f.name);
    }
}
