//! The first start of a system, with real processes on loopback addresses.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

/// Time after which a control node that has logged nothing more is considered stuck.
const LOG_TIMEOUT: Duration = Duration::from_secs(30);
const SEEDS: u8 = 3;
const MEMBERS: u8 = 3;

fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap();
    listener.local_addr().unwrap().port()
}

/// The ports that all control nodes of a system use.
struct Ports {
    control: u16,
    internal: u16,
}

/// Returns the settings of the control node with this number; the seeds have the lowest numbers.
fn settings(number: u8, data_directory: Option<&Path>, ports: &Ports) -> String {
    let Ports { control, internal } = ports;
    let seeds: Vec<String> = (1..=SEEDS).map(|seed| format!("127.75.0.{seed}:{control}")).collect();
    let disk = data_directory.map(|path| format!("data-directory={}\n", path.display()));
    format!(
        "node-name=edge-north-{number}\nip-address=127.75.0.{number}\nzone=north\nbootstrap=true\n\
         internal-port-range={internal},{internal}\nlisten-addresses.control=127.75.0.{number}:{control}\n\
         listen-addresses.internal=127.75.0.{number}:{internal}\nfault-tolerance.machines=1\n\
         seed-nodes={}\n{}",
        seeds.join(","),
        disk.unwrap_or_default()
    )
}

/// A running control node. Dropping this value ends the process.
struct ControlNode(Child);

impl ControlNode {
    /// Starts a control node whose log lines are sent to `log`.
    fn start(folder: &Path, settings: &str, number: u8, log: Sender<String>) -> ControlNode {
        let path = folder.join(format!("local-{number}.conf"));
        std::fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_orchidvalve-server"))
            .arg("control")
            .env("ORCHIDVALVE_BOOT", path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| log.send(line)));
        ControlNode(child)
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a system that never begins to work because none of its seeds has a disk.
#[test]
fn a_system_whose_seeds_have_no_disk_decides_its_first_view() {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("orchidvalve-first-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let ports = Ports { control: free_port(), internal: free_port() };
    let (log, lines) = channel();
    let nodes: Vec<ControlNode> = (1..=SEEDS + MEMBERS)
        .map(|number| {
            let data_directory = (number > SEEDS).then(|| folder.join(format!("data-{number}")));
            let text = settings(number, data_directory.as_deref(), &ports);
            ControlNode::start(&folder, &text, number, log.clone())
        })
        .collect();
    let mut seen = Vec::new();
    while !seen.iter().any(|line: &String| line.contains("control: view 1 has voters")) {
        match lines.recv_timeout(LOG_TIMEOUT) {
            Ok(line) => seen.push(line),
            Err(error) => panic!("no first view: {error}: {seen:#?}"),
        }
    }
    drop(nodes);
    std::fs::remove_dir_all(&folder).unwrap();
}
