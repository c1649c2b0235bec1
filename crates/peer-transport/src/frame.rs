//! Encoding of the frames on a link: length and checksum of the content, followed by the content
//! encoded with `postcard`. No I/O.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::handshake::Handshake;
use crate::limits::MAX_FRAME_BYTES;

#[cfg(test)]
mod tests;

/// Size of the header: length and CRC-32 of the content, four bytes each, in network byte order.
const HEADER_BYTES: usize = 8;

/// The content of a frame. `M` is the type of the host's messages. The order of the variants is
/// part of the wire format and must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame<M> {
    /// Introduces the sender; the first frame in each direction.
    Handshake(Handshake),
    /// The sender rejects the receiver and closes the link; the text tells the operator why.
    Rejected(String),
    /// Requests a [`Frame::HeartbeatReply`] with the same sequence number.
    Heartbeat(u64),
    /// Replies to the heartbeat with this sequence number.
    HeartbeatReply(u64),
    /// A message from the host, which the links carry without interpreting it.
    Message(M),
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The header states this length, more than [`MAX_FRAME_BYTES`].
    #[error("the frame header states {0} bytes of content, the maximum is {MAX_FRAME_BYTES}")]
    TooLong(u32),
    /// The content doesn't match its checksum.
    #[error("the content of the frame does not match the checksum in its header")]
    Checksum,
    /// The content is not exactly one encoded [`Frame`].
    #[error("the content of the frame can't be decoded in the format of this version")]
    Unreadable,
}

/// Why a frame can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The encoded content has this many bytes, more than [`MAX_FRAME_BYTES`].
    #[error("the content of the frame has {0} bytes, the maximum is {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The host's message can't be encoded with `postcard`.
    #[error("the content of the frame can't be encoded")]
    Unserializable,
}

/// A frame decoded by [`read`].
#[derive(Clone, Debug, PartialEq)]
pub struct ReadFrame<M> {
    /// The decoded content.
    pub frame: Frame<M>,
    /// Bytes that the frame takes in the buffer, header included; the next frame follows them.
    pub length: usize,
}

/// Appends an encoded frame to a buffer. On an error the buffer is unchanged.
pub fn write<M: Serialize>(buffer: &mut Vec<u8>, frame: &Frame<M>) -> Result<(), WriteError> {
    let content = postcard::to_stdvec(frame).map_err(|_| WriteError::Unserializable)?;
    if content.len() > MAX_FRAME_BYTES {
        return Err(WriteError::TooLong(content.len()));
    }
    buffer.extend_from_slice(&(content.len() as u32).to_be_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_be_bytes());
    buffer.extend_from_slice(&content);
    Ok(())
}

/// Decodes the first frame of a buffer. Returns `None` if the frame is still incomplete.
pub fn read<M: DeserializeOwned>(buffer: &[u8]) -> Result<Option<ReadFrame<M>>, FrameError> {
    let Some((header, rest)) = buffer.split_first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]);
    let checksum = u32::from_be_bytes([c0, c1, c2, c3]);
    if length as usize > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let Some(content) = rest.get(..length as usize) else {
        return Ok(None);
    };
    if crc32fast::hash(content) != checksum {
        return Err(FrameError::Checksum);
    }
    match postcard::take_from_bytes(content) {
        Ok((frame, [])) => Ok(Some(ReadFrame {
            frame,
            length: HEADER_BYTES + content.len(),
        })),
        _ => Err(FrameError::Unreadable),
    }
}
