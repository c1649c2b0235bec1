//! Service discovery: a list of engines as numbered server-sent events over HTTP. Bytes in, events
//! out, no I/O.
//!
//! [`Reader`] keeps the state of one response, and [`DiscoveryEvent`] is the parsed data of one
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

/// Reads one response of service discovery, in pieces as they come.
#[derive(Default)]
pub struct Reader {
    body: http::Body,
    events: sse::Events,
}

impl Reader {
    /// Reads the next bytes and appends the events that are whole now.
    ///
    /// # Errors
    ///
    /// The response can't be read.
    pub fn read(&mut self, bytes: &[u8], events: &mut Vec<StreamEvent>) -> Result<(), StreamError> {
        let parser = &mut self.events;
        self.body.read(bytes, &mut |body| parser.read(body, events))
    }

    /// Whether the response said that it is over.
    pub fn is_over(&self) -> bool {
        self.body.is_over()
    }
}
