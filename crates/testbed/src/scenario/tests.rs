//! Golden traces of the inputs of a scenario: names, configurations, settings, and the steps of every fault.

use std::path::{Path, PathBuf};

use orchidvalve_golden::{Trace, check_hashes};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::fault_steps::{FaultTargets, steps};
use super::faults::FAULT_NAMES;
use super::leader_faults::LeaderFault;
use super::servers::ServerIndices;
use super::steps::Step;
use super::workload::{TrafficTimes, Workload};
use crate::clients::ClientSettings;
use crate::credentials::Credentials;
use crate::fault_proxy::LinkFault;
use crate::host::ServerIndex;
use crate::launch::{Launcher, ProcessId, Role, Topology};
use crate::operator::Action;
use crate::platform::PlatformFault;
use crate::server_fault::ServerFault;
use crate::trainer::TrainerSettings;

const SEEDS: u64 = 3;

fn golden(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn add_texts(trace: &mut Trace, texts: &[&str]) {
    texts.iter().for_each(|text| trace.add(text.as_bytes()));
}

fn add_numbers(trace: &mut Trace, numbers: &[u64]) {
    numbers.iter().for_each(|number| trace.add_number(*number));
}

fn add_trainer(trace: &mut Trace, settings: &TrainerSettings) {
    let TrainerSettings { steps, batch, items, review, .. } = settings;
    add_texts(trace, &[&settings.name, &settings.zone, &settings.host, &items.path_prefix]);
    add_texts(trace, &[&settings.model, &items.reward_host, &items.reward_prefix]);
    settings.keys.iter().for_each(|key| add_texts(trace, &[key]));
    let sizes = [batch.groups, batch.group_size, batch.required_groups, items.body_bytes];
    sizes.iter().for_each(|size| trace.add_number(*size as u64));
    add_numbers(trace, &[steps.interval_ms, steps.train_ms, steps.steps_ahead, batch.version_lag]);
    add_numbers(trace, &[u64::from(batch.single_version), u64::from(batch.carry_over)]);
    add_numbers(trace, &[batch.max_attempts, batch.max_queue_ms, batch.target_run_ms]);
    add_numbers(trace, &[batch.deadline_ms, items.prompt_tokens, items.shared_tokens]);
    add_numbers(trace, &[items.max_events, items.stride, settings.seed]);
    add_numbers(trace, &[steps.from, steps.until, review.from, review.until]);
}

fn add_clients(trace: &mut Trace, settings: &ClientSettings) {
    add_texts(trace, &[&settings.zone, &settings.host, &settings.path_prefix]);
    add_numbers(
        trace,
        &[settings.interval_ms, settings.target_latency_ms, settings.deadline_ms, settings.seed],
    );
    add_numbers(trace, &[settings.from, settings.until, u64::from(settings.retries)]);
    add_numbers(trace, &[settings.body_bytes as u64, settings.pipelined as u64]);
    for flag in [settings.idempotent, settings.keep_alive, settings.chunked] {
        trace.add_number(u64::from(flag));
    }
    settings.credentials.iter().flat_map(Credentials::fields).for_each(|(name, value)| {
        add_texts(trace, &[name, value]);
    });
}

#[test]
fn names_and_settings_are_drawn_as_recorded() {
    let mut hashes = Vec::new();
    for seed in 0..8 {
        let mut trace = Trace::new();
        let workload = Workload::draw(seed);
        let times = TrafficTimes { from: 10, until: 20, review_from: 30, review_until: 40 };
        trace.add(workload.configuration().to_string().as_bytes());
        workload.changing_routes().iter().for_each(|route| trace.add(route.to_string().as_bytes()));
        workload.trainers(times, seed).iter().for_each(|settings| add_trainer(&mut trace, settings));
        workload.clients("north", times, seed).iter().for_each(|settings| add_clients(&mut trace, settings));
        add_clients(&mut trace, &workload.client_with_long_bodies(times, seed));
        workload
            .clients_of_revoked_keys(times, seed)
            .iter()
            .for_each(|settings| add_clients(&mut trace, settings));
        workload.improper_clients(times, seed).iter().for_each(|settings| add_clients(&mut trace, settings));
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    check_hashes(&golden("scenes.txt"), &hashes);
}

fn add_processes(trace: &mut Trace, number: u64, ids: &[ProcessId]) {
    add_numbers(trace, &[number, ids.len() as u64]);
    ids.iter().for_each(|id| trace.add_number(id.0 as u64));
}

fn add_link_fault(trace: &mut Trace, fault: Option<LinkFault>) {
    match fault {
        None => trace.add_number(0),
        Some(LinkFault::Partitioned) => trace.add_number(1),
        Some(LinkFault::Reset) => trace.add_number(2),
        Some(LinkFault::Slow { delay_ms, bytes_per_s }) => add_numbers(trace, &[3, delay_ms, bytes_per_s]),
    }
}

fn add_fault(trace: &mut Trace, fault: ServerFault) {
    match fault {
        ServerFault::Crash => trace.add_number(1),
        ServerFault::Unresponsive => trace.add_number(2),
        ServerFault::Slowdown(factor) => add_numbers(trace, &[3, factor]),
        ServerFault::BreakStream { after_events } => add_numbers(trace, &[4, after_events]),
        ServerFault::MalformedResponse => trace.add_number(5),
        ServerFault::DuplicateResponses => trace.add_number(6),
        ServerFault::EarlyResponse => trace.add_number(7),
    }
}

fn add_action(trace: &mut Trace, action: &Action) {
    match action {
        Action::PutFirst(document) => add_texts(trace, &["first", &document.to_string()]),
        Action::Patch { upsert, remove } => {
            add_texts(trace, &["patch", &upsert.to_string(), &remove.to_string()]);
        }
        Action::PutWith { route, field, value } => {
            add_texts(trace, &["put", route, field, &value.to_string()]);
        }
        Action::Race { route, field, first, second } => {
            add_texts(trace, &["race", route, field, &first.to_string(), &second.to_string()]);
        }
        Action::Invalid { route } => add_texts(trace, &["invalid", route]),
        Action::Retire { node, duration_s } => {
            add_texts(trace, &["retire", node]);
            trace.add_number(*duration_s);
        }
        Action::ReadBack => add_texts(trace, &["read-back"]),
    }
}

fn add_platform_fault(trace: &mut Trace, fault: Option<PlatformFault>) {
    trace.add_number(20);
    match fault {
        None => trace.add_number(0),
        Some(PlatformFault::Slow { delay_ms }) => add_numbers(trace, &[1, delay_ms]),
        Some(PlatformFault::Unresponsive) => trace.add_number(2),
        Some(PlatformFault::Busy) => trace.add_number(3),
        Some(PlatformFault::Reset) => trace.add_number(4),
        Some(PlatformFault::Partitioned) => trace.add_number(5),
    }
}

fn add_step(trace: &mut Trace, step: &Step) {
    match step {
        Step::Kill(ids) => add_processes(trace, 1, ids),
        Step::Wipe(ids) => add_processes(trace, 2, ids),
        Step::Start(ids) => add_processes(trace, 3, ids),
        Step::Pause(ids) => add_processes(trace, 4, ids),
        Step::Resume(ids) => add_processes(trace, 5, ids),
        Step::Terminate(ids) => add_processes(trace, 6, ids),
        Step::TerminateAndRemove(ids) => add_processes(trace, 7, ids),
        Step::Remove(ids) => add_processes(trace, 8, ids),
        Step::AddStore => trace.add_number(9),
        Step::AddControl => trace.add_number(10),
        Step::Links(links, fault) => {
            add_numbers(trace, &[11, links.len() as u64]);
            links.iter().for_each(|link| add_numbers(trace, &[link.from.0 as u64, link.to.0 as u64]));
            add_link_fault(trace, *fault);
        }
        Step::InjectServerFault(server, fault) => {
            add_numbers(trace, &[12, server.0 as u64]);
            add_fault(trace, *fault);
        }
        Step::RestartServer(server) => add_numbers(trace, &[13, server.0 as u64]),
        Step::ClearServerFaults(server) => add_numbers(trace, &[14, server.0 as u64]),
        Step::DrainServer(server) => add_numbers(trace, &[15, server.0 as u64]),
        Step::RemoveServer(server) => add_numbers(trace, &[16, server.0 as u64]),
        Step::SpendQuota(ids) => add_processes(trace, 18, ids),
        Step::RenewQuota(ids) => add_processes(trace, 19, ids),
        Step::Platform(fault) => add_platform_fault(trace, *fault),
        Step::Leader(fault, duration_ms) => {
            let number = match fault {
                LeaderFault::Kill => 1,
                LeaderFault::Pause => 2,
                LeaderFault::Partition => 3,
            };
            add_numbers(trace, &[21, number, *duration_ms]);
        }
        Step::Operator(action) => {
            trace.add_number(17);
            add_action(trace, action);
        }
    }
    let facts = [u64::from(step.is_planned()), u64::from(step.affects_machines()), step.lasts_ms()];
    add_numbers(trace, &facts);
}

#[test]
fn faults_consist_of_the_recorded_steps() {
    let servers = ServerIndices {
        models: (1..10).map(ServerIndex).collect(),
        applications: (10..15).map(ServerIndex).collect(),
    };
    let mut hashes = Vec::new();
    for (name, fault) in FAULT_NAMES {
        let mut trace = Trace::new();
        for seed in 0..SEEDS {
            let edges = 3 + seed as usize;
            let topology = Topology::new(3, edges, 3).unwrap();
            let launcher = Launcher::new(topology, Path::new("/bin/sh")).unwrap();
            assert_eq!(launcher.with_role(Role::Gateway).len(), edges);
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let workload = Workload::draw(seed);
            let targets = FaultTargets {
                launcher: &launcher,
                servers: &servers,
                workload: &workload,
                partition_ms: 4_321,
            };
            for scheduled in steps(fault, &targets, &mut random) {
                trace.add_number(scheduled.at);
                add_step(&mut trace, &scheduled.step);
            }
        }
        trace.add_number(u64::from(fault.requires_proxy()));
        if let Some(pace) = fault.operator_pace() {
            add_numbers(
                &mut trace,
                &[pace.operators as u64, pace.pause_ms, u64::from(pace.response_loss_percent)],
            );
        }
        hashes.push((name, trace.finish()));
    }
    check_hashes(&golden("troubles.txt"), &hashes);
}
