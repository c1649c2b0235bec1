//! All bounds and time limits of the links.

use std::time::Duration;

use crate::Micros;

/// Links that other gateways made; further ones are closed at once.
pub const MAX_LINKS: usize = 400;
/// Messages that are queued between the host and the thread, in each direction.
pub const MAX_QUEUED_MESSAGES: usize = 8192;
/// Bytes of the content of one frame.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Bytes that a peer has not read yet; beyond that its link is dropped and made anew.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Bytes that are read of one link at a time, so that no link keeps the others waiting.
pub(crate) const MAX_READ_BYTES: usize = 64 << 10;

/// Interval at which heartbeats are sent.
pub const HEARTBEAT_INTERVAL: Micros = 300_000;
/// A link on which nothing arrived for this time is dropped.
pub const DISCONNECT_TIMEOUT: Micros = 4_000_000;
/// A peer that has sent no handshake after this time is dropped.
pub(crate) const HANDSHAKE_TIMEOUT: Micros = 2_000_000;
/// A lost link is dialed again after a random delay, whose upper bound doubles with each failure.
pub(crate) const MIN_RETRY_DELAY: Micros = 100_000;
/// Greatest upper bound of the delay before a voter is dialed again.
pub(crate) const MAX_RETRY_DELAY: Micros = 2_000_000;
/// Least time that the thread waits for its sockets.
pub(crate) const MIN_POLL_TIMEOUT: Micros = 1_000;
/// How soon the thread tries again where the host's queue is full.
pub(crate) const FULL_QUEUE_POLL_TIMEOUT: Duration = Duration::from_millis(2);
/// How long a host that drops its [`crate::Hub`] waits for the thread to end.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which that host looks whether the thread has ended.
pub(crate) const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);
