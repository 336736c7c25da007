//! Recovery of corrupt files, for longer runs than CI: `cargo run --release -p orchidvalve-log-store --example fuzz --
//! SECONDS [SEED]`. Copies a store with a history and changes, truncates, duplicates, or moves bytes of its files, or
//! replaces them by random ones. The store must open, and each value read must be one that its key had at some time.
//! Exits with status 1 at the first violation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use orchidvalve_log_store::CompactionOptions;
use orchidvalve_log_store::disk::simulated::SimulatedDisk;
use orchidvalve_log_store::repair;
use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions, OpenError};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn options(checkpoints: bool) -> LogStoreOptions {
    let compaction =
        CompactionOptions { min_garbage_share: 0.3, min_free_bytes: 0, ..CompactionOptions::default() };
    LogStoreOptions { segment_bytes: 700, checkpoints, compaction, ..LogStoreOptions::named("fuzz") }
}

type ValuesEver = BTreeMap<Vec<u8>, BTreeSet<Vec<u8>>>;

fn disk_with_history(random: &mut Pcg64) -> (SimulatedDisk, ValuesEver) {
    let (disk, mut values_ever) = (SimulatedDisk::new(1 << 24), ValuesEver::new());
    let (mut store, _) = LogStore::open(Arc::new(disk.clone()), options(true)).expect("an empty store opens");
    for _ in 0..random.random_range(5..120) {
        let key = vec![random.random_range(0..12)];
        let batch = if random.random_range(0..5) == 0 {
            Batch::new().delete(1, &key)
        } else {
            let value: Vec<u8> = (0..random.random_range(0..50)).map(|_| random.random()).collect();
            values_ever.entry(key.clone()).or_default().insert(value.clone());
            Batch::new().put(1, &key, &value).put(1, &[99], &key)
        };
        values_ever.entry(vec![99]).or_default().insert(key);
        store.append(&batch).expect("the batch is appended");
        if random.random_range(0..3) == 0 {
            store.compact_step_unthrottled().expect("a compaction step succeeds");
        }
    }
    store.sync().expect("the store is synced");
    drop(store);
    (disk, values_ever)
}

fn corrupt_file(random: &mut Pcg64, disk: &SimulatedDisk) {
    for _ in 0..random.random_range(1..5) {
        let names = disk.names();
        let name = &names[random.random_range(0..names.len())];
        let mut bytes = disk.bytes(name).unwrap_or_default();
        if bytes.is_empty() {
            continue;
        }
        let index = random.random_range(0..bytes.len());
        let to = random.random_range(index..bytes.len().min(index + 80));
        match random.random_range(0..7) {
            0 => bytes[index] ^= 1 << random.random_range(0..8),
            1 => bytes[index..to].iter_mut().for_each(|b| *b = random.random()),
            2 => bytes[index..to].fill(0),
            3 => bytes.truncate(index),
            4 => drop(bytes.drain(index..to)),
            5 => {
                let piece = bytes[index..to].to_vec();
                bytes.splice(index..index, piece);
            }
            _ => {
                let other = disk.bytes(&names[random.random_range(0..names.len())]).unwrap_or_default();
                let end = index.min(other.len());
                bytes.splice(..end, other[..end].iter().copied());
            }
        }
        disk.set_bytes(name, bytes);
    }
}

fn check_recovery(disk: &SimulatedDisk, values_ever: &ValuesEver, checkpoints: bool) -> Result<bool, String> {
    repair::check(disk, |_, _| {}).map_err(|e| format!("check: {e}"))?;
    let mut store = match LogStore::open(Arc::new(disk.clone()), options(checkpoints)) {
        Ok((store, _)) => store,
        Err(OpenError::OtherStore) => return Err("taken for something else's".to_owned()),
        Err(error) => return Err(error.to_string()),
    };
    let snapshot = store.snapshot();
    let mut damaged = false;
    for (_, key, _) in snapshot.entries() {
        match snapshot.get(1, key) {
            Ok(Some(value)) if values_ever.get(key).is_some_and(|had| had.contains(&value)) => {}
            Ok(value) => return Err(format!("{key:?} never had {value:?}")),
            Err(_) => damaged = true,
        }
    }
    store.append(&Batch::new().put(1, b"after", b"x")).map_err(|e| e.to_string())?;
    store.sync().map_err(|e| e.to_string())?;
    drop(store);
    let (store, _) =
        LogStore::open(Arc::new(disk.clone()), options(checkpoints)).map_err(|e| e.to_string())?;
    match store.snapshot().get(1, b"after") {
        Ok(Some(value)) if value == b"x" => Ok(damaged),
        other => Err(format!("what it took after the start is {other:?}")),
    }
}

fn main() {
    let mut words = std::env::args().skip(1).map(|a| a.parse::<u64>().expect("a whole number"));
    let (seconds, seed) = (words.next().unwrap_or(60), words.next().unwrap_or(1));
    let (mut random, began) = (Pcg64::seed_from_u64(seed), Instant::now());
    let (mut stores, mut refused, mut said) = (0u64, 0u64, 0);
    while began.elapsed() < Duration::from_secs(seconds) {
        let (disk, values_ever) = disk_with_history(&mut random);
        for _ in 0..40 {
            let copy = disk.copy();
            corrupt_file(&mut random, &copy);
            stores += 1;
            match check_recovery(&copy, &values_ever, random.random()) {
                Ok(damaged) => refused += u64::from(damaged),
                Err(broken) => {
                    println!("seed {seed}, store {stores}: {broken}");
                    std::process::exit(1);
                }
            }
        }
        if began.elapsed().as_secs() / 10 > said {
            said = began.elapsed().as_secs() / 10;
            eprintln!("{stores} stores");
        }
    }
    println!(
        "{stores} corrupt stores in {seconds} s, {refused} with values refused as damaged, none broke a promise"
    );
}
