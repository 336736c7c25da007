//! A harness for tests of emulated servers without sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use orchidvalve_testbed::effects::{ConnectionKey, Effects, Notice, Output, Service};
use orchidvalve_testbed::http::{self, Response};
use orchidvalve_testbed::observation::Observation;

/// A service with its connections, and a clock that the test advances.
pub struct ServiceHarness<S> {
    pub service: S,
    pub now: u64,
    /// Bytes received on each connection.
    pub received: BTreeMap<ConnectionKey, Vec<u8>>,
    pub resets: Vec<ConnectionKey>,
    pub observations: Vec<Observation>,
    pub notices: Vec<Notice>,
    next_key: ConnectionKey,
}

impl<S: Service> ServiceHarness<S> {
    pub fn new(service: S) -> ServiceHarness<S> {
        let (received, resets, observations, notices) = Default::default();
        ServiceHarness {
            service,
            now: 1_000,
            received,
            resets,
            observations,
            notices,
            next_key: ConnectionKey(1),
        }
    }

    pub fn step(&mut self, step: impl FnOnce(&mut S, u64, &mut Effects)) {
        let mut out = Effects::default();
        step(&mut self.service, self.now, &mut out);
        for output in out.outputs {
            match output {
                Output::Send { connection, bytes } => {
                    self.received.entry(connection).or_default().extend(bytes);
                }
                Output::Reset { connection } => self.resets.push(connection),
                Output::Finish { .. } => {}
            }
        }
        self.observations.extend(out.observations);
        self.notices.extend(out.notices);
    }

    pub fn connect(&mut self) -> ConnectionKey {
        let key = self.next_key;
        self.next_key = key.next();
        self.step(|service, now, out| service.connected(now, key, out));
        key
    }

    /// Sends a request on a new connection.
    pub fn send(&mut self, bytes: &[u8]) -> ConnectionKey {
        let key = self.connect();
        let (request, _) = http::parse_request(bytes).unwrap().unwrap();
        self.step(|service, now, out| service.request(now, key, request, out));
        key
    }

    pub fn close(&mut self, key: ConnectionKey) {
        self.step(|service, now, out| service.closed(now, key, out));
    }

    /// Advances the clock, and wakes the service whenever it is due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(at) = self.service.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step(orchidvalve_testbed::effects::Service::wake);
        }
        self.now = end;
    }

    /// Returns the complete response on a connection; `None` if it has not arrived.
    pub fn response(&self, key: ConnectionKey) -> Option<Response> {
        let bytes = self.received.get(&key)?;
        http::parse_response(bytes, false).unwrap().map(|(response, _)| response)
    }

    /// Sends a request and returns its response, which must arrive at once.
    pub fn request(&mut self, bytes: &[u8]) -> Response {
        let key = self.send(bytes);
        self.response(key).unwrap()
    }

    pub fn text(&self, key: ConnectionKey) -> String {
        String::from_utf8_lossy(self.received.get(&key).map_or(&[], Vec::as_slice)).into_owned()
    }
}
