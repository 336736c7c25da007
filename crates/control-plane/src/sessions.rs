//! Sessions of gateways, store nodes and observers with any control node: who is a member of the system.
//!
//! A process is a member for as long as its session is open. Every control node reports its list of local sessions to
//! the others. A process that is missing from a report is given a moment to open a session with another control node
//! before it counts as dead.
//!
//! Of two starts of a process the one whose session was opened last is the later one. Reports say how old each session
//! is by the clock of its reporter, since two reports may arrive in either order, and a control node that has just
//! started knows neither start.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{Handshake, Role, StoreHealth};

/// A process whose session ended is dead after this time, in milliseconds, unless it opens another session.
pub const RECONNECT_GRACE_MS: Milliseconds = 300;
/// A report says nothing about its sessions any more once it is older than this, in milliseconds.
pub const REPORT_TIMEOUT_MS: Milliseconds = 1_500;

/// A list of sessions that isn't renewed for this time is forgotten, in milliseconds: its reporter has gone for good.
const LIST_RETENTION_MS: Milliseconds = 600_000;

/// A session as one control node reports it to the others.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Session {
    /// What the process does.
    pub role: Role,
    /// Name of its machine.
    pub name: String,
    /// Failure domain of its machine.
    pub zone: String,
    /// Address and disk of the process.
    pub member: MemberId,
    /// Random number of this start of the process.
    pub incarnation: u64,
    /// Share of a core that the process may use.
    pub share: f32,
    /// Newest health that the process has sent; `None` before the first one.
    pub health: Option<StoreHealth>,
    /// Time since the session was opened, when it was reported, in milliseconds.
    pub age_ms: Milliseconds,
}

impl Session {
    /// The session of a process that has just introduced itself.
    pub fn new(handshake: &Handshake) -> Session {
        Session {
            role: handshake.role,
            name: handshake.name.clone(),
            zone: handshake.zone.clone(),
            member: handshake.member,
            incarnation: handshake.incarnation,
            share: handshake.cpu_share,
            health: None,
            age_ms: 0,
        }
    }
}

/// What one control node says of a process.
#[derive(Debug)]
struct SessionReport {
    session: Session,
    /// The control node that reported the session; `None` for a local one.
    reporter: Option<MemberId>,
    /// When the session was opened, by the clock of this node: the earliest time that any report of it gave, as reports
    /// may be delayed.
    opened_at: Milliseconds,
    /// From this time on the report says nothing, unless it is renewed.
    expires_at: Option<Milliseconds>,
}

impl SessionReport {
    /// A local session that hasn't ended.
    fn is_open_here(&self) -> bool {
        self.reporter.is_none() && self.expires_at.is_none()
    }
}

/// Names a process over its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    /// Name of its machine.
    name: String,
    /// Number of its role.
    role: u8,
}

impl ProcessKey {
    fn of(session: &Session) -> ProcessKey {
        ProcessKey { name: session.name.clone(), role: session.role as u8 }
    }
}

/// All sessions known to this control node, by name and role of the process: what each control node reports, with the
/// session that was opened last first. A process lives for as long as one report says so.
#[derive(Default, Debug)]
pub struct SessionTable {
    reports: BTreeMap<ProcessKey, Vec<SessionReport>>,
    /// The last list of each control node.
    lists: BTreeMap<MemberId, ReportedList>,
}

/// The local sessions of another control node.
#[derive(Debug)]
struct ReportedList {
    sessions: Vec<Session>,
    /// When it was received or renewed; the ages are as of then.
    received_at: Milliseconds,
}

impl SessionTable {
    /// A local session was opened or its facts changed.
    pub fn open(&mut self, session: Session, now: Milliseconds) {
        let reports = self.reports.entry(ProcessKey::of(&session)).or_default();
        let is_known = |report: &&SessionReport| {
            report.is_open_here() && report.session.incarnation == session.incarnation
        };
        let opened_at = reports.iter().find(is_known).map_or(now, |report| report.opened_at);
        reports.retain(|report| report.reporter.is_some());
        insert(reports, SessionReport { session, reporter: None, opened_at, expires_at: None });
    }

