//! Tracks the links to the dialed voters and when to dial each voter again after a failure.

use std::net::SocketAddr;

use mio::Token;

use super::VoterAddress;
use crate::limits::{MAX_RETRY_DELAY, MIN_RETRY_DELAY};
use crate::Micros;

/// A voter and the state of the link to it.
struct VoterDial {
    voter: VoterAddress,
    state: DialState,
    /// Upper bound of the delay before the next retry. Doubles with each failure.
    retry_delay: Micros,
}

enum DialState {
    Linked(Token),
    Waiting { retry_at: Micros },
}

/// The voters that this gateway dials and the state of each.
pub(super) struct Dialer {
    dials: Vec<VoterDial>,
    rng: fastrand::Rng,
}

impl Dialer {
    /// Schedules the first attempt at each voter at a random time within [`MIN_RETRY_DELAY`].
    pub(super) fn new(voters: Vec<VoterAddress>, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut dials = Vec::new();
        for voter in voters {
            let retry_at = rng.u64(0..MIN_RETRY_DELAY);
            dials.push(VoterDial {
                voter,
                state: DialState::Waiting { retry_at },
                retry_delay: MIN_RETRY_DELAY,
            });
        }
        Dialer { dials, rng }
    }

    pub(super) fn voter_count(&self) -> usize {
        self.dials.len()
    }

    /// Returns the positions of the voters to dial at `now`. A position is an index into the list
    /// passed to [`Dialer::new`], unlike [`VoterAddress::index`].
    pub(super) fn due_positions(&self, now: Micros) -> Vec<usize> {
        let is_due = |dial: &VoterDial| match dial.state {
            DialState::Waiting { retry_at } => retry_at <= now,
            DialState::Linked(_) => false,
        };
        (0..self.dials.len())
            .filter(|position| is_due(&self.dials[*position]))
            .collect()
    }

    /// Returns the time of the next attempt to dial a voter; `None` if there is a link to every
    /// voter.
    pub(super) fn next_retry_at(&self) -> Option<Micros> {
        let retry_at = |dial: &VoterDial| match dial.state {
            DialState::Waiting { retry_at } => Some(retry_at),
            DialState::Linked(_) => None,
        };
        self.dials.iter().filter_map(retry_at).min()
    }

    pub(super) fn voter(&self, position: usize) -> &VoterAddress {
        &self.dials[position].voter
    }

    pub(super) fn address(&self, position: usize) -> SocketAddr {
        self.voter(position).address
    }

    /// Returns the link to a voter, by [`VoterAddress::index`].
    pub(super) fn link_to_voter(&self, voter_index: usize) -> Option<Token> {
        let dial = self
            .dials
            .iter()
            .find(|dial| dial.voter.index == voter_index)?;
        match dial.state {
            DialState::Linked(token) => Some(token),
            DialState::Waiting { .. } => None,
        }
    }

    pub(super) fn on_dialed(&mut self, position: usize, token: Token) {
        self.dials[position].state = DialState::Linked(token);
    }

    /// Resets the retry delay of a voter that has accepted the handshake of this gateway.
    pub(super) fn on_accepted(&mut self, voter_index: usize) {
        let mut dials = self.dials.iter_mut();
        if let Some(dial) = dials.find(|dial| dial.voter.index == voter_index) {
            dial.retry_delay = MIN_RETRY_DELAY;
        }
    }

    /// Schedules a retry if the dropped link was one to a dialed voter.
    pub(super) fn on_dropped(&mut self, token: Token, now: Micros) {
        let is_link =
            |dial: &VoterDial| matches!(dial.state, DialState::Linked(link) if link == token);
        if let Some(position) = self.dials.iter().position(is_link) {
            self.schedule_retry(position, now);
        }
    }

    pub(super) fn schedule_retry(&mut self, position: usize, now: Micros) {
        let dial = &mut self.dials[position];
        let delay = self.rng.u64(dial.retry_delay / 2..=dial.retry_delay);
        dial.state = DialState::Waiting {
            retry_at: now + delay,
        };
        dial.retry_delay = (2 * dial.retry_delay).min(MAX_RETRY_DELAY);
    }
}
