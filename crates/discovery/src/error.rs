//! Errors in a response from service discovery.

use thiserror::Error;

/// Why a response can't be parsed. The connection must be closed: the parser can't resynchronize.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The status line or a header is not valid HTTP.
    #[error("the response head is not valid HTTP: {0}")]
    Head(httparse::Error),
    /// The status line and headers are longer than [`MAX_HEAD`](crate::MAX_HEAD).
    #[error("the response head is longer than {} bytes", crate::MAX_HEAD)]
    HeadTooLong,
    /// The response has a status other than 200.
    #[error("the bulletin answered with status {0}, expected 200")]
    Status(u16),
    /// The value of the `Content-Length` header is not a number.
    #[error("content-length '{0}' is not a number")]
    ContentLength(String),
    /// The data of a chunk is not followed by a line end.
    #[error("a chunk is longer than its declared size")]
    ChunkTooLong,
    /// The size line of a chunk is longer than [`MAX_HEAD`](crate::MAX_HEAD).
    #[error("the size line of a chunk is longer than {} bytes", crate::MAX_HEAD)]
    ChunkHeadTooLong,
    /// The size line of a chunk does not begin with a hexadecimal number.
    #[error("the size line of a chunk has no hexadecimal size")]
    ChunkSize,
    /// An event is longer than [`MAX_EVENT`](crate::MAX_EVENT).
    #[error("an event is longer than {} bytes", crate::MAX_EVENT)]
    EventTooLong,
    /// A line of an event is not valid UTF-8.
    #[error("a line of an event is not valid UTF-8")]
    NotUtf8,
}
