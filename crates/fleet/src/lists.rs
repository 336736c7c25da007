//! Transfer of a document, such as discovery's list, between front nodes, in pages sent as datagrams. Only a node
//! that wants a document causes traffic: it queries a few peers, waits briefly for their offers, and requests the
//! pages of the best offer from its peer, one window at a time. A node serves a limited number of pages per gossip
//! period, so that a fleet that starts at once does not overload the few nodes that have the document. Each node that
//! has completed it serves the next ones, so the number of sources doubles.
//!
//! Of two versions with the same topic the later revision is better; of one revision, the one seen last. Versions of
//! different topics are never compared, as their revisions are unrelated.

use std::collections::BTreeMap;

use crate::{Nanos, OutgoingMessage, Peer};

/// Size of a page in bytes. With its header it fits into a datagram.
pub const PAGE_BYTES: usize = 1200;
/// The largest number of pages of a version. A longer version is not offered.
pub const MAX_PAGES: usize = 512;

/// Settings for requesting and serving lists.
#[derive(Clone, Copy, Debug)]
pub struct ListSettings {
    /// The number of peers that are queried at a time.
    pub peers_per_query: usize,
    /// Interval between queries while a list is wanted.
    pub query_interval: Nanos,
    /// How long to wait for better offers after the first one.
    pub offer_wait: Nanos,
    /// The number of pages requested at a time.
    pub window: usize,
    /// How long to wait for the pages of a window.
    pub page_timeout: Nanos,
    /// The number of consecutive windows without a page after which the source is abandoned.
    pub max_misses: u32,
    /// The number of pages served per gossip period, to all peers together.
    pub max_served: usize,
}

impl Default for ListSettings {
    fn default() -> ListSettings {
        ListSettings {
            peers_per_query: 2,
            query_interval: 200_000_000,
            offer_wait: 50_000_000,
            window: 8,
            page_timeout: 150_000_000,
            max_misses: 3,
            max_served: 64,
        }
    }
}

/// A version of a document held by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Identifies the source of the document, by a number that all nodes compute alike.
    pub topic: u64,
    /// Revision number given by the source.
    pub revision: i64,
    /// When the source sent it, by this node's clock.
    pub seen: Nanos,
    /// The document.
    pub bytes: Vec<u8>,
}

/// A version of a document that a peer offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOffer {
    /// Identifies the source of the document.
    pub topic: u64,
    /// Revision number given by the source.
    pub revision: i64,
    /// Time since the source sent it.
    pub age: Nanos,
    /// Fingerprint of the bytes. Pages of two versions that share a revision are never mixed.
    pub fingerprint: u64,
    /// Length of the document in bytes.
    pub length: u32,
}

/// Request for pages of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// Fingerprint of the version.
    pub fingerprint: u64,
    /// The first page, from 0.
    pub from: u16,
    /// The number of pages.
    pub pages: u16,
}

/// One page of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Fingerprint of the version.
    pub fingerprint: u64,
    /// Number of the page, from 0.
    pub page: u16,
    /// The bytes of the page.
    pub bytes: Vec<u8>,
}

/// A message about lists between peers.
#[derive(Clone, Debug, PartialEq)]
pub enum ListMessage {
    /// Queries which version of this topic the receiver has.
    Wanted(u64),
    /// Offers a version.
    Offer(ListOffer),
    /// Requests pages of an offered version.
    PageRequest(PageRequest),
    /// A requested page.
    Page(Page),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    /// Pages sent to peers.
    pub pages_served: u64,
    /// Requested pages that were not sent because the limit per period was reached.
    pub pages_refused: u64,
    /// Versions that were downloaded completely.
    pub completed: u64,
    /// Downloads that were abandoned or did not match their fingerprint.
    pub abandoned: u64,
}

/// An offer with its time.
#[derive(Clone, Copy, Debug)]
struct ReceivedOffer {
    offer: ListOffer,
    /// When the source of the list sent it, by this node's clock.
    seen: Nanos,
}

/// A version that is being downloaded.
#[derive(Clone, Debug)]
struct Download {
    from: Peer,
    offer: ListOffer,
    /// When the source of the list sent it, by this node's clock.
    seen: Nanos,
    /// Received pages; `None` for a missing one.
    pages: Vec<Option<Vec<u8>>>,
    /// When pages were last requested.
    requested_at: Nanos,
    /// The number of consecutive windows without a page.
    misses: u32,
    /// Whether a page was received since the last request.
    has_progressed: bool,
}

