//! The invariants for API keys and tenants: planted violations are reported, and allowed behaviour is not.

mod support {
    pub mod observed_run;
}

use orchidvalve_testbed::credentials::Credentials;
use orchidvalve_testbed::invariants::{Invariant, InvariantBounds, InvariantChecker};
use orchidvalve_testbed::observation::{JobSent, Observation};
use rstest::rstest;
use serde_json::{Value, json};
use support::observed_run::{
    HOST, ITEM, ITEM_BODY, JOB, ObservedRun, REWARD, REWARD_BODY, configuration, configuration_send_ended,
    execution_started, item, job, request_sent, response_received, server_started,
};

const REQUEST: &str = "plain-1";
/// Times at which changes are sent and acknowledged, in milliseconds.
const SENT: u64 = 4_000;
const ACKNOWLEDGED: u64 = 4_010;
/// Time from which the change applies to requests (`config-apply-ms` after its acknowledgement).
const ACTIVE_AT: u64 = 6_010;

fn tenants(alpha: &[&str], beta: &[&str]) -> Value {
    json!([{"name": "alpha", "api-keys": alpha}, {"name": "beta", "api-keys": beta}])
}

fn configured(at: u64, version: u64, tenants: Option<Value>) -> ObservedRun {
    let mut document = configuration(version);
    let open = json!({"name": "r-open", "hostname": HOST, "path-prefix": "/open/", "service": "apps", "public": true});
    document["routes"].as_array_mut().unwrap().push(open);
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    let base = version - 1;
    let sent = Observation::ConfigurationSent { change: version, version, base, document, valid: true };
    vec![(at, sent), (at + 10, configuration_send_ended(version, 200))]
}

/// Alpha has the keys a1 and a2, and beta has the key b1.
fn run() -> ObservedRun {
    let mut observed = vec![(0, server_started("a1", "apps")), (0, server_started("m1", "models"))];
    observed.extend(configured(1_000, 1, Some(tenants(&["a1", "a2"], &["b1"]))));
    observed
}

/// Alpha loses the key a1.
fn run_with_revocation() -> ObservedRun {
    [run(), configured(SENT, 2, Some(tenants(&["a2"], &["b1"])))].concat()
}

/// The key a1 moves from alpha to beta.
fn run_with_moved_key() -> ObservedRun {
    [run(), configured(SENT, 2, Some(tenants(&["a2"], &["a1", "b1"])))].concat()
}

/// Beta receives the additional key b2.
fn run_with_addition() -> ObservedRun {
    [run(), configured(SENT, 2, Some(tenants(&["a1", "a2"], &["b1", "b2"])))].concat()
}

fn bearer(key: &str) -> Credentials {
    Credentials::of_key(key)
}

fn headers(authorization: &[&str]) -> Credentials {
    let authorization = authorization.iter().map(|value| (*value).to_owned()).collect();
    Credentials { authorization, tenant: None }
}

/// A client sends a request.
fn request(sent_at: u64, path: &str, sent_credentials: Credentials) -> (u64, Observation) {
    let mut sent = request_sent(REQUEST, false);
    if let Observation::RequestSent { target, credentials, .. } = &mut sent {
        (*target, *credentials) = (path.to_owned(), sent_credentials);
    }
    (sent_at, sent)
}

/// A server executes a request in the name of a tenant.
fn executed(at: u64, id: &str, named: Option<&str>) -> (u64, Observation) {
    let (server, path, body) = match id {
        ITEM => ("m1", "/lots/1", ITEM_BODY),
        REWARD => ("a1", "/plain/9", REWARD_BODY),
        _ => ("a1", "/plain/1", 5),
    };
    let mut started = execution_started(server, 100, id, path, body, 0);
    if let Observation::ExecutionStarted { tenant, .. } = &mut started {
        *tenant = named.map(str::to_owned);
    }
    (at, started)
}

