//! Formats events of the group of gateways as text.

use std::fmt::{self, Debug, Formatter};

use super::write_struct;
use crate::entry::FleetEvent;

pub(super) struct FleetText<'a>(pub &'a FleetEvent);

impl Debug for FleetText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            FleetEvent::PeerState { name, state } => {
                write_struct(f, "Peer", &[("name", name), ("state", state)])
            }
            FleetEvent::PeerRejected { name, reason } => {
                write_struct(f, "Turned", &[("name", name), ("why", reason)])
            }
            FleetEvent::VotingChanged { is_voter } => {
                write_struct(f, "Votes", &[("votes", is_voter)])
            }
            FleetEvent::MajorityChanged { is_reachable } => {
                write_struct(f, "Majority", &[("stands", is_reachable)])
            }
            FleetEvent::LeaseChanged {
                task,
                term,
                is_held,
            } => write_struct(
                f,
                "Owns",
                &[("task", task), ("term", term), ("owns", is_held)],
            ),
            FleetEvent::WorkReceived {
                task,
                term,
                owner,
                is_accepted,
            } => write_struct(
                f,
                "Work",
                &[
                    ("task", task),
                    ("term", term),
                    ("owner", owner),
                    ("counts", is_accepted),
                ],
            ),
        }
    }
}
