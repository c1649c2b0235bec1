//! Handling of received frames: handshakes, heartbeats and messages.

use super::*;
use crate::handshake::{check_handshake, HandshakeError};
use crate::limits::MAX_LINKS;
use crate::link::LinkRead;

impl<M: Serialize + DeserializeOwned + Send + 'static> EventLoop<M> {
    /// Reads the links that may have data, until the queue to the host is full.
    pub(super) fn read_links(&mut self) {
        for token in self.links.readable_tokens() {
            if self.events.has_backlog() {
                return;
            }
            self.read_link(token);
        }
    }

    fn read_link(&mut self, token: Token) {
        let Some(entry) = self.links.get_mut(token) else {
            return;
        };
        let LinkRead {
            frames,
            has_more,
            error,
        } = entry.link.read();
        entry.is_readable = has_more;
        let now = self.now();
        for frame in frames {
            self.on_frame(token, frame, now);
        }
        let Some(error) = error else {
            return self.report_state(token, now);
        };
        if let ReadError::Frame(error) = error {
            log::warn!("fleet: received an invalid frame, dropping the link: {error}");
        }
        self.drop_link(token, DropReason::ConnectionEnded);
    }

    fn on_frame(&mut self, token: Token, frame: Frame<M>, now: Micros) {
        let Some(entry) = self.links.get_mut(token) else {
            return;
        };
        entry.detector.on_frame(now);
        let peer = entry.peer;
        let is_accepted = entry.is_accepted();
        match frame {
            Frame::Handshake(handshake) if !is_accepted => self.on_handshake(token, handshake),
            Frame::Rejected(reason) => {
                let name = entry.expected_name.clone().unwrap_or_default();
                self.events.push(PeerEvent::Rejected { name, reason });
                self.drop_link(token, DropReason::Rejected);
            }
            Frame::Heartbeat(number) if is_accepted => {
                self.queue_frame(token, &Frame::HeartbeatReply(number));
            }
            Frame::HeartbeatReply(number) => entry.detector.on_heartbeat_reply(now, number),
            Frame::Message(message) if is_accepted => {
                self.events.push(PeerEvent::Message { peer, message });
            }
            // Before the handshake all other frames are ignored, and after it further handshakes.
            _ => {}
        }
    }

    fn on_handshake(&mut self, token: Token, theirs: Handshake) {
        let Some(entry) = self.links.get(token) else {
            return;
        };
        let peer = entry.peer;
        let expected_name = entry.expected_name.as_deref();
        let known_start = self.known_starts.get(&theirs.name).copied();
        let checked = check_handshake(&self.handshake, &theirs, expected_name, known_start);
        if let Err(error) = checked {
            return self.reject(token, theirs.name, &error);
        }
        // If a second link has the same name, the older one belongs to a process or a network path
        // that no longer exists.
        if let Peer::Requester(_) = peer {
            if let Some(older) = self.links.requester_link(&theirs.name) {
                self.drop_link(older, DropReason::Replaced);
            }
        }
        self.remember_start(&theirs);
        if let Some(entry) = self.links.get_mut(token) {
            entry.peer_name = Some(theirs.name.clone());
        }
        match peer {
            Peer::Requester(_) => {
                let handshake = self.handshake.clone();
                self.queue_frame(token, &Frame::Handshake(handshake));
            }
            Peer::Voter(index) => self.dialer.on_accepted(index),
        }
        self.events.push(PeerEvent::Connected {
            peer,
            name: theirs.name,
        });
    }

    fn remember_start(&mut self, theirs: &Handshake) {
        let has_room = self.known_starts.len() < MAX_LINKS;
        if has_room || self.known_starts.contains_key(&theirs.name) {
            let known_start = KnownStart {
                identity: theirs.identity,
                start_number: theirs.start_number,
            };
            self.known_starts.insert(theirs.name.clone(), known_start);
        }
    }

    /// Sends the reason for the rejection to a peer; the link is dropped once the frame is sent.
    fn reject(&mut self, token: Token, name: String, error: &HandshakeError) {
        let reason = error.to_string();
        self.queue_frame(token, &Frame::Rejected(reason.clone()));
        if let Some(entry) = self.links.get_mut(token) {
            entry.closes_when_flushed = true;
        }
        self.events.push(PeerEvent::Rejected { name, reason });
    }
}
