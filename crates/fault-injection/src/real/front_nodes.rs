//! Front nodes as processes: they are started with their own files, killed, restarted, separated by network partitions,
//! and ended when their owner is dropped.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

use orchidvalve_test_store::relay::Relay;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::Program;
use super::exchange::parse_response;
use crate::error::RunError;
use crate::scenario::{Fleet, Order, Scenario};
use crate::settings::settings;
use crate::{MS, Nanos};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A front node waits one second for more connections after SIGTERM; it is killed after this time.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// What front nodes are started with.
pub struct Setup<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub program: Program<'a>,
    pub discovery: SocketAddr,
    pub members: Value,
}

struct FrontNode {
    child: Child,
    address: SocketAddr,
    /// Killed by the run and not restarted yet.
    killed: bool,
}

impl Drop for FrontNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct FrontNodes {
    front_nodes: Vec<FrontNode>,
    configs: Vec<PathBuf>,
    program: PathBuf,
    args: Vec<String>,
    fleet: Option<Relay>,
    maintenance: Option<Relay>,
    members: usize,
}

impl FrontNodes {
    pub fn start(setup: &Setup) -> Result<FrontNodes, RunError> {
        let scenario = setup.scenario;
        let count = scenario.front_nodes;
        let relay = || Relay::start(count).map_err(RunError::start("relay"));
        let fleet = scenario.fleet.as_ref().map(|_| relay()).transpose()?;
        let maintenance = scenario.order.as_ref().map(|_| relay()).transpose()?;
        let configs: Result<Vec<PathBuf>, RunError> = (0..count)
            .map(|n| NodeFiles { setup, index: n }.configure(fleet.as_ref(), maintenance.as_ref()))
            .collect();
        let members = scenario.order.as_ref().map_or(0, |o| o.members);
        let args = setup.program.args.iter().map(|a| (*a).to_owned()).collect();
        let program = setup.program.path.to_owned();
        let mut all = FrontNodes {
            front_nodes: Vec::new(),
            configs: configs?,
            program,
            args,
            fleet,
            maintenance,
            members,
        };
        // All front nodes start at the same time, as after a release; each is waited for only when all run.
        let children: Result<Vec<Child>, RunError> = (0..count).map(|n| all.run(n)).collect();
        for (n, child) in children?.into_iter().enumerate() {
            let front_node = all.wait_until_listening(n, child)?;
            all.front_nodes.push(front_node);
        }
        Ok(all)
    }

    fn run(&self, n: usize) -> Result<Child, RunError> {
        let mut command = Command::new(&self.program);
        command.args(&self.args).arg(&self.configs[n]).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(Stdio::piped()).spawn().map_err(RunError::file(&self.program))
    }

