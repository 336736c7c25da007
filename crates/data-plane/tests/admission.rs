//! Tests of admission: which requests are admitted by which route and key, and the responses to all others.

mod tenants_support;

use std::sync::Arc;

use orchidvalve_configuration::RouteTable;
use orchidvalve_data_plane::admission::{AdmissionError, ConfigurationAge, admit_job_call, admit_request};
use orchidvalve_data_plane::authentication::Authenticated;
use rstest::rstest;
use tenants_support::*;

const CURRENT: ConfigurationAge = ConfigurationAge::Current;
const OUTDATED: ConfigurationAge = ConfigurationAge::MayBeOutdated;

fn tenant(name: &str) -> Authenticated {
    Authenticated::Tenant(name.into())
}

fn admitted(table: &RouteTable, path: &str, lines: &str) -> Result<Authenticated, AdmissionError> {
    admit_request(&request(path, lines), table, CURRENT).map(|admitted| admitted.caller)
}

// Guards the invariant ROUTE: no request runs with a key that no configuration has contained.
#[rstest]
#[case::no_header("")]
#[case::empty_value("Authorization:\r\n")]
#[case::scheme_only("Authorization: Bearer\r\n")]
#[case::empty_key("Authorization: Bearer \r\n")]
#[case::key_only("Authorization: k-3f09c1\r\n")]
#[case::unknown_key("Authorization: Bearer k-000000\r\n")]
#[case::other_case("Authorization: Bearer K-3F09C1\r\n")]
#[case::beginning_of_a_key("Authorization: Bearer k-3f09c\r\n")]
#[case::more_than_a_key("Authorization: Bearer k-3f09c1 x\r\n")]
#[case::in_quotes("Authorization: Bearer \"k-3f09c1\"\r\n")]
#[case::other_scheme("Authorization: Basic k-3f09c1\r\n")]
#[case::tab_after_the_scheme("Authorization: Bearer\tk-3f09c1\r\n")]
#[case::twice("Authorization: Bearer k-3f09c1\r\nAuthorization: Bearer k-3f09c1\r\n")]
#[case::two_keys("Authorization: Bearer k-3f09c1\r\nauthorization: Bearer k-77ab20\r\n")]
#[case::second_is_empty("Authorization: Bearer k-3f09c1\r\nAuthorization:\r\n")]
#[case::other_header("X-Authorization: Bearer k-3f09c1\r\n")]
#[case::tenant_header_only("Tenant: cuka620\r\n")]
fn a_request_without_one_known_key_is_rejected(#[case] lines: &str) {
    let table = two_tenants(1);
    assert_eq!(admitted(&table, "/repeat/1", lines), Err(AdmissionError::Unauthenticated));
    assert_eq!(admitted(&table, "/jobs/1", lines), Err(AdmissionError::Unauthenticated));
    assert_eq!(admitted(&table, "/open/1", lines), Ok(Authenticated::Public));
    let call = request("/v1/lots/9c41d07be2a35f68", lines);
    assert_eq!(admit_job_call(&call, &table, CURRENT), Err(AdmissionError::Unauthenticated));
}

// Guards the invariant ROUTE: a very long key is looked up and rejected like any other.
#[test]
fn a_very_long_key_is_rejected() {
    let lines = bearer(&"k".repeat(900_000));
    assert_eq!(admitted(&two_tenants(1), "/repeat/1", &lines), Err(AdmissionError::Unauthenticated));
}

// Guards the invariant UNASKED: the tenant named to the server is the one that owns the client's key.
#[rstest]
#[case::as_usual("Authorization: Bearer k-3f09c1\r\n", TENANT)]
#[case::other_key("Authorization: Bearer k-77ab20\r\n", OTHER_TENANT)]
#[case::case_of_the_scheme("authorization: bEARER k-3f09c1\r\n", TENANT)]
#[case::spaces("Authorization:   Bearer   k-3f09c1  \r\n", TENANT)]
#[case::claims_another_tenant("Tenant: seje681\r\nAuthorization: Bearer k-3f09c1\r\n", TENANT)]
fn a_known_key_names_its_tenant(#[case] lines: &str, #[case] expected: &str) {
    let table = two_tenants(1);
    for path in ["/repeat/1", "/jobs/1", "/open/1"] {
        assert_eq!(admitted(&table, path, lines), Ok(tenant(expected)), "{path}");
    }
    let call = request("/v1/lots/9c41d07be2a35f68", lines);
    assert_eq!(admit_job_call(&call, &table, CURRENT), Ok(tenant(expected)));
}

// Guards against DENIED: no request needs a key if the configuration has no tenants.
#[rstest]
#[case::no_key("")]
#[case::some_key("Authorization: Bearer k-3f09c1\r\n")]
fn without_tenants_no_key_is_needed(#[case] lines: &str) {
    let without = table(1, None);
    assert_eq!(admitted(&without, "/repeat/1", lines), Ok(Authenticated::WithoutTenants));
    let call = request("/v1/lots/9c41d07be2a35f68", lines);
    assert_eq!(admit_job_call(&call, &without, CURRENT), Ok(Authenticated::WithoutTenants));
}

