//! The system's processes: starts, restarts and wipes them, and kills all of them when it is dropped.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

use super::error::LaunchError;
use super::settings_file::settings_text;
use super::spawner::Spawner;
use super::topology::{Machine, Role, Topology};
use crate::fault_proxy::MachineIndex;

/// Environment variables that the processes inherit.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];
/// Environment variable that contains the path of a process's settings file.
const SETTINGS_VARIABLE: &str = "ORCHIDVALVE_BOOT";
/// Number of the next launch in this process, used in its directory's name.
static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);

/// Index of a process in its launch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub usize);

/// A process of a machine, running or not.
pub(super) struct Process {
    machine: MachineIndex,
    role: Role,
    pub(super) child: Option<Child>,
}

/// The processes of all machines. Dropping it kills them and removes their directory.
pub struct Launcher {
    topology: Topology,
    program: PathBuf,
    directory: PathBuf,
    keep_directory: bool,
    pub(super) processes: Vec<Process>,
    spawner: Spawner,
}

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> LaunchError {
    let path = path.to_owned();
    move |error| LaunchError::File { path, error }
}

impl Launcher {
    /// Returns a launch of `program` without running processes. It must be created before an event loop on the same
    /// thread blocks signals, because child processes inherit the signal mask of the thread that starts them.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory of the launch cannot be created.
    pub fn new(topology: Topology, program: &Path) -> Result<Launcher, LaunchError> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("orchidvalve-testbed-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).map_err(file_error(&directory))?;
        let mut launcher = Launcher {
            topology,
            program: program.canonicalize().unwrap_or_else(|_| program.to_owned()),
            directory,
            keep_directory: false,
            processes: Vec::new(),
            spawner: Spawner::start(),
        };
        for machine in 0..launcher.topology.machines.len() {
            launcher.add_processes(MachineIndex(machine));
        }
        Ok(launcher)
    }

    fn add_processes(&mut self, machine: MachineIndex) {
        for role in self.topology.machines[machine.0].roles.clone() {
            self.processes.push(Process { machine, role, child: None });
        }
    }

    /// Routes connections between machines through a fault proxy. Must be called before the first process starts.
    pub fn use_proxy(&mut self) {
        self.topology.proxied = true;
    }

    /// Returns the machines with their addresses.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the directory of settings, data and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Keeps the directory when the launch is dropped.
    pub fn keep_directory(&mut self) {
        self.keep_directory = true;
    }

    /// Returns the ids of all processes.
    pub fn ids(&self) -> Vec<ProcessId> {
        (0..self.processes.len()).map(ProcessId).collect()
    }

    /// Returns the processes with the given role.
    pub fn with_role(&self, role: Role) -> Vec<ProcessId> {
        self.ids().into_iter().filter(|id| self.role(*id) == role).collect()
    }

    /// Returns the role of a process.
    pub fn role(&self, id: ProcessId) -> Role {
        self.processes[id.0].role
    }

    /// Returns the machine of a process.
    pub fn machine(&self, id: ProcessId) -> &Machine {
        &self.topology.machines[self.machine_index(id).0]
    }

    /// Returns the index of a process's machine in the topology.
    pub fn machine_index(&self, id: ProcessId) -> MachineIndex {
        self.processes[id.0].machine
    }

    /// Returns all processes of a machine.
    fn processes_of_machine(&self, machine: MachineIndex) -> Vec<ProcessId> {
        self.ids().into_iter().filter(|id| self.machine_index(*id) == machine).collect()
    }

    /// Returns all processes on the machine of the given process.
    pub fn processes_of_same_machine(&self, id: ProcessId) -> Vec<ProcessId> {
        self.processes_of_machine(self.machine_index(id))
    }

    /// Returns the name of a process: the machine's name and the role.
    pub fn name(&self, id: ProcessId) -> String {
        format!("{}/{}", self.machine(id).name, self.role(id))
    }

