//! State transfer between voters: requests the replica records that this voter may lack, merges the
//! replies, and serves the requests from other voters.

use super::{Core, Output, Peer};
use crate::anti_entropy::{BudgetExhausted, SCRUB_INTERVAL, TRANSFER_TIMEOUT};
use crate::message::{Entry, Message};
use crate::replica_set::{wire_bytes, MergeResult, PageRequest, ReplicaSet};
use crate::Micros;

/// Maximum size of one part of a state transfer in estimated bytes; exceeded by at most one entry.
const MAX_PART_BYTES: usize = 32 << 10;

/// State of this gateway's link to a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct VoterLink {
    /// Whether the link is open and the voter responds.
    pub is_up: bool,
    /// Whether the voter has reported that it votes.
    pub is_voting: bool,
    /// The requested state transfer that has not ended yet.
    pub transfer: Option<IncomingTransfer>,
    /// Earliest time of the next state request.
    pub next_transfer_at: Micros,
}

impl VoterLink {
    /// Ends the transfer in progress. The next one is not requested before `until`.
    pub fn postpone_transfer(&mut self, until: Micros) {
        self.transfer = None;
        self.next_transfer_at = until;
    }

    fn may_request_transfer(&self, now: Micros) -> bool {
        let is_waiting = self
            .transfer
            .is_some_and(|transfer| now < transfer.last_part_at + TRANSFER_TIMEOUT);
        self.is_up && !is_waiting && now >= self.next_transfer_at
    }
}

/// A state transfer that this voter has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingTransfer {
    number: u64,
    requested_at: Micros,
    last_part_at: Micros,
}

/// A state transfer that another voter has requested from this voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutgoingTransfer {
    number: u64,
    /// For each key range, whether its fingerprint differs from the requester's.
    differing_ranges: Vec<bool>,
    /// Last key that was sent; `None` before the first part.
    last_key: Option<Vec<u8>>,
}

impl OutgoingTransfer {
    /// Creates a transfer of the ranges in which `replicas` differ from the requester's
    /// fingerprints.
    pub fn new(number: u64, replicas: &ReplicaSet, fingerprints: &[u64], now: Micros) -> Self {
        let differing_ranges = replicas
            .range_fingerprints(now)
            .iter()
            .enumerate()
            .map(|(range, fingerprint)| fingerprints.get(range) != Some(fingerprint))
            .collect();
        OutgoingTransfer {
            number,
            differing_ranges,
            last_key: None,
        }
    }
}

/// Fields of a [`Message::StatePart`].
pub(super) struct ReceivedPart {
    pub number: u64,
    pub entries: Vec<Entry>,
    pub is_last: bool,
    pub is_voting: bool,
}

impl Core {
    /// Returns messages with one part of each requested transfer, as far as the budget allows.
    pub(super) fn serve_transfers(&mut self, now: Micros) -> Vec<Output> {
        let links: Vec<u64> = self.outgoing_transfers.keys().copied().collect();
        links
            .into_iter()
            .filter_map(|link| {
                let message = self.serve_transfer(now, link)?;
                Some(Output::Send(Peer::Requester(link), message))
            })
            .collect()
    }

    fn serve_transfer(&mut self, now: Micros, link: u64) -> Option<Message> {
        let transfer = self.outgoing_transfers.get_mut(&link)?;
        let number = transfer.number;
        let max_bytes = match self.transfer_budget.available(now) {
            Ok(available) => available.min(MAX_PART_BYTES),
            // A transfer that has begun continues when there is budget again. Other transfers have
            // to be requested again.
            Err(_) if transfer.last_key.is_some() => return None,
            Err(BudgetExhausted { retry_after_ms }) => {
                self.outgoing_transfers.remove(&link);
                return Some(Message::RetryLater {
                    number,
                    delay_ms: retry_after_ms,
                });
            }
        };
        let request = PageRequest {
            differing_ranges: &transfer.differing_ranges,
            after: transfer.last_key.as_deref(),
            max_bytes,
        };
        let page = self.replicas.page(request, now);
        self.transfer_budget
            .spend(page.entries.iter().map(wire_bytes).sum());
        if let Some(entry) = page.entries.last() {
            transfer.last_key = Some(entry.key.clone());
        }
        if !page.has_more {
            self.outgoing_transfers.remove(&link);
        }
        Some(Message::StatePart {
            number,
            entries: page.entries,
            is_last: !page.has_more,
            is_voting: self.is_voting(),
        })
    }

    /// Merges a part of a transfer that this voter has requested.
    pub(super) fn on_state_part(
        &mut self,
        now: Micros,
        voter: usize,
        part: ReceivedPart,
    ) -> Vec<Output> {
        let Some(transfer) = self.voters[voter].transfer else {
            return Vec::new();
        };
        if transfer.number != part.number {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        for entry in part.entries {
            outputs.extend(self.merge_entry(now, transfer.requested_at, &entry));
        }
        if !part.is_last {
            self.voters[voter].transfer = Some(IncomingTransfer {
                last_part_at: now,
                ..transfer
            });
            return outputs;
        }
        self.voters[voter].postpone_transfer(now + SCRUB_INTERVAL);
        let voters = self.config.voters;
        if self
            .progress
            .on_transfer_complete(voter, part.is_voting, voters)
        {
            outputs.push(Output::BecameVoter);
        }
        outputs
    }

    fn merge_entry(&mut self, now: Micros, requested_at: Micros, entry: &Entry) -> Option<Output> {
        self.counters.transferred_bytes += wire_bytes(entry) as u64;
        let mut has_changed = false;
        for (origin, record) in &entry.records {
            let record = record.to_record(now, Some(requested_at));
            if self.replicas.merge(&entry.key, *origin, record) == MergeResult::Changed {
                self.counters.repaired += 1;
                has_changed = true;
            }
        }
        has_changed.then(|| self.store_output(&entry.key, Vec::new()))
    }

    /// Requests replica records from other voters: from all of them until this one votes,
    /// afterwards from one at a time in turn to repair differences (a scrub).
    pub(super) fn request_transfers(&mut self, now: Micros) -> Vec<Output> {
        if self.config.voter_index.is_none() {
            return Vec::new();
        }
        let is_scrub = self.is_voting();
        if is_scrub && now < self.last_scrub_at + SCRUB_INTERVAL {
            return Vec::new();
        }
        let mut sources = self.reachable_voters();
        sources.retain(|voter| self.voters[*voter].may_request_transfer(now));
        if is_scrub {
            self.last_scrub_at = now;
            self.scrub_count += 1;
            let turn = self.scrub_count % sources.len().max(1);
            sources = sources.get(turn).copied().into_iter().collect();
        }
        sources
            .into_iter()
            .map(|voter| self.request_transfer(now, voter))
            .collect()
    }

    fn request_transfer(&mut self, now: Micros, voter: usize) -> Output {
        self.last_request_number += 1;
        let number = self.last_request_number;
        self.voters[voter].transfer = Some(IncomingTransfer {
            number,
            requested_at: now,
            last_part_at: now,
        });
        let request = Message::StateRequest {
            number,
            fingerprints: self.replicas.range_fingerprints(now),
        };
        Output::Send(Peer::Voter(voter), request)
    }
}
