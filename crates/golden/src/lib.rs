//! Golden files for tests.
//!
//! A golden file is a text file of lines `NAME VALUE`, one for each recorded run or sample, in the order of the
//! test. A [`Trace`] condenses the encoded output of one run into a number that stays the same across builds,
//! platforms and renamed identifiers. A test compares its results with the file through [`check_hashes`] or
//! [`check_samples`].
//!
//! An existing file is never written. If the file does not exist, the test fails, unless the environment
//! variable [`RECORD_VARIABLE`] is set in order to record a new file for the first time.

use std::fmt::Write;
use std::path::Path;

/// Environment variable that permits writing a golden file that does not exist yet.
pub const RECORD_VARIABLE: &str = "GOLDEN_RECORD";

/// Parameters of the 64-bit FNV-1a hash (RFC 9923).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Number of characters shown before and after the first difference of two values.
const CONTEXT_BYTES: usize = 16;

/// A hash of a sequence of encoded outputs, by 64-bit FNV-1a.
#[derive(Clone, Debug)]
pub struct Trace {
    hash: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace { hash: FNV_OFFSET_BASIS }
    }
}

impl Trace {
    /// Returns the hash of an empty sequence.
    pub fn new() -> Trace {
        Trace::default()
    }

    /// Adds one output, preceded by its length, so that outputs that are divided differently have different hashes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.add_raw(bytes);
    }

    /// Adds a number, such as a time, an address or the index of a variant.
    pub fn add_number(&mut self, number: u64) {
        self.add_raw(&number.to_le_bytes());
    }

    /// Returns the hash of everything added so far.
    pub fn finish(&self) -> u64 {
        self.hash
    }

    fn add_raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Checks the hashes of named runs against the golden file at `path`, in order.
///
/// # Panics
///
/// If a name or a hash differs, a run is missing or extra, or the file does not exist.
#[track_caller]
pub fn check_hashes<Name: AsRef<str>>(path: &Path, hashes: &[(Name, u64)]) {
    let lines =
        hashes.iter().map(|(name, hash)| (name.as_ref().to_owned(), format!("{hash:016x}"))).collect();
    check_lines(path, lines);
}

/// Checks encoded samples against the golden file at `path`, byte for byte.
///
/// # Panics
///
/// If a name or a byte differs, a sample is missing or extra, or the file does not exist.
#[track_caller]
pub fn check_samples<Name: AsRef<str>, Bytes: AsRef<[u8]>>(path: &Path, samples: &[(Name, Bytes)]) {
    let lines =
        samples.iter().map(|(name, bytes)| (name.as_ref().to_owned(), encode_hex(bytes.as_ref()))).collect();
    check_lines(path, lines);
}

/// Returns the samples of the golden file at `path`, in the order of the file.
///
/// # Panics
///
/// If the file does not exist, or a line is not a name followed by bytes in hexadecimal digits.
#[track_caller]
pub fn read_samples(path: &Path) -> Vec<(String, Vec<u8>)> {
    read_lines(path).into_iter().map(|(name, digits)| (name, decode_hex(&digits))).collect()
}

#[track_caller]
fn check_lines(path: &Path, lines: Vec<(String, String)>) {
    assert!(!lines.is_empty(), "{}: nothing to compare", path.display());
    for (name, _) in &lines {
        assert!(!name.contains(char::is_whitespace), "{}: whitespace in the name {name:?}", path.display());
    }
    if !path.exists() && std::env::var_os(RECORD_VARIABLE).is_some() {
        record(path, &lines);
        return;
    }
    let recorded = read_lines(path);
    for ((recorded_name, recorded_value), (name, value)) in recorded.iter().zip(&lines) {
        assert_eq!(recorded_name, name, "{}: the name differs from the recorded one", path.display());
        assert!(recorded_value == value, "{}: {name}: {}", path.display(), difference(recorded_value, value));
    }
    assert_eq!(recorded.len(), lines.len(), "{}: number of lines, recorded and now", path.display());
}

fn record(path: &Path, lines: &[(String, String)]) {
    let text: String = lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory).expect("the directory of the golden file can be created");
    }
    std::fs::write(path, text).expect("the golden file can be written");
}

#[track_caller]
fn read_lines(path: &Path) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let split = |line: &str| match line.split_once(' ') {
        Some((name, value)) => (name.to_owned(), value.to_owned()),
        None => panic!("{}: no value in line {line:?}", path.display()),
    };
    text.lines().map(split).collect()
}

/// Describes the first difference of two values, with the characters around it.
fn difference(recorded: &str, value: &str) -> String {
    let position = recorded.bytes().zip(value.bytes()).take_while(|(left, right)| left == right).count();
    let start = position.saturating_sub(CONTEXT_BYTES);
    let shown = |text: &str| text.chars().skip(start).take(2 * CONTEXT_BYTES).collect::<String>();
    let lengths = (recorded.len(), value.len());
    format!(
        "recorded ..{}.., now ..{}.., differ at digit {position} of {lengths:?}",
        shown(recorded),
        shown(value)
    )
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(digits, "{byte:02x}").expect("writing to a string succeeds");
    }
    digits
}

fn decode_hex(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2) && digits.is_ascii(), "not pairs of hexadecimal digits: {digits}");
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
