//! The data that the node writes: its persistent state, recordings of arrivals, and the JSON for operators and other
//! nodes, compared with a recording.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use orchidvalve::decisions::EjectionRecord;
use orchidvalve::interface::ReplicaIndex;
use orchidvalve_frontnode::maintenance_view::view_json;
use orchidvalve_frontnode::membership::{self, Endpoint};
use orchidvalve_frontnode::persistence::{
    EJECTION_KEYSPACE, ENDPOINT_KEYSPACE, MAINTENANCE_KEYSPACE, PersistenceSettings, PersistentState,
    REVISION_KEYSPACE, START_KEYSPACE, STORE_NAME,
};
use orchidvalve_frontnode::recorder::{RecordedQuery, Recorder, RecordingSettings};
use orchidvalve_frontnode::stable_hash::stable_hash;
use orchidvalve_frontnode::trace_writer::TraceWriter;
use orchidvalve_golden::check_samples;
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions};
use orchidvalve_maintenance::disruption_budget::Location;
use orchidvalve_maintenance::queue::{Event, MaintenanceQueue, QueueEntry, QueueEvent, Stage};
use orchidvalve_request_recording::Header;
use orchidvalve_search::routes::ShardWeight;

const NOW: i64 = 1_750_000_000_123_456_789;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Returns an empty directory.
fn fresh(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn settings(path: &Path) -> PersistenceSettings {
    PersistenceSettings::read(&format!("[logbook]\ndir = \"{}\"\nsegment_mb = 1\n", path.display())).unwrap()
}

fn endpoint(n: usize, removed: bool) -> Endpoint {
    Endpoint {
        id: format!("s-{n}"),
        address: format!("127.0.0.1:{}", 9000 + n).parse().unwrap(),
        flavor: format!("f{n}"),
        locality: "zone-a".to_owned(),
        cell: n,
        serving: n != 1 && !removed,
        removed,
        started: (n > 0).then_some(NOW - n as i64),
    }
}

/// Writes a logbook with four endpoints, of which one is removed and one deleted, and the ejection states of all.
fn write(path: &Path) {
    let mut state = PersistentState::open(&settings(path), NOW).unwrap();
    assert!(state.take_recovered().is_some_and(|left| left.revision.is_none() && left.starts.is_empty()));
    (0..4).for_each(|n| state.write_endpoint(&endpoint(n, false)));
    state.write_revision(7, NOW + 5);
    state.write_ejection(
        ReplicaIndex(0),
        "s-0",
        EjectionRecord { ejected_at: Some(NOW + 6), relapses: 2 },
        NOW + 7,
    );
    state.write_ejection(ReplicaIndex(1), "s-1", EjectionRecord { ejected_at: None, relapses: 1 }, NOW + 8);
    state.write_ejection(
        ReplicaIndex(2),
        "s-2",
        EjectionRecord { ejected_at: Some(NOW), relapses: 3 },
        NOW + 9,
    );
    state.write_ejection(ReplicaIndex(3), "s-3", EjectionRecord::default(), NOW + 9);
    state.write_endpoint(&endpoint(2, true));
    state.remove_endpoint("s-3");
    let log =
        Batch::new().put(MAINTENANCE_KEYSPACE, &[0], b"hard").put(MAINTENANCE_KEYSPACE, &[1], b"snapshot");
    let log = log.put(MAINTENANCE_KEYSPACE, &[&[2u8], &3u64.to_be_bytes()[..]].concat(), b"entry");
    assert!(state.write_durably(log).unwrap().wait().is_ok());
    state.stop();
}

#[test]
fn the_persistent_state_matches_the_recording() {
    let path = fresh("written");
    write(&path);
    let disk = RealDisk::open_or_create(path.clone()).unwrap();
    let (store, found) = LogStore::open(Arc::new(disk), LogStoreOptions::named(STORE_NAME)).unwrap();
    assert_eq!((found.torn_tail, found.corruption, found.manifest_rebuilt), (None, None, false));
    let view = store.snapshot();
    let mut samples = Vec::new();
    for (name, space) in [
        ("list", REVISION_KEYSPACE),
        ("members", ENDPOINT_KEYSPACE),
        ("opinions", EJECTION_KEYSPACE),
        ("starts", START_KEYSPACE),
        ("order", MAINTENANCE_KEYSPACE),
    ] {
        for (key, value) in view.scan(space) {
            samples.push((format!("{space}/{name}/{}", key.escape_ascii()), value.unwrap()));
        }
    }
    check_samples(&golden("logbook_values.txt"), &samples);
}

/// Returns a copy of the recorded logbook for one test.
fn copied(test: &str) -> PathBuf {
    let path = fresh(test);
    for file in std::fs::read_dir(golden("logbook")).unwrap() {
        let file = file.unwrap();
        std::fs::write(path.join(file.file_name()), std::fs::read(file.path()).unwrap()).unwrap();
    }
    path
}

/// Checks each field of the state written by [`write`].
fn check_left(path: &Path) {
    let mut state = PersistentState::open(&settings(path), NOW + 100).unwrap();
    let left = state.take_recovered().unwrap();
    assert!(state.take_recovered().is_none(), "it is returned once only");
    let stored = left.revision.unwrap();
    assert_eq!((stored.revision, stored.at), (7, NOW + 5));
    let members: Vec<&Endpoint> = left.endpoints.values().collect();
    assert_eq!(members.len(), 2);
    for (n, member) in members.into_iter().enumerate() {
        assert_eq!(member.id, format!("s-{n}"));
        assert_eq!(member.address.to_string(), format!("127.0.0.1:{}", 9000 + n));
        assert_eq!((&*member.flavor, &*member.locality), (&*format!("f{n}"), "zone-a"));
        assert_eq!((member.cell, member.serving, member.removed), (n, n == 0, false));
        assert_eq!(member.started, (n > 0).then_some(NOW - n as i64));
    }
    let ejections: Vec<_> =
        left.ejections.iter().map(|(id, of)| (&**id, of.ejected_since, of.relapses, of.at)).collect();
    assert_eq!(ejections, [("s-0", Some(NOW + 6), 2, NOW + 7), ("s-1", None, 1, NOW + 8)]);
    assert_eq!(left.starts, [NOW]);
    assert_eq!(
        (left.maintenance_log.hard, left.maintenance_log.snapshot),
        (Some(b"hard".to_vec()), Some(b"snapshot".to_vec()))
    );
    assert_eq!(left.maintenance_log.entries.into_iter().collect::<Vec<_>>(), [(3, b"entry".to_vec())]);
    assert_eq!(left.unreadable, 0);
    state.stop();
}

#[test]
fn a_logbook_of_an_earlier_build_is_recovered() {
    if std::env::var_os(orchidvalve_golden::RECORD_VARIABLE).is_some() && !golden("logbook").exists() {
        std::fs::create_dir_all(golden("logbook")).unwrap();
        let path = fresh("recorded");
        write(&path);
        for file in std::fs::read_dir(path).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), golden("logbook").join(file.file_name())).unwrap();
        }
    }
    check_left(&copied("whole"));
}

