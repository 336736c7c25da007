//! Golden test of the encoded changes and snapshots of the control state, and of the states after random changes, by
//! seed.

use std::net::Ipv4Addr;
use std::path::Path;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_control_state::{
    Applied, Change, ChangeError, ControlState, ModelUsage, Placement, REMEMBERED_CHANGES, RegisteredStore,
    StateSnapshot, UsageReport,
};
use orchidvalve_golden::{Trace, check_hashes, check_samples};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::json;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const SEEDS: u64 = 15;
const STEPS: u64 = 150;

fn member(last: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 3, 0, last), 7_000 + u16::from(last)), disk }
}

fn document(version: u64, note: &str) -> Vec<u8> {
    let route = json!({"name": "one", "hostname": "a.example", "path-prefix": "/one/", "service": "blue"});
    json!({"config-version": version, "routes": [route], "services": [{"name": "blue"}], "note": note})
        .to_string()
        .into_bytes()
}

fn replace(base: u64, version: u64, note: &str) -> Change {
    Change::Replace { base, body: document(version, note) }
}

fn patch(base: u64, version: u64, note: &str) -> Change {
    let body = json!({"config-version": version, "upsert": {"labels": [{"name": note, "text": version}]}});
    Change::Patch { base, body: body.to_string().into_bytes() }
}

fn placement() -> Placement {
    Placement {
        epoch: 70_000,
        members: vec![member(1, 11), member(2, 12), member(3, 13)],
        learners: vec![member(4, 14)],
        complete_replicas: vec![member(5, 15), member(6, 16)],
        copies: 3,
        reset_epoch: 300,
    }
}

fn short_placement() -> Placement {
    Placement { epoch: 2, members: vec![member(1, 11)], copies: 2, ..Placement::default() }
}

fn usage_report(window: u64) -> UsageReport {
    let counts = [("cuka620".to_owned(), 412), ("seje681".to_owned(), window)];
    UsageReport { window, counts: counts.into() }
}

fn changes() -> Vec<(&'static str, Change)> {
    let register = |name: &str, last: u8| Change::RegisterStore {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        member: member(last, 1 << 60),
    };
    let model = || "large".to_owned();
    vec![
        ("replace", replace(0, 5, "first")),
        ("patch", patch(5, 6, "second")),
        ("name-version", Change::NameVersion { model: model(), version: 9 }),
        ("register-store", register("storage-a-1", 1)),
        ("register-other-store", register("storage-b-1", 2)),
        ("place", Change::Place(vec![(0, placement()), (3, short_placement())])),
        ("retire", Change::Retire { name: "storage-a-1".to_owned() }),
        ("begin-duty", Change::BeginTerm),
        (
            "use-model",
            Change::RecordModelUsage {
                model: model(),
                usage: ModelUsage { single_version: true, lag: Some(4) },
            },
        ),
        (
            "use-model-without-lag",
            Change::RecordModelUsage {
                model: model(),
                usage: ModelUsage { single_version: false, lag: None },
            },
        ),
        ("decide-usage", Change::DecideUsageReport(usage_report(353_445_120))),
        ("decide-more-usage", Change::DecideUsageReport(usage_report(353_445_121))),
        ("accept-usage", Change::AcceptUsageReport { window: 353_445_120 }),
    ]
}

fn state() -> ControlState {
    let mut state = ControlState::default();
    for (name, change) in changes() {
        assert!(state.apply(&change).is_ok(), "{name}");
    }
    state
}

/// Returns the encoded value after checking that it decodes to the same value.
fn encoded<T>(value: &T) -> Vec<u8>
where
    T: Encode<Binary> + for<'de> Decode<'de, Binary, Global> + PartialEq,
{
    let bytes = encode(value);
    assert!(decode::<T>(&bytes).as_ref() == Some(value), "the value decodes to another value");
    bytes
}

#[test]
fn changes_and_snapshots_are_encoded_as_recorded() {
    let mut samples: Vec<(&str, Vec<u8>)> =
        changes().iter().map(|(name, change)| (*name, encoded(change))).collect();
    let snapshot = state().snapshot();
    let record = RegisteredStore { zone: "zone-a".to_owned(), member: member(1, 1 << 60), retiring: true };
    samples.extend([
        ("checkpoint", encoded(&Change::Checkpoint(snapshot.clone()))),
        ("image", encoded(&snapshot)),
        ("image-of-nothing", encoded(&StateSnapshot::default())),
        ("model-use", encoded(&ModelUsage { single_version: true, lag: Some(4) })),
        ("placement", encoded(&placement())),
        ("placement-of-nothing", encoded(&Placement::default())),
        ("store-record", encoded(&record)),
        ("remembered-changes", (REMEMBERED_CHANGES as u64).to_le_bytes().to_vec()),
    ]);
    check_samples(&Path::new(FOLDER).join("control_state.txt"), &samples);
}

