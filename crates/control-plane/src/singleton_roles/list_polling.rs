//! Polling of the platform's list: when it is read, and what was read last.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

use crate::discovery::{ListError, ListReader, POLL_INTERVAL_MS, PageOutcome, RETRY_INTERVAL_MS};

/// A page is requested so many times more before the whole list is read again.
const MAX_PAGE_RETRIES: u32 = 4;

/// What follows a response of the platform.
#[derive(Debug)]
pub(super) enum PolledPage {
    /// The next page is to be requested with this token.
    NextPage { token: String },
    /// The list was read in full.
    Complete,
    /// The page, or the list, has to be read again after a pause.
    Failed,
}

/// A page that is requested once more after a pause.
#[derive(Debug)]
pub(super) struct PageRetry {
    /// Token of the page; none for the first page.
    pub token: Option<String>,
    due_at: Milliseconds,
}

/// The newest list and the reading of the next one, of which there is at most one at a time.
#[derive(Default, Debug)]
pub(super) struct ListPolling {
    next_poll_at: Milliseconds,
    reader: Option<ListReader>,
    /// Token of the page that was requested last; none for the first page.
    token: Option<String>,
    /// Requests of that page that have failed.
    failed_requests: u32,
    retry: Option<PageRetry>,
    /// Number of the latest reading: a late page of an earlier one is no part of it.
    read_number: u64,
    /// Newest list, before versions known from orders are added.
    servers: Vec<ServerEntry>,
}

impl ListPolling {
    /// This node has become the head: what it has read before may be out of date.
    pub(super) fn begin(&mut self, now: Milliseconds) {
        self.next_poll_at = now;
        self.servers.clear();
    }

    /// Another node is the head.
    pub(super) fn stop(&mut self) {
        self.reader = None;
        self.retry = None;
    }

    /// Newest list, empty before the first one.
    pub(super) fn servers(&self) -> &[ServerEntry] {
        &self.servers
    }

    /// The server with this id, if it is on the list.
    pub(super) fn server(&self, instance: &str) -> Option<&ServerEntry> {
        self.servers.iter().find(|server| server.instance == instance)
    }

    pub(super) fn is_due(&self, now: Milliseconds) -> bool {
        self.reader.is_none() && now >= self.next_poll_at
    }

    /// When the next reading is due, or a page of the one in flight has to be requested once more.
    pub(super) fn next_wakeup(&self) -> Milliseconds {
        match (&self.reader, &self.retry) {
            (Some(_), Some(retry)) => retry.due_at,
            (Some(_), None) => u64::MAX,
            (None, _) => self.next_poll_at,
        }
    }

    /// The page that has to be requested once more now, if any.
    pub(super) fn take_due_retry(&mut self, now: Milliseconds) -> Option<PageRetry> {
        self.retry.take_if(|retry| retry.due_at <= now)
    }

    /// Begins a reading.
    pub(super) fn start_read(&mut self) {
        self.reader = Some(ListReader::default());
        self.read_number += 1;
        self.page_requested(None);
    }

    /// The next page is requested.
    fn page_requested(&mut self, token: Option<String>) {
        self.token = token;
        self.failed_requests = 0;
        self.retry = None;
    }

    /// Number of the latest reading.
    pub(super) fn read_number(&self) -> u64 {
        self.read_number
    }

    /// The reading can't go on.
    pub(super) fn fail(&mut self, now: Milliseconds) {
        self.reader = None;
        self.retry = None;
        self.next_poll_at = now + RETRY_INTERVAL_MS;
    }

    /// A request has failed: the same page is requested once more, and not the pages before it. The platform takes so
    /// many requests a second from all machines together, so a long list would never be read otherwise.
    fn request_failed(&mut self, now: Milliseconds) {
        self.failed_requests += 1;
        if self.failed_requests > MAX_PAGE_RETRIES {
            return self.fail(now);
        }
        let due_at = now + RETRY_INTERVAL_MS;
        self.retry = Some(PageRetry { token: self.token.clone(), due_at });
    }

    /// A response of the platform: the body of a page, unless the request failed. `can_publish` says whether a list
    /// that is complete by it can be published; else it is read again at once.
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
