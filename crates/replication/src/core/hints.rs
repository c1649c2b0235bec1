//! Unsolicited messages between gateways: drains of engines, and learned figures as hints. Both use
//! the links of [`Core`] and need no vote.

use super::{Core, Output, Peer};
use crate::drains::Drain;
use crate::message::Message;
use crate::Micros;

impl Core {
    /// Returns the first messages to a gateway that has opened a link to this one: whether this
    /// gateway votes, the known drains and the learned figures.
    pub(super) fn initial_messages(&self, now: Micros, peer: Peer) -> Vec<Output> {
        let status = Message::VoterStatus {
            is_voting: self.is_voting(),
        };
        let mut outputs = vec![Output::Send(peer, status)];
        outputs.extend(self.send_known_drains(peer));
        if let Some((checkpoint, taken_at)) = &self.hints {
            let hints = Message::Hints {
                checkpoint: checkpoint.clone(),
                age: now.saturating_sub(*taken_at),
            };
            outputs.push(Output::Send(peer, hints));
        }
        outputs
    }

    /// Returns a message with all known drains; `None` if there are none.
    pub(super) fn send_known_drains(&self, peer: Peer) -> Option<Output> {
        let drains: Vec<Drain> = self.drains.iter().collect();
        (!drains.is_empty()).then_some(Output::Send(peer, Message::Drains { drains }))
    }

    /// Sets the checkpoint of this gateway's learned figures. It is sent to gateways that connect,
    /// as a hint for their start.
    pub fn set_hints(&mut self, now: Micros, checkpoint: Vec<u8>) {
        self.hints = Some((checkpoint, now));
    }

    /// Handles drains and removals that this gateway's own endpoint list reported.
    pub fn on_local_drains(&mut self, drains: Vec<Drain>) -> Vec<Output> {
        self.forward_drains(drains, None)
    }

    /// Forwards new drains to all linked gateways except the sender `from`.
    pub(super) fn forward_drains(&mut self, drains: Vec<Drain>, from: Option<Peer>) -> Vec<Output> {
        let mut new_drains = drains;
        new_drains.retain(|drain| self.drains.record(*drain));
        if new_drains.is_empty() {
            return Vec::new();
        }
        let mut outputs: Vec<Output> = new_drains
            .iter()
            .copied()
            .map(Output::EngineDrained)
            .collect();
        let voters = self.reachable_voters().into_iter().map(Peer::Voter);
        let requesters = self.requesters.iter().copied().map(Peer::Requester);
        for peer in voters.chain(requesters) {
            if Some(peer) == from {
                continue;
            }
            let drains = new_drains.clone();
            outputs.push(Output::Send(peer, Message::Drains { drains }));
        }
        outputs
    }

    /// Returns the drain that overrides this gateway's own endpoint list; see
    /// [`Drains::overriding`](crate::drains::Drains::overriding).
    pub fn overriding_drain(
        &self,
        engine: u32,
        booted_at: u64,
        list_event_number: u64,
    ) -> Option<Drain> {
        self.drains.overriding(engine, booted_at, list_event_number)
    }
}
