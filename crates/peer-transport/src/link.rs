//! One connection with its buffers: bytes in, frames out, and back.

use std::io::{self, Read, Write};

use mio::net::TcpStream;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::failure_detector::{Detector, Micros};
use crate::frame::{self, Frame, MOST};

/// Bytes that a peer has not taken: with more its link is dropped.
pub const MAX_UNSENT: usize = 1 << 20;
/// Bytes that are read of one link in one look, so that none keeps the others waiting.
const LOOK: usize = 64 << 10;

pub struct Link {
    pub stream: TcpStream,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    /// Bytes of these that are sent.
    sent: usize,
    /// The other end has said who it is, and was taken.
    pub known: Option<String>,
    pub detector: Detector,
    /// Ended once what is unsent has gone.
    pub ends: bool,
}

/// What a look at a link brought.
pub struct LinkRead<M> {
    pub frames: Vec<Frame<M>>,
    /// There may be more without a further event of the socket.
    pub more: bool,
    /// The connection ended behind these frames, or what came can't be read.
    pub ended: Option<io::Error>,
}

impl Link {
    pub fn new(stream: TcpStream, now: Micros) -> Self {
        let (unread, unsent) = (Vec::new(), Vec::new());
        Link {
            stream,
            unread,
            unsent,
            sent: 0,
            known: None,
            detector: Detector::new(now),
            ends: false,
        }
    }

    /// Puts a frame behind those that wait. False: too much waits, the link is to be dropped.
    pub fn put<M: Serialize>(&mut self, carried: &Frame<M>) -> bool {
        // What is too long for a frame was never promised to anybody.
        frame::write(&mut self.unsent, carried);
        self.unsent.len() - self.sent <= MAX_UNSENT
    }

    /// Sends what the socket takes.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.sent < self.unsent.len() {
            match self.stream.write(&self.unsent[self.sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.sent += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if self.sent == self.unsent.len() {
            self.unsent.clear();
            self.sent = 0;
            // One burst's room is not held for ever.
            self.unsent.shrink_to(LOOK);
        } else if self.sent >= LOOK {
            self.unsent.drain(..self.sent);
            self.sent = 0;
        }
        Ok(())
    }

    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Reads what has come.
    pub fn read<M: DeserializeOwned>(&mut self) -> LinkRead<M> {
        let (mut buffer, mut total, mut more, mut ended) = ([0; 16 << 10], 0, false, None);
        loop {
            if total >= LOOK || self.unread.len() > 2 * MOST {
                more = true;
                break;
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    ended = Some(io::ErrorKind::UnexpectedEof.into());
                    break;
                }
                Ok(count) => {
                    self.unread.extend_from_slice(&buffer[..count]);
                    total += count;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => {
                    ended = Some(e);
                    break;
                }
            }
        }
        let (mut frames, mut at) = (Vec::new(), 0);
        loop {
            match frame::read(&self.unread[at..]) {
                Ok(Some((carried, length))) => {
                    frames.push(carried);
                    at += length;
                }
                Ok(None) => break,
                Err(spoilt) => {
                    ended = Some(io::Error::other(spoilt.to_string()));
                    break;
                }
            }
        }
        self.unread.drain(..at);
        if self.unread.is_empty() {
            self.unread.shrink_to(LOOK);
        }
        LinkRead {
            frames,
            more,
            ended,
        }
    }
}
