//! Table of all links by poll token, with the state of each.

use std::collections::BTreeMap;
use std::io;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde::Serialize;
use thiserror::Error;

use super::Peer;
use crate::failure_detector::{FailureDetector, PeerState};
use crate::frame::Frame;
use crate::limits::MAX_LINKS;
use crate::link::{Link, SendBufferFull};
use crate::Micros;

/// Why a link is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum DropReason {
    #[error("the send buffer is full because the peer does not read")]
    SendBufferFull,
    #[error("writing to the socket failed")]
    WriteFailed,
    #[error("the handshake was rejected")]
    Rejected,
    #[error("the connection was closed or failed, or a received frame was invalid")]
    ConnectionEnded,
    #[error("the peer has opened a newer link")]
    Replaced,
    #[error("no handshake was received in time")]
    HandshakeTimeout,
    #[error("nothing was received for too long")]
    Silent,
}

/// A link with the state of its peer.
pub(super) struct LinkEntry {
    pub(super) link: Link,
    pub(super) peer: Peer,
    /// Name of the dialed voter; `None` if the peer opened the link.
    pub(super) expected_name: Option<String>,
    /// Name of the peer; `None` until its handshake is accepted.
    pub(super) peer_name: Option<String>,
    pub(super) detector: FailureDetector,
    /// The state that was last reported to the host.
    pub(super) reported_state: PeerState,
    pub(super) created_at: Micros,
    /// Whether the socket may have bytes to read.
    pub(super) is_readable: bool,
    /// Whether to drop the link once all queued bytes are sent.
    pub(super) closes_when_flushed: bool,
}

impl LinkEntry {
    pub(super) fn is_accepted(&self) -> bool {
        self.peer_name.is_some()
    }

    /// Returns whether this gateway opened the link. The end that opened a link sends the
    /// heartbeats.
    pub(super) fn is_dialed(&self) -> bool {
        matches!(self.peer, Peer::Voter(_))
    }
}

/// All links of the thread.
pub(super) struct LinkTable {
    links: BTreeMap<Token, LinkEntry>,
    next_token: usize,
    /// Links that may have bytes to send.
    unflushed: Vec<Token>,
}

impl LinkTable {
    pub(super) fn new(first_token: Token) -> Self {
        LinkTable {
            links: BTreeMap::new(),
            next_token: first_token.0,
            unflushed: Vec::new(),
        }
    }

    /// Returns whether to refuse another link from a gateway. Links to voters have room reserved.
    pub(super) fn is_full(&self, voter_count: usize) -> bool {
        self.links.len() >= MAX_LINKS + voter_count
    }

    /// Adds a link that another gateway opened.
    pub(super) fn add_requester(
        &mut self,
        registry: &Registry,
        stream: TcpStream,
        now: Micros,
    ) -> io::Result<Token> {
        let peer = Peer::Requester(self.next_token as u64);
        self.add(registry, stream, peer, None, now)
    }

    /// Adds a link that this gateway opened to a voter.
    pub(super) fn add_voter(
        &mut self,
        registry: &Registry,
        stream: TcpStream,
        voter_index: usize,
        expected_name: String,
        now: Micros,
    ) -> io::Result<Token> {
        let peer = Peer::Voter(voter_index);
        self.add(registry, stream, peer, Some(expected_name), now)
    }

    fn add(
        &mut self,
        registry: &Registry,
        mut stream: TcpStream,
        peer: Peer,
        expected_name: Option<String>,
        now: Micros,
    ) -> io::Result<Token> {
        let token = Token(self.next_token);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        // If this fails, messages may be delayed but still arrive.
        let _ = stream.set_nodelay(true);
        self.next_token += 1;
        let entry = LinkEntry {
            link: Link::new(stream),
            peer,
            expected_name,
            peer_name: None,
            detector: FailureDetector::new(now),
            reported_state: PeerState::Up,
            created_at: now,
            is_readable: false,
            closes_when_flushed: false,
        };
        self.links.insert(token, entry);
        Ok(token)
    }

    pub(super) fn get(&self, token: Token) -> Option<&LinkEntry> {
        self.links.get(&token)
    }

    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut LinkEntry> {
        self.links.get_mut(&token)
    }

    pub(super) fn tokens(&self) -> Vec<Token> {
        self.links.keys().copied().collect()
    }

    pub(super) fn readable_tokens(&self) -> Vec<Token> {
        let readable = self.links.iter().filter(|(_, entry)| entry.is_readable);
        readable.map(|(token, _)| *token).collect()
    }

    pub(super) fn has_readable(&self) -> bool {
        self.links.values().any(|entry| entry.is_readable)
    }

    /// Returns the time of the next heartbeat on any link; `None` if this gateway has opened none.
    pub(super) fn next_heartbeat_at(&self) -> Option<Micros> {
        self.links
            .values()
            .filter(|entry| entry.is_dialed())
            .map(|entry| entry.detector.next_heartbeat_at())
            .min()
    }

    /// Returns the accepted link that a gateway with this name opened, if there is one.
    pub(super) fn requester_link(&self, name: &str) -> Option<Token> {
        let is_requester =
            |entry: &LinkEntry| !entry.is_dialed() && entry.peer_name.as_deref() == Some(name);
        let mut links = self.links.iter();
        links
            .find(|(_, entry)| is_requester(entry))
            .map(|(token, _)| *token)
    }

    /// Queues a frame on a link; does nothing if the link no longer exists.
    pub(super) fn queue<M: Serialize>(
        &mut self,
        token: Token,
        frame: &Frame<M>,
    ) -> Result<(), SendBufferFull> {
        if let Some(entry) = self.links.get_mut(&token) {
            entry.link.queue(frame)?;
            self.unflushed.push(token);
        }
        Ok(())
    }

    /// Marks a link as writable, so that [`LinkTable::flush`] continues to send on it.
    pub(super) fn on_writable(&mut self, token: Token) {
        self.unflushed.push(token);
    }

    /// Sends the queued frames. Returns the links to drop.
    pub(super) fn flush(&mut self) -> Vec<(Token, DropReason)> {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        let mut dropped = Vec::new();
        for token in unflushed {
            let Some(entry) = self.links.get_mut(&token) else {
                continue;
            };
            match entry.link.flush() {
                // The connection is not established yet; a writable event follows.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => {}
                Err(_) => dropped.push((token, DropReason::WriteFailed)),
                Ok(()) if entry.closes_when_flushed && entry.link.is_flushed() => {
                    dropped.push((token, DropReason::Rejected));
                }
                Ok(()) => {}
            }
        }
        dropped
    }

    /// Removes a link and deregisters its socket.
    pub(super) fn remove(&mut self, registry: &Registry, token: Token) -> Option<LinkEntry> {
        let mut entry = self.links.remove(&token)?;
        // An error can be ignored because the socket is closed next.
        let _ = registry.deregister(&mut entry.link.stream);
        Some(entry)
    }
}
