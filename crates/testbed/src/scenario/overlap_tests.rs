//! Faults that overlap on one process: each step is possible whatever another fault has done to the process before.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::ScenarioOptions;
use super::run::ScenarioRun;
use super::steps::Step;
use super::timing::GRACE_MS;
use crate::launch::{Launcher, ProcessId, Role, Topology};

type StepOf = fn(Vec<ProcessId>) -> Step;

/// Ignores SIGTERM, and reports when it does.
const SCRIPT: &str = "trap '' TERM\necho up\nexec tail -f /dev/null\n";
const LIMIT: Duration = Duration::from_secs(20);

/// Returns a scenario with a running gateway. A shell replaces the program.
fn run_with_gateway() -> (ScenarioRun, ProcessId) {
    let launcher = Launcher::new(Topology::new(1, 1, 1).unwrap(), Path::new("/bin/sh")).unwrap();
    fs::write(launcher.directory().join("door"), SCRIPT).unwrap();
    let options = ScenarioOptions {
        seconds: 1,
        control_nodes: 1,
        gateways: 1,
        store_nodes: 1,
        seed: 1,
        program: "/bin/sh".into(),
        faults: Vec::new(),
        partition_seconds: 1,
        without_tenants: false,
        keep: false,
    };
    let mut run = ScenarioRun::new(launcher, &options).unwrap();
    let gateway = run.launcher.with_role(Role::Gateway)[0];
    run.launcher.start(gateway).unwrap();
    let begin = Instant::now();
    while !run.launcher.log_tail(gateway).contains("up") {
        assert!(begin.elapsed() < LIMIT, "the process starts in time");
        std::thread::yield_now();
    }
    (run, gateway)
}

/// Guards against scenarios that fail by themselves, or report a process that did not stop, when faults overlap.
#[rstest]
#[case::killed_while_it_stops(&[Step::Terminate, Step::Kill, Step::Start], true)]
#[case::terminated_while_down(&[Step::Kill, Step::Terminate, Step::Start], true)]
#[case::paused_while_down(&[Step::Kill, Step::Pause, Step::Start, Step::Resume], true)]
#[case::resumed_while_down(&[Step::Pause, Step::Kill, Step::Resume], false)]
#[case::wiped_after_a_restart(&[Step::Kill, Step::Start, Step::Wipe, Step::Start], true)]
#[case::killed_while_it_leaves(&[Step::TerminateAndRemove, Step::Kill, Step::Start], false)]
#[case::leaves_while_down(&[Step::Kill, Step::TerminateAndRemove, Step::Start], false)]
#[case::terminated_twice(&[Step::Terminate, Step::Terminate, Step::Kill, Step::Start], true)]
fn steps_on_one_process_may_overlap(#[case] steps: &[StepOf], #[case] is_running: bool) {
    let (mut run, gateway) = run_with_gateway();
    for step in steps {
        run.execute(0, step(vec![gateway])).unwrap();
    }
    run.supervise_processes(GRACE_MS + 1).unwrap();
    assert!(run.supervision.take_ended().is_empty());
    assert_eq!(run.launcher.is_running(gateway), is_running);
}

/// Guards against a process that counts as hung because it was paused while it stopped.
#[test]
fn a_paused_process_has_its_grace_from_the_time_at_which_it_is_resumed() {
    const RESUMED_AT: u64 = 3_000;
    let (mut run, gateway) = run_with_gateway();
    run.execute(0, Step::Terminate(vec![gateway])).unwrap();
    run.execute(0, Step::Pause(vec![gateway])).unwrap();
    run.execute(RESUMED_AT, Step::Resume(vec![gateway])).unwrap();
    run.supervise_processes(RESUMED_AT + GRACE_MS - 1).unwrap();
    assert!(run.supervision.take_ended().is_empty());
    run.supervise_processes(RESUMED_AT + GRACE_MS).unwrap();
    assert_eq!(run.supervision.take_ended().len(), 1, "it ignored SIGTERM");
}
