//! Formats events of the gateway outside the decision module as text.

use std::fmt::{self, Debug, Formatter};
use std::net::IpAddr;

use eideryard::interface::{Micros, RequestId};

use super::fleet::FleetText;
use super::names::{answer_name, close_reason_name, phase_name, reject_reason_name};
use super::{write_struct, write_tuple, Bare};
use crate::entry::{
    AnswerKind, ClientRequest, CloseReason, HostEvent, ListedEngine, Names, OpenRequest,
    RejectReason,
};
use crate::totals::Tally;

pub(super) struct HostText<'a>(pub &'a HostEvent);

impl Debug for HostText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            HostEvent::SegmentStarted {
                name,
                epoch,
                segment,
            } => write_segment_started(f, name, *epoch, *segment),
            HostEvent::Names(names) => write_tuple(f, "Names", &NamesText(names)),
            HostEvent::Engine(listed) => write_tuple(f, "Engine", &ListedEngineText(listed)),
            HostEvent::OpenRequest(open) => write_tuple(f, "Open", &OpenRequestText(open)),
            HostEvent::Tally(tally) => write_tuple(f, "Tally", tally),
            HostEvent::StateComplete => f.write_str("StateWhole"),
            HostEvent::Connected {
                connection,
                address,
            } => write_connected(f, *connection, *address),
            HostEvent::ConnectionClosing { connection, reason } => {
                write_connection_closing(f, *connection, *reason)
            }
            HostEvent::Disconnected { connection } => write_disconnected(f, *connection),
            HostEvent::RequestReceived(received) => write_request_received(f, received),
            HostEvent::RetryAttached { class, tenant } => write_retry_attached(f, *class, *tenant),
            HostEvent::RequestRejected {
                reason,
                class,
                tenant,
            } => write_request_rejected(f, *reason, *class, *tenant),
            HostEvent::Answered {
                request,
                class,
                tenant,
                kind,
                is_late,
            } => write_answered(f, *request, *class, *tenant, *kind, *is_late),
            HostEvent::DiscoveryLink { is_up } => write_struct(f, "Link", &[("up", is_up)]),
            HostEvent::DiscoveryEvent { number } => write_discovery_event(f, *number),
            HostEvent::RefusalExplained { request, reason } => {
                write_refusal_explained(f, *request, *reason)
            }
            HostEvent::Fleet(event) => write_tuple(f, "Fleet", &FleetText(event)),
            HostEvent::ConfigReloaded { succeeded } => write_config_reloaded(f, *succeeded),
            HostEvent::Heartbeat => f.write_str("Alive"),
            HostEvent::Stopping => f.write_str("Stopping"),
            HostEvent::Ended { counters } => write_struct(f, "Ended", &[("counters", counters)]),
            HostEvent::Gap {
                from,
                to,
                entries,
                counted,
            } => write_gap(f, *from, *to, *entries, counted),
        }
    }
}

// ---- Segments ----

fn write_segment_started(
    f: &mut Formatter<'_>,
    name: &str,
    epoch: Micros,
    segment: u64,
) -> fmt::Result {
    f.debug_struct("Begin")
        .field("name", &name)
        .field("epoch", &epoch)
        .field("segment", &segment)
        .finish()
}

fn write_gap(
    f: &mut Formatter<'_>,
    from: Micros,
    to: Micros,
    entries: u64,
    counted: &Tally,
) -> fmt::Result {
    f.debug_struct("Gap")
        .field("from", &from)
        .field("to", &to)
        .field("entries", &entries)
        .field("counted", counted)
        .finish()
}

struct NamesText<'a>(&'a Names);

impl Debug for NamesText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let names = self.0;
        f.debug_struct("Names")
            .field("classes", &names.classes)
            .field("tenants", &names.tenants)
            .field("zones", &names.zones)
            .field("kinds", &names.kinds)
            .field("threads", &names.threads)
            .finish()
    }
}

