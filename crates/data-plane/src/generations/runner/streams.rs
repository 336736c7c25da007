//! Attempts of items, and the streams that they return.

use orchidvalve_scheduler::GenerationId;

use super::Runner;
use crate::generations::attempt::Attempt;
use crate::generations::interface::{AttemptId, AttemptOutcome, ItemResult, RunnerCommand, ServerKey};
use crate::generations::item::{ItemAttempt, Phase, Scoring};
use crate::generations::text::{EventError, Text};

impl Runner {
    /// Handles the head of a 2xx response; `version` is the version of the weights that it states.
    pub fn stream_started(&mut self, id: AttemptId, version: Option<u64>, out: &mut Vec<RunnerCommand>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        self.servers.accepted(attempt.server);
        let Some(version) = version else { return };
        attempt.version = Some(version);
        if let Some(model) = attempt.model {
            self.servers.observe_version(attempt.server, model, version);
        }
        let too_old = attempt.rule.min_version.is_some_and(|min_version| version < min_version);
        let mixed =
            attempt.rule.single && attempt.text.single_version().is_some_and(|single| single != version);
        if too_old || mixed {
            self.abort(id, out);
        }
    }

    /// Handles an event; `version` is the version of the weights that it states, if any.
    pub fn event_received(
        &mut self,
        now: u64,
        id: AttemptId,
        event_id: u64,
        data: &[u8],
        version: Option<u64>,
        out: &mut Vec<RunnerCommand>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if let Some(version) = version {
            attempt.version = Some(version);
            if let Some(model) = attempt.model {
                self.servers.observe_version(attempt.server, model, version);
            }
        }
        match attempt.text.push(event_id, data, attempt.version, attempt.rule) {
            Ok(()) => self.record_event(now, id),
            Err(EventError::OutOfOrder) => {
                let server = attempt.server;
                self.server_failed(now, server);
                self.abort(id, out);
            }
            Err(EventError::WrongVersion) => {
                attempt.text = Text::default();
                self.abort(id, out);
            }
            Err(EventError::MixedVersions) => self.abort(id, out),
        }
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: u64,
        id: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<RunnerCommand>,
    ) {
        let Some(mut attempt) = self.attempts.remove(&id) else { return };
        self.needs_dispatch = true;
        self.record_pace(&attempt);
        match outcome {
            AttemptOutcome::Complete if !attempt.text.is_empty() => {
                return self.completed(now, id, attempt, out);
            }
            // This attempt was to resume the text and added nothing, so the text was already complete.
            AttemptOutcome::Closed if !attempt.text.is_empty() && attempt.events == 0 => {
                return self.completed(now, id, attempt, out);
            }
            AttemptOutcome::Closed if !attempt.text.is_empty() => {}
            AttemptOutcome::Status { code: 422, .. } => {
                self.detach(id, attempt.generation);
                return self.report(attempt.generation, ItemResult::Expired, out);
            }
            AttemptOutcome::Status { code: 500, .. } => {
                self.server_failed(now, attempt.server);
                self.item_failed(attempt.generation, out);
            }
            AttemptOutcome::Status { code: 421, version, retry_after_ms, .. } => {
                if !self.version_mismatch(&attempt, version) {
                    self.servers.rejected(attempt.server, now, retry_after_ms);
                }
            }
            AttemptOutcome::Status { code: 429 | 503, retry_after_ms, .. } => {
                self.servers.rejected(attempt.server, now, retry_after_ms);
            }
            AttemptOutcome::Complete
            | AttemptOutcome::Closed
            | AttemptOutcome::Status { .. }
            | AttemptOutcome::Broken => {
                self.server_failed(now, attempt.server);
            }
            AttemptOutcome::ConnectFailed => self.server_unresponsive(now, attempt.server, out),
            AttemptOutcome::Stalled => {
                self.server_unresponsive(now, attempt.server, out);
                if let Some(item) = self.item(attempt.generation) {
                    item.stalls += 1;
                }
            }
        }
        let text = std::mem::take(&mut attempt.text);
        self.retry_or_expire(id, &attempt, text, out);
    }

