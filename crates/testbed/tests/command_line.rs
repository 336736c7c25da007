//! The public names on the command line: the flags of `demo`, and the names of the faults.

use std::process::{Command, Output};

const FLAGS: [&str; 10] = [
    "--seconds",
    "--controls",
    "--doors",
    "--stores",
    "--seed",
    "--program",
    "--trouble",
    "--cut-seconds",
    "--without-tenants",
    "--keep",
];

const FAULTS: [&str; 47] = [
    "kill-store",
    "kill-control",
    "kill-door",
    "freeze-store",
    "freeze-control",
    "terminate-door",
    "terminate-store",
    "wipe-store",
    "wipe-control",
    "kill-all",
    "add-store",
    "retire-store",
    "crash-server",
    "dark-server",
    "slow-server",
    "break-streams",
    "wrong-bytes",
    "drain-server",
    "change-configuration",
    "race-configuration",
    "invalid-configuration",
    "cut-control",
    "cut-control-inbound",
    "cut-control-outbound",
    "reset-control",
    "slow-control",
    "lose-answers",
    "replace-control-then-wipe",
    "leave-with-only-copy",
    "restart-after-hundreds",
    "answer-twice",
    "quota-control",
    "quota-store",
    "quota-door",
    "quota-all",
    "revoke-key",
    "revoke-last-key",
    "unknown-keys",
    "platform-slow",
    "platform-silent",
    "platform-busy",
    "platform-reset",
    "platform-cut-off",
    "kill-leader",
    "freeze-leader",
    "cut-leader",
    "freeze-leader-platform-silent",
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_orchidvalve-testbed")).args(arguments).output().unwrap()
}

#[test]
fn demo_has_the_public_flags() {
    let help = run(&["demo", "--help"]);
    let text = String::from_utf8(help.stdout).unwrap();
    assert!(help.status.success());
    for flag in FLAGS {
        let is_listed = text.split_whitespace().any(|word| word.split('=').next() == Some(flag));
        assert!(is_listed, "{flag} in {text}");
    }
}

#[test]
fn an_unknown_fault_is_rejected_with_all_public_names() {
    let refused = run(&["demo", "--program", "program", "--trouble", "no-such-fault"]);
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(!refused.status.success());
    let (_, names) = text.split_once("choose one of ").unwrap();
    // The error message is wrapped to the width of a terminal.
    let names: String = names.split_whitespace().collect();
    assert_eq!(names, FAULTS.join(","));
}
