//! The results of reading fixed configurations and operators' files, and the text of each error, compared with a
//! recording. An error names its key in full.

use std::path::PathBuf;

use orchidvalve_frontnode::cold_start::ColdStartSettings;
use orchidvalve_frontnode::config::{self, NodeConfig};
use orchidvalve_frontnode::fleet::FleetSettings;
use orchidvalve_frontnode::maintenance::MaintenanceSettings;
use orchidvalve_frontnode::persistence::PersistenceSettings;
use orchidvalve_frontnode::recorder::RecordingSettings;
use orchidvalve_golden::check_samples;
use serde_json::{Value, json};

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Returns a configuration with every key of its own.
fn full() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"revision": 4, "complete": true, "members": [
            {"id": "s-1", "host_port": "127.0.0.1:9001", "cell": 1, "phase": "up", "up_since_ms": 5, "flavor": "os",
             "locality": "z"}]},
        "settings": {
            "classes": [
                {"name": "look", "effect": "pure", "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64},
                {"name": "hold", "effect": "token", "windowNs": 2_000_000_000, "objectiveNs": 500_000_000,
                 "deadlineNs": 3_500_000_000u64}
            ],
            "projects": [{"name": "acme", "allowancePerS": 250.5}],
            "extra": {"positions": 4, "reach": 2, "slices": 6, "bundleMax": 4},
            "feedback": {"how": "on_probe", "names": ["waiting", "rps"]},
            "limits": {"attemptsCap": 4, "cancel": true, "multiplex": 8, "openCap": 800,
                       "connIdleNs": 16_000_000_000u64, "connectTimeoutNs": 300_000_000},
            "rules": {"stopSendingWithinNs": 1_200_000_000},
            "resolutionNs": 2_500_000
        }
    })
}

fn read(document: &Value) -> Result<NodeConfig, String> {
    read_text(&document.to_string())
}

fn read_text(text: &str) -> Result<NodeConfig, String> {
    config::read(text, config::OperatorFiles::default()).map(|read| read.0).map_err(|error| error.to_string())
}

fn describe(config: &NodeConfig) -> String {
    let member = |m: &orchidvalve_frontnode::membership::Endpoint| {
        format!(
            "{} {} {} {} {} {} {} {:?}",
            m.id, m.address, m.flavor, m.locality, m.cell, m.serving, m.removed, m.started
        )
    };
    let members: Vec<String> = config.known_endpoints.endpoints.iter().map(member).collect();
    let pool = &config.store_protocols.pool;
    let deadlines: Vec<_> = config.service_classes.iter().map(|class| class.deadline).collect();
    let classes = config.route_classes().into_iter().map(|class| (class.name, class.has_idempotency_key));
    let classes: Vec<(String, bool)> = classes.collect();
    let ring = (config.ring.cells, config.ring.reach);
    [
        format!("{} {} {} {:x}", config.name, config.listen, config.discovery, config.seed),
        format!(
            "known {} {} {}",
            config.known_endpoints.revision,
            config.known_endpoints.complete,
            members.join(", ")
        ),
        format!("classes {:?} tenants {:?} abandon {:?}", classes, config.tenants, deadlines),
        format!("ring {:?} shards {} on request {}", ring, config.shards, config.discovery_on_request),
        format!(
            "call {} link {} load {}",
            config.store_protocols.requests_per_call,
            config.store_protocols.requests_per_connection,
            config.store_protocols.request_load
        ),
        format!("pool {} {} {}", pool.max_connections, pool.max_queued, pool.queue_timeout),
        format!("pool {} {} {}", pool.close_cost, pool.close_budget, pool.drain_timeout),
        format!(
            "open {} idle {} connect {}",
            config.max_pending, config.idle_timeout, config.connect_timeout
        ),
        format!("most {} {} {}", config.max_clients, config.max_store_connections, config.max_request_bytes),
        format!("request {} tick {} drain {}", config.request_timeout, config.tick, config.drain_grace),
        format!(
            "off {} {} {} {} {} {}",
            config.persistence.is_none(),
            config.fleet.is_none(),
            config.cold_start.is_none(),
            config.maintenance.is_none(),
            config.recording.is_none(),
            config.routes.is_none()
        ),
    ]
    .join("; ")
}