impl Download {
    /// Returns a request for a window of pages.
    fn request(&mut self, first: usize, window: usize, now: Nanos) -> OutgoingMessage<ListMessage> {
        self.requested_at = now;
        let fingerprint = self.offer.fingerprint;
        let request = PageRequest { fingerprint, from: first as u16, pages: window as u16 };
        OutgoingMessage { to: self.from, message: ListMessage::PageRequest(request) }
    }

    fn first_missing(&self) -> Option<usize> {
        self.pages.iter().position(Option::is_none)
    }
}

/// A version that this node offers.
#[derive(Clone, Debug)]
struct Published {
    version: ListVersion,
    fingerprint: u64,
}

/// Age of a list. The later revision is newer; within a revision, the one seen later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListAge {
    /// Revision number of the list.
    pub revision: i64,
    /// When the source sent it, by the clock of the comparing node.
    pub seen: Nanos,
}

/// A list that a node wants from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListWanted {
    /// Topic of the list.
    pub topic: u64,
    /// What an offer must be newer than; `None` to accept any.
    pub newer_than: Option<ListAge>,
}

/// The lists of one node: its offer, its request and its download.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// Settings for requesting and serving lists.
    pub settings: ListSettings,
    published: Option<Published>,
    wanted: Option<ListWanted>,
    next_query_at: Nanos,
    offers: BTreeMap<Peer, ReceivedOffer>,
    /// When the best of the received offers is chosen.
    choose_at: Nanos,
    download: Option<Download>,
    /// A version that was downloaded completely and not yet taken by the host.
    received: Option<ListVersion>,
    /// Pages served in this gossip period.
    served: usize,
    counts: ListCounts,
}

/// 64-bit FNV-1a (RFC 9923). Every node must compute the same value.
pub fn fingerprint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn page_count(length: usize) -> usize {
    length.div_ceil(PAGE_BYTES).max(1)
}

impl Lists {
    /// Returns a state without an offer or a request.
    pub fn new(settings: ListSettings) -> Lists {
        Lists { settings, ..Lists::default() }
    }

    /// Sets the version that this node offers. A version of more than [`MAX_PAGES`] pages is not offered.
    pub fn publish(&mut self, version: ListVersion) {
        if page_count(version.bytes.len()) <= MAX_PAGES {
            let fingerprint = fingerprint(&version.bytes);
            self.published = Some(Published { version, fingerprint });
        }
    }

    /// Requests a list from peers from now on.
    pub fn request(&mut self, wanted: ListWanted, now: Nanos) {
        if self.wanted.is_none() {
            self.next_query_at = now;
        }
        self.wanted = Some(wanted);
    }

    /// Ends the request and the download.
    pub fn cancel(&mut self) {
        (self.wanted, self.download) = (None, None);
        self.offers.clear();
    }

