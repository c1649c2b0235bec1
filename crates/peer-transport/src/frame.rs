//! Frames on a link: the length and the checksum of the content, then the content as `postcard`
//! encodes it. No I/O.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::handshake::Handshake;
use crate::limits::MAX_FRAME_BYTES;

#[cfg(test)]
mod tests;

/// Bytes before the content: its length and its checksum, four bytes each, in network byte order.
const HEADER_BYTES: usize = 8;

/// The content of a frame; `M` is the host's message. The order of variants is the format on the
/// wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame<M> {
    /// The first frame of each end.
    Handshake(Handshake),
    /// Why the sender closes the link, as text for the operator.
    Rejected(String),
    /// Asks for a reply with the same number.
    Heartbeat(u64),
    /// Answers a heartbeat.
    HeartbeatReply(u64),
    /// A message of the host.
    Message(M),
}

/// Why received bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The header announces more than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, of which {MAX_FRAME_BYTES} are the most")]
    TooLong(u32),
    /// The content doesn't match its checksum.
    #[error("a frame's checksum is wrong")]
    Checksum,
    /// The content can't be decoded.
    #[error("a frame can't be read as this version writes them")]
    Unreadable,
}

/// Why a frame can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The content has this many bytes, more than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes can't be sent, {MAX_FRAME_BYTES} are the most")]
    TooLong(usize),
    /// The content can't be encoded.
    #[error("a frame's content can't be encoded")]
    Unserializable,
}

/// A frame that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadFrame<M> {
    /// The frame.
    pub frame: Frame<M>,
    /// Bytes that it took, header included.
    pub length: usize,
}

/// Appends a frame to a buffer. If it fails, nothing is appended.
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

/// Reads the first frame of a buffer; nothing if it is not whole yet.
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
