//! Eviction of client connections in favour of new ones, round by round.

use std::io::Write;
use std::time::Duration;

use calloop::EventLoop;
use orchidvalve::state::SampleRing;

use super::*;
use crate::deadlines::{Clock, Deadlines};
use crate::metrics::Metrics;

const MS: Nanos = 1_000_000;
const TIMEOUT: Duration = Duration::from_secs(20);

/// The client connections of a node without the rest of the node.
struct Fixture {
    events: EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    clients: Clients,
    context: Context,
}

impl Fixture {
    fn new(max_clients: usize) -> Fixture {
        let events = EventLoop::try_new().unwrap();
        let handle = events.handle();
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").unwrap());
        listener.set_nonblocking(true).unwrap();
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let on_ready = |_, _: &mut _, events: &mut ReadyEvents| {
            events.add(EventSource::Listener);
            Ok(PostAction::Continue)
        };
        handle.insert_source(source, on_ready).unwrap();
        let clients = Clients {
            protocols: Vec::new(),
            listener,
            clients: SlotMap::with_key(),
            max_clients,
            max_request_bytes: 1 << 20,
            timeouts: ClientTimeouts { request: 10_000 * MS, linger: 1_000 * MS, read: 10_000 * MS },
            backlogged: false,
            serving: true,
            draining: false,
            last_answer_by: Nanos::MAX,
            last_accepted: 0,
        };
        let context = Context {
            now: 0,
            events: handle,
            deadlines: Deadlines::default(),
            metrics: Metrics::default(),
            round_durations: SampleRing::new(1),
            ready_again: Vec::new(),
            persistent_state: None,
            fleet_gauges: Vec::new(),
            cold_start_gauges: Vec::new(),
            maintenance_gauges: Vec::new(),
            maintenance_requests: None,
            recorder: None,
        };
        let ready = ReadyEvents { clock: Clock::start(), ready: Vec::new() };
        Fixture { events, ready, clients, context }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.clients.address().unwrap()).unwrap()
    }

    /// Dispatches events until the source is ready.
    fn wait_for(&mut self, source: EventSource) {
        while !self.ready.ready.iter().any(|event| event.source == source) {
            let before = self.ready.ready.len();
            self.events.dispatch(TIMEOUT, &mut self.ready).unwrap();
            assert!(self.ready.ready.len() > before, "{source:?} is not ready");
        }
        self.ready.ready.clear();
    }

    /// Accepts new connections, as in the given round.
    fn accept(&mut self, round: i64) {
        self.context.now = round * 10 * MS;
        self.clients.accept(&mut self.context);
    }

    fn keys(&self) -> Vec<ClientKey> {
        self.clients.clients.keys().collect()
    }
}

#[test]
fn a_client_with_an_unseen_request_is_not_evicted_for_newcomers_in_later_rounds() {
    let mut fixture = Fixture::new(1);
    let mut regular = fixture.connect();
    fixture.wait_for(EventSource::Listener);
    fixture.accept(1);
    let keys = fixture.keys();
    regular.write_all(b"GET /_health HTTP/1.1\r\n\r\n").unwrap();
    fixture.wait_for(EventSource::Client(keys[0]));
    let _newcomer = fixture.connect();
    fixture.wait_for(EventSource::Listener);
    fixture.accept(2);
    assert_eq!(fixture.keys(), keys, "its request has arrived");
    assert!(fixture.context.ready_again.contains(&EventSource::Client(keys[0])));
    // In the next round the listener's event is handled before the client's.
    fixture.accept(3);
    assert_eq!(fixture.keys(), keys, "its request is not handled yet");
    assert_eq!(fixture.context.metrics.clients_evicted, 0);
    // Its request was handled and is incomplete, so the client is evicted like any other.
    fixture.clients.clients[keys[0]].has_unseen_request = false;
    fixture.accept(4);
    assert_ne!(fixture.keys(), keys);
    assert_eq!(fixture.context.metrics.clients_evicted, 1);
}