    /// Waits until a front node listens; its log is then written to a file beside its configuration.
    fn wait_until_listening(&self, n: usize, mut child: Child) -> Result<FrontNode, RunError> {
        let Some(log) = child.stderr.take() else { return Err(RunError::NoLog { index: n }) };
        let mut log = BufReader::new(log);
        let address = match self.listen_address(n, &mut log) {
            Ok(address) => address,
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(error);
            }
        };
        append_log(log, self.configs[n].with_extension("log"));
        Ok(FrontNode { child, address, killed: false })
    }

    /// Reads the log up to the line with the address for clients. The addresses for datagrams, which are logged
    /// before it, are passed to the relays.
    fn listen_address(&self, n: usize, log: &mut impl BufRead) -> Result<SocketAddr, RunError> {
        let mut output = String::new();
        loop {
            let mut line = String::new();
            if log.read_line(&mut line).unwrap_or(0) == 0 {
                return Err(RunError::FrontNodeEnded { index: n, log: output.trim().to_owned() });
            }
            for (relay, prefix) in
                [(&self.fleet, "fleet: datagrams at "), (&self.maintenance, "maintenance: datagrams at ")]
            {
                if let (Some(relay), Some(real)) = (relay, address_after(&line, prefix)) {
                    relay.faults().targets[n] = Some(real);
                }
            }
            if let Some(address) = address_after(&line, "listening on ") {
                return Ok(address);
            }
            output += &line;
        }
    }

    /// Waits until each front node has a membership to serve with, and the maintenance group has a leader.
    pub fn wait_ready(&self, stop: &AtomicBool) -> Result<(), RunError> {
        let end = Instant::now() + READY_TIMEOUT;
        let serves =
            |n: usize| self.exchange(n, "GET", "/_health", "").is_some_and(|(status, _)| status == 200);
        let leads =
            || (0..self.members).any(|n| self.maintenance_view(n).is_some_and(|v| v["leads"] == true));
        let ready = || (0..self.front_nodes.len()).all(serves) && (self.members == 0 || leads());
        while !ready() {
            if stop.load(Relaxed) {
                return Err(RunError::Stopped);
            }
            if Instant::now() > end {
                return Err(RunError::NotReady { seconds: READY_TIMEOUT.as_secs() });
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    pub fn addresses(&self) -> Vec<Option<SocketAddr>> {
        self.front_nodes.iter().map(|f| (!f.killed).then_some(f.address)).collect()
    }

    pub fn kill(&mut self, n: usize) {
        let front_node = &mut self.front_nodes[n];
        front_node.killed = true;
        let _ = front_node.child.kill();
        let _ = front_node.child.wait();
    }

    pub fn restart(&mut self, n: usize) -> Result<(), RunError> {
        if !self.front_nodes[n].killed {
            return Ok(());
        }
        let child = self.run(n)?;
        self.front_nodes[n] = self.wait_until_listening(n, child)?;
        Ok(())
    }

    pub fn reload(&self, n: usize) {
        self.signal(n, Signal::HUP);
    }

    /// Separates the first `first` front nodes from the others by a network partition; `None` ends the partition.
    pub fn partition(&self, first: Option<usize>) {
        for relay in [&self.fleet, &self.maintenance].into_iter().flatten() {
            relay.faults().partitions.clear();
            if let Some(first) = first {
                relay.partition(&(0..first).collect::<Vec<_>>(), self.front_nodes.len());
            }
        }
    }

    /// Returns the front nodes that ended although the run did not stop them.
    pub fn crashed(&mut self) -> Vec<usize> {
        let ended = |(n, f): (usize, &mut FrontNode)| {
            (!f.killed && f.child.try_wait().is_ok_and(|status| status.is_some())).then_some(n)
        };
        self.front_nodes.iter_mut().enumerate().filter_map(ended).collect()
    }

    /// Ends all front nodes: SIGTERM first, so that their recordings are complete, and a kill if they take too long.
    pub fn end(&mut self) {
        let end = Instant::now() + STOP_TIMEOUT;
        (0..self.front_nodes.len()).for_each(|n| self.signal(n, Signal::TERM));
        while Instant::now() < end
            && self.front_nodes.iter_mut().any(|f| f.child.try_wait().is_ok_and(|s| s.is_none()))
        {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.front_nodes.clear();
    }

    fn signal(&self, n: usize, signal: Signal) {
        let pid = i32::try_from(self.front_nodes[n].child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid.filter(|_| !self.front_nodes[n].killed) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Requests maintenance of a machine from the first front node that accepts the request.
    pub fn request_maintenance(&self, machine: &str, lasts: Nanos) -> bool {
        let request =
            json!({"machine": machine, "by": "rehearsal", "lasts_ms": lasts / MS + 60_000}).to_string();
        // Starts with the last front node, since followers accept requests as well as members of the group.
        let accepted =
            |n: usize| self.exchange(n, "POST", "/_maintenance/ask", &request).is_some_and(|(s, _)| s == 202);
        (0..self.front_nodes.len()).rev().any(accepted)
    }

    fn maintenance_view(&self, n: usize) -> Option<Value> {
        serde_json::from_str(&self.exchange(n, "GET", "/_maintenance", "")?.1).ok()
    }

    /// Returns whether the first front node that responds lists a machine as out of service.
    pub fn is_under_maintenance(&self, machine: &str) -> bool {
        let order = (0..self.front_nodes.len()).rev().find_map(|n| self.maintenance_view(n));
        let entries = order.as_ref().and_then(|o| o["entries"].as_array()).into_iter().flatten();
        entries.into_iter().any(|e| e["machine"] == machine && e["stage"] == "out")
    }

    fn exchange(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let front_node = self.front_nodes.get(n).filter(|f| !f.killed)?;
        let wait = Duration::from_millis(500);
        let mut stream = TcpStream::connect_timeout(&front_node.address, wait).ok()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut received = Vec::new();
        stream.read_to_end(&mut received).ok()?;
        let (response, _) = parse_response(&received).ok()??;
        Some((response.status, String::from_utf8(response.body).ok()?))
    }
}

/// Returns the address that follows `prefix` in a line of a log.
fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    line.split(prefix).nth(1)?.split(',').next()?.trim().parse().ok()
}

/// Appends the rest of a log to a file as it is received.
fn append_log(mut log: impl Read + Send + 'static, path: PathBuf) {
    std::thread::spawn(move || {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        if let Ok(mut file) = file {
            let _ = std::io::copy(&mut log, &mut file);
        }
    });
}

/// The configuration of one front node, and the files that it refers to.
struct NodeFiles<'a> {
    setup: &'a Setup<'a>,
    index: usize,
}

impl NodeFiles<'_> {
    fn path(&self, kind: &str) -> PathBuf {
        self.setup.program.dir.join(format!("front-{}.{kind}", self.index))
    }

    fn write(&self, kind: &str, text: String) -> Result<PathBuf, RunError> {
        let path = self.path(kind);
        std::fs::write(&path, text).map_err(RunError::file(&path))?;
        Ok(path)
    }

    /// Writes the configuration and the files that it refers to. Returns the path of the configuration.
    fn configure(&self, fleet: Option<&Relay>, maintenance: Option<&Relay>) -> Result<PathBuf, RunError> {
        let (scenario, n) = (self.setup.scenario, self.index);
        let seed = self.setup.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(n as u64);
        let mut config = json!({
            "name": format!("front-{n}"), "listen": "127.0.0.1:0", "discovery": self.setup.discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": true, "members": self.setup.members},
            "settings": settings(scenario)
        });
        if let (Some(relay), Some(fleet)) = (fleet, &scenario.fleet) {
            config["fleet"] = json!(self.write("fleet.toml", self.fleet_text(relay, fleet))?);
        }
        if let (Some(relay), Some(order)) = (maintenance, &scenario.order) {
            config["maintenance"] = json!(self.write("work.toml", self.maintenance_text(relay, order))?);
            config["logbook"] = json!(self.write_empty_logbook()?);
        }
        if scenario.record {
            let file = self.path("arrivals");
            config["record"] = json!(self.write("record.toml", format!("[record]\nfile = {file:?}\n"))?);
        }
        self.write("json", config.to_string())
    }

    fn fleet_text(&self, relay: &Relay, fleet: &Fleet) -> String {
        let retries =
            fleet.retries_a_second.map_or(String::new(), |r| format!("retries_a_second = {r:.3}\n"));
        format!(
            "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\npeers = [\"{}\"]\nexpected = {}\nprobe_ms = 200\n\
             suspect_ms = 1000\ngossip_ms = 50\ncold_floor = {:.3}\n{retries}",
            relay.addresses[self.index],
            relay.addresses[0],
            self.setup.scenario.front_nodes,
            fleet.cold_floor
        )
    }

    fn maintenance_text(&self, relay: &Relay, order: &Order) -> String {
        let n = self.index;
        let group: Vec<String> =
            relay.addresses[..order.members].iter().map(|a| format!("\"{a}\"")).collect();
        let member = if n < order.members { format!("member = {}\n", n + 1) } else { String::new() };
        format!(
            "[maintenance]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\ngroup = [{}]\n{member}tick_ms = 20\nfollow_ms = 50\n\
             drain_ms = {}\nlook_lasts_ms = 3000\nshare = {:.3}\nzone_share = 1.0\n",
            relay.addresses[n],
            group.join(", "),
            order.drain_ms,
            order.share
        )
    }

    /// Writes the settings of an empty log store; the log of an earlier run is removed, so that it is not recovered.
    fn write_empty_logbook(&self) -> Result<PathBuf, RunError> {
        let dir = self.path("book");
        let _ = std::fs::remove_dir_all(&dir);
        self.write("logbook.toml", format!("[logbook]\ndir = {dir:?}\n"))
    }
}