#[test]
fn a_logbook_of_an_earlier_build_is_recovered_up_to_its_torn_tail() {
    let path = copied("torn");
    let mut segments: Vec<PathBuf> = std::fs::read_dir(&path)
        .unwrap()
        .map(|file| file.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "seg"))
        .collect();
    segments.sort();
    let last = segments.pop().unwrap();
    let mut bytes = std::fs::read(&last).unwrap();
    let torn = bytes[bytes.len() - 40..][..17].to_vec();
    bytes.extend_from_slice(&torn);
    std::fs::write(&last, bytes).unwrap();
    check_left(&path);
}

fn recorded<'a>(service_class: usize, tenant: Option<usize>, shards: &'a [ShardWeight]) -> RecordedQuery<'a> {
    RecordedQuery { service_class, tenant, is_retry: false, estimated_work: 0, shards }
}

#[test]
fn recorded_arrivals_match_the_recording() {
    let path = fresh("arrivals").join("file");
    let settings = RecordingSettings { file: path.display().to_string(), max_bytes: 1 << 20 };
    let head = Header {
        node: "n1".to_owned(),
        started_unix_ms: NOW / 1_000_000,
        classes: vec!["look".to_owned(), "hold".to_owned()],
        tenants: vec!["acme".to_owned()],
    };
    let shard_weight = |shard, weight| ShardWeight { shard, weight };
    let all_of_one = [shard_weight(1, 1.0)];
    let mut recorder = Recorder::open(&settings, &head, NOW).unwrap();
    recorder.record(NOW + 1_999, &recorded(0, None, &[shard_weight(0, 0.5), shard_weight(2, 0.5)]));
    let retry =
        RecordedQuery { is_retry: true, estimated_work: 1_500_499, ..recorded(1, Some(0), &all_of_one) };
    recorder.record(NOW + 5_000_001, &retry);
    recorder.end_round(NOW + 5_000_002);
    recorder.end_round(NOW + 2_000_000_000);
    let negative = RecordedQuery { estimated_work: -5, ..recorded(1, Some(0), &[]) };
    recorder.record(NOW + 3_000_000_000, &negative);
    assert_eq!(recorder.lost(), 0);
    drop(recorder);
    check_samples(&golden("recording.txt"), &[("file", std::fs::read(path).unwrap())]);
}

