//! The listener and the connections of clients: what they ask, and what they are answered.

use std::borrow::Cow;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use orchidvalve::interface::{Nanos, RetrievalIx};
use orchidvalve::ledger::Ledger;
use orchidvalve_orders::Section;
use rustix::io::Errno;
use serde_json::Value;
use slotmap::{SlotMap, new_key_type};
use socket2::{Domain, Socket, Type};

use crate::config::Plan;
use crate::deadlines::Mark;
use crate::desk::{Asked, Desk};
use crate::http::{self, Fault, Message};
use crate::log;
use crate::node::{Due, Kit};
use crate::streams::{Loop, Noted, Stream, Who};

new_key_type! {
    pub struct ClientKey;
}

const LONGEST_ID: usize = 200;
/// In microseconds; beyond it a guess at the work is none, and would overflow the aggregator's sums.
const LONGEST_HINT: f64 = 1e9;
/// By how much a weight may be off for its digits: real ones carry six, and seven parts were seen 6e-6 off.
const ROUNDED: f64 = 1e-5;
/// Connections that the system keeps until they are taken in: crowds come at once, and one turned away there comes
/// back a second later.
const WAITING: i32 = 1024;
/// Bytes that are read in one round of what nobody listens to.
const DISCARDED: u64 = 256 << 10;
const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

struct Client {
    stream: Stream,
    /// Whether it ever sent a whole request.
    asks: bool,
    /// What it waits for.
    asked: Option<RetrievalIx>,
    /// Since when the request that is being read, or served, is here.
    since: Option<Nanos>,
    used: Nanos,
    /// Whether it stays open after the answer.
    stays: bool,
    /// Nothing more is written; what the peer still sends is read until it closes.
    finished: bool,
    /// When its peer has had its time: to send a whole request, to read its answer, or to go.
    closes: Option<Mark>,
}

impl Client {
    fn idle(&self) -> bool {
        self.asked.is_none() && !self.finished && self.stream.inbox().is_empty() && self.stream.flushed()
    }

    fn close_at(&mut self, at: Option<Mark>, kit: &mut Kit) {
        let before = std::mem::replace(&mut self.closes, at);
        before.into_iter().for_each(|mark| kit.deadlines.clear(mark));
    }
}

pub struct Clients {
    listener: Rc<TcpListener>,
    table: SlotMap<ClientKey, Client>,
    most: usize,
    /// Bytes that the unread requests of all may take.
    requests_most: usize,
    /// How long a peer may take to send a whole request, to say nothing more at the end, and to read.
    request_within: Nanos,
    linger: Nanos,
    read_within: Nanos,
    /// Someone may wait at the door, as there was no room.
    queue: bool,
    pub serving: bool,
    pub draining: bool,
    /// When the last connection came in.
    pub accepted: Nanos,
}