struct ListedEngineText<'a>(&'a ListedEngine);

impl Debug for ListedEngineText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let listed = self.0;
        f.debug_struct("Listed")
            .field("engine", &listed.engine)
            .field("name", &listed.name)
            .field("address", &listed.address)
            .field("zone", &listed.zone)
            .field("kind", &listed.kind)
            .field("phase", &Bare(phase_name(listed.phase)))
            .field("booted_at", &listed.booted_at)
            .finish()
    }
}

struct OpenRequestText<'a>(&'a OpenRequest);

impl Debug for OpenRequestText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let open = self.0;
        let running = open
            .running
            .map(|attempt| (attempt.engine, attempt.sent_at));
        f.debug_struct("OpenRequest")
            .field("offer", &ClientRequestText(&open.client_request))
            .field("class", &open.class)
            .field("tenant", &open.tenant)
            .field("arrived_at", &open.arrived_at)
            .field("deadline", &open.deadline)
            .field("attempts", &open.attempts)
            .field("out", &running)
            .finish()
    }
}

// ---- Connections ----

fn write_connected(f: &mut Formatter<'_>, connection: u64, address: IpAddr) -> fmt::Result {
    let fields: &[(&str, &dyn Debug)] = &[("connection", &connection), ("address", &address)];
    write_struct(f, "Connected", fields)
}

fn write_connection_closing(
    f: &mut Formatter<'_>,
    connection: u64,
    reason: CloseReason,
) -> fmt::Result {
    let why = Bare(close_reason_name(reason));
    write_struct(f, "Ending", &[("connection", &connection), ("why", &why)])
}

fn write_disconnected(f: &mut Formatter<'_>, connection: u64) -> fmt::Result {
    write_struct(f, "Disconnected", &[("connection", &connection)])
}

// ---- Requests ----

struct ClientRequestText<'a>(&'a ClientRequest);

impl Debug for ClientRequestText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let received = self.0;
        f.debug_struct("Offer")
            .field("request", &received.request)
            .field("id", &received.id)
            .field("connection", &received.connection)
            .finish()
    }
}

fn write_request_received(f: &mut Formatter<'_>, received: &ClientRequest) -> fmt::Result {
    write_tuple(f, "Offered", &ClientRequestText(received))
}

fn write_retry_attached(f: &mut Formatter<'_>, class: usize, tenant: usize) -> fmt::Result {
    write_struct(f, "Attached", &[("class", &class), ("tenant", &tenant)])
}

fn write_request_rejected(
    f: &mut Formatter<'_>,
    reason: RejectReason,
    class: Option<usize>,
    tenant: Option<usize>,
) -> fmt::Result {
    f.debug_struct("NotTaken")
        .field("how", &Bare(reject_reason_name(reason)))
        .field("class", &class)
        .field("tenant", &tenant)
        .finish()
}

fn write_answered(
    f: &mut Formatter<'_>,
    request: RequestId,
    class: usize,
    tenant: usize,
    kind: AnswerKind,
    is_late: bool,
) -> fmt::Result {
    f.debug_struct("Answered")
        .field("request", &request)
        .field("class", &class)
        .field("tenant", &tenant)
        .field("how", &Bare(answer_name(kind)))
        .field("late", &is_late)
        .finish()
}

fn write_refusal_explained(
    f: &mut Formatter<'_>,
    request: RequestId,
    reason: RejectReason,
) -> fmt::Result {
    let why = Bare(reject_reason_name(reason));
    write_struct(f, "Because", &[("request", &request), ("why", &why)])
}

// ---- Discovery and configuration ----

fn write_discovery_event(f: &mut Formatter<'_>, number: u64) -> fmt::Result {
    write_struct(f, "ListEvent", &[("number", &number)])
}

fn write_config_reloaded(f: &mut Formatter<'_>, succeeded: bool) -> fmt::Result {
    write_struct(f, "Reloaded", &[("done", &succeeded)])
}
