//! A process uses the settings file as it is when the process starts.

use std::path::Path;
use std::process::Command;

fn settings(name: &str) -> String {
    format!(
        "node-name={name}\nip-address=127.0.0.1\nzone=north\nregion=south\ninternal-port-range=7660,7675\n\
         seed-nodes=127.0.0.1:8146\nbootstrap=false\nquorum-member=false\nlimits.cpu-share=0.5\nlimits.cpu-cores=1\n\
         limits.memory-mb=260\nlimits.max-open-files=4100\nlimits.link-mbps=1000\nfault-tolerance.machines=1\n\
         fault-tolerance.zones=0\nfault-tolerance.regions=0\n"
    )
}

/// Runs `orchidvalve-server check`. Returns whether it succeeded, and its output.
fn check(path: &Path) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_orchidvalve-server");
    let output = Command::new(program).arg("check").env("ORCHIDVALVE_BOOT", path).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn each_start_reads_the_current_file() {
    let folder = std::env::temp_dir().join(format!("orchidvalve-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("local.conf");
    for name in ["edge-north-1", "edge-north-2"] {
        std::fs::write(&path, settings(name)).unwrap();
        let (success, text) = check(&path);
        assert!(success, "{text}");
        assert!(text.contains(&format!("the settings of {name} can be used")), "{text}");
    }
    std::fs::write(&path, "node-name=edge-north-3\n").unwrap();
    let (success, text) = check(&path);
    assert!(!success && text.contains("is missing"), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
}
