//! Changes to a correct run, each of which violates one invariant.
#![allow(dead_code, reason = "each test file uses a part")]

use orchidvalve_testbed::observation::{ItemResult, Observation};
use orchidvalve_testbed::synthetic_text::complete_text;
use serde_json::json;

use super::observed_run::{
    EVENTS, ITEM, ITEM_BODY, JOB, ObservedRun, REWARD, configuration, configuration_send_ended,
    configuration_sent, execution_started, insert, job_read, order_received, result,
};

/// Edits the first observation for which `edit` returns true.
pub fn edit_first(observed: &mut ObservedRun, edit: impl FnMut(&mut Observation) -> bool) {
    let mut edit = edit;
    assert!(
        observed.iter_mut().any(|(_, observation)| edit(observation)),
        "the run has what is to be edited"
    );
}

/// Edits the result in every page that was read.
pub fn edit_result(observed: &mut ObservedRun, apply: impl Fn(&mut ItemResult)) {
    for (_, observation) in observed {
        if let Observation::ResultsRead { results, .. } = observation {
            results.iter_mut().for_each(&apply);
        }
    }
}

pub fn lost_job(observed: &mut ObservedRun) {
    insert(observed, 7_000, Observation::JobMissing { job: JOB.to_owned(), status: 404 });
}

pub fn lost_position(observed: &mut ObservedRun) {
    insert(observed, 7_000, job_read(Vec::new()));
}

pub fn unreadable_job(observed: &mut ObservedRun) {
    insert(observed, 9_500, Observation::JobUnreadable { job: JOB.to_owned() });
}

pub fn request_executed_again(observed: &mut ObservedRun) {
    insert(observed, 4_020, execution_started("a1", 102, "plain-1", "/plain/1", 5, 0));
}

pub fn item_listed_twice(observed: &mut ObservedRun) {
    let results = vec![result(), result()];
    insert(
        observed,
        6_000,
        Observation::ResultsRead { job: JOB.to_owned(), total: 1, after: 0, next: 2, results },
    );
}

pub fn position_changes(observed: &mut ObservedRun) {
    insert(observed, 8_050, job_read(vec![ItemResult { score: Some("other".to_owned()), ..result() }]));
}

pub fn no_signature(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResponseReceived { signature, .. } => signature.take().is_some(),
        _ => false,
    });
}

pub fn foreign_signature(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResponseReceived { signature, .. } => signature.replace("stamp-r".to_owned()).is_some(),
        _ => false,
    });
}

pub fn other_body(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResponseReceived { body, .. } => std::mem::replace(body, 76) == 77,
        _ => false,
    });
}

pub fn failure_reported_as_success(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResponseSent { status, .. } => std::mem::replace(status, 500) == 200,
        _ => false,
    });
}

pub fn response_of_another_request(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResponseReceived { echoed_id, .. } => echoed_id.replace("plain-9".to_owned()).is_some(),
        _ => false,
    });
}

pub fn malformed_response(observed: &mut ObservedRun) {
    insert(observed, 4_045, Observation::MalformedResponseReceived { id: "plain-1".to_owned() });
}

pub fn truncated_text(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.message = complete_text(ITEM, EVENTS - 1));
}

pub fn foreign_text(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.message = complete_text("item-2", EVENTS));
}

pub fn changed_text(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.message.insert(20, 'x'));
}

pub fn wrong_total(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ResultsRead { total, .. } => std::mem::replace(total, 2) == 1,
        _ => false,
    });
}

pub fn foreign_result(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.item = "item-2".to_owned());
}

pub fn early_expiry(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.state = "expired".to_owned());
}

pub fn foreign_score(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.score = Some("stamp-p".to_owned()));
}

pub fn no_score(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.score = None);
}

pub fn early_reward(observed: &mut ObservedRun) {
    let position = observed
        .iter()
        .position(|(_, seen)| matches!(seen, Observation::ExecutionStarted { id, .. } if id == REWARD));
    let (_, reward) = observed.remove(position.unwrap());
    insert(observed, 5_304, reward);
}

pub fn other_item_body(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ItemBody { body, .. } => body.replace(99).is_some(),
        _ => false,
    });
}

pub fn missing_event(observed: &mut ObservedRun) {
    edit_result(observed, |result| {
        let lines: Vec<&str> = result.message.split('\n').collect();
        result.message = [&lines[..2], &lines[3..]].concat().join("\n");
    });
}

pub fn duplicated_event(observed: &mut ObservedRun) {
    edit_result(observed, |result| {
        let lines: Vec<&str> = result.message.split('\n').collect();
        result.message = [&lines[..3], &lines[2..]].concat().join("\n");
    });
}

