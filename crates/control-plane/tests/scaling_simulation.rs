//! Closed-loop comparison of scaling policies: their cost in server-seconds, and the requests that they leave unserved.

mod scaling_support;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use scaling_support::BOUNDS;
use scaling_support::simulation::{Arrivals, Outcome, Policy, START_COUNT, Shape, Simulation};

const STEPS_PER_S: f64 = 20.0;

/// Single requests at `per_s` requests per second.
fn requests(per_s: f64, random: &mut Pcg64Mcg) -> Vec<Arrivals> {
    let mean = per_s / STEPS_PER_S;
    let items = mean.floor() as u32 + u32::from(random.random_bool(mean.fract()));
    vec![Arrivals { items, run_ms: 400, due_ms: 1_500 }]
}

/// A batch job every `period_ms` milliseconds.
fn job(now: u64, period_ms: u64, job: Arrivals) -> Vec<Arrivals> {
    if now.is_multiple_of(period_ms) { vec![job] } else { Vec::new() }
}

fn shapes() -> Vec<Shape> {
    let shape =
        |name, arrivals| Shape { name, arrivals, lost: None, rollout_period_ms: None, length_ms: 120_000 };
    // The initial servers can handle 720 such requests per second.
    vec![
        shape("idle", |_, _| Vec::new()),
        shape("steady, a quarter", |_, random| requests(180.0, random)),
        shape("steady, two thirds", |_, random| requests(480.0, random)),
        shape("step from a tenth to nine tenths", |now, random| {
            requests(if now < 60_000 { 72.0 } else { 650.0 }, random)
        }),
        shape("step from a quarter to nearly all", |now, random| {
            requests(if now < 60_000 { 180.0 } else { 690.0 }, random)
        }),
        shape("step beyond the start", |now, random| {
            requests(if now < 40_000 { 144.0 } else { 1_000.0 }, random)
        }),
        shape("ramp beyond the start and back", |now, random| {
            let distance = now.abs_diff(60_000) as f64 / 60_000.0;
            requests(1_100.0 * (1.0 - distance), random)
        }),
        Shape {
            rollout_period_ms: Some(6_000),
            ..shape("jobs of three trainers", |now, _| {
                let mut all = job(now, 6_000, Arrivals { items: 640, run_ms: 300, due_ms: 12_000 });
                all.extend(job(now, 5_000, Arrivals { items: 312, run_ms: 200, due_ms: 3_500 }));
                all.extend(job(now, 6_000, Arrivals { items: 672, run_ms: 300, due_ms: 9_600 }));
                all
            })
        },
        shape("jobs that take most of the time", |now, _| {
            job(now, 6_000, Arrivals { items: 3_600, run_ms: 400, due_ms: 9_600 })
        }),
        shape("jobs that are too many", |now, _| {
            job(now, 6_000, Arrivals { items: 5_600, run_ms: 400, due_ms: 9_600 })
        }),
        shape("one burst after a long rest", |now, _| {
            job(now.max(1) % 100_000, 100_000, Arrivals { items: 0, run_ms: 400, due_ms: 1 })
                .into_iter()
                .chain((now == 90_000).then_some(Arrivals { items: 3_000, run_ms: 400, due_ms: 5_500 }))
                .collect()
        }),
        shape("jobs, a long rest, jobs again", |now, _| {
            let is_resting = (30_000..90_000).contains(&now);
            let due = Arrivals { items: 3_000, run_ms: 400, due_ms: 5_500 };
            if is_resting { Vec::new() } else { job(now, 6_000, due) }
        }),
        Shape {
            lost: Some((50_000, 80_000)),
            ..shape("a zone lost at half load", |_, random| requests(360.0, random))
        },
        Shape {
            lost: Some((50_000, 80_000)),
            ..shape("a zone lost at nine tenths", |_, random| requests(650.0, random))
        },
        shape("noise around a half", |now, random| {
            let phase = (now / 1_000) % 7;
            requests(250.0 + 40.0 * phase as f64 + random.random_range(0.0..80.0), random)
        }),
    ]
}

const POLICIES: [(&str, Policy); 4] = [
    ("at max", Policy::Fixed(BOUNDS.max_count)),
    ("at min", Policy::Fixed(BOUNDS.min_count)),
    ("as at start", Policy::Fixed(START_COUNT)),
    ("planned", Policy::Planned),
];

fn row(shape: &str, policy: &str, outcome: &Outcome) -> String {
    let Outcome { server_s, orders, served, unserved } = outcome;
    format!("| {shape} | {policy} | {server_s} | {orders} | {served} | {unserved} |")
}

/// `cargo test -p orchidvalve-control-plane --test scaling_simulation -- --nocapture` prints the table of `docs/system.md`.
#[test]
fn the_planner_serves_no_less_than_the_initial_servers() {
    println!(
        "| load | policy | server-seconds | orders | served | unserved |\n| --- | --- | --- | --- | --- | --- |"
    );
    let mut worse = Vec::new();
    for shape in shapes() {
        let outcomes = POLICIES.map(|(name, policy)| (name, Simulation::run(&shape, policy)));
        for (name, outcome) in &outcomes {
            println!("{}", row(shape.name, name, outcome));
        }
        let [.., (_, start), (_, planned)] = outcomes;
        if planned.unserved > start.unserved {
            worse.push(shape.name);
        }
    }
    assert!(worse.is_empty(), "more requests are unserved than with the initial servers: {worse:?}");
}

#[test]
fn the_planner_removes_spare_servers_down_to_the_minimum() {
    let shapes = shapes();
    let quarter = &shapes[1];
    let idle = Simulation::run(quarter, Policy::Planned);
    let start = Simulation::run(quarter, Policy::Fixed(START_COUNT));
    assert!(idle.server_s < start.server_s, "{idle:?} {start:?}");
    assert_eq!(idle.orders, 8);
}
