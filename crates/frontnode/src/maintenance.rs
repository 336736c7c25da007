//! This node's part in the maintenance of machines, if the operator enables it: a UDP socket, the rounds of
//! `orchidvalve-maintenance`, and the observed health of the machines. The maintenance queue ("the order") is agreed on
//! by the group; this module only stops new attempts to the machines that the queue closes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use derive_more::{Display, Error};
use orchidvalve::interface::{Nanos, SlowStart};
use orchidvalve_log_store::Batch;
use orchidvalve_log_store::background_writer::PendingWrite;
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::node::{CommandCounts, Inbox, Node, NodeSettings, OutputSink};
use orchidvalve_maintenance::queue::Timing;
use orchidvalve_maintenance::raft_group::{Group, GroupSettings, LogUpdate, RecoveredLog};
use serde::Deserialize;

use crate::config::RingLayout;
use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::{EventSource, ReadyEvents, Timer};
use crate::log;
use crate::maintenance_requests::MaintenanceRequests;
use crate::maintenance_view::view_json;
use crate::membership::Endpoint;
use crate::metrics::Gauge;
use crate::persistence::MAINTENANCE_KEYSPACE;
use crate::settings_file::{SectionName, SettingsFileError, milliseconds, parse};
use crate::stable_hash::stable_hash;

/// The maximum number of datagrams read in one round; the rest is read in the next.
const MAX_DATAGRAMS_PER_ROUND: usize = 256;
/// The maximum length of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// The interval at which completed disk writes are checked, as they do not wake the event loop.
const DISK_POLL_INTERVAL: Nanos = 2_000_000;
const SECOND_MS: u64 = 1000;
/// The maximum number of members of the group.
const MAX_GROUP: usize = 9;