pub fn unrequested_continuation(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ExecutionStarted { after_event, .. } => std::mem::replace(after_event, 2) == 3,
        _ => false,
    });
}

pub fn missing_version(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.versions = vec![3]);
}

pub fn additional_version(observed: &mut ObservedRun) {
    edit_result(observed, |result| result.versions = vec![2, 3, 4]);
}

pub fn old_version(observed: &mut ObservedRun) {
    for (_, seen) in observed.iter_mut() {
        if let Observation::EventEmitted { version, .. } = seen {
            *version -= 1;
        }
    }
    edit_result(observed, |result| result.versions = vec![1, 2]);
}

pub fn several_versions(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::JobSent(job) => !std::mem::replace(&mut job.single_version, true),
        _ => false,
    });
}

pub fn unknown_request(observed: &mut ObservedRun) {
    insert(observed, 4_200, execution_started("a1", 103, "plain-9", "/plain/1", 5, 0));
}

pub fn other_path(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ExecutionStarted { target, .. } => {
            std::mem::replace(target, "/plain/2".to_owned()) == "/plain/1"
        }
        _ => false,
    });
}

pub fn other_method(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ExecutionStarted { method, .. } => std::mem::replace(method, "PUT".to_owned()) == "POST",
        _ => false,
    });
}

pub fn changed_item_body(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ExecutionStarted { body, id, .. } if id == ITEM => {
            std::mem::replace(body, 1) == ITEM_BODY
        }
        _ => false,
    });
}

pub fn executed_after_cancellation(observed: &mut ObservedRun) {
    insert(observed, 11_200, execution_started("m1", 204, ITEM, "/lots/1", ITEM_BODY, 0));
}

pub fn executed_after_rejection(observed: &mut ObservedRun) {
    insert(observed, 4_100, execution_started("a1", 104, "plain-2", "/plain/1", 5, 0));
}

pub fn rejected_after_execution(observed: &mut ObservedRun) {
    insert(observed, 4_055, execution_started("a1", 105, "plain-2", "/plain/1", 5, 0));
}

pub fn rejected_job_executed(observed: &mut ObservedRun) {
    observed.retain(|(at, _)| *at < 5_500);
    edit_first(observed, |seen| match seen {
        Observation::JobSendEnded { status, .. } => status.replace(503).is_some(),
        _ => false,
    });
}

pub fn foreign_service(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ExecutionStarted { server, .. } => std::mem::replace(server, "m1".to_owned()) == "a1",
        _ => false,
    });
}

pub fn moved_route(observed: &mut ObservedRun) {
    let mut document = configuration(3);
    document["routes"][0]["service"] = json!("models");
    insert(
        observed,
        1_100,
        Observation::ConfigurationSent { change: 3, version: 3, base: 1, document, valid: true },
    );
    insert(observed, 1_200, configuration_send_ended(3, 200));
    observed.retain(|(_, seen)| !matches!(seen, Observation::FinalConfigurationRead { .. }));
}

pub fn invalid_acknowledged(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::ConfigurationSent { valid, .. } => std::mem::replace(valid, false),
        _ => false,
    });
}

pub fn two_changes_with_the_same_base(observed: &mut ObservedRun) {
    insert(observed, 1_005, configuration_sent(2, 0, true));
    insert(observed, 1_020, configuration_send_ended(2, 200));
    edit_first(observed, |seen| match seen {
        Observation::FinalConfigurationRead { document } => document.replace(configuration(2)).is_some(),
        _ => false,
    });
}

pub fn older_read_back(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(4, 1, true));
    insert(observed, 6_010, configuration_send_ended(4, 200));
}

pub fn rejected_change_read_back(observed: &mut ObservedRun) {
    // Another change with the same base gives the rejection its reason.
    insert(observed, 5_990, configuration_sent(5, 1, true));
    insert(observed, 6_000, configuration_sent(4, 1, true));
    insert(observed, 6_010, configuration_send_ended(4, 412));
    edit_first(observed, |seen| match seen {
        Observation::FinalConfigurationRead { document } => document.replace(configuration(4)).is_some(),
        _ => false,
    });
}

/// Returns a change whose number differs from its version, so that several changes can have the same version.
pub fn change_sent(change: u64, version: u64, base: u64) -> Observation {
    Observation::ConfigurationSent { change, version, base, document: configuration(version), valid: true }
}

pub fn response_lost(change: u64, status: u16) -> Observation {
    Observation::ConfigurationResponseLost { change, status }
}

pub fn configuration_observed(requested_at: u64, version: u64) -> Observation {
    Observation::ConfigurationObserved { requested_at, version }
}

pub fn read_back(observed: &mut ObservedRun, version: u64) {
    edit_first(observed, |seen| match seen {
        Observation::FinalConfigurationRead { document } => {
            document.replace(configuration(version)).is_some()
        }
        _ => false,
    });
}

