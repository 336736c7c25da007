//! Announcement of versions: after the training of each step, a new version is announced until the system
//! acknowledges it.

use std::collections::VecDeque;

use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::calls::{Calls, RETRY_DELAY_MS};
use super::settings::TrainerSettings;
use crate::control_call::{CallProgress, ControlCall, ControlRequest};
use crate::directory::Directory;
use crate::effects::{CallTag, Effects, Notice, Outcome};
use crate::observation::Observation;

/// A version that is being announced.
#[derive(Debug)]
struct Announcement {
    version: u64,
    tag: CallTag,
    call: ControlCall,
}

/// The versions that a trainer announces.
#[derive(Debug)]
pub(super) struct VersionAnnouncements {
    /// Times at which the training of finished steps ends, in order.
    training: VecDeque<u64>,
    current: Option<Announcement>,
    /// Latest version that the system acknowledged.
    version: u64,
}

impl VersionAnnouncements {
    /// Returns the state at the start, in which version 1 exists.
    pub(super) fn new() -> VersionAnnouncements {
        VersionAnnouncements { training: VecDeque::new(), current: None, version: 1 }
    }

    /// Returns the latest version that the system acknowledged.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Schedules the announcement of another version at `at`, when the training of a step ends.
    pub(super) fn train_until(&mut self, at: u64) {
        self.training.push_back(at);
    }

    /// Announces the next version once the training of a step has ended.
    pub(super) fn advance(
        &mut self,
        now: u64,
        settings: &TrainerSettings,
        calls: &mut Calls,
        directory: &Directory,
        random: &mut Pcg64Mcg,
        out: &mut Effects,
    ) {
        if self.current.is_none() && self.training.front().is_some_and(|at| *at <= now) {
            self.training.pop_front();
            self.begin(now, settings, calls, out);
        }
        if let Some(Announcement { tag, call, .. }) = &mut self.current {
            out.calls.extend(call.attempt(now, *tag, directory, random));
        }
    }

    fn begin(&mut self, now: u64, settings: &TrainerSettings, calls: &mut Calls, out: &mut Effects) {
        if now >= settings.steps.until {
            return;
        }
        let version = self.version + 1;
        let model = settings.model.clone();
        let body = json!({"model": model, "config-version": version});
        let request = ControlRequest::json("POST", "/v1/version-put", &body);
        let call = ControlCall::new(request, now, settings.steps.until);
        out.observations.push(Observation::VersionAnnounced { model: model.clone(), version });
        out.notices.push(Notice::VersionAnnounced { model, version });
        self.current = Some(Announcement { version, tag: calls.new_tag(), call });
    }

    /// Whether the call with this tag announces a version.
    pub(super) fn owns(&self, tag: CallTag) -> bool {
        self.current.as_ref().is_some_and(|announcement| announcement.tag == tag)
    }

    /// Handles the outcome of a call that announces a version.
    pub(super) fn call_ended(&mut self, now: u64, outcome: Outcome, model: &str, out: &mut Effects) {
        let Some(Announcement { version, call, .. }) = &mut self.current else { return };
        match call.attempt_ended(now, outcome) {
            CallProgress::Response(response) if response.is_success() => {
                self.version = *version;
                let model = model.to_owned();
                out.observations.push(Observation::VersionAcknowledged { model, version: *version });
                self.current = None;
            }
            // Every response other than a 2xx is retried.
            CallProgress::Response(_) if now < call.deadline() => call.postpone(now + RETRY_DELAY_MS),
            CallProgress::Response(_) | CallProgress::Expired => self.current = None,
            CallProgress::Retry | CallProgress::ResponseLost(_) => {}
        }
    }

    /// Returns the time of the next call or announcement.
    pub(super) fn next_at(&self) -> Option<u64> {
        match &self.current {
            Some(announcement) => announcement.call.next_at(),
            None => self.training.front().copied(),
        }
    }
}
