//! Service discovery: the endpoint list as numbered server-sent events over HTTP. The parser takes
//! bytes and returns events; the caller does the I/O.
//!
//! [`Reader`] parses one response, and [`DiscoveryEvent`] is the parsed data of one
//! event. The field names of the protocol occur in this package and nowhere else.
//!
//! ```
//! use eideryard_discovery::{DiscoveryEvent, Reader, StreamEvent};
//!
//! let mut events = Vec::new();
//! let response = b"HTTP/1.1 200 OK\r\n\r\nid: 7\ndata: {\"no\": 7}\n\n";
//! Reader::default().read(response, &mut events)?;
//! let StreamEvent::Event { data, .. } = &events[0] else { panic!("an event") };
//! assert_eq!(DiscoveryEvent::read(data).map(|event| event.number), Ok(7));
//! # Ok::<(), eideryard_discovery::StreamError>(())
//! ```

mod error;
mod http;
mod item;
mod sse;

pub use error::StreamError;
pub use http::{request, MAX_HEAD};
pub use item::{
    DiscoveredEngine, DiscoveryEvent, DiscoveryEventError, EndpointUpdate, EngineHealth,
    InitialEvents,
};
pub use sse::{StreamEvent, MAX_EVENT};

/// An incremental parser for one response of service discovery.
#[derive(Default)]
pub struct Reader {
    body: http::Body,
    event_parser: sse::EventParser,
}

impl Reader {
    /// Parses the next bytes and appends the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed or exceeds a limit. The reader must not be
    /// used again.
    pub fn read(&mut self, bytes: &[u8], events: &mut Vec<StreamEvent>) -> Result<(), StreamError> {
        let event_parser = &mut self.event_parser;
        self.body
            .read(bytes, &mut |body| event_parser.read(body, events))
    }

    /// Returns whether the end of the body was reached according to `Content-Length` or the
    /// chunks. A body without either ends when the connection is closed, which only the caller
    /// notices.
    pub fn is_over(&self) -> bool {
        self.body.is_complete()
    }
}