pub fn accepted_then_rejected(observed: &mut ObservedRun) {
    // Another change with the same base, so that a rejection alone could be justified.
    insert(observed, 5_990, change_sent(9, 3, 1));
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, response_lost(2, 200));
    insert(observed, 6_200, configuration_send_ended(2, 412));
    read_back(observed, 2);
}

pub fn rejected_then_accepted(observed: &mut ObservedRun) {
    insert(observed, 5_990, change_sent(9, 3, 1));
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, response_lost(2, 412));
    insert(observed, 6_200, configuration_send_ended(2, 200));
    read_back(observed, 2);
}

pub fn lost_responses_with_the_same_base(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_001, configuration_sent(3, 1, true));
    insert(observed, 6_010, response_lost(2, 200));
    insert(observed, 6_020, response_lost(3, 200));
    read_back(observed, 3);
}

pub fn two_changes_with_the_same_version(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(3, 1, true));
    insert(observed, 6_010, configuration_send_ended(3, 200));
    insert(observed, 6_020, change_sent(9, 3, 2));
    insert(observed, 6_030, Observation::ConfigurationSendEnded { change: 9, status: Some(200) });
    read_back(observed, 3);
}

pub fn rejected_without_reason(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, configuration_send_ended(2, 412));
}

pub fn valid_change_gets_404(observed: &mut ObservedRun) {
    // Another change with the same base, so that a rejection alone could be justified.
    insert(observed, 5_990, change_sent(9, 3, 1));
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, configuration_send_ended(2, 404));
}

pub fn outdated_version_read(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, configuration_send_ended(2, 200));
    insert(observed, 6_020, configuration_observed(6_011, 1));
    read_back(observed, 2);
}

pub fn other_content_read_back_after_lost_response(observed: &mut ObservedRun) {
    insert(observed, 6_000, change_sent(8, 2, 1));
    let mut document = configuration(2);
    document["routes"][0]["timeout-ms"] = json!(7);
    insert(
        observed,
        6_001,
        Observation::ConfigurationSent { change: 9, version: 2, base: 1, document, valid: true },
    );
    insert(observed, 6_010, response_lost(9, 200));
    read_back(observed, 2);
}

/// A valid change gets no conclusive response within the time bound of a stable control plane, although it is
/// retried.
pub fn never_acknowledged(observed: &mut ObservedRun) {
    insert(observed, 4_020, configuration_sent(2, 1, true));
    insert(observed, 7_000, response_lost(2, 503));
}

pub fn remaining_body_with_other_bytes(observed: &mut ObservedRun) {
    insert(observed, 4_055, Observation::RemainingBodyReceived { id: "plain-2".to_owned(), body: 6 });
}

pub fn malformed_request_at_a_server(observed: &mut ObservedRun) {
    insert(observed, 4_055, Observation::MalformedRequestReceived { reason: "token".to_owned() });
}

pub fn changed_read_back(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::FinalConfigurationRead { document: Some(document) } => {
            document["routes"][0]["service"] = json!("models");
            true
        }
        _ => false,
    });
}

pub fn nothing_read_back(observed: &mut ObservedRun) {
    edit_first(observed, |seen| match seen {
        Observation::FinalConfigurationRead { document } => document.take().is_some(),
        _ => false,
    });
}

pub fn shared_token(observed: &mut ObservedRun) {
    insert(observed, 8_900, order_received("node-2", 1));
}

pub fn lower_token(observed: &mut ObservedRun) {
    insert(observed, 9_050, order_received("node-1", 1));
}

pub fn leaders_alternate_within_a_lease(observed: &mut ObservedRun) {
    insert(observed, 9_010, order_received("node-2", 3));
    insert(observed, 9_020, order_received("node-1", 4));
}

pub fn lost_connection(at: u64, stopped: u64) -> impl Fn(&mut ObservedRun) {
    move |observed| {
        insert(observed, stopped, Observation::GatewayStopping { gateway: "door-1".to_owned() });
        insert(
            observed,
            stopped,
            Observation::Disruption { description: "a stop".to_owned(), planned: true },
        );
        insert(observed, at, Observation::RequestFailed { id: "plain-2".to_owned(), connection_lost: true });
    }
}

pub fn connection_lost_by_a_stop(observed: &mut ObservedRun) {
    observed.retain(|(_, seen)| !matches!(seen, Observation::ResponseReceived { id, .. } if id == "plain-2"));
    lost_connection(4_300, 4_040)(observed);
}

pub fn execution_at_a_drained_server(observed: &mut ObservedRun) {
    insert(observed, 100, Observation::ServerDraining { server: "m2".to_owned() });
}
