//! Bounds and timeouts of the links.

use std::time::Duration;

use crate::Micros;

/// Maximum number of links that other gateways open; further connections are closed at once.
pub const MAX_LINKS: usize = 400;
/// Capacity of the queues between the host and the thread, in messages per direction.
pub const MAX_QUEUED_MESSAGES: usize = 8192;
/// Maximum size of the content of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Maximum size of the send buffer of a link, in bytes. If a peer reads so slowly that the maximum
/// is exceeded, the link is dropped and opened again.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Bytes that are read from one link per turn, so that no link starves the others.
pub(crate) const MAX_READ_BYTES: usize = 64 << 10;

/// Interval between heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Micros = 300_000;
/// Time without received data after which a link is dropped.
pub const DISCONNECT_TIMEOUT: Micros = 4_000_000;
/// Time after which a link without an accepted handshake is dropped.
pub(crate) const HANDSHAKE_TIMEOUT: Micros = 2_000_000;
/// Initial upper bound of the random delay before a voter is dialed again. The bound doubles with
/// each failure.
pub(crate) const MIN_RETRY_DELAY: Micros = 100_000;
/// Value at which the upper bound of the random delay before a voter is dialed again stops growing.
pub(crate) const MAX_RETRY_DELAY: Micros = 2_000_000;
/// Minimum timeout of a poll, so that the thread does not spin on imminent deadlines.
pub(crate) const MIN_POLL_TIMEOUT: Micros = 1_000;
/// Timeout of a poll while the queue to the host is full, after which delivery is retried.
pub(crate) const FULL_QUEUE_POLL_TIMEOUT: Duration = Duration::from_millis(2);
/// Maximum time for which dropping a [`crate::Hub`] waits for the thread to end.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which dropping a [`crate::Hub`] checks whether the thread has ended.
pub(crate) const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);
