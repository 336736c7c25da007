//! Starts child processes on a dedicated thread. Children inherit the signal mask of the thread that starts them, and
//! this thread has no blocked signals.

use std::io;
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, Sender, channel};

use super::error::LaunchError;

/// Handle of the thread that starts processes. The thread exits when the handle is dropped.
#[derive(Debug)]
pub(super) struct Spawner {
    commands: Sender<Command>,
    children: Receiver<io::Result<Child>>,
}

impl Spawner {
    /// Starts the thread. The caller must not have blocked signals yet, since the thread inherits its signal mask.
    pub fn start() -> Spawner {
        let (commands, requested) = channel::<Command>();
        let (started, children) = channel();
        std::thread::spawn(move || {
            for mut command in requested {
                if started.send(command.spawn()).is_err() {
                    return;
                }
            }
        });
        Spawner { commands, children }
    }

    /// Starts a process on the thread.
    pub fn spawn(&self, command: Command) -> Result<io::Result<Child>, LaunchError> {
        self.commands.send(command).map_err(|_| LaunchError::SpawnerGone)?;
        self.children.recv().map_err(|_| LaunchError::SpawnerGone)
    }
}
