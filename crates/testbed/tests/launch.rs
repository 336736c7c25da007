//! Processes that are started, signalled, restarted and killed. A shell replaces the program: it runs the script that
//! is named like the role.

use std::fs;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use orchidvalve_testbed::launch::{LaunchError, Launcher, ProcessId, Role, Topology, settings_text};

const LIMIT: Duration = Duration::from_secs(20);
/// Prints the path of its settings and then waits. SIGTERM ends it with status 7.
const SCRIPT: &str =
    "trap 'echo stopping; exit 7' TERM\necho \"boot $ORCHIDVALVE_BOOT\"\nwhile :; do read line; done\n";

fn launcher(controls: usize, doors: usize, stores: usize) -> Launcher {
    let launcher =
        Launcher::new(Topology::new(controls, doors, stores).unwrap(), Path::new("/bin/sh")).unwrap();
    for role in ["control", "door", "store"] {
        // The shell reads from a pipe that nobody writes to.
        let script = "mkfifo fifo.$$\nexec 0<>fifo.$$\n".to_owned() + SCRIPT;
        fs::write(launcher.directory().join(role), script).unwrap();
    }
    launcher
}

/// Polls until `found` returns true, for a limited time.
fn until(what: &str, mut found: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !found() {
        assert!(begin.elapsed() < LIMIT, "{what} in time");
        std::thread::yield_now();
    }
}

fn wait_for_log(launcher: &Launcher, id: ProcessId, text: &str) {
    until(text, || launcher.log_tail(id).contains(text));
}

/// Waits until all running processes are up. A process that is killed while it creates its pipe leaves the pipe
/// behind.
fn wait_until_up(launcher: &Launcher) {
    for id in launcher.ids().into_iter().filter(|id| launcher.is_running(*id)) {
        wait_for_log(launcher, id, "boot");
    }
}

/// Returns how often a process has come up.
fn boots(launcher: &Launcher, id: ProcessId) -> usize {
    launcher.log_tail(id).matches("boot ").count()
}

fn wait_for_end(launcher: &mut Launcher, id: ProcessId) -> ExitStatus {
    let mut status = None;
    until("the end of a process", || {
        let ended = launcher.reap().into_iter().find(|(ended, _)| *ended == id);
        status = ended.map(|(_, status)| status);
        status.is_some()
    });
    status.unwrap()
}

#[test]
fn every_process_receives_its_settings() {
    let mut launcher = launcher(1, 2, 1);
    launcher.start_all().unwrap();
    let names: Vec<String> = launcher.ids().into_iter().map(|id| launcher.name(id)).collect();
    let expected = [
        "edge-north-yard-1/control",
        "edge-north-yard-1/door",
        "edge-south-yard-1/door",
        "storage-north-yard-1/store",
    ];
    assert_eq!(names, expected);
    for id in launcher.ids() {
        wait_for_log(&launcher, id, ".conf");
    }
}

#[test]
fn a_process_stops_on_sigterm_and_can_be_restarted() {
    let mut launcher = launcher(1, 1, 0);
    launcher.start_all().unwrap();
    let id = launcher.with_role(Role::Gateway)[0];
    wait_for_log(&launcher, id, "boot");
    launcher.terminate(id).unwrap();
    // The shell handles the signal between two reads.
    assert_eq!(wait_for_end(&mut launcher, id).code(), Some(7));
    assert!(matches!(launcher.terminate(id), Err(LaunchError::NotRunning(_))));
    launcher.start(id).unwrap();
    assert!(launcher.is_running(id));
    until("the second start", || boots(&launcher, id) == 2);
    wait_until_up(&launcher);
}

#[test]
fn a_paused_process_stops_only_after_it_is_resumed() {
    let mut launcher = launcher(1, 1, 0);
    launcher.start_all().unwrap();
    let id = launcher.with_role(Role::Control)[0];
    wait_for_log(&launcher, id, "boot");
    launcher.pause(id).unwrap();
    launcher.terminate(id).unwrap();
    assert!(launcher.reap().is_empty());
    launcher.resume(id).unwrap();
    assert_eq!(wait_for_end(&mut launcher, id).code(), Some(7));
    wait_until_up(&launcher);
}

#[test]
fn a_disk_survives_a_kill_and_is_emptied_by_a_wipe() {
    let mut launcher = launcher(0, 0, 1);
    launcher.start_all().unwrap();
    let id = launcher.with_role(Role::Store)[0];
    wait_for_log(&launcher, id, "boot");
    let file = launcher.directory().join("storage-north-yard-1-store.data/ring");
    fs::write(&file, "bytes").unwrap();
    assert!(launcher.wipe(id).is_err(), "the process is running");
    launcher.kill(id).unwrap();
    assert!(file.exists());
    launcher.wipe(id).unwrap();
    assert!(!file.exists());
    launcher.start(id).unwrap();
    let settings = fs::read_to_string(launcher.directory().join("storage-north-yard-1-store.conf")).unwrap();
    assert!(settings.contains("bootstrap=false\n"));
    until("the second start", || boots(&launcher, id) == 2);
}

