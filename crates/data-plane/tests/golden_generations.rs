//! Golden tests of the runner of generations: its commands in random scenarios, compared by hashes.

mod generations_support;

use std::path::Path;

use generations_support::scenario::{STEPS, Scenario};
use generations_support::*;
use orchidvalve_data_plane::generations::{ServerInfo, ServerKey};
use orchidvalve_golden::check_hashes;
use rand_pcg::Pcg64Mcg;

fn golden(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Adds the runner's wake-up time and counts to the trace.
fn trace_state(scenario: &mut Scenario) {
    let runner = &scenario.gateway.runner;
    let numbers =
        [runner.next_wakeup().unwrap_or(u64::MAX), runner.in_flight() as u64, runner.open_groups() as u64];
    numbers.into_iter().for_each(|number| scenario.gateway.trace.add_number(number));
}

#[test]
fn generations_match_golden_hashes() {
    let mut hashes = Vec::new();
    for single in [false, true] {
        // This generator sets the lowest bit of its state, so only odd seeds differ.
        for seed in (101..121_u64).step_by(2) {
            let mut scenario = Scenario::with_random(Pcg64Mcg::new(seed.into()), single);
            for _ in 0..STEPS {
                scenario.step();
                trace_state(&mut scenario);
            }
            scenario.gateway.advance(EXPIRES_AT);
            trace_state(&mut scenario);
            let kind = if single { "single-version" } else { "any-version" };
            hashes.push((format!("{kind}-{seed}"), scenario.gateway.trace.finish()));
        }
    }
    check_hashes(&golden("generations.txt"), &hashes);
}

/// A scenario in which slot quotas, servers, routes, leases and jobs change as well.
#[test]
fn changing_jobs_match_golden_hashes() {
    let mut hashes = Vec::new();
    // This generator sets the lowest bit of its state, so only odd seeds differ.
    for seed in (201..225_u64).step_by(2) {
        let mut scenario = Scenario::with_random(Pcg64Mcg::new(seed.into()), seed % 4 == 1);
        for step in 0..STEPS {
            scenario.perform_action();
            let number = step / 40;
            match (step % 40, number % 8) {
                (7, 0) => {
                    scenario
                        .gateway
                        .with_runner(|runner, _| runner.set_slot_fraction(1.0 / f64::from(number % 3 + 1)));
                }
                (7, 1) => {
                    let info =
                        ServerInfo { slots: 4, queued: number % 3, same_zone: true, ..server(number % 9, 7) };
                    scenario.gateway.with_runner(|runner, _| runner.set_server(&info));
                }
                (7, 2) => {
                    scenario.gateway.with_runner(|runner, _| runner.remove_server(ServerKey(number % 14)));
                }
                (7, 3) => {
                    let info = ServerInfo { draining: true, ..server(number % 14, 7) };
                    scenario.gateway.with_runner(|runner, _| runner.set_server(&info));
                }
                (7, 4) => {
                    let mut next_assignment = scored(group("job", number % 5, &["0-0", "0-1", "0-2", "0-3"]));
                    next_assignment.id.epoch = u64::from(number);
                    scenario.gateway.assign(next_assignment);
                }
                (7, 5) => {
                    scenario
                        .gateway
                        .with_runner(|runner, out| runner.lease_expired(3, u64::from(number / 3), out));
                }
                (7, 6) => {
                    scenario.gateway.with_runner(|runner, out| runner.cancel("job", out));
                    let ids: Vec<String> = (0..6).map(|item| format!("{}-{item}", number % 5)).collect();
                    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
                    scenario.gateway.assign(scored(group("later", number, &ids)));
                }
                (7, _) => {
                    let moved = (number % 16 == 7).then(|| {
                        let mut moved = (*route_settings(seed % 4 == 1)).clone();
                        moved.max_attempts += 1;
                        moved.into()
                    });
                    scenario.gateway.with_runner(|runner, out| runner.reroute(|_| moved.clone(), out));
                    scenario.gateway.with_runner(|runner, out| drop(runner.drop_unservable(out)));
                    scenario.gateway.assign(scored(group("new", number, &["n1", "n2", "n3"])));
                }
                _ => {}
            }
            trace_state(&mut scenario);
        }
        scenario.gateway.advance(EXPIRES_AT);
        trace_state(&mut scenario);
        hashes.push((format!("changing-{seed}"), scenario.gateway.trace.finish()));
    }
    check_hashes(&golden("generations_changing.txt"), &hashes);
}
