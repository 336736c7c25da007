//! Helpers that run a command and create temporary files.

use std::time::Duration;

use orchidvalve_ctl::{Arguments, CommandError, Timing, arguments, run};

/// Timing without pauses between attempts; the response timeouts are the defaults.
pub fn timing() -> Timing {
    let none = Duration::ZERO;
    Timing {
        initial_backoff: none,
        max_backoff: none,
        poll_interval: none,
        max_attempts: 3,
        ..Timing::default()
    }
}

pub fn parsed(line: &[&str]) -> Arguments {
    arguments().run_inner(line).unwrap()
}

/// Runs a command and returns its output.
pub fn run_command(line: &[&str]) -> Result<String, CommandError> {
    let mut out = Vec::new();
    run(&parsed(line), &timing(), &mut out)?;
    Ok(String::from_utf8(out).unwrap())
}

/// A temporary file, removed on drop.
pub struct File(std::path::PathBuf);

impl File {
    pub fn new(name: &str, content: &str) -> File {
        let path = std::env::temp_dir().join(format!("orchidvalvectl-{}-{name}", std::process::id()));
        std::fs::write(&path, content).unwrap();
        File(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
