//! Generators for all messages of this crate and their parts.

use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{
    AssignedGroup, AssignedItem, AssignedJob, ControlMessage, FeedPosition, GatewayList, GatewayMessage,
    Handshake, ItemFailures, ItemOutcome, ItemState, ModelVersionChange, Role, ScorerRequest, ServerEntry,
    ServerTableUpdate, ServiceLoad, SessionMessage, StoreHealth, StoreMessage, StoreResponse, TableVersion,
    TenantRequests, WindowUsage,
};

use crate::{generate_enum, generate_struct};

generate_struct!(MemberId { address, disk });
generate_enum!(Role { Control, Gateway, Store });
generate_struct!(Handshake { version, role, name, zone, member, incarnation, cpu_share });
generate_struct!(FeedPosition { applied, servers });
generate_struct!(TableVersion { term, number });
generate_struct!(StoreHealth { disk_failing, used_bytes, capacity_bytes, draining });
generate_enum!(SessionMessage {
    Handshake { handshake, position },
    Heartbeat { position, health },
    LearnerCaughtUp { partition, epoch, member },
    Goodbye,
    ReportModelUsage { model, single_version, lag },
    ReportUsage { windows },
    ReportLoad { loads },
});
generate_struct!(WindowUsage { window, counts });
generate_struct!(TenantRequests { tenant, requests });
generate_struct!(ServiceLoad { service, running, waiting });
generate_enum!(ControlMessage {
    Welcome { controls },
    Redirect { controls },
    Heartbeat,
    Snapshot { sequence, state },
    Changes { first, changes },
    Servers(update),
    Gateways(gateways),
    FirstViewVote { message },
});
generate_struct!(GatewayList { version, gateways });
generate_struct!(ServerEntry { instance, service, address, zone, slots, draining, models });
generate_struct!(ModelVersionChange { server, model, version });
generate_enum!(ServerTableUpdate {
    Snapshot { version, servers },
    Delta { from, version, versions, changed, removed },
});
generate_struct!(ScorerRequest { id, hostname, path, body });
generate_struct!(AssignedItem { id, path, headers, body, token_usage, scorer });
generate_struct!(AssignedGroup { index, items });
generate_struct!(AssignedJob {
    partition,
    epoch,
    job,
    hostname,
    path,
    model,
    min_weights_version,
    age_ms,
    tenant
});
generate_enum!(ItemState { Completed, Expired });
generate_struct!(ItemFailures { item, count });
generate_struct!(ItemOutcome { item, state, message, weight_versions, score });
generate_enum!(GatewayMessage {
    Handshake(handshake),
    Heartbeat { generation_capacity },
    SubmitJob { request_id, partition, id, job, received_at_ms },
    ReadResults { request_id, partition, id, after, wait_ms, tenant },
    ReadItemBody { request_id, partition, id, item, tenant },
    EndJob { request_id, partition, id, tenant },
    ReportOutcomes { partition, job, outcomes },
    ReturnGroups { partition, epoch, job, groups },
    ReportFailures { partition, job, failures },
});
generate_enum!(StoreMessage {
    Heartbeat,
    Response { request_id, response },
    AssignGroups { job, groups },
    CancelJob { partition, job },
    AcknowledgeOutcomes { partition, job, items },
    KnownFailures { partition, job, failures },
});
generate_enum!(StoreResponse {
    Accepted,
    Rejected { retry_after_ms },
    OutcomeUnknown,
    NotFound,
    Unavailable,
    Results { total, next, outcomes },
    Body(bytes),
    Ended,
    OtherTenant,
});
