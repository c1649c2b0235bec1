//! The entries of an event log: the events and actions of the decision module, and the events of
//! the gateway around it. The gateway creates them, [`crate::codec`] encodes and decodes them, and
//! the analysis and the `records` commands read them.

mod fleet;
mod host;
mod reasons;

use eideryard::interface::{request_timer_tag, Action, Event, RequestId};

pub use crate::totals::AnswerKind;
pub use fleet::FleetEvent;
pub use host::{ClientRequest, HostEvent, ListedEngine, Names, OpenRequest, RunningAttempt};
pub use reasons::{CloseReason, RejectReason};

/// One entry of an event log.
#[derive(Clone, Debug)]
pub enum Entry {
    /// An input of the decision module.
    Event(Event),
    /// An output of the decision module.
    Action(Action),
    /// An event of the gateway around it.
    Host(HostEvent),
}

/// A borrowed [`Entry`], so that an entry can be recorded without copying it.
#[derive(Clone, Copy, Debug)]
pub enum EntryRef<'a> {
    /// An input of the decision module.
    Event(&'a Event),
    /// An output of the decision module.
    Action(&'a Action),
    /// An event of the gateway around it.
    Host(&'a HostEvent),
}

impl Entry {
    /// Returns the ID of the request that the entry is about, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Entry::Event(event) => request_of_event(event),
            Entry::Action(action) => request_of_action(action),
            Entry::Host(host) => request_of_host_event(host),
        }
    }

    /// Borrows the entry.
    pub fn as_ref(&self) -> EntryRef<'_> {
        match self {
            Entry::Event(event) => EntryRef::Event(event),
            Entry::Action(action) => EntryRef::Action(action),
            Entry::Host(host) => EntryRef::Host(host),
        }
    }
}

fn request_of_event(event: &Event) -> Option<RequestId> {
    match event {
        Event::Arrived(request) => Some(request.id),
        Event::AttemptEnded(ended) => Some(ended.request),
        Event::StreamBegan { request }
        | Event::PriorAttempts { request, .. }
        | Event::ProgressReported { request, .. }
        | Event::ClientLeft { request } => Some(*request),
        Event::Timer { tag } => request_of_timer(*tag),
        _ => None,
    }
}

fn request_of_action(action: &Action) -> Option<RequestId> {
    match action {
        Action::Grant { request, .. }
        | Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request } => Some(*request),
        Action::SetTimer { tag, .. } => request_of_timer(*tag),
        _ => None,
    }
}

fn request_of_host_event(event: &HostEvent) -> Option<RequestId> {
    match event {
        HostEvent::RequestReceived(received) => Some(received.request),
        HostEvent::OpenRequest(open) => Some(open.client_request.request),
        HostEvent::Answered { request, .. } | HostEvent::RefusalExplained { request, .. } => {
            Some(*request)
        }
        _ => None,
    }
}

/// Returns the request whose deadline timer has this tag; `None` for the tags of other timers.
pub(crate) fn request_of_timer(tag: u64) -> Option<RequestId> {
    tag.checked_sub(request_timer_tag(0))
        .filter(|request| request >> 32 != 0)
}
