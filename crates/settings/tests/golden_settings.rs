//! Checks all parsed settings, and the defaults of missing keys, against recorded values.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use orchidvalve_golden::check_samples;
use orchidvalve_settings::{PortRange, Settings};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const ALL_KEYS: &str = "
# every key
node-name=storage-a-1
role=store
machine-class=large
serves=one, two,three
ip-address=10.1.2.3
zone=zone-a
region=region-1
zones.zone-a=region-1
zones.zone-b=region-2
listen-addresses.frontend=10.1.2.3:80
listen-addresses.readiness=10.1.2.3:81
listen-addresses.control=10.1.2.3:82
listen-addresses.internal=10.1.2.4:83
internal-port-range=7660,7675
seed-nodes=10.1.2.5:7660,10.1.2.6:7661
bootstrap=true
quorum-member=true
limits.cpu-share=0.5
limits.cpu-cores=2.5
limits.memory-mb=512
limits.max-open-files=4096
limits.link-mbps=250.5
limits.disk-mb=64
data-directory=/var/lib/data
heartbeat-ms=777
contracts=alpha,beta
fault-tolerance.machines=1
fault-tolerance.zones=2
fault-tolerance.regions=3
bounds.seed-lag-s=3.5
bounds.address-reuse-s=2.25
bounds.contact-ms=3001
bounds.ack-ms=4001.4
bounds.catch-up-s=4.5
bounds.drain-ms=3002
bounds.grace-s=8.5
bounds.loss-slack-ms=201
bounds.config-apply-ms=2001
bounds.rollback-slack-ms=251
bounds.max-stretch-ms=5001
bounds.recovery-s=12.5
bounds.pass_ms=121
bounds.again_s=0.5
bounds.finish-s=10.5
bounds.status-interval-s=120.5
bounds.cancel-ms=3003
bounds.settle-ms=1001.6
bounds.quota-overage=0.2
bounds.fencing-enforced=true
bounds.lease-ms=3004
bounds.thaw-slack-ms=301
bounds.strict-revocation=true
bounds.revoke-ms=5001
bounds.usage-window-s=5.5
bounds.usage-tolerance=0.06
bounds.usage-late-s=10.25
cloud-api.address=10.9.9.9:9000
cloud-api.rate-per-s=12.5
cloud-api.duties=list,tell
cloud-api.lag-ms=1002
cloud-api.duty-per-s=2.5
unknown.key=is skipped
";

const REQUIRED_KEYS: &str = "
node-name=edge-1
ip-address=10.1.2.3
zone=zone-a
internal-port-range=7660,7675
";