/// A request that is executed 10 ms after it is sent.
fn executes(sent_at: u64, credentials: Credentials, tenant: Option<&str>) -> ObservedRun {
    vec![request(sent_at, "/plain/1", credentials), executed(sent_at + 10, REQUEST, tenant)]
}

/// A request that is denied 10 ms after it is sent.
fn denied(sent_at: u64, path: &str, credentials: Credentials, status: u16) -> ObservedRun {
    vec![request(sent_at, path, credentials), (sent_at + 10, response_received(REQUEST, status, None, 0))]
}

fn job_sent(at: u64, key: &str) -> (u64, Observation) {
    let Observation::JobSent(sent) = job(JOB, vec![item()]) else { unreachable!("it's a batch job") };
    (at, Observation::JobSent(JobSent { credentials: bearer(key), ..sent }))
}

/// A batch job is submitted, and its item or reward call is executed.
fn job_executes(key: &str, at: u64, id: &str, tenant: Option<&str>) -> ObservedRun {
    let accepted = Observation::JobSendEnded { job: JOB.to_owned(), status: Some(202) };
    vec![job_sent(3_500, key), (3_520, accepted), executed(at, id, tenant)]
}

fn job_call_denied(at: u64, key: &str) -> ObservedRun {
    let (job, credentials) = (JOB.to_owned(), bearer(key));
    let denial = Observation::JobCallDenied { job, status: 401, credentials, sent_at: at };
    vec![(at + 10, denial)]
}

fn authorization_received() -> ObservedRun {
    let (server, id) = ("a1".to_owned(), REQUEST.to_owned());
    vec![(5_010, Observation::AuthorizationReceived { server, id })]
}

fn violations(observed: &[ObservedRun]) -> Vec<(Invariant, String)> {
    let mut observed = observed.concat();
    observed.sort_by_key(|(at, _)| *at);
    let mut checker = InvariantChecker::new(InvariantBounds::default());
    for (at, observation) in &observed {
        checker.observe(*at, observation);
    }
    checker.violations().iter().map(|violation| (violation.invariant, violation.subject.clone())).collect()
}

#[rstest]
#[case::other_tenant(run(), executes(5_000, bearer("a1"), Some("beta")), Invariant::Unasked, REQUEST)]
#[case::no_tenant_sent(run(), executes(5_000, bearer("a1"), None), Invariant::Unasked, REQUEST)]
#[case::two_tenants_sent(
    run(),
    executes(5_000, bearer("a1"), Some("alpha, beta")),
    Invariant::Unasked,
    REQUEST
)]
#[case::no_key(run(), executes(5_000, headers(&[]), Some("alpha")), Invariant::Unasked, REQUEST)]
#[case::other_scheme(run(), executes(5_000, headers(&["Basic a1"]), Some("alpha")), Invariant::Unasked, REQUEST)]
#[case::key_sent_to_server(run(), authorization_received(), Invariant::Unasked, REQUEST)]
#[case::unknown_key(run(), executes(5_000, bearer("c1"), None), Invariant::Route, REQUEST)]
#[case::key_in_other_case(run(), executes(5_000, bearer("A1"), Some("alpha")), Invariant::Route, REQUEST)]
#[case::unknown_keys(run(), executes(5_000, headers(&["Bearer c1", "Bearer c2"]), Some("alpha")), Invariant::Route, REQUEST)]
#[case::revoked_key(
    run_with_revocation(),
    executes(ACTIVE_AT, bearer("a1"), Some("alpha")),
    Invariant::Config,
    REQUEST
)]
#[case::former_owner(
    run_with_moved_key(),
    executes(ACTIVE_AT, bearer("a1"), Some("alpha")),
    Invariant::Config,
    REQUEST
)]
#[case::key_denied(run(), denied(5_000, "/plain/1", bearer("a1"), 401), Invariant::Config, REQUEST)]
#[case::tenant_forbidden(run(), denied(5_000, "/plain/1", bearer("b1"), 403), Invariant::Config, REQUEST)]
#[case::route_denied(run(), denied(5_000, "/plain/1", bearer("a1"), 404), Invariant::Config, REQUEST)]
#[case::public_route_denied(run(), denied(5_000, "/open/1", headers(&[]), 401), Invariant::Config, REQUEST)]
#[case::added_key_denied(
    run_with_addition(),
    denied(ACTIVE_AT, "/plain/1", bearer("b2"), 401),
    Invariant::Config,
    REQUEST
)]
#[case::moved_key_denied(
    run_with_moved_key(),
    denied(5_000, "/plain/1", bearer("a1"), 401),
    Invariant::Config,
    REQUEST
)]
#[case::item_with_unknown_key(run(), job_executes("c1", 5_000, ITEM, Some("alpha")), Invariant::Route, ITEM)]
#[case::item_of_other_tenant(run(), job_executes("a1", 5_000, ITEM, Some("beta")), Invariant::Unasked, ITEM)]
#[case::item_without_tenant(run(), job_executes("a1", 5_000, ITEM, None), Invariant::Unasked, ITEM)]
#[case::reward_call_of_other_tenant(
    run(),
    job_executes("a1", 5_000, REWARD, Some("beta")),
    Invariant::Unasked,
    REWARD
)]
#[case::job_call_denied(run(), job_call_denied(5_000, "a1"), Invariant::Config, JOB)]
fn a_planted_violation_is_reported(
    #[case] run: ObservedRun,
    #[case] planted: ObservedRun,
    #[case] invariant: Invariant,
    #[case] subject: &str,
) {
    assert_eq!(violations(&[run, planted]), [(invariant, subject.to_owned())]);
}

