//! The voters that are dialed, and when each is dialed again after a failure.

use std::net::SocketAddr;

use mio::Token;

use super::VoterAddress;
use crate::limits::{MAX_RETRY_DELAY, MIN_RETRY_DELAY};
use crate::Micros;

/// A voter and the state of the link to it.
struct Dial {
    voter: VoterAddress,
    state: DialState,
    /// Upper bound of the delay before the next retry.
    retry_delay: Micros,
}

enum DialState {
    Linked(Token),
    Waiting { retry_at: Micros },
}

/// All voters that are dialed.
pub(super) struct Dialer {
    dials: Vec<Dial>,
    rng: fastrand::Rng,
}

impl Dialer {
    /// Voters are dialed first at random times soon after the start.
    pub(super) fn new(voters: Vec<VoterAddress>, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut dials = Vec::new();
        for voter in voters {
            let retry_at = rng.u64(0..MIN_RETRY_DELAY);
            dials.push(Dial {
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

    /// Positions of the voters that are to be dialed now.
    pub(super) fn due_positions(&self, now: Micros) -> Vec<usize> {
        let is_due = |dial: &Dial| match dial.state {
            DialState::Waiting { retry_at } => retry_at <= now,
            DialState::Linked(_) => false,
        };
        (0..self.dials.len())
            .filter(|position| is_due(&self.dials[*position]))
            .collect()
    }

    /// When a voter is to be dialed next.
    pub(super) fn next_retry_at(&self) -> Option<Micros> {
        let retry_at = |dial: &Dial| match dial.state {
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

    /// The link to a voter, by the voter's index in the fleet's list.
    pub(super) fn link_to(&self, voter_index: usize) -> Option<Token> {
        let dial = self
            .dials
            .iter()
            .find(|dial| dial.voter.index == voter_index)?;
        match dial.state {
            DialState::Linked(token) => Some(token),
            DialState::Waiting { .. } => None,
        }
    }

    pub(super) fn on_linked(&mut self, position: usize, token: Token) {
        self.dials[position].state = DialState::Linked(token);
    }

    /// A voter has accepted this gateway: the next failure is the first one again.
    pub(super) fn on_accepted(&mut self, voter_index: usize) {
        let mut dials = self.dials.iter_mut();
        if let Some(dial) = dials.find(|dial| dial.voter.index == voter_index) {
            dial.retry_delay = MIN_RETRY_DELAY;
        }
    }

    /// A link was dropped; if a voter was dialed for it, that voter is dialed again.
    pub(super) fn on_dropped(&mut self, token: Token, now: Micros) {
        let is_link = |dial: &Dial| matches!(dial.state, DialState::Linked(link) if link == token);
        if let Some(position) = self.dials.iter().position(is_link) {
            self.retry_later(position, now);
        }
    }

    pub(super) fn retry_later(&mut self, position: usize, now: Micros) {
        let dial = &mut self.dials[position];
        let delay = self.rng.u64(dial.retry_delay / 2..=dial.retry_delay);
        dial.state = DialState::Waiting {
            retry_at: now + delay,
        };
        dial.retry_delay = (2 * dial.retry_delay).min(MAX_RETRY_DELAY);
    }
}
