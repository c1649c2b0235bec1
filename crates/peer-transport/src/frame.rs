//! Frames: a length, a checksum, and what a serialization library made. Pure.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::handshake::Handshake;

/// Bytes of what a frame carries.
pub const MOST: usize = 256 << 10;
const HEAD: usize = 8;

/// What goes over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame<M> {
    Handshake(Handshake),
    /// Why this link ends, in words.
    Rejected(String),
    Heartbeat(u64),
    HeartbeatReply(u64),
    Message(M),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    TooLong(u32),
    Checksum,
    Unreadable,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::TooLong(length) => {
                write!(f, "a frame of {length} bytes, of which {MOST} are the most")
            }
            FrameError::Checksum => write!(f, "a frame's checksum is wrong"),
            FrameError::Unreadable => {
                write!(f, "a frame can't be read as this version writes them")
            }
        }
    }
}

/// Appends a frame. False: it is too long, and nothing was written.
pub fn write<M: Serialize>(out: &mut Vec<u8>, carried: &Frame<M>) -> bool {
    let Ok(bytes) = postcard::to_stdvec(carried) else {
        return false;
    };
    if bytes.len() > MOST {
        return false;
    }
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    out.extend_from_slice(&bytes);
    true
}

/// Takes the first whole frame off the front of what was read, and says how long it was.
pub fn read<M: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(Frame<M>, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Ok(None);
    };
    let number =
        |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, checksum) = (number(0), number(4));
    if length as usize > MOST {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length as usize) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        return Err(FrameError::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((carried, [])) => Ok(Some((carried, HEAD + body.len()))),
        _ => Err(FrameError::Unreadable),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn framed() -> Vec<u8> {
        let mut bytes = Vec::new();
        assert!(write(&mut bytes, &Frame::Message("first".to_string())));
        assert!(write(&mut bytes, &Frame::<String>::Heartbeat(7)));
        bytes
    }

    #[test]
    fn frames_come_back_whole_and_only_whole() {
        let bytes = framed();
        let (first, length) = read::<String>(&bytes).expect("sound").expect("whole");
        assert_eq!(first, Frame::Message("first".into()));
        let (second, rest) = read::<String>(&bytes[length..])
            .expect("sound")
            .expect("whole");
        assert_eq!((second, length + rest), (Frame::Heartbeat(7), bytes.len()));
        for cut in 0..length {
            assert_eq!(read::<String>(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
    }

    #[test]
    fn a_changed_byte_never_gives_another_message() {
        let bytes = framed();
        let (first, length) = read::<String>(&bytes).expect("sound").expect("whole");
        for at in 0..length {
            for bit in 0..8 {
                let mut spoilt = bytes.clone();
                spoilt[at] ^= 1 << bit;
                if let Ok(Some((other, _))) = read::<String>(&spoilt) {
                    assert_eq!(other, first, "bit {bit} of byte {at}");
                }
            }
        }
        let mut out = Vec::new();
        assert!(!write(&mut out, &Frame::Message("x".repeat(MOST))) && out.is_empty());
        assert_eq!(
            read::<String>(&[0xff; 64]),
            Err(FrameError::TooLong(u32::MAX))
        );
    }
}