    /// A local session ended.
    pub fn close(&mut self, session: &Session, now: Milliseconds) {
        let reports = self.reports.get_mut(&ProcessKey::of(session)).into_iter().flatten();
        let own = |report: &&mut SessionReport| {
            report.is_open_here() && report.session.incarnation == session.incarnation
        };
        for report in reports.filter(own) {
            report.expires_at = Some(now + RECONNECT_GRACE_MS);
        }
    }

    /// Another control node has reported all of its local sessions.
    pub fn apply_report(&mut self, reporter: MemberId, sessions: Vec<Session>, now: Milliseconds) {
        let limit = now + RECONNECT_GRACE_MS;
        let former = self.reports.values_mut().flatten().filter(|report| report.reporter == Some(reporter));
        for report in former {
            report.expires_at = Some(report.expires_at.map_or(limit, |at| at.min(limit)));
        }
        for session in &sessions {
            self.add_reported(session.clone(), reporter, now);
        }
        self.lists.insert(reporter, ReportedList { sessions, received_at: now });
    }

    /// Another control node has reported that its local sessions are those of its last list. They count as reported
    /// anew, also if they have expired here meanwhile.
    pub fn renew_report(&mut self, reporter: MemberId, now: Milliseconds) {
        let Some(list) = self.lists.get(&reporter) else { return };
        let waited_ms = now.saturating_sub(list.received_at);
        let aged = |session: &Session| Session { age_ms: session.age_ms + waited_ms, ..session.clone() };
        let sessions = list.sessions.iter().map(aged).collect();
        self.apply_report(reporter, sessions, now);
    }

    /// How many sessions a control node has by its last list, if that says anything still.
    pub fn reported_count(&self, reporter: MemberId, now: Milliseconds) -> Option<usize> {
        let list = self.lists.get(&reporter).filter(|list| now < list.received_at + REPORT_TIMEOUT_MS)?;
        Some(list.sessions.len())
    }

    fn add_reported(&mut self, session: Session, reporter: MemberId, now: Milliseconds) {
        let reports = self.reports.entry(ProcessKey::of(&session)).or_default();
        let mut opened_at = now.saturating_sub(session.age_ms);
        if let Some(index) = reports.iter().position(|known| known.reporter == Some(reporter)) {
            let known = reports.remove(index);
            if known.session.incarnation == session.incarnation {
                opened_at = opened_at.min(known.opened_at);
            }
        }
        let expires_at = Some(now + REPORT_TIMEOUT_MS);
        insert(reports, SessionReport { session, reporter: Some(reporter), opened_at, expires_at });
    }

    /// Removes expired reports; true if a process is dead by that.
    pub fn expire(&mut self, now: Milliseconds) -> bool {
        self.lists.retain(|_, list| now < list.received_at + LIST_RETENTION_MS);
        let before = self.reports.len();
        self.reports.retain(|_, reports| {
            reports.retain(|report| report.expires_at.is_none_or(|at| at > now));
            !reports.is_empty()
        });
        before != self.reports.len()
    }

    /// All open sessions, with whichever control node.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.reports.values().filter_map(|reports| reports.first()).map(|report| &report.session)
    }

    /// Open sessions with this control node, with their ages.
    pub fn local(&self, now: Milliseconds) -> Vec<Session> {
        let local = self.reports.values().flatten().filter(|report| report.is_open_here());
        let aged = |report: &SessionReport| Session {
            age_ms: now.saturating_sub(report.opened_at),
            ..report.session.clone()
        };
        local.map(aged).collect()
    }

    /// Gateways that have a session and aren't shutting down.
    pub fn gateways(&self) -> impl Iterator<Item = &Session> {
        let is_leaving = |session: &Session| session.health.is_some_and(|health| health.draining);
        self.sessions().filter(move |session| session.role == Role::Gateway && !is_leaving(session))
    }
}

/// Inserts a report in order: the session that was opened last first, of two opened at one time the local one.
fn insert(reports: &mut Vec<SessionReport>, report: SessionReport) {
    let sort_key = |report: &SessionReport| (Reverse(report.opened_at), !report.is_open_here());
    let index = reports.partition_point(|known| sort_key(known) < sort_key(&report));
    reports.insert(index, report);
}
