//! The host's interface to the links: bounded queues to and from the thread that owns all links.
//!
//! The host never blocks on the thread. Messages sent while the queue to the thread is full are
//! dropped; the host's protocols tolerate lost messages. The thread is named `peers`. Dropping the
//! [`Hub`] closes the queue, which makes the thread end, and joins the thread.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use mio::Waker;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::failure_detector::PeerState;
use crate::handshake::Handshake;
use crate::limits::{MAX_QUEUED_MESSAGES, SHUTDOWN_POLL_INTERVAL, SHUTDOWN_TIMEOUT};
use crate::Micros;

mod dialer;
mod event_loop;
mod event_queue;
mod link_table;

use event_loop::EventLoop;
use event_queue::EventQueue;

const THREAD_NAME: &str = "peers";

/// The other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// A voter that this gateway dialed, by the voter's index in the fleet's list of voters.
    Voter(usize),
    /// A gateway that opened a link to this one, by the ID of the link. IDs are never reused.
    Requester(u64),
}

/// A voter that this gateway keeps a link to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// Index of the voter in the fleet's list of voters.
    pub index: usize,
    /// Name that the voter's handshake must contain.
    pub name: String,
    /// Address on which the voter listens.
    pub address: SocketAddr,
}

/// Configuration of the links of a gateway.
pub struct Config {
    /// Handshake that is sent to all peers.
    pub handshake: Handshake,
    /// Address on which this gateway listens; `None` if no peer dials it.
    pub listen_address: Option<SocketAddr>,
    /// All voters except this gateway itself.
    pub voters: Vec<VoterAddress>,
    /// Seed of the random delays between attempts to dial a voter.
    pub seed: u64,
}

/// An event that the thread reports to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent<M> {
    /// A link is usable: this gateway has accepted the handshake of the peer.
    Connected {
        /// The peer at the other end.
        peer: Peer,
        /// Name in the handshake of the peer.
        name: String,
    },
    /// A message has arrived.
    Message {
        /// Sender of the message.
        peer: Peer,
        /// The decoded message.
        message: M,
    },
    /// The state of a connected peer has changed.
    State {
        /// The peer whose state has changed.
        peer: Peer,
        /// The new state; after [`PeerState::Disconnected`] the link no longer exists.
        state: PeerState,
        /// Mean round trip time; 0 for a peer that dialed this gateway, since only the end that
        /// dialed sends heartbeats.
        round_trip: Micros,
    },
    /// This gateway has rejected a peer, or was rejected by it.
    Rejected {
        /// Name of the peer; empty if a peer that dialed this gateway rejects it.
        name: String,
        /// The reason, as text for the operator.
        reason: String,
    },
}

/// A message from the host to a peer, queued for the thread.
struct OutgoingMessage<M> {
    peer: Peer,
    message: M,
}

/// The host's handle to all links. Dropping the handle closes the links.
pub struct Hub<M> {
    /// `None` while the hub is being dropped; the closed queue makes the thread end.
    outgoing: Option<SyncSender<OutgoingMessage<M>>>,
    events: Receiver<PeerEvent<M>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
    local_address: Option<SocketAddr>,
    needs_wake: bool,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Hub<M> {
    /// Opens the listener and starts the thread. The thread calls `wake_host` after it has queued
    /// events.
    ///
    /// # Errors
    ///
    /// The listener, the poller or its waker can't be opened, or the thread can't be started.
    pub fn start(config: Config, wake_host: Box<dyn Fn() + Send>) -> io::Result<Self> {
        let (outgoing_sender, outgoing) = sync_channel(MAX_QUEUED_MESSAGES);
        let (event_sender, events) = sync_channel(MAX_QUEUED_MESSAGES);
        let event_queue = EventQueue::new(event_sender, wake_host);
        let mut event_loop = EventLoop::new(config, outgoing, event_queue)?;
        let waker = event_loop.waker();
        let local_address = event_loop.local_address()?;
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || event_loop.run())?;
        Ok(Hub {
            outgoing: Some(outgoing_sender),
            events,
            waker,
            thread: Some(thread),
            local_address,
            needs_wake: false,
        })
    }

    /// Returns the address on which this gateway listens, with the port that the system has chosen
    /// if the configured port was 0; `None` if it does not listen.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.local_address
    }

    /// Queues a message, which the thread sends after the next [`Hub::flush`]. The message is
    /// dropped if the queue is full or there is no link to the peer.
    pub fn send(&mut self, peer: Peer, message: M) {
        let Some(outgoing) = &self.outgoing else {
            return;
        };
        if outgoing.try_send(OutgoingMessage { peer, message }).is_ok() {
            self.needs_wake = true;
        }
    }

    /// Wakes the thread if messages were queued since the last call.
    pub fn flush(&mut self) {
        if std::mem::take(&mut self.needs_wake) {
            // If waking fails, the thread finds the messages when its poll times out.
            let _ = self.waker.wake();
        }
    }

    /// Returns the next event, or `None` if no event is queued.
    pub fn try_recv(&mut self) -> Option<PeerEvent<M>> {
        self.events.try_recv().ok()
    }
}

impl<M> Drop for Hub<M> {
    fn drop(&mut self) {
        self.outgoing = None;
        let _ = self.waker.wake();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !thread.is_finished() {
            if Instant::now() >= deadline {
                // The thread is left detached so that the program can end.
                return;
            }
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        // If the thread panicked, the panic hook has already reported it.
        let _ = thread.join();
    }
}
