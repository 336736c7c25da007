//! Generators for all changes and records of this crate and their parts.

use compact_str::CompactString;
use orchidvalve_batch::{ItemResult, Job, JobOrigin};
use orchidvalve_control_state::{
    Change, ControlState, ModelUsage, Placement, REMEMBERED_CHANGES, RegisteredStore, StateSnapshot,
    UsageReport,
};
use proptest::collection::vec;
use proptest::strategy::{BoxedStrategy, Just, Strategy};
use serde_json::{Value, json};

use crate::generate::Generate;
use crate::{generate_enum, generate_struct};

/// Number of partitions of a generated snapshot; a placement takes memory for all partitions before it.
const PARTITIONS: u16 = 4;

generate_enum!(Change {
    Checkpoint(snapshot),
    Replace { base, body },
    Patch { base, body },
    NameVersion { model, version },
    RegisterStore { name, zone, member },
    Place(placements),
    Retire { name },
    BeginTerm,
    RecordModelUsage { model, usage },
    DecideUsageReport(report),
    AcceptUsageReport { window },
});
generate_struct!(UsageReport { window, counts });
generate_struct!(ModelUsage { single_version, lag });
generate_struct!(Placement { epoch, members, learners, complete_replicas, copies, reset_epoch });
generate_struct!(RegisteredStore { zone, member, retiring });
generate_struct!(ItemResult { id, state, message, weight_versions, score });

impl Generate for CompactString {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![String::generate().prop_map(CompactString::from).boxed()]
    }
}

/// A snapshot has private fields, so it is taken of a state to which changes were applied.
impl Generate for StateSnapshot {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        let stores = Vec::<(String, RegisteredStore)>::generate();
        let placements = vec((0_u16..PARTITIONS, Placement::generate()), 0..3);
        let models = (Vec::<(String, u64)>::generate(), Vec::<(String, ModelUsage)>::generate());
        let reports = vec(UsageReport::generate(), 0..3);
        let parts = (0_u64..4, stores, placements, models, reports);
        let snapshot = parts.prop_map(|(versions, stores, placements, (named, used), reports)| {
            let mut changes: Vec<Change> = (1..=versions).map(replace).collect();
            for (name, RegisteredStore { zone, member, retiring }) in stores {
                changes.push(Change::RegisterStore { name: name.clone(), zone, member });
                changes.extend(retiring.then_some(Change::Retire { name }));
            }
            changes.push(Change::Place(placements));
            changes.extend(named.into_iter().map(|(model, version)| Change::NameVersion { model, version }));
            changes.extend(used.into_iter().map(|(model, usage)| Change::RecordModelUsage { model, usage }));
            changes.extend(reports.into_iter().map(Change::DecideUsageReport));
            let mut state = ControlState::default();
            for change in &changes {
                state.apply(change).expect("a change that fits");
            }
            state.snapshot()
        });
        vec![Just(StateSnapshot::default()).boxed(), snapshot.boxed()]
    }
}

/// A snapshot of a state with more changes than it remembers.
pub fn snapshot_that_has_forgotten_changes() -> StateSnapshot {
    let mut state = ControlState::default();
    for version in 1..=REMEMBERED_CHANGES as u64 + 5 {
        state.apply(&replace(version)).expect("a change that fits");
    }
    state.snapshot()
}

fn replace(version: u64) -> Change {
    let document = json!({"config-version": version, "routes": [], "services": [{"name": "blue"}]});
    Change::Replace { base: version - 1, body: document.to_string().into_bytes() }
}

/// A job has private fields, so it is parsed from a document.
impl Generate for Job {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        let head = (Option::<u64>::generate(), Option::<u8>::generate(), 0_u32..9, u32::generate());
        let items = vec(item(), 1..4);
        let names = (0_u8..9, 0_u8..9, 0_u8..9, Option::<u8>::generate());
        let job = (head, items, names).prop_map(|((step, model, oldest, desired), items, names)| {
            let model = model.map(|model| format!("model-{model}"));
            let requests: Vec<Value> = items.into_iter().zip(0..).map(with_id).collect();
            let document = json!({
                "step": step, "model": model, "min-weights-version": oldest, "desired-count": desired,
                "requests": requests,
            });
            let (id, host, prefix, tenant) = names;
            let tenant = tenant.map(|tenant| format!("tenant-{tenant}"));
            let (id, hostname) = (format!("job-{id}"), format!("host-{host}.example"));
            let origin = JobOrigin {
                id: &id,
                hostname: &hostname,
                route_prefix: &format!("/prefix-{prefix}/"),
                tenant: tenant.as_deref(),
            };
            Job::parse(document.to_string().as_bytes(), &origin).expect("a job")
        });
        vec![job.boxed()]
    }
}

fn with_id((mut item, number): (Value, u32)) -> Value {
    item["instance-id"] = json!(format!("item-{number}"));
    item
}

/// An item without its id.
fn item() -> BoxedStrategy<Value> {
    let scorer = Option::<u8>::generate();
    let parts = (0_u8..9, Option::<u8>::generate(), 0_u32..5_000, Option::<u8>::generate(), scorer);
    let item = parts.prop_map(|(path, header, token_usage, group, scorer)| {
        let headers = header.map_or(json!({}), |value| json!({"Model": format!("model-{value}")}));
        let mut item = json!({
            "path": format!("/prefix/{path}"), "headers": headers, "body": "YWJj", "token-usage": token_usage,
        });
        if let Some(group) = group {
            item["group"] = json!(format!("group-{}", group % 3));
        }
        if let Some(scorer) = scorer {
            item["scorer-url"] = json!({
                "instance-id": format!("scorer-{scorer}"), "hostname": "scorer.example", "path": "/score",
                "body": "ZGVm",
            });
        }
        item
    });
    item.boxed()
}
