//! Sessions of gateways, store nodes and observers with all control nodes: the membership of the system.
//!
//! A process is a member while its session is open. Every control node reports the list of its local sessions to the
//! others. A process that is missing in a report has a short time to open a session with another control node before it
//! counts as dead.
//!
//! Of two incarnations of a process, the one whose session was opened last is the later one. Reports give the age of each
//! session by the clock of the reporter, because two reports may arrive in either order, and a control node that has just
//! started knows neither incarnation.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{Handshake, Role, StoreHealth};

/// A process whose session ended counts as dead after this time, in milliseconds, unless it opens another session.
pub const RECONNECT_GRACE_MS: Milliseconds = 300;
/// A report of sessions is no longer valid when it is older than this, in milliseconds.
pub const REPORT_TIMEOUT_MS: Milliseconds = 1_500;

/// A list of sessions that is not renewed for this time, in milliseconds, is forgotten: its reporter has gone for good.
const LIST_RETENTION_MS: Milliseconds = 600_000;

/// A session as one control node reports it to the others.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Session {
    /// Role of the process.
    pub role: Role,
    /// Name of the process's machine.
    pub name: String,
    /// Failure domain of the process's machine.
    pub zone: String,
    /// Address and disk of the process.
    pub member: MemberId,
    /// Random number of this start of the process.
    pub incarnation: u64,
    /// Fraction of a CPU core that the process may use.
    pub share: f32,
    /// Latest health that the process has reported; `None` before the first report.
    pub health: Option<StoreHealth>,
    /// Time from the opening of the session until this report of it, in milliseconds.
    pub age_ms: Milliseconds,
}

impl Session {
    /// Creates the session of a process that has just introduced itself.
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

/// The report of one control node about a process.
#[derive(Debug)]
struct SessionReport {
    session: Session,
    /// The control node that reported the session; `None` for a local one.
    reporter: Option<MemberId>,
    /// When the session was opened, by the clock of this node. Reports may be delayed, so this is the earliest time that any
    /// of them gave.
    opened_at: Milliseconds,
    /// The report is no longer valid from this time on, unless it is renewed; `None` while a local session is open.
    expires_at: Option<Milliseconds>,
}

impl SessionReport {
    /// Returns whether this is a local session that has not ended.
    fn is_open_here(&self) -> bool {
        self.reporter.is_none() && self.expires_at.is_none()
    }
}

/// Identifies a process across its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    /// Name of the process's machine.
    name: String,
    /// Number of the process's role.
    role: u8,
}

impl ProcessKey {
    fn of(session: &Session) -> ProcessKey {
        ProcessKey { name: session.name.clone(), role: session.role as u8 }
    }
}

/// All sessions known to this control node: for each process, the reports of all control nodes, with the session that was
/// opened last first. A process is alive while at least one report of it is valid.
#[derive(Default, Debug)]
pub struct SessionTable {
    reports: BTreeMap<ProcessKey, Vec<SessionReport>>,
    /// The last list of each other control node.
    lists: BTreeMap<MemberId, ReportedList>,
}

/// The list of another control node's local sessions.
#[derive(Debug)]
struct ReportedList {
    sessions: Vec<Session>,
    /// When the list was received or renewed. The ages in it are as of this time.
    received_at: Milliseconds,
}

impl SessionTable {
    /// Adds a local session that was opened or whose properties have changed.
    pub fn open(&mut self, session: Session, now: Milliseconds) {
        let reports = self.reports.entry(ProcessKey::of(&session)).or_default();
        let is_known = |report: &&SessionReport| {
            report.is_open_here() && report.session.incarnation == session.incarnation
        };
        let opened_at = reports.iter().find(is_known).map_or(now, |report| report.opened_at);
        reports.retain(|report| report.reporter.is_some());
        insert(reports, SessionReport { session, reporter: None, opened_at, expires_at: None });
    }

    /// Records that a local session has ended.
    pub fn close(&mut self, session: &Session, now: Milliseconds) {
        let reports = self.reports.get_mut(&ProcessKey::of(session)).into_iter().flatten();
        let own = |report: &&mut SessionReport| {
            report.is_open_here() && report.session.incarnation == session.incarnation
        };
        for report in reports.filter(own) {
            report.expires_at = Some(now + RECONNECT_GRACE_MS);
        }
    }

    /// Replaces the local sessions of another control node by its latest list.
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

    /// Renews the last list of another control node, which has reported that it is unchanged. The sessions count as reported
    /// again, even if they have expired here meanwhile.
    pub fn renew_report(&mut self, reporter: MemberId, now: Milliseconds) {
        let Some(list) = self.lists.get(&reporter) else { return };
        let waited_ms = now.saturating_sub(list.received_at);
        let aged = |session: &Session| Session { age_ms: session.age_ms + waited_ms, ..session.clone() };
        let sessions = list.sessions.iter().map(aged).collect();
        self.apply_report(reporter, sessions, now);
    }

    /// Returns the number of sessions in the last list of a control node; `None` if that list is no longer valid.
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

    /// Removes expired reports. Returns whether a process is dead as a result.
    pub fn expire(&mut self, now: Milliseconds) -> bool {
        self.lists.retain(|_, list| now < list.received_at + LIST_RETENTION_MS);
        let before = self.reports.len();
        self.reports.retain(|_, reports| {
            reports.retain(|report| report.expires_at.is_none_or(|at| at > now));
            !reports.is_empty()
        });
        before != self.reports.len()
    }

    /// Returns all open sessions, with any control node.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.reports.values().filter_map(|reports| reports.first()).map(|report| &report.session)
    }

    /// Returns the open sessions with this control node, with their current ages.
    pub fn local(&self, now: Milliseconds) -> Vec<Session> {
        let local = self.reports.values().flatten().filter(|report| report.is_open_here());
        let aged = |report: &SessionReport| Session {
            age_ms: now.saturating_sub(report.opened_at),
            ..report.session.clone()
        };
        local.map(aged).collect()
    }

    /// Returns the gateways that have a session and are not shutting down.
    pub fn gateways(&self) -> impl Iterator<Item = &Session> {
        let is_leaving = |session: &Session| session.health.is_some_and(|health| health.draining);
        self.sessions().filter(move |session| session.role == Role::Gateway && !is_leaving(session))
    }
}

/// Inserts a report in order: the session that was opened last first; of two opened at the same time the local one first.
fn insert(reports: &mut Vec<SessionReport>, report: SessionReport) {
    let sort_key = |report: &SessionReport| (Reverse(report.opened_at), !report.is_open_here());
    let index = reports.partition_point(|known| sort_key(known) < sort_key(&report));
    reports.insert(index, report);
}