#[test]
fn a_revoked_key_is_reported_even_without_a_tenant() {
    let found = violations(&[run_with_revocation(), executes(ACTIVE_AT, bearer("a1"), None)]);
    assert_eq!(
        found.iter().map(|(invariant, _)| *invariant).collect::<Vec<_>>(),
        [Invariant::Unasked, Invariant::Config]
    );
}

#[rstest]
#[case::proper_request(run(), executes(5_000, bearer("a1"), Some("alpha")))]
#[case::other_key_of_the_tenant(run(), executes(5_000, bearer("a2"), Some("alpha")))]
#[case::scheme_in_other_case(run(), executes(5_000, headers(&["bearer a1"]), Some("alpha")))]
#[case::one_of_two_keys(run(), executes(5_000, headers(&["Bearer c1", "Bearer a1"]), Some("alpha")))]
#[case::tenant_sent_by_the_client(
    run(),
    executes(5_000, Credentials { tenant: Some("beta".to_owned()), ..bearer("a1") }, Some("alpha"))
)]
#[case::revoked_key_within_the_bound(run_with_revocation(), executes(ACTIVE_AT - 1, bearer("a1"), Some("alpha")))]
#[case::moved_key_used_for_the_former_owner(run_with_moved_key(), executes(ACTIVE_AT - 1, bearer("a1"), Some("alpha")))]
#[case::moved_key_used_for_the_new_owner(
    run_with_moved_key(),
    executes(ACKNOWLEDGED, bearer("a1"), Some("beta"))
)]
#[case::moved_key_after_the_bound(run_with_moved_key(), executes(ACTIVE_AT, bearer("a1"), Some("beta")))]
#[case::added_key_at_once(run_with_addition(), executes(SENT + 1, bearer("b2"), Some("beta")))]
#[case::added_key_denied_within_the_bound(run_with_addition(), denied(ACTIVE_AT - 1, "/plain/1", bearer("b2"), 401))]
#[case::revoked_key_denied_early(run_with_revocation(), denied(SENT + 1, "/plain/1", bearer("a1"), 401))]
#[case::revoked_key_denied(run_with_revocation(), denied(ACTIVE_AT, "/plain/1", bearer("a1"), 401))]
#[case::unknown_key_denied(run(), denied(5_000, "/plain/1", bearer("c1"), 401))]
#[case::no_key_denied(run(), denied(5_000, "/plain/1", headers(&[]), 401))]
#[case::other_scheme_denied(run(), denied(5_000, "/plain/1", headers(&["Basic a1"]), 401))]
#[case::two_fields_denied(run(), denied(5_000, "/plain/1", headers(&["Bearer a1", "Bearer c1"]), 401))]
#[case::unknown_route_denied(run(), denied(5_000, "/nowhere", bearer("a1"), 404))]
#[case::denied_before_the_first_configuration_is_active(run(), denied(2_000, "/plain/1", bearer("a1"), 404))]
#[case::item_continues_after_its_key_is_revoked(
    run_with_revocation(),
    job_executes("a1", ACTIVE_AT, ITEM, Some("alpha"))
)]
#[case::reward_call_of_the_tenant(run(), job_executes("a1", 5_000, REWARD, Some("alpha")))]
#[case::job_call_denied_after_the_revocation(run_with_revocation(), job_call_denied(ACTIVE_AT, "a1"))]
#[case::job_call_with_unknown_key_denied(run(), job_call_denied(5_000, "c1"))]
fn what_is_allowed_violates_no_invariant(#[case] run: ObservedRun, #[case] seen: ObservedRun) {
    assert_eq!(violations(&[run, seen]), []);
}