#[test]
fn configurations_match_the_recording() {
    let mut least = full();
    for key in ["limits", "known"] {
        least.as_object_mut().unwrap().remove(key);
    }
    least["known"] = json!({"members": []});
    least["settings"] = json!({
        "classes": [{"name": "look", "effect": "pure", "objectiveNs": 1, "deadlineNs": 2}],
        "extra": {"positions": 1, "reach": 1, "slices": 1}
    });
    let samples =
        [("every-key", describe(&read(&full()).unwrap())), ("least", describe(&read(&least).unwrap()))];
    check_samples(&golden("configuration.txt"), &samples);
}

#[test]
fn the_header_of_a_recording_names_the_current_configuration() {
    let head = read(&full()).unwrap().recording_head(1_750_000_000_123_456_789);
    assert_eq!((&*head.node, head.started_unix_ms), ("n1", 1_750_000_000_123));
    assert_eq!(
        (head.classes, head.tenants),
        (vec!["look".to_owned(), "hold".to_owned()], vec!["acme".to_owned()])
    );
}

/// Each section that cannot change while the node runs is reported if it differs, and no other.
#[test]
fn changed_sections_that_need_a_restart_match_the_recording() {
    let config = read(&full()).unwrap();
    let mut samples = vec![("nothing".to_owned(), config.sections_changed_in(&config).join(", "))];
    for (name, pointer, value) in [
        ("name", "/name", json!("n2")),
        ("listen", "/listen", json!("127.0.0.1:8001")),
        ("discovery", "/discovery", json!("127.0.0.1:8501")),
        ("seed", "/seed", json!("1")),
        ("limits", "/limits/sockets", json!(512)),
        ("known", "/known/revision", json!(5)),
        ("settings", "/settings/extra/reach", json!(1)),
    ] {
        let mut later = full();
        *later.pointer_mut(pointer).unwrap() = value;
        samples.push((name.to_owned(), config.sections_changed_in(&read(&later).unwrap()).join(", ")));
    }
    check_samples(&golden("sections_in_force.txt"), &samples);
}

/// Each key of the configuration is removed, replaced by values of other types, by a negative number and by 0.
#[test]
fn configuration_errors_name_their_key_and_match_the_recording() {
    let mut samples = Vec::new();
    let mut record = |name: String, text: &str| {
        let result = match read_text(text) {
            Ok(_) => "accepted".to_owned(),
            Err(text) => text,
        };
        samples.push((name, result));
    };
    for bad in ["{", "3", "[]"] {
        record(format!("all={bad}"), bad);
    }
    let mut pointers = Vec::new();
    pointers_of(&full(), String::new(), &mut pointers);
    for pointer in pointers {
        let mut left_out = full();
        if remove(&mut left_out, &pointer) {
            record(format!("{pointer}=left-out"), &left_out.to_string());
        }
        for bad in
            [json!(null), json!("text"), json!(-1), json!(0), json!(0.5), json!(true), json!([]), json!({})]
        {
            let mut document = full();
            *document.pointer_mut(&pointer).unwrap() = bad.clone();
            record(format!("{pointer}={bad}"), &document.to_string());
        }
    }
    for key in ["search", "logbook", "fleet", "coldstart", "maintenance", "record"] {
        let mut document = full();
        for bad in [json!(7), json!("no-such-directory/file")] {
            document[key] = bad.clone();
            record(format!("/{key}={bad}"), &document.to_string());
        }
    }
    let mut second_step = full();
    second_step["settings"]["extra"]["classFetch"] = json!([0, 1]);
    record("second-step".to_owned(), &second_step.to_string());
    check_samples(&golden("configuration_faults.txt"), &samples);
}

/// Returns the JSON pointers of all values of a document, in the order of its keys.
fn pointers_of(value: &Value, at: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            let mut keys: Vec<&String> = fields.keys().collect();
            keys.sort();
            for key in keys {
                let pointer = format!("{at}/{key}");
                pointers.push(pointer.clone());
                pointers_of(&fields[key], pointer, pointers);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let pointer = format!("{at}/{index}");
                pointers.push(pointer.clone());
                pointers_of(item, pointer, pointers);
            }
        }
        _ => {}
    }
}

/// Removes the value at a JSON pointer. Returns false if it is an item of a list.
fn remove(document: &mut Value, pointer: &str) -> bool {
    let (above, key) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(above).unwrap() {
        Value::Object(fields) => fields.remove(key).is_some(),
        _ => false,
    }
}

