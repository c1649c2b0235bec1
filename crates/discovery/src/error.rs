//! What is wrong with a response of service discovery.

use thiserror::Error;

/// A response that can't be read; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The head is no HTTP response.
    #[error("the response's head: {0}")]
    Head(httparse::Error),
    /// The head is longer than the bound.
    #[error("the response's head is too long")]
    HeadTooLong,
    /// Another status than 200.
    #[error("the bulletin answered {0}")]
    Status(u16),
    /// A length that is no number.
    #[error("content-length '{0}' is no number")]
    ContentLength(String),
    /// More bytes in a chunk than its head says.
    #[error("a chunk is longer than it said")]
    ChunkTooLong,
    /// A head of a chunk that is longer than the bound.
    #[error("a chunk's head is too long")]
    ChunkHeadTooLong,
    /// A head of a chunk without a size.
    #[error("a chunk has no size")]
    ChunkSize,
    /// An event that is longer than the bound.
    #[error("an event is too long")]
    EventTooLong,
    /// A line of an event that is no text.
    #[error("a line is not UTF-8")]
    NotUtf8,
}
