//! The cost of persistence: two nodes that constantly receive endpoint lists and serve the same clients, one with a
//! logbook and one without, in turns. `cargo bench -p orchidvalve-frontnode --bench archive`, with `-- ROUNDS`.

#[path = "../tests/search_node/mod.rs"]
mod search_node;

mod play;

use play::Measurement;
use search_node::FRAMES;

fn main() {
    let rounds: usize = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(6);
    let mut both = [
        Measurement::new("logbook off", true, FRAMES, ""),
        Measurement::new("logbook on", true, FRAMES, "# logbook\n"),
    ];
    both.iter().for_each(|figures| drop(figures.harness.publish_constantly()));
    let mut longest = [Vec::new(), Vec::new()];
    for round in 0..rounds {
        for (figures, longest) in both.iter_mut().zip(&mut longest) {
            figures.run_turn(round);
            longest.push(figures.harness.gauge("round_p99_us"));
        }
    }
    println!("| | retrievals a processor second | p50 ms | p99 ms | round p99 us, turns | rosters heard |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (f, longest) in both.iter().zip(&mut longest) {
        longest.sort_unstable();
        let ms = |q| f.latencies.value_at_quantile(q) as f64 / 1e3;
        println!(
            "| {} | {:.0} | {:.2} | {:.2} | {} to {}, middle {} | {} |",
            f.name,
            f.done as f64 / f.processor_seconds,
            ms(0.5),
            ms(0.99),
            longest[0],
            longest[longest.len() - 1],
            longest[longest.len() / 2],
            f.harness.counter("roster_news")
        );
    }
    let keys = ["logbook_batches", "logbook_syncs", "logbook_merged", "logbook_refused"];
    let counts: Vec<String> = keys.iter().map(|k| format!("{k} {}", both[1].harness.gauge(k))).collect();
    println!("{}", counts.join(", "));
}