/// Returns the errors of an operator's file with one line changed, added or removed.
fn errors_of(
    samples: &mut Vec<(String, String)>,
    section: &str,
    lines: &[(&str, &str)],
    changes: &[(&str, &str)],
    read: impl Fn(&str) -> Result<(), String>,
) {
    let file = |change: Option<(&str, &str)>| {
        let mut text = format!("[{section}]\n");
        for (key, value) in lines.iter().filter(|(key, _)| change.is_none_or(|(changed, _)| changed != *key))
        {
            text.push_str(&format!("{key} = {value}\n"));
        }
        if let Some((key, value)) = change.filter(|(_, value)| !value.is_empty()) {
            text.push_str(&format!("{key} = {value}\n"));
        }
        text
    };
    let mut record = |name: String, text: &str| {
        samples.push((name, read(text).err().unwrap_or_else(|| "accepted".to_owned())));
    };
    record(format!("{section}/as-it-should-be"), &file(None));
    for &(key, value) in changes {
        record(format!("{section}/{key}={}", value.replace(' ', "_")), &file(Some((key, value))));
    }
    for (key, _) in lines {
        record(format!("{section}/{key}=left-out"), &file(Some((key, ""))));
    }
    record(format!("{section}/unknown-key"), &file(Some(("colour", "1"))));
    record(format!("{section}/empty"), "");
}

#[test]
fn errors_of_operators_files_match_the_recording() {
    let mut samples = Vec::new();
    let logbook = [
        ("dir", "\"\""),
        ("dir", "3"),
        ("segment_mb", "0"),
        ("segment_mb", "1025"),
        ("queue", "0"),
        ("held", "0"),
        ("soon_ms", "0"),
        ("soon_ms", "60001"),
        ("compaction_mb_a_second", "0"),
        ("free_least_mb", "-1"),
        ("checkpoints", "false"),
    ];
    errors_of(&mut samples, "logbook", &[("dir", "\"book\"")], &logbook, |text| {
        PersistenceSettings::read(text).map(drop).map_err(|error| error.to_string())
    });
    let record = [("file", "\"\""), ("file", "3"), ("most_mb", "0"), ("most_mb", "65537"), ("most_mb", "1")];
    errors_of(&mut samples, "record", &[("file", "\"arrivals\"")], &record, |text| {
        RecordingSettings::read(text).map(drop).map_err(|error| error.to_string())
    });
    let fleet = [
        ("listen", "\"here\""),
        ("listen", "\"0.0.0.0:7400\""),
        ("advertise", "\"here\""),
        ("peers", "[\"127.0.0.1:1\", \"there\"]"),
        ("expected", "0"),
        ("expected", "100001"),
        ("probe_ms", "9"),
        ("suspect_ms", "9"),
        ("forget_ms", "9"),
        ("gossip_ms", "9"),
        ("gossip_to", "0"),
        ("lease_ms", "9"),
        ("cold_floor", "-1.0"),
        ("cold_floor", "nan"),
        ("bad_for_ms", "0"),
        ("retries_a_second", "0.0"),
        ("retries_a_second", "inf"),
    ];
    let lines = [("listen", "\"127.0.0.1:7400\""), ("expected", "3")];
    errors_of(&mut samples, "fleet", &lines, &fleet, |text| {
        FleetSettings::read(text).map(drop).map_err(|error| error.to_string())
    });
    let coldstart = [
        ("expected", "0"),
        ("fetches_a_second", "0.0"),
        ("fetches_a_second", "nan"),
        ("probes_a_second", "1e9"),
        ("connects_a_second", "0.0"),
        ("first_wait_ms", "0"),
        ("most_wait_ms", "0"),
        ("fresh_s", "86401"),
        ("half_life_s", "0"),
        ("oldest_s", "0"),
        ("patience_ms", "0"),
        ("restarts_s", "86401"),
        ("source", "\"\""),
        ("share_lists", "3"),
    ];
    errors_of(&mut samples, "coldstart", &[("expected", "300")], &coldstart, |text| {
        ColdStartSettings::read(text).map(drop).map_err(|error| error.to_string())
    });
    let maintenance = [
        ("listen", "\"here\""),
        ("advertise", "\"here\""),
        ("group", "[]"),
        ("group", "[\"127.0.0.1:1\", \"127.0.0.1:2\"]"),
        ("group", "[\"there\"]"),
        ("member", "0"),
        ("member", "2"),
        ("member", "1"),
        ("tick_ms", "4"),
        ("follow_ms", "9"),
        ("drain_ms", "86400001"),
        ("look_lasts_ms", "9"),
        ("share", "0.0"),
        ("zone_share", "1.5"),
        ("most", "0"),
    ];
    let lines = [("listen", "\"127.0.0.1:7500\""), ("group", "[\"127.0.0.1:7500\"]")];
    errors_of(&mut samples, "maintenance", &lines, &maintenance, |text| {
        MaintenanceSettings::read(text).map(drop).map_err(|error| error.to_string())
    });
    check_samples(&golden("operators_files.txt"), &samples);
}

