//! Features of dependencies that change what a program does are the same in all packages.

use std::fs;
use std::path::Path;

const SHARED_DEPENDENCY: &str = "serde_json = { workspace = true }";

fn lines_of(manifest: &Path) -> Vec<String> {
    let text = fs::read_to_string(manifest).unwrap_or_else(|error| panic!("{}: {error}", manifest.display()));
    text.lines().filter(|line| line.starts_with("serde_json")).map(str::to_owned).collect()
}

/// Guards against numbers that are read with an error in their last digit by the programs of some builds: cargo unites
/// the features of all packages of a build, so tests of the whole workspace do not show a package that lacks one.
#[test]
fn all_packages_read_numbers_with_the_same_features() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let [shared] = lines_of(&root.join("Cargo.toml")).try_into().expect("one definition");
    assert!(shared.contains("float_roundtrip"), "{shared}");
    let mut users = 0;
    for package in fs::read_dir(root.join("crates")).expect("the packages") {
        let manifest = package.expect("a package").path().join("Cargo.toml");
        for line in lines_of(&manifest) {
            assert_eq!(line, SHARED_DEPENDENCY, "{}", manifest.display());
            users += 1;
        }
    }
    assert!(users > 0);
}