/// The recorded snapshot decodes to the state that it was accepted of, field by field.
#[rstest]
#[case::current_version("control_state.txt", 2)]
#[case::before_usage_was_reported("control_state_of_wire_version_5.txt", 0)]
fn recorded_snapshot_decodes_to_its_state(#[case] file: &str, #[case] decided_reports: usize) {
    let samples = orchidvalve_golden::read_samples(&Path::new(FOLDER).join(file));
    let (_, bytes) = samples.iter().find(|(name, _)| name == "image").expect("the sample of the image");
    let state = ControlState::from_snapshot(&decode(bytes).expect("an image")).expect("a state");
    assert_eq!(state.configuration_version(), 6);
    assert_eq!(state.usage_reports().next_window().is_some(), decided_reports > 0);
    // The platform has accepted the first report.
    assert_eq!(state.usage_reports().unaccepted().count(), decided_reports.saturating_sub(1));
    let configuration = state.configuration().expect("a configuration");
    assert_eq!(configuration.document()["labels"], json!([{"name": "second", "text": 6}]));
    assert!(
        configuration.is_from_body(
            &json!({"config-version": 6, "upsert": {"labels": [{"name": "second", "text": 6}]}})
                .to_string()
                .into_bytes()
        )
    );
    assert_eq!(state.versions().get("large"), Some(&9));
    assert_eq!(state.versions().len(), 1);
    assert_eq!(state.models().get("large"), Some(&ModelUsage { single_version: true, lag: Some(4) }));
    assert_eq!(state.stores().len(), 2);
    assert!(state.stores()["storage-a-1"].retiring);
    assert!(!state.stores()["storage-b-1"].retiring);
    assert_eq!(state.stores()["storage-b-1"].member, member(2, 1 << 60));
    assert_eq!(state.stores()["storage-b-1"].zone, "zone-a");
    assert_eq!(state.partitions().len(), 4);
    assert_eq!(state.partitions()[0], placement());
    assert_eq!(state.partitions()[1], Placement::default());
    assert_eq!(state.partitions()[3], short_placement());
}

fn random_change(random: &mut Pcg64Mcg, current: u64) -> Change {
    let base = current.saturating_sub(random.random_range(0..2));
    let version = base + random.random_range(0..3);
    let note = format!("note-{}", random.random_range(0..3));
    let name = |random: &mut Pcg64Mcg| format!("storage-{}", random.random_range(0..4));
    match random.random_range(0..11) {
        0 | 1 => replace(base, version, &note),
        2 | 3 => patch(base, version, &note),
        4 => Change::NameVersion { model: note, version: random.random_range(1..50) },
        5 => {
            let member = member(random.random_range(1..4), random.random_range(1..4));
            Change::RegisterStore { name: name(random), zone: note, member }
        }
        6 => Change::Retire { name: name(random) },
        7 | 8 => {
            let epoch = random.random_range(0..40);
            let members = (0..random.random_range(0..4)).map(|last| member(last, epoch)).collect();
            let placement = Placement { epoch, members, copies: 2, ..Placement::default() };
            Change::Place(vec![(random.random_range(0..5), placement)])
        }
        9 => {
            let lag = random.random_bool(0.5).then(|| random.random_range(0..9));
            let usage = ModelUsage { single_version: random.random_bool(0.2), lag };
            Change::RecordModelUsage { model: note, usage }
        }
        _ => Change::BeginTerm,
    }
}

fn result(outcome: &Result<Applied, ChangeError>) -> u64 {
    match outcome {
        Ok(Applied::Changed) => 0,
        Ok(Applied::Unchanged) => 1,
        Err(ChangeError::VersionConflict { base, current }) => 2 + 8 * base + 1_000_000 * current,
        Err(ChangeError::BaseTooOld { base }) => 3 + 8 * base,
        Err(ChangeError::Invalid(_)) => 4,
        Err(ChangeError::UnknownStore { .. }) => 5,
    }
}

fn trace_of(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    let mut state = ControlState::default();
    for _ in 0..STEPS {
        let change = random_change(&mut random, state.configuration_version());
        trace.add(&encode(&change));
        trace.add_number(result(&state.apply(&change)));
        trace.add(&encode(&state.snapshot()));
    }
    trace.finish()
}

#[test]
fn random_changes_lead_to_the_recorded_states() {
    let hashes: Vec<(String, u64)> =
        (1..=SEEDS).map(|seed| (format!("seed-{seed}"), trace_of(seed))).collect();
    check_hashes(&Path::new(FOLDER).join("control_state_changes.txt"), &hashes);
}
