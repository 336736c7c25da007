//! A control process on a machine without a disk: it keeps nothing and sends every caller to the machines that do.
//!
//! Votes and copies of the control state need a disk that survives a loss of power, so such a machine can't be a
//! member. Operators may still pick it from their list: each call is answered with 307 to one of the first control
//! machines, the next one each time, or with 503 where none is known.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use orchidvalve_track::http::{Request, RequestReader, write_response};
use orchidvalve_track::network::{ConnectionId, Event, Network};

use crate::operator::{OPERATOR_LIMITS, OperatorAnswer};

const LISTENER: u32 = 1;
/// Longest wait of the event loop.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Chooses where callers are sent.
#[derive(Clone, Debug)]
pub struct Redirector {
    /// Control addresses of other machines.
    targets: Vec<SocketAddrV4>,
    next: usize,
}

/// An answer to a call: the address and path to call instead, or that none is known.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Redirection {
    To(String),
    Unavailable,
}

impl Redirector {
    /// `control_address` is this machine's own; it is never a target.
    pub fn new(control_address: SocketAddrV4, seeds: &[SocketAddrV4]) -> Redirector {
        let targets = seeds.iter().copied().filter(|seed| *seed != control_address).collect();
        Redirector { targets, next: 0 }
    }

    /// Where the caller of this request is sent.
    pub fn redirect(&mut self, request: &Request) -> Redirection {
        if self.targets.is_empty() {
            return Redirection::Unavailable;
        }
        let target = self.targets[self.next % self.targets.len()];
        self.next = (self.next + 1) % self.targets.len();
        Redirection::To(format!("http://{target}{}", request.target))
    }
}

/// One connection of a caller.
#[derive(Default)]
struct Caller {
    reader: RequestReader,
}

struct Process {
    network: Network,
    redirector: Redirector,
    callers: BTreeMap<ConnectionId, Caller>,
}

/// Runs until the process is told to stop.
///
/// # Errors
///
/// The network can't be used.
pub fn run(control_address: SocketAddrV4, seeds: &[SocketAddrV4]) -> io::Result<()> {
    let mut network = Network::new()?;
    network.listen(control_address, LISTENER)?;
    log::info!("control: this machine has no disk: callers are sent to {seeds:?}");
    let redirector = Redirector::new(control_address, seeds);
    let mut process = Process { network, redirector, callers: BTreeMap::new() };
    loop {
        for event in process.network.poll(LONGEST_WAIT)? {
            if matches!(event, Event::Terminate) {
                return Ok(());
            }
            process.handle(event);
        }
    }
}

impl Process {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { connection, .. } => {
                self.callers.insert(connection, Caller::default());
            }
            Event::Data(connection) => self.read(connection),
            Event::Closed { connection, .. } => {
                self.callers.remove(&connection);
                self.network.forget(connection);
            }
            _ => {}
        }
    }

    /// Answers every whole request that has arrived on a connection.
    fn read(&mut self, connection: ConnectionId) {
        while let Some(caller) = self.callers.get_mut(&connection) {
            let Ok(read) = caller.reader.read(self.network.inbox(connection), &OPERATOR_LIMITS) else {
                self.finish(connection);
                return;
            };
            self.network.consume(connection, read.consumed);
            let Some(request) = read.message else { return };
            self.answer(connection, &request);
            if !request.keep_alive {
                self.finish(connection);
            }
        }
    }

    fn answer(&mut self, connection: ConnectionId, request: &Request) {
        let redirection = self.redirector.redirect(request);
        let Some(outbox) = self.network.outbox(connection) else { return };
        let close = !request.keep_alive;
        match redirection {
            Redirection::To(location) => {
                write_response(outbox, 307, &[("Location", &location)], b"", close);
            }
            Redirection::Unavailable => {
                let answer = OperatorAnswer::unclear();
                let headers = [("Content-Type", "application/json")];
                write_response(outbox, answer.status, &headers, &answer.body, close);
            }
        }
    }

    fn finish(&mut self, connection: ConnectionId) {
        self.callers.remove(&connection);
        self.network.finish(connection);
    }
}
