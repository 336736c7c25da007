//! The calls that a trainer makes for its batch jobs: their bytes, timeouts, and which of them are in flight.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use super::job::Job;
use super::settings::TrainerSettings;
use crate::credentials::Credentials;
use crate::effects::{Call, CallTag, Effects};
use crate::http;

/// Time for which a read waits for new results (long polling, RFC 6202), in milliseconds.
const LONG_POLL_MS: u64 = 1_000;
/// Additional time for the response to such a read, in milliseconds.
const READ_SLACK_MS: u64 = 1_500;
const SUBMIT_TIMEOUT_MS: u64 = 2_500;
const CANCEL_TIMEOUT_MS: u64 = 1_500;
/// Time until a call without a conclusive response is retried, in milliseconds.
pub(super) const RETRY_DELAY_MS: u64 = 150;
/// Number of digits of a batch job's id that appear in its path.
const ID_DIGITS_IN_PATH: usize = 6;

/// Purpose of a call.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    Submit,
    /// Reads the results after a position, and waits for new ones.
    Read {
        after: u64,
    },
    /// Reads the results again at the end of the scenario.
    Review {
        after: u64,
    },
    /// Reads the request body of an item.
    ItemBody {
        item: String,
    },
    Cancel,
}

impl Purpose {
    /// Returns the bytes of the call for `job`.
    pub(super) fn request(
        &self,
        settings: &TrainerSettings,
        job: &Job,
        credentials: &Credentials,
    ) -> Vec<u8> {
        let id = job.id();
        let request = |method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]| {
            let fields: Vec<(&str, &str)> = fields.iter().copied().chain(credentials.fields()).collect();
            http::request(method, target, &settings.host, &fields, body)
        };
        match self {
            Purpose::Submit => {
                let target = format!("{}{}", settings.items.path_prefix, &id[..ID_DIGITS_IN_PATH]);
                let fields = [("Attempt-Id", id), ("Content-Type", "application/json")];
                request("POST", &target, &fields, &job.document)
            }
            Purpose::Read { after } => {
                let target = format!("/v1/lots/{id}?after-seq={after}");
                let wait_ms = LONG_POLL_MS.to_string();
                request("GET", &target, &[("Wait-Ms", &wait_ms)], &[])
            }
            Purpose::Review { after } => {
                let target = format!("/v1/lots/{id}?after-seq={after}");
                request("GET", &target, &[], &[])
            }
            Purpose::ItemBody { item } => {
                let target = format!("/v1/items/{id}?instance-id={item}");
                request("GET", &target, &[], &[])
            }
            Purpose::Cancel => request("DELETE", &format!("/v1/lots/{id}"), &[], &[]),
        }
    }

    /// Maximum time until the complete response, in milliseconds.
    fn timeout_ms(&self) -> u64 {
        match self {
            Purpose::Submit => SUBMIT_TIMEOUT_MS,
            Purpose::Read { .. } | Purpose::Review { .. } => LONG_POLL_MS + READ_SLACK_MS,
            Purpose::ItemBody { .. } | Purpose::Cancel => CANCEL_TIMEOUT_MS,
        }
    }
}

/// Index of a batch job among the jobs of its trainer.
pub(super) type JobIndex = usize;

/// A call that a trainer made for a batch job.
#[derive(Clone, Debug)]
pub(super) struct JobCall {
    pub job: JobIndex,
    pub purpose: Purpose,
    pub credentials: Credentials,
    pub sent_at: u64,
}

/// The calls in flight, by the tags that identify their outcomes.
#[derive(Debug)]
pub(super) struct Calls {
    under_way: BTreeMap<CallTag, JobCall>,
    next_tag: CallTag,
}

impl Calls {
    pub(super) fn new() -> Calls {
        Calls { under_way: BTreeMap::new(), next_tag: CallTag(1) }
    }

    /// Returns a tag that no other call of the trainer has.
    pub(super) fn new_tag(&mut self) -> CallTag {
        let tag = self.next_tag;
        self.next_tag = tag.next();
        tag
    }

    /// Starts a call for a batch job.
    pub(super) fn begin(&mut self, call: JobCall, address: SocketAddrV4, bytes: Vec<u8>, out: &mut Effects) {
        let tag = self.new_tag();
        let timeout_ms = call.purpose.timeout_ms();
        self.under_way.insert(tag, call);
        out.calls.push(Call {
            tag,
            address,
            bytes,
            timeout_ms,
            keep_alive: false,
            following: VecDeque::new(),
        });
    }

    /// Removes a call that has ended, and returns it.
    pub(super) fn end(&mut self, tag: CallTag) -> Option<JobCall> {
        self.under_way.remove(&tag)
    }
}