/// The settings read from operators' files with all keys, and from files with only the required ones.
#[test]
fn operators_files_match_the_recording() {
    let mut samples = Vec::new();
    let fleet = "[fleet]\nlisten = \"127.0.0.1:7400\"\nexpected = 3\n";
    let more = "advertise = \"127.0.0.1:7401\"\npeers = [\"127.0.0.1:1\"]\nprobe_ms = 500\nsuspect_ms = 100\n\
        forget_ms = 200\ngossip_ms = 300\ngossip_to = 4\nlease_ms = 600\ncold_floor = 2.5\nbad_for_ms = 700\n\
        retries_a_second = 6.5\n";
    for (name, text) in [("fleet/least", fleet.to_owned()), ("fleet/every-key", format!("{fleet}{more}"))] {
        let config = FleetSettings::read(&text).unwrap();
        let of = &config.protocol;
        samples.push((
            name,
            format!(
                "{} {} {:?} {} {} {} {} {} {} {} {} {} {} {} {:?}",
                config.listen,
                of.me,
                of.peers,
                of.expected,
                of.probe_interval,
                of.probe_rtt,
                of.suspicion_timeout,
                of.forget_after,
                of.gossip_interval,
                of.gossip_fanout,
                of.leases.duration,
                of.leases.answer_timeout,
                config.slow_start_floor,
                config.verdict_lifetime,
                config.retries_per_second
            ),
        ));
    }
    let cold = "[coldstart]\nexpected = 300\n";
    let more = "fetches_a_second = 1.5\nfirst_wait_ms = 2\nmost_wait_ms = 3\nfresh_s = 4\nhalf_life_s = 5\n\
        oldest_s = 6\npatience_ms = 7\nprobes_a_second = 8.5\nconnects_a_second = 9.5\nshare_lists = false\n\
        source = \"agent\"\nrestarts_s = 10\n";
    for (name, text) in
        [("coldstart/least", cold.to_owned()), ("coldstart/every-key", format!("{cold}{more}"))]
    {
        let config = ColdStartSettings::read(&text).unwrap();
        let of = &config.policy;
        samples.push((
            name,
            format!(
                "{} {} {} {} {} {} {} {} {} {:?} {} {:?} {}",
                of.expected,
                of.fetches_a_second,
                of.initial_backoff,
                of.max_backoff,
                of.fresh_for,
                of.half_life,
                of.max_age,
                of.discovery_timeout,
                of.probes_a_second,
                of.connects_a_second,
                config.share_lists,
                config.source,
                config.restart_window
            ),
        ));
    }
    let work = "[maintenance]\nlisten = \"127.0.0.1:7500\"\ngroup = [\"127.0.0.1:7500\"]\n";
    let more = "advertise = \"127.0.0.1:7501\"\nmember = 1\ntick_ms = 20\nfollow_ms = 30\ndrain_ms = 40\n\
        look_lasts_ms = 50\nshare = 0.75\nleast_sound = 6\nzone_share = 0.5\nmost = 7\n";
    for (name, text) in
        [("maintenance/least", work.to_owned()), ("maintenance/every-key", format!("{work}{more}"))]
    {
        let config = MaintenanceSettings::read(&text).unwrap();
        samples.push((
            name,
            format!(
                "{} {:?} {:?} {:?} {} {} {} {} {} {} {} {}",
                config.listen,
                config.advertise,
                config.group,
                config.member,
                config.tick,
                config.follow_interval,
                config.rule.share,
                config.rule.least_sound,
                config.rule.zone_share,
                config.rule.most,
                config.pace.drain,
                config.pace.look_lasts
            ),
        ));
    }
    let record = RecordingSettings::read("[record]\nfile = \"arrivals\"\n").unwrap();
    samples.push(("record/least", format!("{} {}", record.file, record.max_bytes)));
    let record = RecordingSettings::read("[record]\nfile = \"arrivals\"\nmost_mb = 3\n").unwrap();
    samples.push(("record/every-key", format!("{} {}", record.file, record.max_bytes)));
    check_samples(&golden("operators_files_read.txt"), &samples);
}