// Guards the invariant CONFIG: a key that was removed, moved or restored is evaluated by the current configuration.
#[test]
fn each_request_is_admitted_by_the_current_configuration() {
    let key = bearer(KEY);
    let expected: [(Arc<RouteTable>, Result<Authenticated, AdmissionError>); 9] = [
        (table(1, None), Ok(Authenticated::WithoutTenants)),
        (two_tenants(2), Ok(tenant(TENANT))),
        (
            table(3, Some(&[(TENANT, &["k-new"]), (OTHER_TENANT, &[OTHER_KEY])])),
            Err(AdmissionError::Unauthenticated),
        ),
        (two_tenants(4), Ok(tenant(TENANT))),
        (table(5, Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY, KEY])])), Ok(tenant(OTHER_TENANT))),
        (table(6, Some(&[(TENANT, &[]), (OTHER_TENANT, &[])])), Err(AdmissionError::Unauthenticated)),
        (table(7, Some(&[])), Err(AdmissionError::Unauthenticated)),
        (table(8, Some(&[("renamed", &[KEY])])), Ok(tenant("renamed"))),
        (table(9, None), Ok(Authenticated::WithoutTenants)),
    ];
    for (table, expected) in expected {
        assert_eq!(admitted(&table, "/repeat/1", &key), expected, "version {}", table.version());
    }
}

// Guards the invariant CONFIG: a gateway that missed an update must not finally reject what a newer configuration
// allows.
#[rstest]
#[case::unknown_key("/repeat/1", "Authorization: Bearer k-new\r\n", AdmissionError::Unauthenticated, 401)]
#[case::no_key("/repeat/1", "", AdmissionError::Unauthenticated, 401)]
#[case::unknown_route("/new/1", "Authorization: Bearer k-3f09c1\r\n", AdmissionError::NoRoute, 404)]
fn a_rejection_is_final_only_with_a_current_configuration(
    #[case] path: &str,
    #[case] lines: &str,
    #[case] error: AdmissionError,
    #[case] status: u16,
) {
    let table = two_tenants(1);
    let request = request(path, lines);
    assert_eq!(admit_request(&request, &table, CURRENT), Err(error));
    assert_eq!(error.status(), status);
    assert_eq!(admit_request(&request, &table, OUTDATED), Err(AdmissionError::RetryLater));
    assert_eq!(AdmissionError::RetryLater.status(), 503);
    assert!(AdmissionError::RetryLater.headers().iter().any(|(name, _)| *name == "Retry-After"));
}

// Guards against DENIED: a gateway without contact to the control plane still admits known keys.
#[test]
fn a_gateway_without_contact_admits_known_keys() {
    let table = two_tenants(1);
    let caller = admit_request(&request("/repeat/1", &bearer(KEY)), &table, OUTDATED).unwrap().caller;
    assert_eq!(caller, tenant(TENANT));
    let call = request("/v1/lots/1", &bearer(KEY));
    assert_eq!(admit_job_call(&call, &table, OUTDATED), Ok(tenant(TENANT)));
    assert_eq!(admit_job_call(&request("/v1/lots/1", ""), &table, OUTDATED), Err(AdmissionError::RetryLater));
}

#[rstest]
#[case::no_session(None, OUTDATED)]
#[case::just_received(Some(10_000), CURRENT)]
#[case::two_heartbeats_ago(Some(9_500), CURRENT)]
#[case::unresponsive(Some(9_399), OUTDATED)]
fn a_configuration_may_be_outdated_without_control_messages(
    #[case] last_message_at: Option<u64>,
    #[case] expected: ConfigurationAge,
) {
    assert_eq!(ConfigurationAge::of_feed(last_message_at, 10_000), expected);
}

// Guards against DENIED: calls about jobs of a public route need no key, those of other hosts do.
#[test]
fn calls_about_jobs_need_a_key_unless_their_host_has_a_public_job_route() {
    let table = two_tenants(1);
    let call = |host: &str, lines: &str| request_to(host, "/v1/items/1?instance-id=2", lines);
    assert_eq!(admit_job_call(&call("open.example:80", ""), &table, CURRENT), Ok(Authenticated::Public));
    assert_eq!(admit_job_call(&call("OPEN.example", &bearer(KEY)), &table, CURRENT), Ok(tenant(TENANT)));
    let rejected = Err(AdmissionError::Unauthenticated);
    assert_eq!(admit_job_call(&call("ficu95.example", ""), &table, CURRENT), rejected);
    assert_eq!(admit_job_call(&call("unknown.example", ""), &table, CURRENT), rejected);
}

#[test]
fn a_missing_key_response_names_the_scheme() {
    assert_eq!(AdmissionError::Unauthenticated.headers(), [("WWW-Authenticate", "Bearer")]);
    assert!(AdmissionError::NoRoute.headers().is_empty());
}

// Guards the invariant UNASKED: anyone who reads a key in a log or an error text could use it.
#[test]
fn no_key_appears_in_debug_output() {
    let table = two_tenants(1);
    let request = request("/repeat/1", &bearer(KEY));
    let admitted = admit_request(&request, &table, CURRENT).unwrap();
    let rejected =
        admit_request(&tenants_support::request("/repeat/1", &bearer("k-secret")), &table, CURRENT);
    for text in
        [format!("{admitted:?}"), format!("{rejected:?}"), format!("{table:?}"), format!("{request:?}")]
    {
        assert!(!text.contains(KEY) && !text.contains("k-secret"), "{text}");
    }
}