    /// Begins an attempt of an item at a server, resuming from the item's text.
    pub(super) fn begin_attempt(
        &mut self,
        now: u64,
        generation: GenerationId,
        server: ServerKey,
        is_hedge: bool,
        out: &mut Vec<RunnerCommand>,
    ) {
        let id = self.new_attempt();
        let Some(group) = self.groups.get_mut(&generation.group) else { return };
        let rule = group.rule();
        let model = group.requirements.model;
        let version = self.servers.version(server, model);
        let item = &mut group.items[generation.index as usize];
        let mut text = std::mem::take(&mut item.resumable_text);
        if is_hedge
            && let Some(other) = item.attempts.first().and_then(|other| self.attempts.get(&other.id))
            && other.text.last_id() > text.last_id()
        {
            text = other.text.clone();
        }
        if rule.single && text.single_version().is_some_and(|single| Some(single) != version) {
            text = Text::default();
        }
        item.attempts.push(ItemAttempt { id, server });
        out.push(RunnerCommand::Attempt {
            attempt: id,
            server,
            item: item.item.clone(),
            route: group.route.clone(),
            last_event_id: text.last_id(),
            expect_version: version.filter(|_| rule.single || rule.min_version.is_some()),
            deadline_ms: group.expires_at.saturating_sub(now),
        });
        let attempt = Attempt {
            generation,
            server,
            model,
            rule,
            text,
            version,
            sent_at: now,
            first_event_at: None,
            last_event_at: None,
            check_at: u64::MAX,
            events: 0,
        };
        self.attempts.insert(id, attempt);
        self.schedule_stall_check(id);
    }

    /// Cancels an attempt that isn't needed any more. Its text is kept in case the item still needs it.
    pub(super) fn cancel_attempt(
        &mut self,
        generation: GenerationId,
        server: ServerKey,
        out: &mut Vec<RunnerCommand>,
    ) {
        let id = self.item(generation).and_then(|item| item.take_attempt_at(server));
        let Some(id) = id else { return };
        out.push(RunnerCommand::CancelAttempt { attempt: id });
        if let Some(attempt) = self.attempts.remove(&id) {
            self.record_pace(&attempt);
            if let Some(item) = self.item(generation).filter(|item| matches!(item.phase, Phase::Generating)) {
                item.keep_longer(attempt.text);
            }
        }
    }

    /// Discards the resumable texts whose only version is no longer served by any server.
    pub(super) fn discard_unservable_texts(&mut self) {
        if !self.servers.take_version_lost() {
            return;
        }
        for group in self.groups.values_mut().filter(|group| group.route.single_version) {
            let Some(model) = group.requirements.model else { continue };
            for item in &mut group.items {
                let version = item.resumable_text.single_version();
                if version
                    .is_some_and(|version| !self.servers.any_serves(group.requirements.pool, model, version))
                {
                    item.resumable_text = Text::default();
                }
            }
        }
    }

    /// Handles a complete text: cancels the item's other attempt and queues its reward call.
    fn completed(&mut self, now: u64, id: AttemptId, attempt: Attempt, out: &mut Vec<RunnerCommand>) {
        let generation = attempt.generation;
        self.servers.succeeded(attempt.server);
        self.refresh_limit(attempt.server);
        self.detach(id, generation);
        let Some(item) = self.item(generation) else { return };
        item.resumable_text = Text::default();
        if item.item.scorer.is_none() {
            let result = attempt.text.into_result(None);
            self.finish_attempt(now, generation, attempt.server, out);
            return self.report(generation, result, out);
        }
        item.phase = Phase::Scoring(Box::new(Scoring::new(attempt.text)));
        self.finish_attempt(now, generation, attempt.server, out);
        self.retry_reward(generation);
    }

