//! Links among the gateways of a fleet, as the operator's file names them.
//!
//! Every gateway makes a link to each keeper; what is asked on a link is answered on it, so two
//! keepers have two. [`hub`] is the one thread that holds all of them; [`link`] one connection with
//! its buffers. Pure are [`failure_detector`], which says how a peer does by when it was heard;
//! [`frame`], checksummed frames of bounded length; and [`handshake`], who is let in. What is
//! carried is the host's own, by a serialization library.
//!
//! Bounds: [`hub::MAX_LINKS`] links that others made, [`hub::MAX_WAITING`] messages each way
//! between the host and the thread, [`link::MAX_UNSENT`] bytes that a peer has not taken (then its
//! link is dropped and made anew), [`frame::MOST`] bytes a frame.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod failure_detector;
pub mod frame;
pub mod handshake;
pub mod hub;
pub mod link;

pub use failure_detector::State;
pub use handshake::{Handshake, HandshakeError};
pub use hub::{Config, Hub, Peer, PeerEvent};
