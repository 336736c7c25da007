//! Recovery of arbitrary bytes: `cargo fuzz run recovery` in `crates/log-store`. The input is split into the files of a
//! store. The store must open, or fail for a reason other than damage, and must keep a record appended after that.
#![no_main]

use std::sync::Arc;

use libfuzzer_sys::fuzz_target;
use orchidvalve_log_store::disk::simulated::SimulatedDisk;
use orchidvalve_log_store::{Batch, LogStoreOptions, OpenError, LogStore};

const FILES: [&str; 5] = [
    "MANIFEST",
    "0000000000000001.seg",
    "0000000000000002.seg",
    "0000000000000001.idx",
    "0000000000000003.seg",
];

fuzz_target!(|bytes: &[u8]| {
    let disk = SimulatedDisk::new(64 << 20);
    let mut rest = bytes;
    for name in FILES {
        let Some((length, after)) = rest.split_first_chunk::<2>() else { break };
        let length = usize::from(u16::from_le_bytes(*length)).min(after.len());
        if length > 0 {
            disk.set_bytes(name, after[..length].to_vec());
        }
        rest = &after[length..];
    }
    let open = || LogStore::open(Arc::new(disk.clone()), LogStoreOptions::named("fuzz"));
    let mut store = match open() {
        Ok((store, _)) => store,
        Err(OpenError::OtherStore | OpenError::NewerFormat(_)) => return,
        Err(error) => panic!("not opened: {error}"),
    };
    for (keyspace, key, _) in store.snapshot().entries() {
        let _ = store.snapshot().get(keyspace, key);
    }
    store.append(&Batch::new().put(1, b"after", b"x")).expect("the record is appended");
    store.sync().expect("the store is synced");
    drop(store);
    let (store, _) = open().expect("the store reopens");
    assert_eq!(store.snapshot().get(1, b"after").expect("the record is readable").as_deref(), Some(&b"x"[..]));
});
