//! A process whose disk accepts no writes at the start keeps running and continues once the disk accepts them.
//!
//! The test simulates such a disk by a limit on the size of files, which can be raised while the process runs.

use std::io::{BufRead, BufReader, Lines};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use rstest::rstest;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};

/// Starts the program with a file size limit of 0. The signal SIGXFSZ is ignored, so that writes fail instead.
const WITHOUT_SPACE: &str = "trap '' XFSZ; ulimit -S -f 0; exec \"$0\" \"$1\"";
const DISK_UNAVAILABLE: &str = "the disk cannot be used yet: ";
const STARTED: &str = "starts with 0 records on disk";

fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap().port()
}

fn settings(data_directory: &Path) -> String {
    let (control, internal) = (free_port(), free_port());
    let data_directory = data_directory.display();
    format!(
        "node-name=edge-north-1\nip-address=127.0.0.1\nzone=north\ninternal-port-range={internal},{internal}\n\
         listen-addresses.control=127.0.0.1:{control}\nseed-nodes=127.0.0.1:{control}\nbootstrap=false\n\
         data-directory={data_directory}\n"
    )
}

/// A process whose files must be empty. Dropping this value ends the process.
struct WaitingProcess {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    folder: PathBuf,
}

impl WaitingProcess {
    fn start(role: &str, test: &str) -> Self {
        let name = format!("orchidvalve-waiting-{role}-{test}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("local.conf");
        std::fs::write(&path, settings(&folder.join("data"))).unwrap();
        let program = env!("CARGO_BIN_EXE_orchidvalve-server");
        let mut child = Command::new("sh")
            .args(["-c", WITHOUT_SPACE, program, role])
            .env("ORCHIDVALVE_BOOT", path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Self { child, log, folder }
    }

    fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Reads the log until a line contains `text`. Returns the lines before it.
    fn read_until(&mut self, text: &str) -> Vec<String> {
        let mut before = Vec::new();
        for line in self.log.by_ref() {
            let line = line.unwrap();
            if line.contains(text) {
                return before;
            }
            before.push(line);
        }
        panic!("the process ended without '{text}': {before:?}");
    }

    fn raise_file_size_limit(&self) {
        let hard_limit = getrlimit(Resource::Fsize).maximum;
        prlimit(Some(self.pid()), Resource::Fsize, Rlimit { current: hard_limit, maximum: hard_limit })
            .unwrap();
    }
}

impl Drop for WaitingProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[rstest]
fn a_process_starts_once_its_disk_accepts_writes(#[values("control", "store")] role: &str) {
    let mut process = WaitingProcess::start(role, "start");
    process.read_until(DISK_UNAVAILABLE);
    assert!(process.child.try_wait().unwrap().is_none());
    process.raise_file_size_limit();
    let lines = process.read_until(STARTED);
    assert!(lines.iter().all(|line| !line.contains(DISK_UNAVAILABLE)), "logged more than once: {lines:?}");
    assert!(lines.iter().any(|line| line.contains("the disk can be used after")), "{lines:?}");
}

#[rstest]
fn a_process_that_waits_for_its_disk_stops_on_request(#[values("control", "store")] role: &str) {
    let mut process = WaitingProcess::start(role, "stop");
    process.read_until(DISK_UNAVAILABLE);
    kill_process(process.pid(), Signal::TERM).unwrap();
    process.read_until("stopping before the disk could be used");
    let status = process.child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
}