    /// Whether a process was started and its exit has not been observed.
    pub fn is_running(&self, id: ProcessId) -> bool {
        self.processes[id.0].child.is_some()
    }

    /// Returns the path of a process's settings, data or log.
    pub(super) fn path(&self, id: ProcessId, extension: &str) -> PathBuf {
        self.directory.join(format!("{}-{}.{extension}", self.machine(id).name, self.role(id)))
    }

    /// Starts all processes for the first time, with empty disks.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start_all(&mut self) -> Result<(), LaunchError> {
        self.ids().into_iter().try_for_each(|id| self.start_with(id, true))
    }

    /// Starts a process with its existing disk. Does nothing if the process is running or its machine was removed.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.start_with(id, false)
    }

    fn start_with(&mut self, id: ProcessId, bootstrap: bool) -> Result<(), LaunchError> {
        if self.is_running(id) || self.machine(id).is_removed {
            return Ok(());
        }
        let data = self.path(id, "data");
        fs::create_dir_all(&data).map_err(file_error(&data))?;
        let settings = self.path(id, "conf");
        let text = settings_text(&self.topology, self.machine(id), self.role(id), &data, bootstrap);
        fs::write(&settings, text).map_err(file_error(&settings))?;
        let started = self.spawner.spawn(self.command(id, &settings)?)?;
        let child = started.map_err(|error| LaunchError::Start { program: self.program.clone(), error })?;
        self.processes[id.0].child = Some(child);
        Ok(())
    }

    fn command(&self, id: ProcessId, settings: &Path) -> Result<Command, LaunchError> {
        let log = self.path(id, "log");
        let output = File::options().create(true).append(true).open(&log).map_err(file_error(&log))?;
        let errors = output.try_clone().map_err(file_error(&log))?;
        let mut command = Command::new(&self.program);
        command.arg(self.role(id).to_string()).current_dir(&self.directory).env_clear();
        command.envs(INHERITED_VARIABLES.iter().filter_map(|name| Some((name, std::env::var_os(name)?))));
        command.env(SETTINGS_VARIABLE, settings);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        Ok(command)
    }

    /// Wipes the disk of a process that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is running, or its files cannot be removed.
    pub fn wipe(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        if self.is_running(id) {
            return Err(LaunchError::StillRunning(self.name(id)));
        }
        let data = self.path(id, "data");
        fs::remove_dir_all(&data).and_then(|()| fs::create_dir_all(&data)).map_err(file_error(&data))
    }

    /// Removes the machine of a process with its disk. Later starts no longer use the machine as a seed node.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed, or its files cannot be removed.
    pub fn remove(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.kill(id)?;
        self.wipe(id)?;
        let machine = self.machine_index(id);
        self.topology.machines[machine.0].is_removed = true;
        Ok(())
    }

    /// Adds an empty edge machine with a control node and a gateway, without starting its processes.
    pub fn add_control(&mut self) -> Vec<ProcessId> {
        let machine = self.topology.add_control();
        self.add_machine(machine)
    }

    /// Adds an empty storage machine, without starting its process.
    pub fn add_store(&mut self) -> Vec<ProcessId> {
        let machine = self.topology.add_store();
        self.add_machine(machine)
    }

    fn add_machine(&mut self, machine: MachineIndex) -> Vec<ProcessId> {
        self.add_processes(machine);
        self.processes_of_machine(machine)
    }

    /// Kills a process and waits for its exit. Does nothing if the process is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
    pub fn kill(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        let process = self.name(id);
        let Some(mut child) = self.processes[id.0].child.take() else { return Ok(()) };
        child.kill().and_then(|()| child.wait()).map_err(|error| LaunchError::End { process, error })?;
        Ok(())
    }
}

impl Drop for Launcher {
    fn drop(&mut self) {
        for id in self.ids() {
            if let Err(error) = self.kill(id) {
                log::warn!("launch: {error}");
            }
        }
        if !self.keep_directory {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
