//! Golden tests: the output of `orchidvalve why` for a fixed trace, byte for byte, and the flags and environment
//! variables of every command.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use orchidvalve_golden::check_samples;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Runs the program in the directory of the trace, so that its output contains no path of this machine.
fn orchidvalve(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalve"));
    command.args(args).current_dir(golden("")).env_clear();
    command.output().expect("the program runs")
}

#[test]
fn the_output_for_a_trace_matches_the_golden_output() {
    let invocations: [(&str, &[&str]); 11] = [
        ("totals", &["front.trace"]),
        ("totals-every-half-second", &["front.trace", "--every", "0.5"]),
        ("totals-of-a-stretch", &["front.trace", "--from", "0.05", "--to", "0.2", "--every", "0.01"]),
        ("totals-of-two-files", &["front.trace", "front.trace"]),
        ("list-crowded-out", &["front.trace", "--list", "crowded-out"]),
        ("list-kills", &["front.trace", "--list", "kills"]),
        ("story-by-number", &["front.trace", "--retrieval", "0"]),
        ("story-by-request-id", &["front.trace", "--retrieval", "abcdef"]),
        ("story-of-one-without-id", &["front.trace", "--retrieval", "2"]),
        ("story-of-one-answered-short", &["front.trace", "--retrieval", "feed"]),
        ("story-of-one-given-up", &["front.trace", "--retrieval", "5"]),
    ];
    let output_of = |(name, args): (&'static str, &[&str])| {
        let done = orchidvalve(&[&["why"], args].concat());
        assert!(done.status.success() && done.stderr.is_empty(), "{name}");
        (name, done.stdout)
    };
    check_samples(&golden("why.txt"), &invocations.map(output_of));
}

#[test]
fn an_unusable_trace_or_option_ends_with_status_2() {
    let refused: [&[&str]; 4] = [
        &["front.trace", "--retrieval", "99"],
        &["front.trace", "--every", "0"],
        &["why.txt"],
        &["no-such.trace"],
    ];
    for args in refused {
        let done = orchidvalve(&[&["why"], args].concat());
        assert_eq!(done.status.code(), Some(2), "{args:?}");
        assert!(!done.stderr.is_empty(), "{args:?}");
    }
}

/// Returns the flags and environment variables in the help of a command.
fn flags(command: &[&str]) -> String {
    let done = orchidvalve(&[command, &["--help"]].concat());
    assert!(done.status.success(), "{command:?}");
    let help = String::from_utf8(done.stdout).expect("help is text");
    let ends = |c: char| c.is_whitespace() || "[]<>,=.;:)`".contains(c);
    let words = help.split(ends).filter(|word| word.starts_with("--") && word.len() > 2);
    let variables = help
        .lines()
        .filter_map(|line| line.split_once("[env: "))
        .filter_map(|(_, rest)| rest.split('=').next());
    let all: BTreeSet<&str> = words.chain(variables).collect();
    all.into_iter().collect::<Vec<_>>().join(" ")
}

fn subcommands(command: &[&str]) -> Vec<String> {
    let done = orchidvalve(&[command, &["--help"]].concat());
    let help = String::from_utf8(done.stdout).expect("help is text");
    let lines =
        help.lines().skip_while(|line| *line != "Commands:").skip(1).take_while(|line| !line.is_empty());
    lines
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect()
}

#[test]
fn flags_and_variables_of_every_command_match_the_golden_list() {
    let mut samples = vec![("orchidvalve".to_owned(), flags(&[]))];
    for command in subcommands(&[]) {
        samples.push((command.clone(), flags(&[&command])));
        for further in subcommands(&[&command]) {
            samples.push((format!("{command}-{further}"), flags(&[&command, &further])));
        }
    }
    assert!(samples.len() > 10, "{samples:?}");
    check_samples(&golden("flags.txt"), &samples);
}