    /// Returns and removes a version that was downloaded completely.
    pub fn take_received(&mut self) -> Option<ListVersion> {
        self.received.take()
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> ListCounts {
        self.counts
    }

    /// Resets the number of pages served, at the end of a gossip period.
    pub fn reset_serve_limit(&mut self) {
        self.served = 0;
    }

    /// Handles a message from a member.
    pub fn message_received(
        &mut self,
        from: Peer,
        message: ListMessage,
        now: Nanos,
        messages: &mut Vec<OutgoingMessage<ListMessage>>,
    ) {
        match message {
            ListMessage::Wanted(topic) => {
                let published = self.published.as_ref();
                if let Some(published) = published.filter(|published| published.version.topic == topic) {
                    let message = ListMessage::Offer(published.offer(now));
                    messages.push(OutgoingMessage { to: from, message });
                }
            }
            ListMessage::Offer(offer) => self.offer_received(from, offer, now),
            ListMessage::PageRequest(request) => self.serve(from, request, messages),
            ListMessage::Page(page) => self.page_received(from, page, now, messages),
        }
    }

    fn offer_received(&mut self, from: Peer, offer: ListOffer, now: Nanos) {
        let Some(ListWanted { topic, newer_than }) = self.wanted else { return };
        let is_valid = offer.topic == topic
            && offer.age >= 0
            && (1..=MAX_PAGES * PAGE_BYTES).contains(&(offer.length as usize));
        let seen = now - offer.age;
        let age = ListAge { revision: offer.revision, seen };
        if !is_valid || newer_than.is_some_and(|newer_than| age <= newer_than) {
            return;
        }
        if self.offers.is_empty() {
            self.choose_at = now + self.settings.offer_wait;
        }
        self.offers.insert(from, ReceivedOffer { offer, seen });
    }

    fn serve(&mut self, from: Peer, request: PageRequest, messages: &mut Vec<OutgoingMessage<ListMessage>>) {
        let published = self.published.as_ref();
        let Some(Published { version, fingerprint }) =
            published.filter(|published| published.fingerprint == request.fingerprint)
        else {
            return;
        };
        let pages = version.bytes.chunks(PAGE_BYTES).enumerate();
        let most = usize::from(request.pages).min(self.settings.window);
        for (page, bytes) in pages.skip(usize::from(request.from)).take(most) {
            if self.served >= self.settings.max_served {
                self.counts.pages_refused += 1;
                continue;
            }
            self.served += 1;
            self.counts.pages_served += 1;
            let page = Page { fingerprint: *fingerprint, page: page as u16, bytes: bytes.to_vec() };
            messages.push(OutgoingMessage { to: from, message: ListMessage::Page(page) });
        }
    }

    fn page_received(
        &mut self,
        from: Peer,
        page: Page,
        now: Nanos,
        messages: &mut Vec<OutgoingMessage<ListMessage>>,
    ) {
        let window = self.settings.window;
        let is_awaited = |download: &&mut Download| {
            download.from == from && download.offer.fingerprint == page.fingerprint
        };
        let Some(download) = self.download.as_mut().filter(is_awaited) else { return };
        let Some(slot) = download.pages.get_mut(usize::from(page.page)) else { return };
        *slot = Some(page.bytes);
        (download.has_progressed, download.misses) = (true, 0);
        match download.first_missing() {
            None => self.finish_download(),
            // The window is complete, so the next one is requested at once.
            Some(first) if first % window == 0 && download.pages[first..].iter().all(Option::is_none) => {
                messages.push(download.request(first, window, now));
            }
            Some(_) => {}
        }
    }

    fn finish_download(&mut self) {
        let Some(download) = self.download.take() else { return };
        let ListOffer { topic, revision, fingerprint: offered, length, .. } = download.offer;
        let bytes: Vec<u8> = download.pages.into_iter().flatten().flatten().collect();
        if bytes.len() != length as usize || fingerprint(&bytes) != offered {
            self.counts.abandoned += 1;
            self.offers.remove(&download.from);
            return;
        }
        self.counts.completed += 1;
        self.received = Some(ListVersion { topic, revision, seen: download.seen, bytes });
        self.cancel();
    }

    /// Sends due queries and requests, and chooses among offers. `peers` are the live peers in random order.
    pub fn step(&mut self, peers: &[Peer], now: Nanos, messages: &mut Vec<OutgoingMessage<ListMessage>>) {
        let settings = self.settings;
        let Some(ListWanted { topic, .. }) = self.wanted else { return };
        if let Some(download) = &mut self.download {
            if now - download.requested_at < settings.page_timeout {
                return;
            }
            download.misses = if download.has_progressed { 0 } else { download.misses + 1 };
            download.has_progressed = false;
            if download.misses < settings.max_misses && peers.contains(&download.from) {
                let first = download.first_missing().unwrap_or(0);
                messages.push(download.request(first, settings.window, now));
                return;
            }
            // The source is gone or does not respond: another offer is used.
            self.counts.abandoned += 1;
            self.offers.remove(&download.from);
            self.download = None;
        }
        self.offers.retain(|peer, _| peers.contains(peer));
        if now >= self.choose_at
            && let Some(mut download) = self.best_offer(now)
        {
            messages.push(download.request(0, settings.window, now));
            self.download = Some(download);
            return;
        }
        if now >= self.next_query_at {
            self.next_query_at = now + settings.query_interval;
            let queried = peers.iter().take(settings.peers_per_query);
            let query = |&to: &Peer| OutgoingMessage { to, message: ListMessage::Wanted(topic) };
            messages.extend(queried.map(query));
        }
    }

    /// Returns a download of the best offer: the latest revision, and of that the one seen last.
    fn best_offer(&self, now: Nanos) -> Option<Download> {
        let rank = |(peer, received): &(&Peer, &ReceivedOffer)| {
            (received.offer.revision, received.seen, received.offer.fingerprint, **peer)
        };
        let (&from, &ReceivedOffer { offer, seen }) = self.offers.iter().max_by_key(rank)?;
        let pages = vec![None; page_count(offer.length as usize)];
        Some(Download { from, offer, seen, pages, requested_at: now, misses: 0, has_progressed: false })
    }
}

impl Published {
    fn offer(&self, now: Nanos) -> ListOffer {
        let ListVersion { topic, revision, seen, ref bytes } = self.version;
        let (age, length) = ((now - seen).max(0), bytes.len() as u32);
        ListOffer { topic, revision, age, fingerprint: self.fingerprint, length }
    }
}
