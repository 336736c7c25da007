//! Signals to processes, and the collection of exited processes.

use std::process::ExitStatus;

use rustix::process::{Pid, Signal, kill_process};

use super::error::LaunchError;
use super::launcher::{Launcher, ProcessId};

impl Launcher {
    fn signal(&mut self, id: ProcessId, signal: Signal) -> Result<(), LaunchError> {
        let name = self.name(id);
        let child = self.processes[id.0].child.as_ref().ok_or(LaunchError::NotRunning(name))?;
        kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    /// Sends SIGTERM to a process. [`Launcher::reap`] returns the process after it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn terminate(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.signal(id, Signal::TERM)
    }

    /// Sends SIGHUP to a process, so that it reads its settings file again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn reload(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.signal(id, Signal::HUP)
    }

    /// Pauses a process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn pause(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.signal(id, Signal::STOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn resume(&mut self, id: ProcessId) -> Result<(), LaunchError> {
        self.signal(id, Signal::CONT)
    }

    /// Returns the processes that have exited since the last call, by themselves or after SIGTERM.
    pub fn reap(&mut self) -> Vec<(ProcessId, ExitStatus)> {
        let mut ended = Vec::new();
        for (index, process) in self.processes.iter_mut().enumerate() {
            let status = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                process.child = None;
                ended.push((ProcessId(index), status));
            }
        }
        ended
    }
}