    fn finish_attempt(
        &mut self,
        now: u64,
        generation: GenerationId,
        server: ServerKey,
        out: &mut Vec<RunnerCommand>,
    ) {
        self.decide(now, out, |scheduler, _, decisions| {
            scheduler.finished(now, generation, server, decisions);
        });
    }

    /// Ends an attempt whose stream cannot be used any further.
    fn abort(&mut self, id: AttemptId, out: &mut Vec<RunnerCommand>) {
        let Some(mut attempt) = self.attempts.remove(&id) else { return };
        out.push(RunnerCommand::CancelAttempt { attempt: id });
        self.needs_dispatch = true;
        let text = std::mem::take(&mut attempt.text);
        self.retry_or_expire(id, &attempt, text, out);
    }

    /// Keeps the text of an ended attempt for the next one, or expires the item if it has failed too often.
    fn retry_or_expire(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        text: Text,
        out: &mut Vec<RunnerCommand>,
    ) {
        self.detach(id, attempt.generation);
        self.scheduler.failed(attempt.generation, attempt.server);
        let Some(group) = self.groups.get_mut(&attempt.generation.group) else { return };
        let max_attempts = group.route.max_attempts;
        let resumable = group.requirements.allow_resuming(&text, attempt.rule, &self.servers);
        let text = if resumable { text } else { Text::default() };
        let item = &mut group.items[attempt.generation.index as usize];
        item.keep_longer(text);
        if item.attempts.is_empty() && max_attempts > 0 && item.failures >= max_attempts {
            self.report(attempt.generation, ItemResult::Expired, out);
        }
    }

    /// Counts and reports a response with status 500 to an item.
    fn item_failed(&mut self, generation: GenerationId, out: &mut Vec<RunnerCommand>) {
        let Some(group) = self.groups.get_mut(&generation.group) else { return };
        let Some(state) = group.items.get_mut(generation.index as usize) else { return };
        state.failures += 1;
        let (item, failures) = (state.item.id.clone(), state.failures);
        out.push(RunnerCommand::ReportFailures { group: group.id.clone(), item, failures });
    }

    /// Records the number of responses with status 500 to an item, including those received by other gateways. The item
    /// expires when the number reaches the route's limit.
    pub fn failures_reported(&mut self, job: &str, item: &str, failures: u32, out: &mut Vec<RunnerCommand>) {
        for key in self.jobs.get(job).cloned().unwrap_or_default() {
            let Some(group) = self.groups.get_mut(&key) else { continue };
            let max_attempts = group.route.max_attempts;
            let Some(index) = group.items.iter().position(|state| state.item.id == item) else { continue };
            let state = &mut group.items[index];
            state.failures = state.failures.max(failures);
            let is_over = max_attempts > 0 && state.failures >= max_attempts;
            if is_over && matches!(state.phase, Phase::Generating) {
                let generation = GenerationId { group: key, index: index as u32 };
                self.report(generation, ItemResult::Expired, out);
            }
        }
    }

    fn detach(&mut self, id: AttemptId, generation: GenerationId) {
        if let Some(item) = self.item(generation) {
            item.remove_attempt(id);
        }
    }

    /// Records that the server doesn't serve the expected version. Returns whether it stated a different one.
    fn version_mismatch(&mut self, attempt: &Attempt, version: Option<u64>) -> bool {
        let Some(model) = attempt.model else { return false };
        let known = self.servers.version(attempt.server, Some(model));
        match version {
            Some(version) => self.servers.observe_version(attempt.server, model, version),
            None => self.servers.invalidate_version(attempt.server, model),
        }
        version.is_some() && version != known
    }

    pub(super) fn server_failed(&mut self, now: u64, server: ServerKey) {
        self.servers.failed(server, now);
        self.refresh_limit(server);
    }

    fn server_unresponsive(&mut self, now: u64, server: ServerKey, out: &mut Vec<RunnerCommand>) {
        self.server_failed(now, server);
        out.push(RunnerCommand::CloseIdleConnections { server });
    }
}
