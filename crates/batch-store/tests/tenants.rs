//! Jobs of tenants: who may read and end them, and how gateways learn the tenant.

mod support;

use orchidvalve_batch::{Job, JobOrigin};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::messages::{GatewayMessage, StoreResponse};
use rstest::rstest;
use support::{REMOVED_TENANT, World, member, result_items};

const OWNER: &str = "cuka620";
const OTHER: &str = "seje681";
/// Numbers of the calls made here start here; those of the support module start at 1.
const FIRST_CALL: u64 = 1_000;

fn job_of(tenant: Option<&str>) -> Vec<u8> {
    let item = |number| {
        format!(
            r#"{{"instance-id":"j-{number}","path":"/p","headers":{{}},"body":"aGVsbG8=","token-usage":1}}"#
        )
    };
    let body = format!(r#"{{"requests":[{},{}]}}"#, item(0), item(1));
    let origin = JobOrigin { id: "j", hostname: "host", route_prefix: "/jobs", tenant };
    encode(&Job::parse(body.as_bytes(), &origin).unwrap())
}

/// A call about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read,
    Body,
    End,
}

struct Stores {
    world: World,
    last_call: u64,
}

impl Stores {
    fn with_job(tenant: Option<&str>) -> Stores {
        let mut world = World::placed(3, 2);
        world.gateway_connected(1, 1);
        let call = world.submit(1, 0, "j", job_of(tenant));
        world.run();
        assert_eq!(world.response(1, call), Some(&StoreResponse::Accepted));
        Stores { world, last_call: FIRST_CALL }
    }

    fn call(&mut self, index: usize, id: &str, call: Call, tenant: Option<&str>) -> Option<StoreResponse> {
        self.last_call += 1;
        let (request_id, partition, id) = (self.last_call, 0, id.to_owned());
        let tenant = tenant.map(str::to_owned);
        let message = match call {
            Call::Read => {
                GatewayMessage::ReadResults { request_id, partition, id, after: 0, wait_ms: 0, tenant }
            }
            Call::Body => {
                GatewayMessage::ReadItemBody { request_id, partition, id, item: "j-0".to_owned(), tenant }
            }
            Call::End => GatewayMessage::EndJob { request_id, partition, id, tenant },
        };
        self.world.send_to_store(1, index, message);
        self.world.run();
        self.world.response(1, request_id).cloned()
    }
}

// Guards against UNASKED: a job could be read and ended with the key of another tenant.
#[rstest]
fn a_job_is_closed_to_callers_of_another_tenant(
    #[values(Call::Read, Call::Body, Call::End)] call: Call,
    #[values(0, 1, 2)] index: usize,
) {
    let mut stores = Stores::with_job(Some(OWNER));
    assert_eq!(stores.call(index, "j", call, Some(OTHER)), Some(StoreResponse::OtherTenant));
    // The job continues, and the calls of its owner succeed.
    let body = stores.call(index, "j", Call::Body, Some(OWNER));
    assert_eq!(body, Some(StoreResponse::Body(b"hello".to_vec())));
    assert!(matches!(stores.call(0, "j", Call::Read, Some(OWNER)), Some(StoreResponse::Results { .. })));
    assert_eq!(stores.call(0, "j", Call::End, Some(OWNER)), Some(StoreResponse::Ended));
}

// Guards against DENIED: jobs or callers have no tenant if the configuration has none or the route is public.
#[rstest]
#[case::job_without(None, Some(OTHER))]
#[case::caller_without(Some(OWNER), None)]
#[case::both_without(None, None)]
fn a_job_or_caller_without_a_tenant_is_allowed(#[case] owner: Option<&str>, #[case] caller: Option<&str>) {
    let mut stores = Stores::with_job(owner);
    assert_eq!(stores.call(1, "j", Call::Body, caller), Some(StoreResponse::Body(b"hello".to_vec())));
    assert!(matches!(stores.call(1, "j", Call::Read, caller), Some(StoreResponse::Results { .. })));
    assert_eq!(stores.call(0, "j", Call::End, caller), Some(StoreResponse::Ended));
}

// Guards against DENIED: a store that does not know a job does not know its tenant either.
#[rstest]
fn an_unknown_job_is_not_found_for_any_caller(
    #[values(Call::Read, Call::Body, Call::End)] call: Call,
    #[values(Some(OWNER), Some(OTHER), None)] caller: Option<&str>,
) {
    let mut stores = Stores::with_job(Some(OWNER));
    assert_eq!(stores.call(0, "unknown", call, caller), Some(StoreResponse::NotFound));
}

// Guards against UNASKED: completed, ended and recovered jobs keep their tenant.
#[rstest]
#[case::complete(false)]
#[case::ended(true)]
fn a_job_keeps_its_tenant(#[case] ended: bool) {
    let mut stores = Stores::with_job(Some(OWNER));
    if ended {
        assert_eq!(stores.call(0, "j", Call::End, Some(OWNER)), Some(StoreResponse::Ended));
    } else {
        stores.world.report(1, 0, "j", &["j-0", "j-1"]);
        stores.world.run();
    }
    assert_eq!(stores.call(0, "j", Call::Read, Some(OTHER)), Some(StoreResponse::OtherTenant));
    for index in 0..3 {
        stores.world.restart(index);
    }
    stores.world.place(1, &[member(1), member(2), member(3)], &[]);
    stores.world.gateway_connected(1, 2);
    stores.world.run();
    assert_eq!(stores.call(0, "j", Call::Read, Some(OTHER)), Some(StoreResponse::OtherTenant));
    assert_eq!(stores.call(0, "j", Call::End, Some(OTHER)), Some(StoreResponse::OtherTenant));
    let results = stores.call(0, "j", Call::Read, Some(OWNER));
    assert_eq!(result_items(results.as_ref()).len(), if ended { 0 } else { 2 });
}

// Guards against LOST and TWICE: a job that is submitted again, even with another key, is accepted only once.
#[test]
fn a_resubmitted_job_is_accepted_once_and_keeps_its_tenant() {
    let mut stores = Stores::with_job(Some(OWNER));
    for tenant in [Some(OWNER), Some(OTHER), None] {
        let again = stores.world.submit(1, 0, "j", job_of(tenant));
        stores.world.run();
        assert_eq!(stores.world.response(1, again), Some(&StoreResponse::Accepted));
    }
    assert_eq!(stores.call(0, "j", Call::Read, Some(OTHER)), Some(StoreResponse::OtherTenant));
    assert!(matches!(stores.call(0, "j", Call::Read, Some(OWNER)), Some(StoreResponse::Results { .. })));
}

// Guards against UNASKED: servers received items without the tenant of their job.
#[rstest]
#[case::of_a_tenant(Some(OWNER))]
#[case::of_none(None)]
fn assigned_groups_carry_the_tenant_of_their_job(#[case] tenant: Option<&str>) {
    let stores = Stores::with_job(tenant);
    let assigned = &stores.world.gateways[&1].assigned;
    assert!(!assigned.is_empty());
    assert!(assigned.iter().all(|(job, _)| job.tenant.as_deref() == tenant));
}

// Guards against LOST (incident keys-and-duties): after a rename of its tenant, a trainer could not read or end its
// jobs.
#[rstest]
fn a_job_of_a_removed_tenant_is_open_to_others(#[values(Call::Read, Call::Body, Call::End)] call: Call) {
    let mut stores = Stores::with_job(Some(REMOVED_TENANT));
    let response = stores.call(0, "j", call, Some(OTHER));
    assert!(response.is_some() && response != Some(StoreResponse::OtherTenant), "{response:?}");
}
