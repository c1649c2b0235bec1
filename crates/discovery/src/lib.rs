//! The bulletin: a list of engines told as numbered server-sent events over HTTP. Bytes in, items
//! out, no I/O.

#![expect(missing_docs, reason = "public items are still to be described")]

mod http;
mod item;
mod sse;

pub use http::{request, Malformed, MAX_HEAD};
pub use item::{DiscoveredEngine, Item, ItemError, Known, Roster, State};
pub use sse::{StreamEvent, MAX_EVENT};

/// Reads one response of the bulletin, in pieces as they come.
#[derive(Default)]
pub struct Reader {
    http: http::Body,
    events: sse::Events,
}

impl Reader {
    /// Takes what came in and puts what it tells behind `heard`.
    pub fn take(&mut self, bytes: &[u8], heard: &mut Vec<StreamEvent>) -> Result<(), Malformed> {
        let events = &mut self.events;
        self.http.take(bytes, &mut |body| events.take(body, heard))
    }

    /// The response said that it is over.
    pub fn is_over(&self) -> bool {
        self.http.is_over()
    }
}