const SECTION: SectionName = SectionName("maintenance");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MaintenanceFile {
    maintenance: MaintenanceKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MaintenanceKeys {
    listen: String,
    #[serde(default)]
    advertise: Option<String>,
    group: Vec<String>,
    /// This node's position in the group, from 1; absent if it is a follower.
    #[serde(default)]
    member: Option<usize>,
    #[serde(default = "MaintenanceKeys::tick_ms")]
    tick_ms: u64,
    #[serde(default = "MaintenanceKeys::follow_ms")]
    follow_ms: u64,
    #[serde(default = "MaintenanceKeys::drain_ms")]
    drain_ms: u64,
    #[serde(default = "MaintenanceKeys::look_lasts_ms")]
    look_lasts_ms: u64,
    #[serde(default = "MaintenanceKeys::share")]
    share: f64,
    #[serde(default = "MaintenanceKeys::least_sound")]
    least_sound: u32,
    #[serde(default = "MaintenanceKeys::zone_share")]
    zone_share: f64,
    #[serde(default = "MaintenanceKeys::most")]
    most: u32,
}

impl MaintenanceKeys {
    fn tick_ms() -> u64 {
        100
    }
    fn follow_ms() -> u64 {
        500
    }
    fn drain_ms() -> u64 {
        5 * SECOND_MS
    }
    fn look_lasts_ms() -> u64 {
        10 * SECOND_MS
    }
    fn share() -> f64 {
        0.5
    }
    fn least_sound() -> u32 {
        1
    }
    fn zone_share() -> f64 {
        0.25
    }
    fn most() -> u32 {
        16
    }
}

/// The settings of the node's part in maintenance.
#[derive(Clone, Debug)]
pub struct MaintenanceSettings {
    /// The address that receives datagrams.
    pub listen: SocketAddrV4,
    /// The address at which others reach this node, if it differs from the source address of its datagrams.
    pub advertise: Option<SocketAddrV4>,
    /// The addresses of the group's members, in the order of their numbers.
    pub group: Vec<SocketAddrV4>,
    /// This node's number in the group, from 1; `None` if it is a follower.
    pub member: Option<u64>,
    /// The time between two ticks of the group.
    pub tick: Nanos,
    /// The time between two requests of a follower.
    pub follow_interval: Nanos,
    /// The limits on machines that may be out at the same time.
    pub rule: DisruptionBudget,
    /// The durations of the stages.
    pub pace: Timing,
}

impl MaintenanceSettings {
    /// Parses the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing, unknown or out of bounds.
    ///
    /// ```
    /// use orchidvalve_frontnode::maintenance::MaintenanceSettings;
    ///
    /// let file = "[maintenance]\nlisten = \"127.0.0.1:7500\"\ngroup = [\"127.0.0.1:7500\"]\n";
    /// assert!(MaintenanceSettings::read(file).is_ok());
    /// let error = MaintenanceSettings::read(&format!("{file}member = 2\n")).unwrap_err();
    /// assert_eq!(error.to_string(), "maintenance.member: should be 1 to 1, a place in maintenance.group, not 2");
    /// ```
    pub fn read(text: &str) -> Result<MaintenanceSettings, SettingsFileError> {
        let keys = parse::<MaintenanceFile>(text)?.maintenance;
        let check_share = |key: &str, found: f64| match found > 0.0 && found <= 1.0 {
            true => Ok(()),
            false => Err(SECTION.error(key, format!("should be above 0 and 1 at most, not {found}"))),
        };
        let size = keys.group.len();
        if size.is_multiple_of(2) || size > MAX_GROUP {
            let problem = format!("should name an odd number of members, {MAX_GROUP} at most, not {size}");
            return Err(SECTION.error("group", problem));
        }
        if let Some(member) = keys.member.filter(|member| !(1..=size).contains(member)) {
            let problem = format!("should be 1 to {size}, a place in maintenance.group, not {member}");
            return Err(SECTION.error("member", problem));
        }
        SECTION.check_range("tick_ms", keys.tick_ms, 5, 60_000)?;
        SECTION.check_range("follow_ms", keys.follow_ms, 10, 60_000)?;
        SECTION.check_range("drain_ms", keys.drain_ms, 0, 86_400_000)?;
        SECTION.check_range("look_lasts_ms", keys.look_lasts_ms, 10, 86_400_000)?;
        SECTION.check_range("most", keys.most, 1, 100_000)?;
        check_share("share", keys.share)?;
        check_share("zone_share", keys.zone_share)?;
        let group = keys.group.iter().enumerate();
        let group: Result<Vec<_>, _> =
            group.map(|(index, address)| SECTION.address(&format!("group[{index}]"), address)).collect();
        Ok(MaintenanceSettings {
            listen: SECTION.address("listen", &keys.listen)?,
            advertise: keys
                .advertise
                .as_deref()
                .map(|text| SECTION.address("advertise", text))
                .transpose()?,
            group: group?,
            member: keys.member.map(|member| member as u64),
            tick: milliseconds(keys.tick_ms),
            follow_interval: milliseconds(keys.follow_ms),
            rule: DisruptionBudget {
                share: keys.share,
                least_sound: keys.least_sound,
                zone_share: keys.zone_share,
                most: keys.most,
                ..DisruptionBudget::default()
            },
            pace: Timing { drain: milliseconds(keys.drain_ms), look_lasts: milliseconds(keys.look_lasts_ms) },
        })
    }
}

/// Why the node cannot take part in maintenance.
#[derive(Debug, Display, Error)]
pub enum MaintenanceError {
    /// The UDP socket cannot be bound.
    #[display("maintenance.listen: cannot listen on {address}: {error}")]
    Listen {
        /// The configured listen address.
        address: SocketAddrV4,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The socket cannot be registered with the event loop.
    #[display("maintenance.listen: {_0}")]
    Register(#[error(not(source))] String),
    /// The group cannot be joined.
    #[display("maintenance.group: {_0}")]
    Group(#[error(not(source))] String),
    /// A member of the group has no disk. It could vote twice after a restart, and two leaders could then each admit a
    /// machine that holds the same shard.
    #[display("maintenance.member: a member of the group needs a logbook")]
    NoPersistence,
}

/// A change of the group's log that is not yet handed to the disk.
struct Save {
    number: u64,
    update: LogUpdate,
}

/// A change of the group's log that was handed to the disk but may not be durable yet.
struct PendingSave {
    number: u64,
    ticket: PendingWrite,
    handed_over: Nanos,
}

struct GroupWriter<'a> {
    socket: &'a UdpSocket,
    saves: &'a mut VecDeque<Save>,
    unsent: &'a mut u64,
    /// Whether the log cannot be saved; nothing is sent then.
    has_log_failed: bool,
}

impl OutputSink for GroupWriter<'_> {
    fn send(&mut self, to: SocketAddrV4, datagram: Vec<u8>) {
        if self.has_log_failed {
            return;
        }
        // A datagram that the system will not take now is lost, as one on the way would be.
        *self.unsent += u64::from(self.socket.send_to(&datagram, to).is_err());
    }
    fn save(&mut self, number: u64, update: LogUpdate) {
        self.saves.push_back(Save { number, update });
    }
}

/// A datagram and the address of its sender.
struct ReceivedDatagram {
    bytes: Vec<u8>,
    from: SocketAddrV4,
}

/// The properties that distinguish a node from the others.
#[derive(Clone, Copy, Debug)]
pub struct NodeIdentity<'a> {
    /// The name in the configuration.
    pub name: &'a str,
    /// The seed of its random numbers.
    pub seed: u64,
}

/// The state of the queue that operators last read. The view is generated again when it changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PublishedState {
    version: u64,
    /// Whether this node led the group at that time.
    leads: bool,
}

