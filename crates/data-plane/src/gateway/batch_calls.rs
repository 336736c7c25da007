//! Clients' calls about batch jobs: submission, results, bodies of items, and the end of a job.

use orchidvalve_batch::results::write_results_page;
use orchidvalve_batch::{ItemResult as WrittenResult, Job, JobOrigin};
use orchidvalve_configuration::RouteTable;
use orchidvalve_control_state::ModelUsage;
use orchidvalve_http::Request;
use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::frames;
use orchidvalve_protocol::messages::{ItemOutcome, SessionMessage};

use super::Gateway;
use crate::admission::{Admitted, admit_job_call};
use crate::batch_calls::{BatchCall, BatchResponse, CallId, CallResponse, ITEMS_PREFIX, JOBS_PREFIX};
use crate::clients::Busy;
use crate::text_compression::decompress;

/// The version of the weights with which servers start.
const FIRST_VERSION: u64 = 1;

impl Gateway {
    /// Parses the batch job in a request and begins its submission to the store nodes.
    pub(super) fn begin_submission(
        &mut self,
        connection: ConnectionId,
        request: &Request,
        routes: &RouteTable,
        admitted: &Admitted,
    ) {
        let route = &routes.routes()[admitted.route];
        let tenant = admitted.caller.tenant();
        if request.method != "POST" {
            self.respond(connection, 405, &[], b"batch jobs are submitted by POST");
            return;
        }
        let Some(id) = request.headers.get("attempt-id") else {
            self.respond(connection, 400, &[], b"Attempt-Id: missing; give the batch job's id");
            return;
        };
        let path = request.path();
        let origin = JobOrigin { id, hostname: &route.hostname, route_prefix: path, tenant };
        match Job::parse(&request.body, &origin) {
            Ok(job) => {
                self.report_model_use(&job, route.single_version);
                let encoded = frames::encode(&job);
                log::info!(
                    "jobs: received job {id}: step {}, {} items, {:?} from version {}",
                    job.step.unwrap_or(0),
                    job.len(),
                    job.model.as_deref().unwrap_or("no model"),
                    job.min_weights_version
                );
                let call =
                    BatchCall::Submit { job: encoded, received_at_ms: self.clock.wall_ms_at(self.now) };
                let call = self.calls.begin(self.now, id, tenant, call);
                self.frontend.clients.assign(connection, Busy::Job(call));
            }
            Err(error) => {
                log::warn!("jobs: job {id} rejected: {error}");
                self.respond(connection, error.status(), &[], error.to_string().as_bytes());
            }
        }
    }

