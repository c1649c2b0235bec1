//! The host's side of the links: two bounded queues to and from the thread that owns all links.
//!
//! The host's loop never waits for the thread. A queue that is full loses what is put into it;
//! the host's protocols expect messages to get lost. The thread is named `peers`; dropping the
//! [`Hub`] closes the queue, at which the thread returns, and joins it.

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
    /// A voter that this gateway dials, by its index in the fleet's list.
    Voter(usize),
    /// A gateway that made a link here, by a number that is never used again.
    Requester(u64),
}

/// A voter that is dialed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// Its index in the fleet's list.
    pub index: usize,
    /// The name that it must answer with.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the links of a gateway are.
pub struct Config {
    /// How this gateway introduces itself.
    pub handshake: Handshake,
    /// Where this gateway listens, if it does.
    pub listen_address: Option<SocketAddr>,
    /// The voters that it dials.
    pub voters: Vec<VoterAddress>,
    /// Seed of the random delays before voters are dialed.
    pub seed: u64,
}

/// What the thread reports to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent<M> {
    /// A link is up: handshakes were exchanged and accepted.
    Connected {
        /// The other end.
        peer: Peer,
        /// Its name.
        name: String,
    },
    /// A message has arrived.
    Message {
        /// Who sent it.
        peer: Peer,
        /// What it sent.
        message: M,
    },
    /// The state of a peer has changed.
    State {
        /// The other end.
        peer: Peer,
        /// Its new state; after [`PeerState::Disconnected`] the link no longer exists.
        state: PeerState,
        /// Mean time of a round trip.
        round_trip: Micros,
    },
    /// This gateway has rejected a peer, or was rejected by it.
    Rejected {
        /// Name of the peer.
        name: String,
        /// Why, as text for the operator.
        reason: String,
    },
}

/// A message of the host on its way to the thread.
struct OutgoingMessage<M> {
    peer: Peer,
    message: M,
}

/// The host's handle of all links.
pub struct Hub<M> {
    /// Nothing once the hub is being dropped, at which the thread ends.
    outgoing: Option<SyncSender<OutgoingMessage<M>>>,
    events: Receiver<PeerEvent<M>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
    local_address: Option<SocketAddr>,
    needs_wake: bool,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Hub<M> {
    /// Opens the listener and starts the thread. The thread calls `wake_host` when there are events
    /// to receive.
    ///
    /// # Errors
    ///
    /// The listener can't be opened, or the thread can't be started.
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

    /// Where this gateway listens, if it does.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.local_address
    }

    /// Queues a message; the thread sends it after the next [`Hub::flush`]. It is lost if the queue
    /// is full or there is no link to the peer.
    pub fn send(&mut self, peer: Peer, message: M) {
        let Some(outgoing) = &self.outgoing else {
            return;
        };
        if outgoing.try_send(OutgoingMessage { peer, message }).is_ok() {
            self.needs_wake = true;
        }
    }

    /// Wakes the thread if messages were queued.
    pub fn flush(&mut self) {
        if std::mem::take(&mut self.needs_wake) {
            // If it fails, the thread finds the messages when its wait for sockets times out.
            let _ = self.waker.wake();
        }
    }

    /// The next event, if there is one.
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
        let give_up_at = Instant::now() + SHUTDOWN_TIMEOUT;
        while !thread.is_finished() {
            if Instant::now() >= give_up_at {
                // The program ends without it.
                return;
            }
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        // If it has panicked, the panic has been reported where it happened.
        let _ = thread.join();
    }
}