/// Binds the UDP socket and registers it with the event loop.
fn bind(listen: SocketAddrV4, context: &Context) -> Result<Rc<UdpSocket>, MaintenanceError> {
    let listen_error = |error| MaintenanceError::Listen { address: listen, error };
    let socket = UdpSocket::bind(listen).map_err(listen_error)?;
    socket.set_nonblocking(true).map_err(listen_error)?;
    let socket = Rc::new(socket);
    let on_ready = |_, _: &mut _, events: &mut ReadyEvents| {
        events.add(EventSource::Maintenance);
        Ok(PostAction::Continue)
    };
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
    let registered = context.events.insert_source(source, on_ready);
    registered.map_err(|error| MaintenanceError::Register(error.to_string()))?;
    Ok(socket)
}

/// Returns this node as a member of the group with the log from its disk, or `None` if it is a follower.
fn join_group(
    settings: &MaintenanceSettings,
    recovered: Option<RecoveredLog>,
    now: Nanos,
) -> Result<Option<Group>, MaintenanceError> {
    let Some(me) = settings.member else { return Ok(None) };
    let log = recovered.ok_or(MaintenanceError::NoPersistence)?;
    let voters = (1..).take(settings.group.len()).collect();
    let group = Group::new(&GroupSettings::new(me, voters, settings.tick), &log, now);
    group.map(Some).map_err(|error| MaintenanceError::Group(error.to_string()))
}

fn node_settings(settings: &MaintenanceSettings, ring: RingLayout, identity: NodeIdentity) -> NodeSettings {
    NodeSettings {
        me: settings.member.unwrap_or_else(|| stable_hash(identity.name) | 1 << 63),
        group: (1..).zip(settings.group.iter().copied()).collect(),
        follow_interval: settings.follow_interval,
        reached_at: settings.advertise,
        rule: DisruptionBudget {
            cells: ring.cells as u32,
            reach: ring.reach as u32,
            ..settings.rule.clone()
        },
        pace: settings.pace,
    }
}

/// This node's part in maintenance.
pub struct MaintenanceNode {
    slow_start: SlowStart,
    socket: Rc<UdpSocket>,
    /// This node in the maintenance protocol, either a member of the group or a follower.
    node: Node,
    datagrams: Vec<ReceivedDatagram>,
    /// Whether datagrams are left in the socket.
    unread: bool,
    saves: VecDeque<Save>,
    pending_saves: VecDeque<PendingSave>,
    /// The longest time that the disk needed to save a batch of the log.
    max_save_duration: Nanos,
    /// Whether the log can no longer be saved.
    log_failed: bool,
    /// The state that operators read now.
    published: Option<PublishedState>,
    /// Machines that get no new attempts.
    closed: BTreeSet<String>,
    timer: Option<DeadlineKey>,
    unsent: u64,
}

