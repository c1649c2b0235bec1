//! Event loop of the thread that owns all links. It dials voters, accepts connections from other
//! gateways, sends heartbeats and drops failed links. It does not interpret the host's messages.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::dialer::Dialer;
use super::event_queue::EventQueue;
use super::link_table::{DropReason, LinkTable};
use super::{Config, OutgoingMessage, Peer, PeerEvent};
use crate::failure_detector::PeerState;
use crate::frame::Frame;
use crate::handshake::{Handshake, KnownStart};
use crate::limits::{
    FULL_QUEUE_POLL_TIMEOUT, HANDSHAKE_TIMEOUT, HEARTBEAT_INTERVAL, MIN_POLL_TIMEOUT,
};
use crate::link::ReadError;
use crate::Micros;

mod incoming;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST_LINK: Token = Token(2);
/// Maximum number of socket events that one poll returns.
const MAX_POLL_EVENTS: usize = 256;

/// The host has dropped its [`super::Hub`].
struct HostDisconnected;

/// State of the thread; [`EventLoop::run`] is its main function.
pub(super) struct EventLoop<M> {
    handshake: Handshake,
    poll: Poll,
    waker: Arc<Waker>,
    listener: Option<TcpListener>,
    links: LinkTable,
    dialer: Dialer,
    /// The last accepted start of each gateway name, at most `MAX_LINKS` names.
    known_starts: BTreeMap<String, KnownStart>,
    outgoing: Receiver<OutgoingMessage<M>>,
    events: EventQueue<M>,
    started_at: Instant,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> EventLoop<M> {
    /// Creates the poller, and opens the listener if the configuration has a listen address.
    pub(super) fn new(
        config: Config,
        outgoing: Receiver<OutgoingMessage<M>>,
        events: EventQueue<M>,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let mut listener = config.listen_address.map(TcpListener::bind).transpose()?;
        if let Some(listener) = &mut listener {
            poll.registry()
                .register(listener, LISTENER, Interest::READABLE)?;
        }
        Ok(EventLoop {
            handshake: config.handshake,
            poll,
            waker,
            listener,
            links: LinkTable::new(FIRST_LINK),
            dialer: Dialer::new(config.voters, config.seed),
            known_starts: BTreeMap::new(),
            outgoing,
            events,
            started_at: Instant::now(),
        })
    }

    pub(super) fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    pub(super) fn local_address(&self) -> io::Result<Option<SocketAddr>> {
        let listener = self.listener.as_ref();
        listener.map(TcpListener::local_addr).transpose()
    }

    /// Runs until the host drops its hub.
    pub(super) fn run(&mut self) {
        let mut poll_events = Events::with_capacity(MAX_POLL_EVENTS);
        loop {
            let timeout = self.poll_timeout();
            match self.poll.poll(&mut poll_events, Some(timeout)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                    log::error!(
                        "fleet: polling the sockets failed; no peer can be reached until the \
                         gateway is restarted: {e}"
                    );
                    return;
                }
                _ => {}
            }
            self.events.deliver();
            self.on_poll_events(&poll_events);
            if let Err(HostDisconnected) = self.send_outgoing() {
                return;
            }
            self.read_links();
            self.on_timer();
            self.flush();
            self.events.deliver();
            self.events.wake_host();
        }
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns the timeout of the next poll.
    fn poll_timeout(&self) -> Duration {
        if self.events.has_backlog() {
            return FULL_QUEUE_POLL_TIMEOUT;
        }
        if self.links.has_readable() {
            return Duration::ZERO;
        }
        let now = self.now();
        let heartbeat_at = self.links.next_heartbeat_at();
        let deadlines = heartbeat_at.into_iter().chain(self.dialer.next_retry_at());
        let timeout = deadlines
            .min()
            .unwrap_or(now + HEARTBEAT_INTERVAL)
            .saturating_sub(now)
            .clamp(MIN_POLL_TIMEOUT, HEARTBEAT_INTERVAL);
        Duration::from_micros(timeout)
    }

    fn on_poll_events(&mut self, poll_events: &Events) {
        for event in poll_events {
            match event.token() {
                LISTENER => self.accept(),
                WAKER => {}
                token => {
                    if let Some(entry) = self.links.get_mut(token) {
                        entry.is_readable |= event.is_readable() || event.is_read_closed();
                    }
                    if event.is_writable() {
                        self.links.on_writable(token);
                    }
                }
            }
        }
    }

    fn accept(&mut self) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, _)) => self.add_requester(stream),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn add_requester(&mut self, stream: TcpStream) {
        if self.links.is_full(self.dialer.voter_count()) {
            return;
        }
        let now = self.now();
        let registry = self.poll.registry();
        // A socket that can't be registered is closed, and the peer dials again.
        let _ = self.links.add_requester(registry, stream, now);
    }

    /// Queues each message from the host on the link to its receiver.
    fn send_outgoing(&mut self) -> Result<(), HostDisconnected> {
        loop {
            match self.outgoing.try_recv() {
                Ok(outgoing) => self.send_message(outgoing),
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) => return Err(HostDisconnected),
            }
        }
    }

    fn send_message(&mut self, outgoing: OutgoingMessage<M>) {
        let token = match outgoing.peer {
            Peer::Requester(number) => Some(Token(number as usize)),
            Peer::Voter(index) => self.dialer.link_to_voter(index),
        };
        let Some(token) = token else {
            return;
        };
        if self.links.get(token).is_some_and(|link| link.is_accepted()) {
            self.queue_frame(token, &Frame::Message(outgoing.message));
        }
    }

    fn queue_frame(&mut self, token: Token, frame: &Frame<M>) {
        if self.links.queue(token, frame).is_err() {
            self.drop_link(token, DropReason::SendBufferFull);
        }
    }

    fn flush(&mut self) {
        for (token, reason) in self.links.flush() {
            self.drop_link(token, reason);
        }
    }

    fn dial(&mut self, position: usize) {
        match self.connect(position) {
            Ok(token) => {
                self.dialer.on_dialed(position, token);
                let handshake = self.handshake.clone();
                self.queue_frame(token, &Frame::Handshake(handshake));
            }
            Err(_) => {
                let now = self.now();
                self.dialer.schedule_retry(position, now);
            }
        }
    }

    fn connect(&mut self, position: usize) -> io::Result<Token> {
        let stream = TcpStream::connect(self.dialer.address(position))?;
        let now = self.now();
        let voter = self.dialer.voter(position);
        let registry = self.poll.registry();
        self.links
            .add_voter(registry, stream, voter.index, voter.name.clone(), now)
    }

    fn drop_link(&mut self, token: Token, reason: DropReason) {
        let Some(entry) = self.links.remove(self.poll.registry(), token) else {
            return;
        };
        if let Some(name) = &entry.peer_name {
            log::debug!("fleet: dropped the link to {name}: {reason}");
            self.events.push(PeerEvent::State {
                peer: entry.peer,
                state: PeerState::Disconnected,
                round_trip: entry.detector.round_trip(),
            });
        }
        let now = self.now();
        self.dialer.on_dropped(token, now);
    }

    /// Dials voters, sends heartbeats and drops links that have timed out.
    fn on_timer(&mut self) {
        let now = self.now();
        for position in self.dialer.due_positions(now) {
            self.dial(position);
        }
        for token in self.links.tokens() {
            self.check_link(token, now);
        }
    }

    fn check_link(&mut self, token: Token, now: Micros) {
        let Some(entry) = self.links.get_mut(token) else {
            return;
        };
        if !entry.is_accepted() {
            if now > entry.created_at + HANDSHAKE_TIMEOUT {
                self.drop_link(token, DropReason::HandshakeTimeout);
            }
            return;
        }
        // Only the end that dialed sends heartbeats; the other end detects their absence.
        if entry.is_dialed() {
            if let Some(number) = entry.detector.take_due_heartbeat(now) {
                self.queue_frame(token, &Frame::Heartbeat(number));
            }
        }
        self.report_state(token, now);
    }

    /// Reports the state of a peer to the host if it has changed, and drops the link if the peer is
    /// disconnected.
    fn report_state(&mut self, token: Token, now: Micros) {
        let Some(entry) = self.links.get_mut(token) else {
            return;
        };
        if !entry.is_accepted() {
            return;
        }
        let state = entry.detector.state(now);
        if state == PeerState::Disconnected {
            return self.drop_link(token, DropReason::Silent);
        }
        if entry.reported_state != state {
            entry.reported_state = state;
            let event = PeerEvent::State {
                peer: entry.peer,
                state,
                round_trip: entry.detector.round_trip(),
            };
            self.events.push(event);
        }
    }
}
