//! Encodes events of the gateway outside the decision module.

use std::net::IpAddr;

use eideryard::interface::RequestId;

use super::primitives::{value_at, Decoder, Encoder};
use super::{fleet, kind, DecodeError, Decoded};
use crate::entry::{AnswerKind, ClientRequest, CloseReason, HostEvent, RejectReason};

/// Values of the byte that precedes an IP address and states its version.
const IP_VERSION_4: u8 = 4;
const IP_VERSION_6: u8 = 6;
/// The byte of an answer consists of its kind in the low four bits and, above them, a flag that is
/// set if the answer was late.
const ANSWER_KIND_MASK: u8 = 15;
const ANSWER_LATE_SHIFT: u8 = 4;

/// Appends an event's content and returns its kind.
pub(super) fn encode(encoder: &mut Encoder<'_>, event: &HostEvent) -> u8 {
    match event {
        HostEvent::SegmentStarted {
            name,
            epoch,
            segment,
        } => encoder.put_segment_started(name, *epoch, *segment),
        HostEvent::Names(names) => encoder.put_names(names),
        HostEvent::Engine(engine) => encoder.put_listed_engine(engine),
        HostEvent::OpenRequest(open) => encoder.put_open_request(open),
        HostEvent::Tally(tally) => encoder.put_tally_entry(tally),
        HostEvent::StateComplete => kind::STATE_COMPLETE,
        HostEvent::Connected {
            connection,
            address,
        } => encoder.put_connected(*connection, *address),
        HostEvent::ConnectionClosing { connection, reason } => {
            encoder.put_connection_closing(*connection, *reason)
        }
        HostEvent::Disconnected { connection } => encoder.put_disconnected(*connection),
        HostEvent::RequestReceived(received) => encoder.put_request_received(received),
        HostEvent::RetryAttached { class, tenant } => encoder.put_retry_attached(*class, *tenant),
        HostEvent::RequestRejected {
            reason,
            class,
            tenant,
        } => encoder.put_request_rejected(*reason, *class, *tenant),
        HostEvent::Answered {
            request,
            class,
            tenant,
            kind,
            is_late,
        } => encoder.put_answered(*request, *class, *tenant, *kind, *is_late),
        HostEvent::DiscoveryLink { is_up } => encoder.put_discovery_link(*is_up),
        HostEvent::DiscoveryEvent { number } => encoder.put_discovery_event(*number),
        HostEvent::ConfigReloaded { succeeded } => encoder.put_config_reloaded(*succeeded),
        HostEvent::RefusalExplained { request, reason } => {
            encoder.put_refusal_explained(*request, *reason)
        }
        HostEvent::Fleet(event) => fleet::encode(encoder, event),
        HostEvent::Stopping => kind::STOPPING,
        HostEvent::Heartbeat => kind::HEARTBEAT,
        HostEvent::Ended { counters } => encoder.put_ended(counters),
        HostEvent::Gap {
            from,
            to,
            entries,
            counted,
        } => encoder.put_gap(*from, *to, *entries, counted),
    }
}

/// Decodes the content of an event of this kind.
pub(super) fn decode(decoder: &mut Decoder<'_>, kind: u8) -> Decoded<HostEvent> {
    match kind {
        kind::SEGMENT_STARTED => decoder.read_segment_started(),
        kind::NAMES => decoder.read_names().map(HostEvent::Names),
        kind::ENGINE => decoder.read_listed_engine().map(HostEvent::Engine),
        kind::OPEN_REQUEST => decoder.read_open_request().map(HostEvent::OpenRequest),
        kind::TALLY => decoder.read_tally_entry(),
        kind::STATE_COMPLETE => Ok(HostEvent::StateComplete),
        kind::CONNECTED => decoder.read_connected(),
        kind::CONNECTION_CLOSING => decoder.read_connection_closing(),
        kind::DISCONNECTED => decoder.read_disconnected(),
        kind::REQUEST_RECEIVED => decoder
            .read_client_request()
            .map(HostEvent::RequestReceived),
        kind::RETRY_ATTACHED => decoder.read_retry_attached(),
        kind::REQUEST_REJECTED => decoder.read_request_rejected(),
        kind::ANSWERED => decoder.read_answered(),
        kind::DISCOVERY_LINK => decoder.read_discovery_link(),
        kind::DISCOVERY_EVENT => decoder.read_discovery_event(),
        kind::CONFIG_RELOADED => decoder.read_config_reloaded(),
        kind::REFUSAL_EXPLAINED => decoder.read_refusal_explained(),
        kind::STOPPING => Ok(HostEvent::Stopping),
        kind::HEARTBEAT => Ok(HostEvent::Heartbeat),
        kind::ENDED => decoder.read_ended(),
        kind::GAP => decoder.read_gap(),
        kind => fleet::decode(decoder, kind).map(HostEvent::Fleet),
    }
}

// ---- Connections ----

