//! Encodes events of the group of gateways.

use super::primitives::{Decoder, Encoder};
use super::{kind, DecodeError, Decoded};
use crate::entry::FleetEvent;

/// Appends an event's content and returns its kind.
pub(super) fn encode(encoder: &mut Encoder<'_>, event: &FleetEvent) -> u8 {
    match event {
        FleetEvent::PeerState { name, state } => {
            encoder.put_text(name);
            encoder.put_text(state);
            kind::PEER_STATE
        }
        FleetEvent::PeerRejected { name, reason } => {
            encoder.put_text(name);
            encoder.put_text(reason);
            kind::PEER_REJECTED
        }
        FleetEvent::VotingChanged { is_voter } => {
            encoder.put_flag(*is_voter);
            kind::VOTING_CHANGED
        }
        FleetEvent::MajorityChanged { is_reachable } => {
            encoder.put_flag(*is_reachable);
            kind::MAJORITY_CHANGED
        }
        FleetEvent::LeaseChanged {
            task,
            term,
            is_held,
        } => {
            encoder.put_varint(u64::from(*task));
            encoder.put_varint(*term);
            encoder.put_flag(*is_held);
            kind::LEASE_CHANGED
        }
        FleetEvent::WorkReceived {
            task,
            term,
            owner,
            is_accepted,
        } => {
            encoder.put_varint(u64::from(*task));
            encoder.put_varint(*term);
            encoder.put_varint(*owner);
            encoder.put_flag(*is_accepted);
            kind::WORK_RECEIVED
        }
    }
}

/// Decodes the content of an event of this kind.
pub(super) fn decode(decoder: &mut Decoder<'_>, kind: u8) -> Decoded<FleetEvent> {
    Ok(match kind {
        kind::PEER_STATE => FleetEvent::PeerState {
            name: decoder.read_text()?,
            state: decoder.read_text()?,
        },
        kind::PEER_REJECTED => FleetEvent::PeerRejected {
            name: decoder.read_text()?,
            reason: decoder.read_text()?,
        },
        kind::VOTING_CHANGED => FleetEvent::VotingChanged {
            is_voter: decoder.read_flag()?,
        },
        kind::MAJORITY_CHANGED => FleetEvent::MajorityChanged {
            is_reachable: decoder.read_flag()?,
        },
        kind::LEASE_CHANGED => FleetEvent::LeaseChanged {
            task: decoder.read_u32_truncated()?,
            term: decoder.read_varint()?,
            is_held: decoder.read_flag()?,
        },
        kind::WORK_RECEIVED => FleetEvent::WorkReceived {
            task: decoder.read_u32_truncated()?,
            term: decoder.read_varint()?,
            owner: decoder.read_varint()?,
            is_accepted: decoder.read_flag()?,
        },
        kind => return Err(DecodeError::UnknownKind(kind)),
    })
}