#[test]
fn lists_offered_to_peers_and_machine_numbers_match_the_recording() {
    let list: Vec<Endpoint> = (0..3).map(|n| endpoint(n, n == 2)).collect();
    let bytes = serde_json::to_vec(&list).unwrap();
    assert_eq!(serde_json::from_slice::<Vec<Endpoint>>(&bytes).unwrap(), list);
    let mut samples = vec![("list".to_owned(), bytes)];
    for id in ["", "s-0", "s-1", "127.0.0.1:8500", "zürich"] {
        samples.push((format!("number-of-'{id}'"), stable_hash(id).to_be_bytes().to_vec()));
    }
    check_samples(&golden("told_to_peers.txt"), &samples);
}

#[test]
fn discovery_responses_match_the_recording() {
    let whole = r#"{"revision":9,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","cell":2,
        "phase":"up","up_since_ms":1700000000000,"flavor":"os","locality":"z"},
        {"id":"b","host_port":"[::1]:2","cell":0,"phase":"draining"},
        {"id":"c","host_port":"127.0.0.1:3","cell":1,"phase":"removed","flavor":7,"up_since_ms":0}]}"#;
    let read = |text: &str| match membership::read(text.as_bytes()) {
        Err(fault) => format!("fault {fault}"),
        Ok(list) => {
            let members = list.endpoints.iter().map(|m| {
                format!(
                    "{} {} '{}' '{}' {} {} {} {}",
                    m.id,
                    m.address,
                    m.flavor,
                    m.locality,
                    m.cell,
                    m.serving,
                    m.removed,
                    m.started.unwrap_or(-1)
                )
            });
            format!("{} {}: {}", list.revision, list.complete, members.collect::<Vec<_>>().join("; "))
        }
    };
    let one = |member: &str| read(&format!(r#"{{"members":[{member}]}}"#));
    let samples = [
        ("whole", read(whole)),
        ("least", read(r#"{"members":[]}"#)),
        ("no-json", read("{")),
        ("no-object", read("[]")),
        ("no-members", read("{}")),
        ("bad-revision", read(r#"{"revision":"x","members":[]}"#)),
        ("bad-complete", read(r#"{"complete":1,"members":[]}"#)),
        ("no-address", one(r#"{"id":"a","cell":0,"phase":"up"}"#)),
        ("bad-address", one(r#"{"id":"a","cell":0,"phase":"up","host_port":"here"}"#)),
        ("no-phase", one(r#"{"id":"a","cell":0,"host_port":"127.0.0.1:1"}"#)),
        ("bad-phase", one(r#"{"id":"a","cell":0,"phase":"new","host_port":"127.0.0.1:1"}"#)),
        ("no-id", one(r#"{"cell":0,"phase":"up","host_port":"127.0.0.1:1"}"#)),
        ("no-cell", one(r#"{"id":"a","phase":"up","host_port":"127.0.0.1:1"}"#)),
        ("bad-start", one(r#"{"id":"a","cell":0,"phase":"up","host_port":"127.0.0.1:1","up_since_ms":"x"}"#)),
    ];
    check_samples(&golden("discovery.txt"), &samples);
}

#[test]
fn the_maintenance_view_matches_the_recording() {
    let entry = |n: i64, stage: Stage| QueueEntry {
        machine: format!("s-{n}"),
        by: "op".to_owned(),
        why: "disk \"2\"".to_owned(),
        stage,
        since: NOW + n * 1_000_000,
        lasts: 5_000_000_000,
        expires_at: NOW + 6_000_000_000,
        started_ms: 4,
        location: Location::default(),
        was_absent: n == 2,
        overdue: n == 3,
        nonce: n as u64,
    };
    let events = [
        Event::Requested,
        Event::Admitted,
        Event::Recalled,
        Event::WentOut,
        Event::Overdue,
        Event::Returning,
        Event::Back,
        Event::Expired,
        Event::Cancelled,
    ];
    let happened = |(n, &event): (usize, &Event)| QueueEvent {
        version: n as u64,
        at: NOW + n as i64 * 1_000_000,
        machine: format!("s-{n}"),
        event,
    };
    let mut order = MaintenanceQueue::default();
    order.version = 12;
    order.at = NOW;
    let stages = [Stage::Requested, Stage::Draining, Stage::Out, Stage::Returning];
    order.entries = (0..).zip(stages).map(|(n, stage)| entry(n, stage)).collect();
    order.events = events.iter().enumerate().map(happened).collect::<VecDeque<_>>();
    let samples = [
        ("order", view_json(&order, true, Some(17))),
        ("empty", view_json(&MaintenanceQueue::default(), false, None)),
    ];
    check_samples(&golden("order_of_work.txt"), &samples);
}

#[test]
fn replica_names_in_the_trace_match_the_recording() {
    let path = fresh("trace").join("file");
    let mut tracer = TraceWriter::open(&path.display().to_string()).unwrap();
    tracer.name_replica(NOW, ReplicaIndex(3), "s-3");
    tracer.name_replica(NOW + 1, ReplicaIndex(4), "a \"b\"\n");
    drop(tracer);
    check_samples(&golden("trace.txt"), &[("file", std::fs::read(path).unwrap())]);
}
