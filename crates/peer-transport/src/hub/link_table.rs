//! All links by their token, with what the thread knows of each.

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
    #[error("it takes nothing")]
    SendBufferFull,
    #[error("it broke")]
    WriteFailed,
    #[error("turned away")]
    Rejected,
    #[error("it ended")]
    ConnectionEnded,
    #[error("a newer link took its place")]
    Replaced,
    #[error("it didn't say who it is")]
    HandshakeTimeout,
    #[error("nothing is heard of it")]
    Silent,
}

/// A link and its peer.
pub(super) struct LinkEntry {
    pub(super) link: Link,
    pub(super) peer: Peer,
    /// The name of the voter that was dialed.
    pub(super) expected_name: Option<String>,
    /// The name of the peer, once its handshake was accepted.
    pub(super) peer_name: Option<String>,
    pub(super) detector: FailureDetector,
    /// The state that the host was last told.
    pub(super) reported_state: PeerState,
    pub(super) created_at: Micros,
    /// Whether the socket may have bytes to read.
    pub(super) is_readable: bool,
    /// Whether the link is dropped once everything queued is sent.
    pub(super) closes_when_flushed: bool,
}

impl LinkEntry {
    pub(super) fn is_accepted(&self) -> bool {
        self.peer_name.is_some()
    }

    /// Whether this gateway dialed; it is this end that sends heartbeats.
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

    /// Whether a further link of another gateway is refused.
    pub(super) fn is_full(&self, voter_count: usize) -> bool {
        self.links.len() >= MAX_LINKS + voter_count
    }

    /// Adds a link of a gateway that connected to this one.
    pub(super) fn add_requester(
        &mut self,
        registry: &Registry,
        stream: TcpStream,
        now: Micros,
    ) -> io::Result<Token> {
        let peer = Peer::Requester(self.next_token as u64);
        self.add(registry, stream, peer, None, now)
    }

    /// Adds a link to a voter that was dialed.
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
        // Without it messages are only delayed.
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

    /// When the next heartbeat is due.
    pub(super) fn next_heartbeat_at(&self) -> Option<Micros> {
        self.links
            .values()
            .filter(|entry| entry.is_dialed())
            .map(|entry| entry.detector.next_heartbeat_at())
            .min()
    }

    /// The link that a gateway of this name made, if it was accepted.
    pub(super) fn requester_named(&self, name: &str) -> Option<Token> {
        let is_it =
            |entry: &LinkEntry| !entry.is_dialed() && entry.peer_name.as_deref() == Some(name);
        let mut links = self.links.iter();
        links
            .find(|(_, entry)| is_it(entry))
            .map(|(token, _)| *token)
    }

    /// Queues a frame on a link, if it exists.
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

    /// The socket of a link accepts bytes.
    pub(super) fn on_writable(&mut self, token: Token) {
        self.unflushed.push(token);
    }

    /// Sends what is queued. Returns the links that are to be dropped.
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
                // The connection is still being made.
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

    /// Removes a link.
    pub(super) fn remove(&mut self, registry: &Registry, token: Token) -> Option<LinkEntry> {
        let mut entry = self.links.remove(&token)?;
        // The socket is closed anyway.
        let _ = registry.deregister(&mut entry.link.stream);
        Some(entry)
    }
}