#[test]
fn machines_can_be_added_and_are_removed_with_the_launch() {
    let mut launcher = launcher(0, 0, 1);
    launcher.start_all().unwrap();
    for id in launcher.add_store() {
        launcher.start(id).unwrap();
        assert_eq!(launcher.name(id), "storage-south-yard-1/store");
    }
    wait_until_up(&launcher);
    let directory = launcher.directory().to_owned();
    drop(launcher);
    assert!(!directory.exists());
}

#[test]
fn a_removed_machine_is_replaced_at_another_address() {
    let mut launcher = launcher(3, 3, 0);
    launcher.start_all().unwrap();
    let lost = launcher.with_role(Role::Control)[0];
    let address = SocketAddrV4::new(launcher.machine(lost).ip, launcher.topology().ports.control);
    wait_until_up(&launcher);
    for id in launcher.processes_of_same_machine(lost) {
        launcher.remove(id).unwrap();
        assert!(!launcher.is_running(id));
    }
    let added = launcher.add_control();
    let roles: Vec<Role> = added.iter().map(|id| launcher.role(*id)).collect();
    assert_eq!(roles, [Role::Control, Role::Gateway]);
    let serving = launcher.topology().control_addresses();
    assert_eq!(serving.len(), 3);
    assert!(!serving.contains(&address));
    for id in added {
        launcher.start(id).unwrap();
        wait_for_log(&launcher, id, "boot");
    }
    let name = &launcher.machine(launcher.with_role(Role::Control)[3]).name;
    let settings = fs::read_to_string(launcher.directory().join(format!("{name}-control.conf"))).unwrap();
    assert!(settings.contains("bootstrap=false\n"));
    assert!(!settings.contains(&format!("{address}")), "the removed node is not a seed node");
}

#[test]
fn the_error_names_a_missing_program() {
    let topology = Topology::new(1, 1, 0).unwrap();
    let mut launcher = Launcher::new(topology, Path::new("/no/such/program")).unwrap();
    let error = launcher.start_all().unwrap_err().to_string();
    assert!(error.contains("/no/such/program") && error.contains("--program"), "{error}");
}

#[test]
fn settings_match_the_format_of_the_deployment() {
    let topology = Topology::new(3, 4, 3).unwrap();
    let (control, store) = (&topology.machines[0], &topology.machines[4]);
    let lines = |text: String| text.lines().map(str::to_owned).collect::<Vec<String>>();
    let data = Path::new("/data/control");
    let text = lines(settings_text(&topology, control, Role::Control, data, true));
    let seeds: Vec<String> = topology.control_addresses().iter().map(ToString::to_string).collect();
    assert_eq!(seeds.len(), 3);
    for line in [
        "node-name=edge-north-yard-1".to_owned(),
        "machine-class=edge".to_owned(),
        "serves=control_plane".to_owned(),
        format!("ip-address={}", control.ip),
        "zones.south-yard=yards".to_owned(),
        format!("listen-addresses.control={}:{}", control.ip, topology.ports.control),
        format!("internal-port-range={},{}", topology.ports.internal_first, topology.ports.internal_last),
        format!("seed-nodes={}", seeds.join(",")),
        "bootstrap=true".to_owned(),
        "quorum-member=true".to_owned(),
        "data-directory=/data/control".to_owned(),
        "bounds.lease-ms=3000".to_owned(),
        format!("cloud-api.address={}", topology.platform),
    ] {
        assert!(text.contains(&line), "{line}");
    }
    let text = lines(settings_text(&topology, store, Role::Store, data, false));
    assert!(text.contains(&"serves=storage".to_owned()) && text.contains(&"bootstrap=false".to_owned()));
    assert!(!text.iter().any(|line| line.starts_with("listen-addresses")));
    let text = lines(settings_text(&topology, &topology.machines[3], Role::Gateway, data, true));
    assert!(text.contains(&"quorum-member=false".to_owned()));
    assert!(!text.iter().any(|line| line.starts_with("data-directory")));
}

#[test]
fn machines_behind_a_proxy_do_not_listen_at_their_announced_address() {
    let mut topology = Topology::new(1, 1, 1).unwrap();
    topology.proxied = true;
    let [edge, storage] = &topology.machines[..] else { panic!("two machines") };
    for (machine, role) in [(edge, Role::Control), (edge, Role::Gateway), (storage, Role::Store)] {
        let text = settings_text(&topology, machine, role, Path::new("/data"), true);
        assert!(text.contains(&format!("ip-address={}\n", machine.ip)));
        let listener = topology.internal_listener(machine);
        assert!(text.contains(&format!("listen-addresses.internal={listener}\n")));
        assert_ne!(listener, topology.internal_address(machine));
    }
}
