//! One connection with its buffers: received bytes become frames, frames become sent bytes.

use std::io::{self, Read, Write};

use mio::net::TcpStream;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::frame::{self, Frame, FrameError};
use crate::limits::{MAX_FRAME_BYTES, MAX_READ_BYTES, MAX_UNSENT_BYTES};

/// Bytes of one read of the socket.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A connection and the bytes that wait in either direction.
pub struct Link {
    /// The socket; its owner registers it with the poller.
    pub stream: TcpStream,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    /// How many bytes of `unsent` are sent.
    sent: usize,
}

/// The peer has not read [`MAX_UNSENT_BYTES`]: the link is to be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the peer has not read {MAX_UNSENT_BYTES} bytes")]
pub struct SendBufferFull;

/// Why a link can't be read any further.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection has ended or failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The peer has sent something that is no frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// What reading a link returned.
pub struct LinkRead<M> {
    /// The frames that are whole.
    pub frames: Vec<Frame<M>>,
    /// Whether there may be more without a further event of the socket.
    pub has_more: bool,
    /// Why nothing follows these frames.
    pub error: Option<ReadError>,
}

impl Link {
    /// A link over a socket.
    pub fn new(stream: TcpStream) -> Self {
        Link {
            stream,
            unread: Vec::new(),
            unsent: Vec::new(),
            sent: 0,
        }
    }

    /// Queues a frame behind those that wait. A frame that is too long is dropped: messages are
    /// sent at most once.
    pub fn queue<M: Serialize>(&mut self, frame: &Frame<M>) -> Result<(), SendBufferFull> {
        let _ = frame::write(&mut self.unsent, frame);
        if self.unsent.len() - self.sent > MAX_UNSENT_BYTES {
            return Err(SendBufferFull);
        }
        Ok(())
    }

    /// Sends as much as the socket accepts.
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
            // Memory that one burst took is given back.
            self.unsent.shrink_to(MAX_READ_BYTES);
        } else if self.sent >= MAX_READ_BYTES {
            self.unsent.drain(..self.sent);
            self.sent = 0;
        }
        Ok(())
    }

    /// Whether everything queued is sent.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Reads what has arrived, up to a bound.
    pub fn read<M: DeserializeOwned>(&mut self) -> LinkRead<M> {
        let (has_more, connection_error) = match self.fill() {
            Ok(has_more) => (has_more, None),
            Err(error) => (false, Some(ReadError::Connection(error))),
        };
        let mut frames = Vec::new();
        let frame_error = self.decode(&mut frames).err().map(ReadError::Frame);
        LinkRead {
            frames,
            has_more,
            error: frame_error.or(connection_error),
        }
    }

    /// Reads the socket into the buffer. Returns whether it stopped before the socket was empty.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut total = 0;
        while total < MAX_READ_BYTES && self.unread.len() <= 2 * MAX_FRAME_BYTES {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.unread.extend_from_slice(&buffer[..count]);
                    total += count;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Moves the whole frames out of the buffer.
    fn decode<M: DeserializeOwned>(
        &mut self,
        frames: &mut Vec<Frame<M>>,
    ) -> Result<(), FrameError> {
        let mut consumed = 0;
        let result = loop {
            match frame::read(&self.unread[consumed..]) {
                Ok(Some(read)) => {
                    frames.push(read.frame);
                    consumed += read.length;
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.unread.drain(..consumed);
        if self.unread.is_empty() {
            self.unread.shrink_to(MAX_READ_BYTES);
        }
        result
    }
}
