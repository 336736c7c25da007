//! Polling of the platform's list of servers: when the list is read, and the result of the last reading.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

use crate::discovery::{ListError, ListReader, POLL_INTERVAL_MS, PageOutcome, RETRY_INTERVAL_MS};

/// Maximum number of times that a page is requested again before the reading starts over from the first page.
const MAX_PAGE_RETRIES: u32 = 4;

/// What follows the platform's response to the request of a page.
#[derive(Debug)]
pub(super) enum PolledPage {
    /// The reading continues with the page of this token.
    NextPage { token: String },
    /// The list was read in full.
    Complete,
    /// The request failed; the page or the list is read again after a pause.
    Failed,
}

/// A page whose request failed and that is requested again after a pause.
#[derive(Debug)]
pub(super) struct PageRetry {
    /// Token of the page; `None` for the first page.
    pub token: Option<String>,
    due_at: Milliseconds,
}

/// The latest complete list and the reading in progress. At most one reading is in progress at a time.
#[derive(Default, Debug)]
pub(super) struct ListPolling {
    next_poll_at: Milliseconds,
    reader: Option<ListReader>,
    /// Token of the page that was requested last; `None` for the first page.
    token: Option<String>,
    /// Number of failed requests of that page.
    failed_requests: u32,
    retry: Option<PageRetry>,
    /// Number of the current reading. Pages that belong to an earlier reading are ignored.
    read_number: u64,
    /// Servers of the latest complete list, without the versions that are known from orders.
    servers: Vec<ServerEntry>,
}

impl ListPolling {
    /// Makes a reading due now and drops the last list, which may be out of date: this node has become the head.
    pub(super) fn begin(&mut self, now: Milliseconds) {
        self.next_poll_at = now;
        self.servers.clear();
    }

    /// Abandons the reading in progress: another node is the head.
    pub(super) fn stop(&mut self) {
        self.reader = None;
        self.retry = None;
    }

    /// Returns the servers of the latest complete list; empty before the first one.
    pub(super) fn servers(&self) -> &[ServerEntry] {
        &self.servers
    }

    /// Returns the server with this instance id, if it is on the latest list.
    pub(super) fn server(&self, instance: &str) -> Option<&ServerEntry> {
        self.servers.iter().find(|server| server.instance == instance)
    }

    pub(super) fn is_due(&self, now: Milliseconds) -> bool {
        self.reader.is_none() && now >= self.next_poll_at
    }

    /// Returns when the next reading is due, or when a page of the reading in progress is requested again.
    pub(super) fn next_wakeup(&self) -> Milliseconds {
        match (&self.reader, &self.retry) {
            (Some(_), Some(retry)) => retry.due_at,
            (Some(_), None) => u64::MAX,
            (None, _) => self.next_poll_at,
        }
    }

    /// Takes the page that has to be requested again now, if there is one.
    pub(super) fn take_due_retry(&mut self, now: Milliseconds) -> Option<PageRetry> {
        self.retry.take_if(|retry| retry.due_at <= now)
    }

    /// Starts a reading with the first page.
    pub(super) fn start_read(&mut self) {
        self.reader = Some(ListReader::default());
        self.read_number += 1;
        self.page_requested(None);
    }

    /// Records that the page of `token` is requested for the first time.
    fn page_requested(&mut self, token: Option<String>) {
        self.token = token;
        self.failed_requests = 0;
        self.retry = None;
    }

    /// Returns the number of the current reading.
    pub(super) fn read_number(&self) -> u64 {
        self.read_number
    }

    /// Abandons the reading in progress; the next one starts after a pause.
    pub(super) fn fail(&mut self, now: Milliseconds) {
        self.reader = None;
        self.retry = None;
        self.next_poll_at = now + RETRY_INTERVAL_MS;
    }

    /// Schedules another request of the same page after a failed one, without reading the pages before it again. The
    /// platform accepts a limited number of requests per second from all nodes together, so a long list could otherwise
    /// never be read in full.
    fn request_failed(&mut self, now: Milliseconds) {
        self.failed_requests += 1;
        if self.failed_requests > MAX_PAGE_RETRIES {
            return self.fail(now);
        }
        let due_at = now + RETRY_INTERVAL_MS;
        self.retry = Some(PageRetry { token: self.token.clone(), due_at });
    }

    /// Processes the platform's response to the request of a page: its body, or `None` if the request failed.
    /// `can_publish` says whether a list that this page completes can be published; if not, it is read again at once.
    pub(super) fn page_received(
        &mut self,
        body: Option<&[u8]>,
        can_publish: bool,
        now: Milliseconds,
    ) -> PolledPage {
        let (Some(reader), Some(body)) = (self.reader.as_mut(), body) else {
            self.request_failed(now);
            return PolledPage::Failed;
        };
        match reader.add_page(body) {
            Ok(PageOutcome::NextPage { token }) => {
                self.page_requested(Some(token.clone()));
                PolledPage::NextPage { token }
            }
            Ok(PageOutcome::Complete(servers)) => {
                self.reader = None;
                self.next_poll_at = if can_publish { now + POLL_INTERVAL_MS } else { now };
                self.servers = servers;
                PolledPage::Complete
            }
            Err(error) => {
                self.read_failed(&error, now);
                PolledPage::Failed
            }
        }
    }

    fn read_failed(&mut self, error: &ListError, now: Milliseconds) {
        log::warn!("discovery: {error}");
        self.fail(now);
    }
}