    /// Reports to the control node how a job uses its model, unless the control state already covers that use.
    fn report_model_use(&mut self, job: &Job, single_version: bool) {
        let Some(model) = &job.model else { return };
        let state = self.feed.replica().state();
        let latest = state.versions().get(model).copied().unwrap_or(FIRST_VERSION);
        let allows_all = job.min_weights_version <= FIRST_VERSION;
        let lag = (!allows_all).then(|| latest.saturating_sub(job.min_weights_version));
        let is_smaller_lag = |usage: &ModelUsage| match (usage.lag, lag) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(known), Some(lag)) => lag < known,
        };
        let known = state.models().get(model);
        if known.is_none_or(|known| is_smaller_lag(known) || (single_version && !known.single_version)) {
            let message = SessionMessage::ReportModelUsage { model: model.clone(), single_version, lag };
            self.feed.send(&mut self.network, &message);
        }
    }

    /// Begins a call about a submitted job: its results, an item's body, or its end.
    pub(super) fn begin_job_call(&mut self, connection: ConnectionId, request: Request) {
        let Some(routes) = self.routes.clone() else {
            return self.queue_until_ready(connection, request);
        };
        let caller = match admit_job_call(&request, &routes, self.configuration_age()) {
            Ok(caller) => caller,
            Err(error) => return self.respond_not_admitted(connection, error),
        };
        let path = request.path();
        let wait_ms = request.headers.number("wait-ms").unwrap_or(0).min(10_000) as u32;
        let after = request.query("after-seq").and_then(|number| number.parse().ok()).unwrap_or(0);
        let call = match (
            request.method.as_str(),
            path.strip_prefix(JOBS_PREFIX),
            path.strip_prefix(ITEMS_PREFIX),
        ) {
            ("GET", Some(id), _) => Some((id, BatchCall::Read { after, wait_ms })),
            ("DELETE", Some(id), _) => Some((id, BatchCall::End)),
            ("GET", _, Some(id)) => {
                let item = request.query("instance-id").unwrap_or_default().to_owned();
                Some((id, BatchCall::ItemBody { item }))
            }
            _ => None,
        };
        match call {
            Some((id, call)) => {
                let call = self.calls.begin(self.now, id, caller.tenant(), call);
                self.frontend.clients.assign(connection, Busy::Job(call));
            }
            None => self.respond(connection, 405, &[], b"this path has other methods"),
        }
    }

    /// Sends the client of a call its final response.
    pub(super) fn respond_to_call(&mut self, call: CallId, response: &BatchResponse) {
        let Some(connection) = self.frontend.clients.connection_of(Busy::Job(call)) else { return };
        match response {
            BatchResponse::Accepted => self.respond(connection, 202, &[], b""),
            BatchResponse::Rejected { retry_after_ms, .. } => {
                let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
                self.respond(connection, 503, &[("Retry-After", &seconds)], b"");
            }
            BatchResponse::OutcomeUnknown => self.respond(connection, 504, &[], b""),
            BatchResponse::OtherTenant => {
                self.respond(connection, 403, &[], b"the batch job belongs to another tenant");
            }
            BatchResponse::NotFound => self.respond(connection, 404, &[], b""),
            BatchResponse::Unavailable => self.respond(connection, 503, &[], b""),
            BatchResponse::Results { total, after, outcomes } => {
                self.respond_with_results(connection, u64::from(*total), *after, outcomes);
            }
            BatchResponse::Body(body) => self.respond(connection, 200, &[], body),
            BatchResponse::Ended => {
                let CallId(number) = call;
                log::info!("jobs: call {number} ended its batch job");
                self.respond(connection, 200, &[], b"");
            }
        }
        self.frontend.responded.push(connection);
    }

    fn respond_with_results(
        &mut self,
        connection: ConnectionId,
        total: u64,
        after: u64,
        outcomes: &[ItemOutcome],
    ) {
        match outcomes.iter().map(to_written_result).collect::<Option<Vec<WrittenResult>>>() {
            Some(results) => {
                let mut body = Vec::new();
                write_results_page(&mut body, total, after, &results);
                self.respond(connection, 200, &[("Content-Type", "application/json")], &body);
            }
            None => {
                log::error!("jobs: store node returned a corrupted text; check its disk and its version");
                self.respond(connection, 503, &[], b"");
            }
        }
    }

    /// Sends the attempts that are due to store nodes, and the final responses of expired calls to clients.
    pub(super) fn tick_calls(&mut self) {
        if self.calls.pending() == 0 {
            return;
        }
        let (mut outgoing, mut responses) = (Vec::new(), Vec::new());
        let (stores, same_zone) = (&self.stores.links, &self.stores.same_zone);
        let is_up = |store| stores.is_up(store);
        let is_same_zone = |store| same_zone.contains(&store);
        let state = self.feed.replica().state();
        self.calls.tick(self.now, state, &is_up, &is_same_zone, &mut outgoing, &mut responses);
        self.send_to_stores(&outgoing);
        for CallResponse { call, response } in responses {
            self.respond_to_call(call, &response);
        }
    }
}

/// Converts an outcome for the results page; returns `None` if its text is corrupted.
fn to_written_result(outcome: &ItemOutcome) -> Option<WrittenResult> {
    Some(WrittenResult {
        id: outcome.item.as_str().into(),
        state: outcome.state,
        message: decompress(&outcome.message)?,
        weight_versions: outcome.weight_versions.clone(),
        score: outcome.score.as_deref().map(Into::into),
    })
}