/// Parses a settings file and encodes each value without loss, by key.
fn samples(text: &str) -> Vec<(String, Vec<u8>)> {
    let settings = Settings::parse(text, Path::new("settings")).expect("settings");
    let mut samples = Vec::new();
    let mut add = |name: &str, value: Vec<u8>| samples.push((name.to_owned(), value));
    let text = |value: &str| value.as_bytes().to_vec();
    let list = |values: &[String]| values.join("|").into_bytes();
    let ip = |value: Ipv4Addr| value.octets().to_vec();
    let address = |value: Option<SocketAddrV4>| match value {
        Some(address) => [&address.ip().octets()[..], &address.port().to_le_bytes()[..]].concat(),
        None => Vec::new(),
    };
    let integer = |value: u64| value.to_le_bytes().to_vec();
    let float = |value: f64| value.to_le_bytes().to_vec();
    let flag = |value: bool| vec![u8::from(value)];

    add("node-name", text(&settings.node_name));
    add("role", text(&settings.role));
    add("machine-class", text(&settings.machine_class));
    add("serves", list(&settings.serves));
    add("ip-address", ip(settings.ip));
    add("zone", text(&settings.zone));
    add("region", text(&settings.region));
    for (zone, region) in &settings.zones {
        add(&format!("zones.{zone}"), text(region));
    }
    add("listen-addresses.frontend", address(settings.listen.frontend));
    add("listen-addresses.readiness", address(settings.listen.readiness));
    add("listen-addresses.control", address(settings.listen.control));
    add("listen-addresses.internal", address(settings.listen.internal));
    let PortRange { first, last } = settings.internal_ports;
    add("internal-port-range", [first.to_le_bytes(), last.to_le_bytes()].concat());
    let seeds: Vec<Vec<u8>> = settings.seed_nodes.iter().map(|seed| address(Some(*seed))).collect();
    add("seed-nodes", seeds.concat());
    add("bootstrap", flag(settings.bootstrap));
    add("quorum-member", flag(settings.quorum_member));
    add("limits.cpu-share", float(settings.limits.cpu_share));
    add("limits.cpu-cores", float(settings.limits.cpu_cores));
    add("limits.memory-mb", integer(settings.limits.memory_mb));
    add("limits.max-open-files", integer(settings.limits.max_open_files));
    add("limits.link-mbps", float(settings.limits.link_mbps));
    add("limits.disk-mb", settings.limits.disk_mb.map_or(Vec::new(), integer));
    let directory = settings.data_directory.as_deref().map_or("", |path| path.to_str().expect("a text"));
    add("data-directory", text(directory));
    add("heartbeat-ms", integer(settings.heartbeat_ms));
    add("contracts", list(&settings.contracts));
    add("fault-tolerance.machines", integer(settings.fault_tolerance.machines.into()));
    add("fault-tolerance.zones", integer(settings.fault_tolerance.zones.into()));
    add("fault-tolerance.regions", integer(settings.fault_tolerance.regions.into()));
    let bounds = &settings.bounds;
    add("bounds.seed-lag-s", float(bounds.seed_lag_s));
    add("bounds.address-reuse-s", float(bounds.address_reuse_s));
    add("bounds.contact-ms", integer(bounds.contact_ms));
    add("bounds.ack-ms", integer(bounds.ack_ms));
    add("bounds.catch-up-s", float(bounds.catch_up_s));
    add("bounds.drain-ms", integer(bounds.drain_ms));
    add("bounds.grace-s", float(bounds.grace_s));
    add("bounds.loss-slack-ms", integer(bounds.loss_slack_ms));
    add("bounds.config-apply-ms", integer(bounds.config_apply_ms));
    add("bounds.rollback-slack-ms", integer(bounds.rollback_slack_ms));
    add("bounds.max-stretch-ms", integer(bounds.max_stretch_ms));
    add("bounds.recovery-s", float(bounds.recovery_s));
    add("bounds.pass_ms", integer(bounds.pass_ms));
    add("bounds.again_s", float(bounds.again_s));
    add("bounds.finish-s", float(bounds.finish_s));
    add("bounds.status-interval-s", float(bounds.status_interval_s));
    add("bounds.cancel-ms", integer(bounds.cancel_ms));
    add("bounds.settle-ms", integer(bounds.settle_ms));
    add("bounds.quota-overage", float(bounds.quota_overage));
    add("bounds.fencing-enforced", flag(bounds.fencing_enforced));
    add("bounds.lease-ms", integer(bounds.lease_ms));
    add("bounds.thaw-slack-ms", integer(bounds.thaw_slack_ms));
    add("bounds.strict-revocation", flag(bounds.strict_revocation));
    add("bounds.revoke-ms", integer(bounds.revoke_ms));
    add("bounds.usage-window-s", float(bounds.usage_window_s));
    add("bounds.usage-tolerance", float(bounds.usage_tolerance));
    add("bounds.usage-late-s", float(bounds.usage_late_s));
    add("cloud-api.address", address(settings.cloud_api.address));
    add("cloud-api.rate-per-s", float(settings.cloud_api.rate_per_s));
    add("cloud-api.duties", list(&settings.cloud_api.platform_roles));
    add("cloud-api.lag-ms", integer(settings.cloud_api.lag_ms));
    add("cloud-api.duty-per-s", float(settings.cloud_api.platform_calls_per_second));
    samples
}

#[test]
fn all_keys_are_parsed_as_recorded() {
    check_samples(&Path::new(FOLDER).join("settings_whole.txt"), &samples(ALL_KEYS));
}

#[test]
fn missing_keys_have_the_recorded_defaults() {
    check_samples(&Path::new(FOLDER).join("settings_defaults.txt"), &samples(REQUIRED_KEYS));
}
