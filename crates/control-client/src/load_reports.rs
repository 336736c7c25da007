//! Timing of the load reports of a process to its control node: on changes, at limited frequency, and repeatedly even
//! without changes, because another control node may have become the head.

use std::collections::BTreeMap;

use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ServiceLoad, SessionMessage};

/// Interval between two samples of the load, in milliseconds. The highest sample is reported.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Minimum time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;
/// Time after which a report is repeated even without a change, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 5_000;
/// The smallest change of a count that is reported before [`REPEAT_INTERVAL_MS`].
const REPORTED_STEP: u32 = 2;

/// The last report of this process.
#[derive(Debug)]
struct SentReport {
    at: u64,
    /// The control node that received it.
    to: NodeAddress,
    loads: Vec<ServiceLoad>,
}

/// The samples since the last report, and that report. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct LoadReports {
    next_sample_at: u64,
    /// Highest number of requests in flight since the last report, by service.
    busiest: BTreeMap<String, u32>,
    sent: Option<SentReport>,
}

impl LoadReports {
    /// Returns whether [`LoadReports::observe`] is due.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.next_sample_at
    }

    /// Takes a sample: `loads` is the current load of each service to report. Returns the report for the control node
    /// of the session if one is due. It contains the highest number in flight since the last report, and the number
    /// that wait now.
    pub fn observe(
        &mut self,
        now: u64,
        session: Option<NodeAddress>,
        loads: Vec<ServiceLoad>,
    ) -> Option<SessionMessage> {
        self.next_sample_at = now + SAMPLE_INTERVAL_MS;
        for load in &loads {
            let busiest = self.busiest.entry(load.service.clone()).or_default();
            *busiest = load.running.max(*busiest);
        }
        let to = session?;
        let mut loads = loads;
        for load in &mut loads {
            load.running = self.busiest.get(&load.service).copied().unwrap_or(load.running);
        }
        if !self.is_report_due(now, to, &loads) {
            return None;
        }
        self.busiest.clear();
        self.sent = Some(SentReport { at: now, to, loads: loads.clone() });
        loads.retain(|load| load.running > 0 || load.waiting > 0);
        Some(SessionMessage::ReportLoad { loads })
    }

    fn is_report_due(&self, now: u64, to: NodeAddress, loads: &[ServiceLoad]) -> bool {
        let Some(sent) = &self.sent else { return true };
        let waited_ms = now.saturating_sub(sent.at);
        let is_changed = sent.to != to || differ(&sent.loads, loads);
        waited_ms >= REPEAT_INTERVAL_MS || (is_changed && waited_ms >= REPORT_INTERVAL_MS)
    }
}

/// Returns whether the loads differ enough to be reported.
fn differ(before: &[ServiceLoad], after: &[ServiceLoad]) -> bool {
    let has_same_services =
        before.iter().map(|load| &load.service).eq(after.iter().map(|load| &load.service));
    let differ_significantly =
        |before: u32, after: u32| before.abs_diff(after) >= REPORTED_STEP || (before == 0) != (after == 0);
    !has_same_services
        || before.iter().zip(after).any(|(before, after)| {
            differ_significantly(before.running, after.running)
                || differ_significantly(before.waiting, after.waiting)
        })
}