impl Encoder<'_> {
    fn put_connected(&mut self, connection: u64, address: IpAddr) -> u8 {
        self.put_connection(connection);
        match address {
            IpAddr::V4(address) => {
                self.put_byte(IP_VERSION_4);
                self.put_bytes(&address.octets());
            }
            IpAddr::V6(address) => {
                self.put_byte(IP_VERSION_6);
                self.put_bytes(&address.octets());
            }
        }
        kind::CONNECTED
    }

    fn put_connection_closing(&mut self, connection: u64, reason: CloseReason) -> u8 {
        self.put_connection(connection);
        self.put_byte(reason as u8);
        kind::CONNECTION_CLOSING
    }

    fn put_disconnected(&mut self, connection: u64) -> u8 {
        self.put_connection(connection);
        kind::DISCONNECTED
    }
}

impl Decoder<'_> {
    fn read_connected(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::Connected {
            connection: self.read_connection()?,
            address: self.read_ip_address()?,
        })
    }

    fn read_ip_address(&mut self) -> Decoded<IpAddr> {
        match self.read_byte()? {
            IP_VERSION_4 => Ok(IpAddr::from(self.read_bytes::<4>()?)),
            IP_VERSION_6 => Ok(IpAddr::from(self.read_bytes::<16>()?)),
            _ => Err(DecodeError::ValueOutOfRange),
        }
    }

    fn read_connection_closing(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::ConnectionClosing {
            connection: self.read_connection()?,
            reason: self.read_one_of(&CloseReason::ALL)?,
        })
    }

    fn read_disconnected(&mut self) -> Decoded<HostEvent> {
        let connection = self.read_connection()?;
        Ok(HostEvent::Disconnected { connection })
    }
}

// ---- Requests ----

impl Encoder<'_> {
    pub(super) fn put_client_request(&mut self, received: &ClientRequest) {
        self.put_request(received.request);
        self.put_bytes(&received.id.to_le_bytes());
        self.put_connection(received.connection);
    }

    fn put_request_received(&mut self, received: &ClientRequest) -> u8 {
        self.put_client_request(received);
        kind::REQUEST_RECEIVED
    }

    fn put_retry_attached(&mut self, class: usize, tenant: usize) -> u8 {
        self.put_index(class);
        self.put_index(tenant);
        kind::RETRY_ATTACHED
    }

    fn put_request_rejected(
        &mut self,
        reason: RejectReason,
        class: Option<usize>,
        tenant: Option<usize>,
    ) -> u8 {
        self.put_byte(reason as u8);
        self.put_optional_index(class);
        self.put_optional_index(tenant);
        kind::REQUEST_REJECTED
    }

    fn put_answered(
        &mut self,
        request: RequestId,
        class: usize,
        tenant: usize,
        kind: AnswerKind,
        is_late: bool,
    ) -> u8 {
        self.put_request(request);
        self.put_index(class);
        self.put_index(tenant);
        self.put_byte(kind as u8 | u8::from(is_late) << ANSWER_LATE_SHIFT);
        kind::ANSWERED
    }

    fn put_refusal_explained(&mut self, request: RequestId, reason: RejectReason) -> u8 {
        self.put_request(request);
        self.put_byte(reason as u8);
        kind::REFUSAL_EXPLAINED
    }
}

impl Decoder<'_> {
    pub(super) fn read_client_request(&mut self) -> Decoded<ClientRequest> {
        Ok(ClientRequest {
            request: self.read_request()?,
            id: u64::from_le_bytes(self.read_bytes()?),
            connection: self.read_connection()?,
        })
    }

    fn read_retry_attached(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::RetryAttached {
            class: self.read_index()?,
            tenant: self.read_index()?,
        })
    }

    fn read_request_rejected(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::RequestRejected {
            reason: self.read_one_of(&RejectReason::ALL)?,
            class: self.read_optional_index()?,
            tenant: self.read_optional_index()?,
        })
    }

    fn read_answered(&mut self) -> Decoded<HostEvent> {
        let request = self.read_request()?;
        let class = self.read_index()?;
        let tenant = self.read_index()?;
        let answer = self.read_byte()?;
        Ok(HostEvent::Answered {
            request,
            class,
            tenant,
            kind: value_at(&AnswerKind::ALL, answer & ANSWER_KIND_MASK)?,
            is_late: answer >> ANSWER_LATE_SHIFT == 1,
        })
    }

    fn read_refusal_explained(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::RefusalExplained {
            request: self.read_request()?,
            reason: self.read_one_of(&RejectReason::ALL)?,
        })
    }
}

// ---- Discovery and configuration ----

impl Encoder<'_> {
    fn put_discovery_link(&mut self, is_up: bool) -> u8 {
        self.put_flag(is_up);
        kind::DISCOVERY_LINK
    }

    fn put_discovery_event(&mut self, number: u64) -> u8 {
        self.put_varint(number);
        kind::DISCOVERY_EVENT
    }

    fn put_config_reloaded(&mut self, succeeded: bool) -> u8 {
        self.put_flag(succeeded);
        kind::CONFIG_RELOADED
    }
}

impl Decoder<'_> {
    fn read_discovery_link(&mut self) -> Decoded<HostEvent> {
        let is_up = self.read_flag()?;
        Ok(HostEvent::DiscoveryLink { is_up })
    }

    fn read_discovery_event(&mut self) -> Decoded<HostEvent> {
        let number = self.read_varint()?;
        Ok(HostEvent::DiscoveryEvent { number })
    }

    fn read_config_reloaded(&mut self) -> Decoded<HostEvent> {
        let succeeded = self.read_flag()?;
        Ok(HostEvent::ConfigReloaded { succeeded })
    }
}