/// What becomes of one message.
enum Heard {
    Taken(RetrievalIx),
    Said(u16, Cow<'static, str>),
}

impl Clients {
    pub fn listen(plan: &Plan, events: &Loop) -> io::Result<Clients> {
        let door = Socket::new(Domain::for_address(plan.listen), Type::STREAM, None)?;
        door.set_reuse_address(true)?;
        door.bind(&plan.listen.into())?;
        door.listen(WAITING)?;
        let listener = Rc::new(TcpListener::from(door));
        listener.set_nonblocking(true)?;
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let noted = |_, _: &mut _, noted: &mut Noted| {
            noted.note(Who::Door);
            Ok(PostAction::Continue)
        };
        events.insert_source(source, noted).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Clients {
            listener,
            table: SlotMap::with_key(),
            most: plan.clients_most,
            requests_most: plan.requests_most,
            request_within: plan.request_within,
            linger: plan.connect_within,
            read_within: plan.link_idle,
            queue: false,
            serving: false,
            draining: false,
            accepted: 0,
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn connected(&self) -> usize {
        self.table.len()
    }

    // ---- connections ----

    pub fn accept(&mut self, kit: &mut Kit) {
        self.queue = false;
        loop {
            if self.table.len() >= self.most && !self.evict(kit) {
                log!("no room for more than {} clients: others wait", self.most);
                return self.full(kit);
            }
            match self.listener.accept() {
                Ok((socket, _)) => {
                    let (now, within) = (kit.now, self.request_within);
                    let admitted = self.table.try_insert_with_key(|key| {
                        let stream = Stream::new(&kit.events, socket, Who::Client(key))?;
                        let closes = Some(kit.deadlines.set(now + within, Due::Client(key)));
                        let (asks, asked, since, stays, finished) = (false, None, None, true, false);
                        Ok::<_, io::Error>(Client {
                            stream,
                            asks,
                            asked,
                            since,
                            used: now,
                            stays,
                            finished,
                            closes,
                        })
                    });
                    match admitted {
                        Ok(_) => {
                            kit.counters.clients_accepted += 1;
                            self.accepted = now;
                        }
                        Err(fault) => log!("a client could not be taken in: {fault}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(fault) => {
                    log!("cannot accept: {fault}");
                    let none_left = [Errno::MFILE, Errno::NFILE].map(|e| Some(e.raw_os_error()));
                    if none_left.contains(&fault.raw_os_error()) && self.evict(kit) {
                        continue;
                    }
                    return self.full(kit);
                }
            }
        }
    }

    /// Others wait at the door, which tells of them only once: it is tried again when a client leaves, or soon.
    fn full(&mut self, kit: &mut Kit) {
        if !std::mem::replace(&mut self.queue, true) {
            kit.deadlines.set(kit.now + self.linger, Due::Door);
        }
    }

    /// Closes a connection that has said nothing since it came, where who connects in order to ask would have;
    /// where there is none, the one that has been idle longest, and where none is idle, one that has not sent its request whole. Those that came
    /// in this round are spared: their requests may be there, not read yet.
    fn evict(&mut self, kit: &mut Kit) -> bool {
        let (now, soon) = (kit.now, self.linger / 10);
        let free = self.table.iter().filter(|(_, c)| c.asked.is_none() && c.stream.flushed() && c.used < now);
        let mute = |c: &Client| c.idle() && !c.asks && c.used + soon <= now;
        let Some(key) = free.min_by_key(|(_, c)| (!mute(c), !c.idle(), c.used)).map(|(key, _)| key) else {
            return false;
        };
        kit.counters.clients_evicted += 1;
        self.remove(key, kit);
        true
    }

    /// The one place where a connection is given back.
    fn remove(&mut self, key: ClientKey, kit: &mut Kit) -> Option<RetrievalIx> {
        let client = self.table.remove(key)?;
        client.closes.into_iter().for_each(|mark| kit.deadlines.clear(mark));
        if self.queue {
            kit.again.push(Who::Door);
        }
        client.asked
    }

    /// From now on connections end with their next answer; those without a request end now. What has come on
    /// them unnoticed is read first, lest a request be lost between two looks.
    pub fn drain(&mut self, kit: &mut Kit) {
        self.draining = true;
        let idle: Vec<ClientKey> = self.table.iter().filter(|(_, c)| c.idle()).map(|(key, _)| key).collect();
        for key in idle {
            let client = &mut self.table[key];
            match client.stream.fill(http::MESSAGE) {
                Ok(true) if client.stream.inbox().is_empty() => self.finish(key, kit),
                _ => kit.again.push(Who::Client(key)),
            }
        }
    }

    fn finish(&mut self, key: ClientKey, kit: &mut Kit) {
        let Some(client) = self.table.get_mut(key) else { return };
        client.stays = false;
        if client.stream.flushed() && !client.finished {
            client.stream.finish();
            client.finished = true;
            let at = kit.deadlines.set(kit.now + self.linger, Due::Client(key));
            client.close_at(Some(at), kit);
        }
    }

    /// Its time is up. Half a request is told so; who has said nothing, or has been told, is closed. Gives the
    /// retrieval whose client has gone.
    pub fn overdue(&mut self, key: ClientKey, kit: &mut Kit) -> Option<RetrievalIx> {
        let client = self.table.get_mut(key)?;
        client.closes = None;
        if client.asked.is_some() || client.idle() || client.finished || !client.stream.flushed() {
            return self.remove(key, kit);
        }
        self.faulty(key, http::TOO_SLOW, kit);
        None
    }

    /// Told what is wrong, and to go: what more it sends cannot be told apart into requests.
    fn faulty(&mut self, key: ClientKey, Fault(status, text): Fault, kit: &mut Kit) {
        let Some(client) = self.table.get_mut(key) else { return };
        kit.counters.bad_requests += 1;
        (client.stays, client.used) = (false, kit.now);
        client.stream.take(client.stream.inbox().len());
        client.close_at(None, kit);
        self.answer(key, status, TEXT, "", text.as_bytes(), kit);
    }

    // ---- requests ----

    /// Gives the retrieval whose client has gone.
    pub fn ready(
        &mut self,
        key: ClientKey,
        at: Nanos,
        plan: &Plan,
        desk: &mut Desk,
        ledger: &mut Ledger,
        kit: &mut Kit,
    ) -> Option<RetrievalIx> {
        let client = self.table.get_mut(key)?;
        let before = client.stream.read;
        let filled = if client.finished {
            client.stream.discard(DISCARDED)
        } else {
            client.stream.fill(http::MESSAGE)
        };
        let came = client.stream.read - before;
        kit.counters.bytes_in += came;
        if !matches!(filled, Ok(true)) {
            return self.remove(key, kit);
        }
        if client.finished {
            // While it still sends, closing would take the answer from it before it is read.
            if came > 0 {
                let at = (kit.now + self.linger).min(client.used + 2 * self.request_within);
                let at = kit.deadlines.set(at, Due::Client(key));
                client.close_at(Some(at), kit);
            }
            if client.stream.more {
                kit.again.push(Who::Client(key));
            }
            return None;
        }
        if client.stream.held() > http::HEAD && client.asked.is_none() && client.stream.flushed() {
            let held: usize = self.table.values().map(|c| c.stream.held()).sum();
            if held > self.requests_most {
                self.faulty(key, http::NO_MEMORY, kit);
                return None;
            }
        }
        let lapsed = self.flush(key, kit);
        if lapsed.is_some() {
            return lapsed;
        }
        while let Some(client) = self.table.get_mut(key) {
            if client.asked.is_some() || client.finished || !client.stream.flushed() {
                break;
            }
            if !client.stream.inbox().is_empty() {
                client.since.get_or_insert(at);
            }
            let full = client.stream.inbox().len() >= http::MESSAGE;
            let read = http::request(client.stream.inbox());
            match if full { read.and_then(|m| m.map(Some).ok_or(http::BODY_TOO_LARGE)) } else { read } {
                Ok(None) => {
                    if let (Some(since), None) = (client.since, client.closes) {
                        let at = since + self.request_within;
                        client.closes = Some(kit.deadlines.set(at, Due::Client(key)));
                    }
                    break;
                }
                Ok(Some(message)) => {
                    let since = client.since.take().unwrap_or(at);
                    let (length, stays) = (message.length, message.stays && !self.draining);
                    let serving = self.serving && !self.draining;
                    let heard = heed(&message, (key, since), serving, plan, desk, ledger, kit);
                    client.stream.take(length);
                    client.stays = stays;
                    (client.asks, client.used) = (true, kit.now);
                    client.close_at(None, kit);
                    match heard {
                        Heard::Taken(ix) => client.asked = Some(ix),
                        Heard::Said(status, text) => self.answer(key, status, TEXT, "", text.as_bytes(), kit),
                    }
                }
                Err(fault) => self.faulty(key, fault, kit),
            }
        }
        None
    }

    /// Writes an answer; on a retrieval's own, its connection is free again.
    fn answer(&mut self, key: ClientKey, status: u16, kind: &str, more: &str, body: &[u8], kit: &mut Kit) {
        let draining = self.draining;
        let Some(client) = self.table.get_mut(key) else { return };
        client.stays &= !draining;
        client.asked = None;
        http::answer(client.stream.outbox(), status, kind, more, body, client.stays);
        self.flush(key, kit);
    }

    fn flush(&mut self, key: ClientKey, kit: &mut Kit) -> Option<RetrievalIx> {
        let client = self.table.get_mut(key)?;
        let before = client.stream.written;
        let waits = !client.stream.flushed();
        let flushed = client.stream.flush();
        kit.counters.bytes_out += client.stream.written - before;
        if flushed.is_err() {
            return self.remove(key, kit);
        }
        if !client.stream.flushed() && client.closes.is_none() {
            client.closes = Some(kit.deadlines.set(kit.now + self.read_within, Due::Client(key)));
        }
        if waits && client.stream.flushed() {
            client.used = kit.now;
            client.close_at(None, kit);
            if !client.stays {
                self.finish(key, kit);
            } else if client.stream.more || !client.stream.inbox().is_empty() {
                kit.again.push(Who::Client(key));
            }
        }
        None
    }

    // ---- final answers ----

    /// Answers from the parts that are in.
    pub fn served(&mut self, ix: RetrievalIx, whole: bool, desk: &Desk, kit: &mut Kit) {
        let Some(r) = desk.retrieval(ix) else { return };
        let mut body = format!("{{\"entire\":{whole},\"items\":[");
        let mut first = true;
        for part in r.parts.iter().filter_map(|&p| desk.part(p)) {
            if let Some(value) = &part.value {
                let (comma, value) = (if first { "" } else { "," }, Value::from(&**value));
                body.push_str(&format!("{comma}{{\"slice\":{},\"body\":{value}}}", part.shard));
                first = false;
            }
        }
        body.push_str("]}");
        let count = if whole { &mut kit.counters.answers_whole } else { &mut kit.counters.answers_short };
        *count += 1;
        self.answer(r.client, 200, JSON, "", body.as_bytes(), kit);
    }

    pub fn dismissed(&mut self, ix: RetrievalIx, stay_away: Nanos, desk: &Desk, kit: &mut Kit) {
        let Some(r) = desk.retrieval(ix) else { return };
        let more = match stay_away {
            ..=0 => String::new(),
            wait => format!("Retry-After: {}\r\n", wait as f64 / 1e9),
        };
        kit.counters.dismissed += 1;
        self.answer(r.client, 503, TEXT, &more, b"dismissed: trying again is harmless\n", kit);
    }

    pub fn given_up(&mut self, ix: RetrievalIx, desk: &Desk, kit: &mut Kit) {
        let Some(r) = desk.retrieval(ix) else { return };
        kit.counters.given_up += 1;
        self.answer(r.client, 504, TEXT, "", b"given up: parts of it may have run\n", kit);
    }
}

/// `from`: whose message it is, and since when it is here.
fn heed(
    message: &Message,
    from: (ClientKey, Nanos),
    serving: bool,
    plan: &Plan,
    desk: &mut Desk,
    ledger: &mut Ledger,
    kit: &mut Kit,
) -> Heard {
    let path = message.path.split('?').next().unwrap_or_default();
    let said = |status, text: &'static str| Heard::Said(status, Cow::Borrowed(text));
    match (message.method, path) {
        ("POST", "/api") => {}
        ("GET", "/_health") if serving => return said(200, "serving\n"),
        ("GET", "/_health") => return said(503, "not serving\n"),
        ("GET", "/metrics") => return Heard::Said(200, kit.counters_text(desk).into()),
        (_, "/api" | "/_health" | "/metrics") => return said(405, "no such method here\n"),
        _ => return said(404, "nothing here\n"),
    }
    let body = serde_json::from_slice::<Value>(&message.body).map_err(|e| format!("body: no JSON: {e}"));
    let taken = body.and_then(|body| {
        let body = Section::of("body", &body)?;
        let asked = asked(message, &body, from.1, plan)?;
        if desk.is_open(asked.id) {
            return Ok(said(409, "Request-Id: it is open already\n"));
        }
        if desk.open >= plan.open_most {
            kit.counters.retrievals_over_cap += 1;
            return Ok(said(503, "too much is open\n"));
        }
        Ok(Heard::Taken(desk.take(&asked, from.0, ledger, kit)))
    });
    taken.unwrap_or_else(|fault| {
        kit.counters.bad_requests += 1;
        log!("bad request: {}", fault.escape_default());
        Heard::Said(400, format!("{fault}\n").into())
    })
}

fn asked<'a>(
    message: &Message<'a>,
    body: &Section<'a>,
    since: Nanos,
    plan: &Plan,
) -> Result<Asked<'a>, String> {
    let header = |name: &str| message.header(name).ok_or_else(|| format!("{name}: missing, or there twice"));
    let id = mark("Request-Id", header("Request-Id")?)?;
    let class = header("Request-Class")?;
    let grade = plan.grades.iter().position(|(name, _)| name == class);
    let grade = grade.ok_or_else(|| format!("Request-Class: unknown class '{class}'"))?;
    let tenant = match plan.tenants.is_empty() {
        true => 0,
        false => {
            let name = header("Tenant")?;
            let tenant = plan.tenants.iter().position(|t| t == name);
            tenant.ok_or_else(|| format!("Tenant: unknown tenant '{name}'"))?
        }
    };
    let valid_until = since.saturating_add(timeout(header("Request-Timeout")?)?);
    let key = match plan.grades[grade].1 {
        true => Some(mark("Idempotency-Key", header("Idempotency-Key")?)?),
        false => None,
    };
    let (mut parts, mut work) = (Vec::new(), 0i64);
    for slice in body.list("slices")?.ok_or_else(|| body.fault("slices", "missing"))? {
        let (shard, weight) = (slice.index("slice")?, slice.number("mass")?);
        if shard >= plan.shards {
            return Err(slice.fault("slice", &format!("no shard {shard} among {}", plan.shards)));
        }
        if parts.iter().any(|&(other, _)| other == shard) {
            return Err(slice.fault("slice", &format!("shard {shard} is named twice")));
        }
        if !(weight > 0.0 && weight <= 1.0 + ROUNDED) {
            return Err(slice.fault("mass", "should be above 0, and 1 at most"));
        }
        let hint = slice.or("micros", 0.0, Section::number)?;
        work = work.saturating_add((hint.clamp(0.0, LONGEST_HINT) * 1e3) as i64);
        parts.push((shard, weight));
    }
    if parts.is_empty() {
        return Err(body.fault("slices", "should name one part at least"));
    }
    // Written with few digits, weights sum to a little less than the whole, which then never seems to be in.
    let whole: f64 = parts.iter().map(|part| part.1).sum();
    if (whole - 1.0).abs() > ROUNDED * parts.len() as f64 {
        return Err(body.fault("slices", &format!("their weights should add up to 1, not {whole}")));
    }
    parts.iter_mut().for_each(|part| part.1 /= whole);
    let text = body.text("filter")?;
    let again = message.header("Client-Retry").is_some_and(|v| v == "1");
    Ok(Asked { id, grade, tenant, valid_until, work, again, key, text, parts })
}

/// Ids and keys go into the lines of frames and must not break one.
fn mark<'a>(name: &str, text: &'a str) -> Result<&'a str, String> {
    let plain = |b: u8| b.is_ascii_graphic() && b != b',';
    if (1..=LONGEST_ID).contains(&text.len()) && text.bytes().all(plain) {
        Ok(text)
    } else {
        Err(format!("{name}: should be 1 to {LONGEST_ID} plain characters without spaces and commas"))
    }
}

fn timeout(text: &str) -> Result<Nanos, String> {
    let unit = match text.as_bytes().last() {
        Some(b'm') => 1_000_000,
        Some(b'u') => 1_000,
        _ => 0,
    };
    let digits = text.get(..text.len().saturating_sub(1)).unwrap_or_default();
    let number = if digits.bytes().all(|b| b.is_ascii_digit()) { digits.parse::<i64>().ok() } else { None };
    let time = number.and_then(|n| n.checked_mul(unit)).filter(|&time| time > 0);
    time.ok_or_else(|| "Request-Timeout: should be a number and a unit, 'm' or 'u'".to_owned())
}