impl MaintenanceNode {
    /// Binds the UDP socket and joins the group. `recovered` is the group's log from this node's disk, if it has one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the group cannot be joined.
    pub fn open(
        settings: &MaintenanceSettings,
        ring: RingLayout,
        slow_start: SlowStart,
        identity: NodeIdentity,
        recovered: Option<RecoveredLog>,
        context: &mut Context,
    ) -> Result<MaintenanceNode, MaintenanceError> {
        let socket = bind(settings.listen, context)?;
        let member = join_group(settings, recovered, context.now)?;
        let node_settings = node_settings(settings, ring, identity);
        let at = socket.local_addr();
        log!(
            "maintenance: datagrams at {}, {} of a group of {}",
            at.map_err(|error| MaintenanceError::Listen { address: settings.listen, error })?,
            settings.member.map_or("a follower".to_owned(), |member| format!("member {member}")),
            settings.group.len()
        );
        // The clock makes the seed differ between starts, as well as a counter of starts would.
        let nonce_seed = (identity.seed ^ context.now as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        context.maintenance_requests = Some(MaintenanceRequests::new(nonce_seed));
        Ok(MaintenanceNode {
            slow_start,
            socket,
            node: Node::new(node_settings, member, context.now),
            datagrams: Vec::new(),
            unread: false,
            saves: VecDeque::new(),
            pending_saves: VecDeque::new(),
            max_save_duration: 0,
            log_failed: false,
            published: None,
            closed: BTreeSet::new(),
            timer: None,
            unsent: 0,
        })
    }

    /// Returns the address that receives datagrams.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Reads all received datagrams, up to the limit of a round.
    pub fn ready(&mut self, context: &mut Context) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        self.unread = false;
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, SocketAddr::V4(from))) => {
                    self.datagrams.push(ReceivedDatagram { bytes: buffer[..length].to_vec(), from });
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An error that belongs to an earlier send does not affect what can be received.
                Err(_) => {}
            }
        }
        self.unread = true;
        context.ready_again.push(EventSource::Maintenance);
    }

    /// Returns whether datagrams are waiting to be read.
    pub fn has_work(&self) -> bool {
        self.unread
    }

    /// Returns the machines as this node observes them. `failing` are those that it or its fleet found failing.
    fn observe(
        &self,
        endpoints: &BTreeMap<String, Endpoint>,
        failing: &BTreeSet<String>,
        now: Nanos,
    ) -> BTreeMap<String, ObservedMachine> {
        let machine = |(id, endpoint): (&String, &Endpoint)| {
            let in_slow_start = endpoint.started.is_some_and(|at| now - at < self.slow_start.duration);
            let health = match () {
                () if !endpoint.serving => Health::Draining,
                () if in_slow_start => Health::WarmingUp,
                () if failing.contains(id) && !self.closed.contains(id) => Health::Failing,
                () => Health::Healthy,
            };
            let started_ms = endpoint.started.unwrap_or(0) / 1_000_000;
            let zone = endpoint.locality.clone();
            (id.clone(), ObservedMachine { cell: endpoint.cell as u32, zone, health, started_ms })
        };
        endpoints.iter().map(machine).collect()
    }

    /// Runs one round. Returns the machines that get no new attempts if that set changed.
    pub fn round(
        &mut self,
        endpoints: &BTreeMap<String, Endpoint>,
        failing: &BTreeSet<String>,
        context: &mut Context,
    ) -> Option<BTreeSet<String>> {
        let now = context.now;
        let durable = self.finish_saves(now);
        let seen = self.observe(endpoints, failing, now);
        let datagrams = std::mem::take(&mut self.datagrams);
        let requests = context.maintenance_requests.as_ref();
        let commands = requests.map(MaintenanceRequests::take_commands).unwrap_or_default();
        let inputs = |inbox: &mut Inbox| {
            for ReceivedDatagram { bytes, from } in datagrams {
                inbox.datagram(bytes, from);
            }
            commands.into_iter().for_each(|command| inbox.command(command));
            durable.into_iter().for_each(|number| inbox.durable(number));
            inbox.seen(seen);
        };
        let (unsent, has_log_failed) = (&mut self.unsent, self.log_failed);
        let mut writer = GroupWriter { socket: &self.socket, saves: &mut self.saves, unsent, has_log_failed };
        self.node.round(now, inputs, &mut writer);
        self.start_saves(context);
        self.publish(context);
        let is_saving = !self.pending_saves.is_empty() || !self.saves.is_empty();
        let disk_poll = if is_saving { now + DISK_POLL_INTERVAL } else { Nanos::MAX };
        let due = self.node.next_due().min(disk_poll);
        self.timer.take().into_iter().for_each(|timer| context.deadlines.cancel(timer));
        self.timer = Some(context.deadlines.schedule(due.max(now + 1), Timer::Maintenance));
        let closed: BTreeSet<String> = self.node.closed().into_iter().map(str::to_owned).collect();
        (closed != self.closed).then(|| {
            self.closed.clone_from(&closed);
            closed
        })
    }

    /// Returns the number of the last change that is now durable. After a failed write no later change counts, and this
    /// member sends nothing any more: it may have forgotten what it has sent, and must not contradict it.
    fn finish_saves(&mut self, now: Nanos) -> Option<u64> {
        let mut durable = None;
        while let Some(outcome) = self.pending_saves.front().and_then(|save| save.ticket.result()) {
            let PendingSave { number, handed_over, .. } = self.pending_saves.pop_front()?;
            self.max_save_duration = self.max_save_duration.max(now - handed_over);
            match outcome {
                Ok(_) if !self.log_failed => durable = durable.max((number > 0).then_some(number)),
                Ok(_) => {}
                Err(error) => {
                    if !std::mem::replace(&mut self.log_failed, true) {
                        log!(
                            "maintenance: cannot save the log, this member stays silent from now on: {error}"
                        );
                    }
                }
            }
        }
        durable
    }

    /// Hands changes of the log to the disk until its queue is full.
    fn start_saves(&mut self, context: &mut Context) {
        let Some(persistent_state) = &mut context.persistent_state else {
            self.saves.clear();
            return;
        };
        while let Some(Save { number, update }) = self.saves.pop_front() {
            let batch = update.records().fold(Batch::new(), |batch, (key, value)| match value {
                Some(value) => batch.put(MAINTENANCE_KEYSPACE, &key, value),
                None => batch.delete(MAINTENANCE_KEYSPACE, &key),
            });
            match persistent_state.write_durably(batch) {
                Ok(ticket) => {
                    self.pending_saves.push_back(PendingSave { number, ticket, handed_over: context.now });
                }
                Err(_) => {
                    // The queue is full; this change is the first one of the next attempt.
                    self.saves.push_front(Save { number, update });
                    return;
                }
            }
        }
    }

    /// Publishes the gauges, and the view of the queue if it changed.
    fn publish(&mut self, context: &mut Context) {
        let (order, leads) = (self.node.queue(), self.node.leads());
        let last_contact_ms = self.node.last_contact().map(|at| (context.now - at).max(0) / 1_000_000);
        let CommandCounts { pending, expired } = self.node.commands();
        let closed = order.closed().count();
        let term = self.node.term();
        let unsaved = self.saves.len() + self.pending_saves.len();
        let number = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        context.maintenance_gauges = vec![
            Gauge::new(
                "maintenance_version",
                "commands in the order as this node knows it",
                number(order.version),
            ),
            Gauge::new("maintenance_leads", "whether this node leads the group", usize::from(leads)),
            Gauge::new(
                "maintenance_term",
                "term of the group's log, where this node is a member",
                number(term),
            ),
            Gauge::new("maintenance_unsaved", "batches of the log on their way to the disk", unsaved),
            Gauge::new(
                "maintenance_disk_ms",
                "longest that the disk took to keep a batch of the log",
                (self.max_save_duration / 1_000_000) as usize,
            ),
            Gauge::new(
                "maintenance_silent",
                "whether this member is silent, as its log cannot be kept",
                usize::from(self.log_failed),
            ),
            Gauge::new("maintenance_asked", "machines in the order", order.entries.len()),
            Gauge::new("maintenance_closed", "machines that get nothing new from here", closed),
            Gauge::new(
                "maintenance_heard_ms",
                "since this node heard of the group",
                last_contact_ms.map_or(usize::MAX >> 32, |ms| ms as usize),
            ),
            Gauge::new("maintenance_commands", "commands on their way to the leader", pending),
            Gauge::new("maintenance_given_up", "commands that no order showed in time", number(expired)),
        ];
        let Some(requests) = &mut context.maintenance_requests else { return };
        let published = Some(PublishedState { version: order.version, leads });
        if self.published == published {
            return;
        }
        self.published = published;
        requests.set_view(view_json(order, leads, last_contact_ms));
    }
}