/// An item reaches a server under the key of a second submission, since the key of the first one is unknown.
#[test]
fn a_batch_job_may_be_submitted_again_with_another_key() {
    let resend = vec![job_sent(4_500, "b1")];
    assert_eq!(
        violations(&[run(), job_executes("c1", 5_000, ITEM, Some("beta")), resend]),
        [],
        "the first key is unknown"
    );
}

#[test]
fn a_reward_call_on_a_public_route_needs_no_tenant() {
    let mut observed = run();
    for (_, seen) in &mut observed {
        if let Observation::ConfigurationSent { document, .. } = seen {
            document["routes"][0]["public"] = json!(true);
        }
    }
    assert_eq!(violations(&[observed, job_executes("a1", 5_000, REWARD, None)]), []);
}

#[rstest]
#[case::revoked_key(run_with_revocation(), executes(ACTIVE_AT, bearer("a1"), Some("alpha")))]
#[case::former_owner(run_with_moved_key(), executes(ACTIVE_AT, bearer("a1"), Some("alpha")))]
#[case::added_key_denied(run_with_addition(), denied(ACTIVE_AT, "/plain/1", bearer("b2"), 401))]
#[case::job_call_denied(run(), job_call_denied(5_000, "a1"))]
fn violations_during_a_partition_are_not_reported(#[case] run: ObservedRun, #[case] seen: ObservedRun) {
    let cut = Observation::Disruption { description: "a partition".to_owned(), planned: false };
    assert_eq!(violations(&[run, seen, vec![(4_500, cut)]]), []);
}

#[rstest]
#[case::unknown_key(executes(5_000, bearer("c1"), None))]
#[case::tenant_of_the_client(executes(5_000, bearer("c1"), Some("gamma")))]
#[case::key_sent_to_server(authorization_received())]
fn without_tenants_no_key_is_required(#[case] seen: ObservedRun) {
    let mut observed = vec![(0, server_started("a1", "apps"))];
    observed.extend(configured(1_000, 1, None));
    assert_eq!(violations(&[observed, seen]), []);
}

#[test]
fn keys_are_required_once_a_configuration_with_tenants_is_active() {
    let mut observed = vec![(0, server_started("a1", "apps"))];
    observed.extend(configured(1_000, 1, None));
    observed.extend(configured(SENT, 2, Some(tenants(&["a1"], &[]))));
    let found = violations(&[observed, executes(ACTIVE_AT, bearer("c1"), None)]);
    assert_eq!(found, [(Invariant::Config, REQUEST.to_owned())]);
}
