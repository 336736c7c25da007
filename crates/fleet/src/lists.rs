//! A document that one front node has and another wants, such as discovery's list, in pages over datagrams. Only who
//! wants one causes traffic: it asks a few peers what they have, waits a little for their offers, and requests the
//! pages of the best one, a window at a time, from the peer that offered it. Those that have one serve so many pages a
//! period and no more: a fleet that starts at once must not bury the few that already know. As each that has completed
//! serves the next, the number of sources doubles.
//!
//! Of two versions of one topic the later revision is better; of one revision, the one seen last. Versions of different
//! topics are never compared: their revisions have nothing to do with each other.

use std::collections::BTreeMap;

use crate::{Nanos, OutgoingMessage, Peer};

/// Bytes of a page: with its head it fits a datagram.
pub const PAGE_BYTES: usize = 1200;
/// Pages of a version at most; a longer one is not offered.
pub const MAX_PAGES: usize = 512;

/// How lists are asked for and served.
#[derive(Clone, Copy, Debug)]
pub struct ListSettings {
    /// Peers asked at one time what they have.
    pub peers_per_query: usize,
    /// How often peers are asked while a list is wanted.
    pub query_interval: Nanos,
    /// How long offers are waited for after the first came, so that a better one may still.
    pub offer_wait: Nanos,
    /// Pages requested at one time.
    pub window: usize,
    /// How long the pages of a window are waited for.
    pub page_timeout: Nanos,
    /// Windows in a row that may bring nothing before the source is given up.
    pub max_misses: u32,
    /// Pages served in one gossip period, to all peers together.
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

/// A document as this node has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Where it is from, as a number that all nodes compute alike.
    pub topic: u64,
    /// Its origin's number of it.
    pub revision: i64,
    /// When its origin gave it, in this node's time.
    pub seen: Nanos,
    /// The document.
    pub bytes: Vec<u8>,
}

/// What a peer says it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOffer {
    /// Where the list is from.
    pub topic: u64,
    /// Its origin's number of it.
    pub revision: i64,
    /// Time since its origin gave it.
    pub age: Nanos,
    /// Of the bytes: pages of two versions that share a revision are never mixed.
    pub fingerprint: u64,
    /// Bytes of the document.
    pub length: u32,
}

/// Asks for some pages of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// Of the version that was offered.
    pub fingerprint: u64,
    /// First page.
    pub from: u16,
    /// How many.
    pub pages: u16,
}

/// One page of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Of the version that it is from.
    pub fingerprint: u64,
    /// Its number, from 0.
    pub page: u16,
    /// Its part of the document.
    pub bytes: Vec<u8>,
}

/// What goes to peers.
#[derive(Clone, Debug, PartialEq)]
pub enum ListMessage {
    /// What do you have of this topic?
    Wanted(u64),
    /// What the sender has.
    Offer(ListOffer),
    /// Pages that the sender wants.
    PageRequest(PageRequest),
    /// A page that was requested.
    Page(Page),
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    /// Pages sent to peers.
    pub pages_served: u64,
    /// Pages asked for beyond what is served in a period.
    pub pages_refused: u64,
    /// Versions that came whole.
    pub completed: u64,
    /// Versions that broke off or did not fit their fingerprint.
    pub abandoned: u64,
}

/// An offer with its time.
#[derive(Clone, Copy, Debug)]
struct ReceivedOffer {
    offer: ListOffer,
    /// When the list's origin gave it, in this node's time.
    seen: Nanos,
}

/// A version on its way here.
#[derive(Clone, Debug)]
struct Download {
    from: Peer,
    offer: ListOffer,
    /// When its origin gave it, in this node's time.
    seen: Nanos,
    /// `None` for a page that has not come.
    pages: Vec<Option<Vec<u8>>>,
    /// When pages were last requested.
    requested_at: Nanos,
    /// Windows in a row that brought nothing.
    misses: u32,
    /// Whether a page came since the last request.
    has_progressed: bool,
}

impl Download {
    /// Asks the source for a window of pages.
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

/// How new a list is: of two, that of the later revision is newer, and of one revision the one seen later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListAge {
    /// Its revision.
    pub revision: i64,
    /// When its origin gave it, in the time of the node that compares.
    pub seen: Nanos,
}

/// A list that a node wants of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListWanted {
    /// The list's topic.
    pub topic: u64,
    /// What an offer must be newer than; `None` where any will do.
    pub newer_than: Option<ListAge>,
}

/// The lists of one node: what it offers, wants and downloads.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// How lists are asked for and served.
    pub settings: ListSettings,
    published: Option<Published>,
    wanted: Option<ListWanted>,
    next_query_at: Nanos,
    offers: BTreeMap<Peer, ReceivedOffer>,
    /// When the best of the offers is chosen.
    choose_at: Nanos,
    download: Option<Download>,
    /// A version that came whole and was not taken yet.
    received: Option<ListVersion>,
    /// Pages served in this gossip period.
    served: usize,
    counts: ListCounts,
}

/// 64-bit FNV-1a (RFC 9923), as every node must compute it alike.
pub fn fingerprint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn page_count(length: usize) -> usize {
    length.div_ceil(PAGE_BYTES).max(1)
}

impl Lists {
    /// Offers and wants nothing yet.
    pub fn new(settings: ListSettings) -> Lists {
        Lists { settings, ..Lists::default() }
    }

    /// What this node has to offer from now on. One of more than [`MAX_PAGES`] pages is not offered.
    pub fn publish(&mut self, version: ListVersion) {
        if page_count(version.bytes.len()) <= MAX_PAGES {
            let fingerprint = fingerprint(&version.bytes);
            self.published = Some(Published { version, fingerprint });
        }
    }

    /// Asks peers for that list from now on.
    pub fn request(&mut self, wanted: ListWanted, now: Nanos) {
        if self.wanted.is_none() {
            self.next_query_at = now;
        }
        self.wanted = Some(wanted);
    }

    /// No list is wanted any more.
    pub fn cancel(&mut self) {
        (self.wanted, self.download) = (None, None);
        self.offers.clear();
    }

    /// A version that came whole since the last look.
    pub fn take_received(&mut self) -> Option<ListVersion> {
        self.received.take()
    }

    /// What was counted since the start.
    pub fn counts(&self) -> ListCounts {
        self.counts
    }

    /// A gossip period is over: pages are served again.
    pub fn reset_serve_limit(&mut self) {
        self.served = 0;
    }

    /// A message came from a member.
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
        let is_sound = offer.topic == topic
            && offer.age >= 0
            && (1..=MAX_PAGES * PAGE_BYTES).contains(&(offer.length as usize));
        let seen = now - offer.age;
        let age = ListAge { revision: offer.revision, seen };
        if !is_sound || newer_than.is_some_and(|newer_than| age <= newer_than) {
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
            // The window is in: the next one is requested at once.
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

    /// One round: questions, choices and windows that fell due. `peers`: those alive, in an order drawn from the seed.
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
            // Its source is gone, or serves others: another one is taken.
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
            let ask = |&to: &Peer| OutgoingMessage { to, message: ListMessage::Wanted(topic) };
            messages.extend(queried.map(ask));
        }
    }

    /// The download of the best offer: of the latest revision, and of that the one seen last.
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
