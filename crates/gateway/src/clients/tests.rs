//! One turn of a client connection: how much of its input is handled before other connections get
//! their turns, and what happens if the client has left meanwhile.

use std::io::Write;

use calloop::EventLoop;

use super::*;
use crate::connection::PendingWakes;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::requests::Names;

const NOW: Micros = 1_000_000;
const MAX_OPEN_REQUESTS: usize = 32;
const MAX_MESSAGES_PER_TURN: usize = 32;
/// A request without an ID, as a client sends it: `[0, 1, "report", [{}, "x"]]`.
const REQUEST: &[u8] = b"\x94\x00\x01\xa6report\x92\x80\xc4\x01x";
/// Position of the message ID in [`REQUEST`].
const ID_POSITION: usize = 2;

/// Client connections, and the state of the main loop that they need.
struct TestClients {
    clients: Clients,
    names: Names,
    deadlines: Deadlines,
    counters: Counters,
    events: Vec<ClientEvent>,
    _event_loop: EventLoop<'static, PendingWakes>,
}

impl TestClients {
    fn listen() -> Self {
        let event_loop = EventLoop::try_new().unwrap();
        let config = ClientsConfig {
            listen_address: "127.0.0.1:0".parse().unwrap(),
            max_descriptors: 256,
            memory_mb: 32,
            records_changes: false,
            accepts_result_queries: false,
        };
        let pairs = [
            ("grades.count", "1"),
            ("grades.0.name", "report"),
            ("limits.dial-timeout-us", "1000"),
        ];
        let tree = eideryard_settings::SettingsTree::from_pairs(pairs);
        let host = eideryard_settings::read_host_settings(&tree).unwrap();
        let settings = eideryard_settings::read_settings(&tree).unwrap();
        TestClients {
            clients: Clients::new(&event_loop.handle(), &config).unwrap(),
            names: Names::new(&settings, &host),
            deadlines: Deadlines::new(),
            counters: Counters::default(),
            events: Vec::new(),
            _event_loop: event_loop,
        }
    }

    fn with<T>(&mut self, call: impl FnOnce(&mut Clients, &mut ClientContext<'_>) -> T) -> T {
        let mut context = ClientContext {
            now: NOW,
            names: &self.names,
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.events,
        };
        call(&mut self.clients, &mut context)
    }

    /// Connects a client. Returns its end of the connection and the connection's key.
    fn connect(&mut self) -> (TcpStream, Key) {
        let key = self.clients.table.next_key();
        let stream = TcpStream::connect(self.clients.address().unwrap()).unwrap();
        while self.clients.table.get(key).is_none() {
            self.with(Clients::accept);
        }
        (stream, key)
    }

    /// Gives a connection a turn and returns the number of calls in it.
    fn take_turn(&mut self, key: Key) -> usize {
        self.clients.unfinished_reads.clear();
        self.with(|clients, context| clients.read(key, context));
        let is_call = |event: &ClientEvent| matches!(event, ClientEvent::Call { .. });
        let count = self.events.iter().filter(|event| is_call(event)).count();
        for event in std::mem::take(&mut self.events) {
            if let ClientEvent::Call { client, id, .. } = event {
                self.clients.answer(client, id, |_| ());
            }
        }
        count
    }
}

/// Returns the bytes of `count` requests with different message IDs.
fn requests(count: usize) -> Vec<u8> {
    let with_id = |number: usize| {
        let mut request = REQUEST.to_vec();
        request[ID_POSITION] = (number % 100) as u8;
        request
    };
    (0..count).flat_map(with_id).collect()
}

/// Guards against a client that sends small requests at full speed and delays all other clients:
/// one turn handled all that had arrived, which took seconds.
#[test]
fn one_turn_handles_a_bounded_number_of_messages_and_none_is_lost() {
    const COUNT: usize = 2_000;
    let mut gateway = TestClients::listen();
    let (mut flooding, key) = gateway.connect();
    flooding.write_all(&requests(COUNT)).unwrap();
    let mut handled = 0;
    while handled < COUNT {
        let count = gateway.take_turn(key);
        assert!(count <= MAX_MESSAGES_PER_TURN, "{count} messages in a turn");
        handled += count;
    }
    assert_eq!(handled, COUNT);
    assert_eq!(gateway.take_turn(key), 0);
    assert_eq!(gateway.clients.unread_bytes, 0);
}

/// A connection with messages that have not been decoded is neither idle nor late.
#[test]
fn undecoded_messages_keep_a_connection_open() {
    let mut gateway = TestClients::listen();
    let (mut client, key) = gateway.connect();
    client
        .write_all(&requests(3 * MAX_MESSAGES_PER_TURN))
        .unwrap();
    while gateway.take_turn(key) == 0 {}
    gateway.with(|clients, context| clients.close_idle_connections(context));
    gateway.with(|clients, context| clients.handle_deadline(key, context));
    assert!(gateway.with(|clients, context| !clients.evict_longest_idle(context)));
    assert_eq!(gateway.clients.accepts_requests(key), Some(true));
}

/// Guards against requests that are sent to engines after their client has closed its connection:
/// the end of the connection is behind more input than one turn handles.
#[test]
fn requests_of_a_client_that_has_left_are_not_accepted() {
    let mut gateway = TestClients::listen();
    let (mut leaving, key) = gateway.connect();
    let (mut staying, other_key) = gateway.connect();
    leaving.write_all(&requests(1_500)).unwrap();
    staying.write_all(&requests(1)).unwrap();
    drop(leaving);
    // The close has arrived once the input of a later connection has.
    while gateway.take_turn(other_key) == 0 {}
    gateway.with(|clients, context| clients.read(key, context));
    assert_eq!(gateway.clients.accepts_requests(key), None);
}

/// A client that sends on and on without waiting for answers may have left, with the end of its
/// connection behind more input than the system buffers. Guards against its requests being sent to
/// engines whenever one of its earlier requests has ended.
#[test]
fn a_client_that_does_not_wait_for_answers_is_rejected() {
    const MAX_EXCESS_CALLS: usize = 64;
    let mut gateway = TestClients::listen();
    let (mut client, key) = gateway.connect();
    let allowed = MAX_OPEN_REQUESTS + MAX_EXCESS_CALLS;
    let input = requests(allowed + 1);
    let (allowed_input, last_request) = input.split_at(allowed * REQUEST.len());
    client.write_all(allowed_input).unwrap();
    while gateway.events.len() < allowed {
        gateway.with(|clients, context| clients.read(key, context));
    }
    assert_eq!(gateway.clients.accepts_requests(key), Some(true));
    client.write_all(last_request).unwrap();
    while gateway.events.len() == allowed {
        gateway.with(|clients, context| clients.read(key, context));
    }
    assert_eq!(gateway.clients.accepts_requests(key), Some(false));
}
