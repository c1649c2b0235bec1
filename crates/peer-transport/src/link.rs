//! One connection with its buffers: decodes received frames and encodes frames to send.

use std::io::{self, Read, Write};

use mio::net::TcpStream;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::frame::{self, Frame, FrameError};
use crate::limits::{MAX_FRAME_BYTES, MAX_READ_BYTES, MAX_UNSENT_BYTES};

/// Size of the buffer for one read of the socket.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A connection with its receive and send buffers.
pub struct Link {
    /// The nonblocking socket. The owner of the link registers it with the poller.
    pub stream: TcpStream,
    /// Received bytes that are not decoded yet.
    unread: Vec<u8>,
    /// Encoded frames, of which the first `sent` bytes have been sent.
    unsent: Vec<u8>,
    sent: usize,
}

/// Error: more than [`MAX_UNSENT_BYTES`] are waiting to be sent. The owner has to drop the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the send buffer is full: the peer has left more than {MAX_UNSENT_BYTES} bytes unread")]
pub struct SendBufferFull;

/// Why no more frames can be read from a link.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer has closed the connection, or reading failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The peer has sent an invalid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Result of [`Link::read`].
pub struct LinkRead<M> {
    /// All complete frames that were received.
    pub frames: Vec<Frame<M>>,
    /// Whether the socket may have more data, for which the poller sends no further event.
    pub has_more: bool,
    /// Set if no more frames can be read from the link after `frames`.
    pub error: Option<ReadError>,
}

impl Link {
    /// Creates a link with empty buffers on a nonblocking socket.
    pub fn new(stream: TcpStream) -> Self {
        Link {
            stream,
            unread: Vec::new(),
            unsent: Vec::new(),
            sent: 0,
        }
    }

    /// Appends a frame to the send buffer. A frame that can't be encoded or is too long is silently
    /// dropped, since messages are delivered at most once anyway.
    ///
    /// # Errors
    ///
    /// The send buffer exceeds its limit.
    pub fn queue<M: Serialize>(&mut self, frame: &Frame<M>) -> Result<(), SendBufferFull> {
        let _ = frame::write(&mut self.unsent, frame);
        if self.unsent.len() - self.sent > MAX_UNSENT_BYTES {
            return Err(SendBufferFull);
        }
        Ok(())
    }

    /// Sends as much of the send buffer as the socket accepts.
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
            // Frees the memory of a burst.
            self.unsent.shrink_to(MAX_READ_BYTES);
        } else if self.sent >= MAX_READ_BYTES {
            self.unsent.drain(..self.sent);
            self.sent = 0;
        }
        Ok(())
    }

    /// Returns whether all queued frames are sent.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Reads and decodes received frames, about 64 KiB per call.
    pub fn read<M: DeserializeOwned>(&mut self) -> LinkRead<M> {
        let (has_more, connection_error) = match self.read_socket() {
            Ok(has_more) => (has_more, None),
            Err(error) => (false, Some(ReadError::Connection(error))),
        };
        let mut frames = Vec::new();
        let frame_error = self.decode_frames(&mut frames).err().map(ReadError::Frame);
        LinkRead {
            frames,
            has_more,
            error: frame_error.or(connection_error),
        }
    }

    /// Reads from the socket into the receive buffer. Returns whether reading stopped at a limit;
    /// if it did, the socket may have more data.
    fn read_socket(&mut self) -> io::Result<bool> {
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

    /// Decodes and removes all complete frames of the receive buffer.
    fn decode_frames<M: DeserializeOwned>(
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
