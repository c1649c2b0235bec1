//! Makes this gateway's claims and, if it is a voter, replies to claims from other gateways.

use super::{ClaimError, ClaimRequest, Core, EndedAttempts, Output, Peer};
use crate::claims::{PriorRuns, Verdict, CLAIM_TIMEOUT};
use crate::entry::{self, Origin, Phase, Record, ReportedRun, WireRecord};
use crate::message::{ClaimRejection, Message};
use crate::replica_set::MergeResult;
use crate::Micros;

/// A claim from another gateway, with the times of its record by this voter's clock.
#[derive(Clone, Copy)]
pub(super) struct RemoteClaim<'a> {
    pub number: u64,
    pub key: &'a [u8],
    pub origin: Origin,
    pub record: Record,
}

impl Core {
    /// Returns the reason why requests that need a claim can't be accepted now; `None` if they can.
    pub fn claim_error(&self) -> Option<ClaimError> {
        if self.claims.records() >= self.config.limits.max_keys {
            return Some(ClaimError::Full);
        }
        if !self.config.send_without_majority && !self.has_majority() {
            return Some(ClaimError::NoMajority);
        }
        None
    }

    /// Returns whether a majority of the voters votes and can be reached, as far as this gateway
    /// knows.
    pub fn has_majority(&self) -> bool {
        let remote_votes = self
            .voters
            .iter()
            .filter(|voter| voter.is_up && voter.is_voting)
            .count();
        let has_local_vote = self.config.voter_index.is_some() && self.is_voting();
        remote_votes + usize::from(has_local_vote) >= self.claims.majority()
    }

    /// Claims a key before its request is sent. The verdict follows as an [`Output::Verdict`].
    pub fn claim(&mut self, now: Micros, request: ClaimRequest<'_>) -> Vec<Output> {
        let ClaimRequest {
            number, key, since, ..
        } = request;
        self.counters.claims += 1;
        let until = now + request.retention.min(self.config.max_retention);
        let record = Record {
            version: 0,
            phase: Phase::InFlight,
            location: request.location,
            since,
            until,
            origin_expiry_ms: until / 1000,
        };
        let record = self.claims.write(now, key, record);
        self.claims
            .open(now, number, key, record.version, request.known_runs);
        let mut wire_record = record.to_wire(now);
        if since < now {
            // An earlier attempt is in flight and ages further while the claim is pending, for up
            // to the timeout.
            wire_record.age += CLAIM_TIMEOUT;
        }
        let mut outputs = self.send_claim(number, key, wire_record);
        if let Some(voter) = self.config.voter_index {
            outputs.extend(self.claim_locally(now, number, voter, key, record));
        }
        outputs
    }

    fn send_claim(&self, number: u64, key: &[u8], record: WireRecord) -> Vec<Output> {
        self.reachable_voters()
            .into_iter()
            .map(|voter| {
                let claim = Message::Claim {
                    number,
                    key: key.to_vec(),
                    origin: self.origin,
                    record,
                };
                Output::Send(Peer::Voter(voter), claim)
            })
            .collect()
    }

    /// Makes this voter store its own gateway's claim and vote on it.
    fn claim_locally(
        &mut self,
        now: Micros,
        number: u64,
        voter: usize,
        key: &[u8],
        record: Record,
    ) -> Vec<Output> {
        let reported_runs = self.runs_of_others(key, self.origin, now);
        if self.replicas.merge(key, self.origin, record) == MergeResult::Full {
            return Vec::from_iter(self.on_rejection(number, voter, ClaimRejection::Full));
        }
        self.claims.on_acknowledged(voter, key, record.version);
        if self.is_voting() {
            return vec![self.store_output(
                key,
                vec![Output::LocalVote {
                    number,
                    reported_runs,
                }],
            )];
        }
        let mut outputs = vec![self.store_output(key, Vec::new())];
        outputs.extend(self.on_rejection(number, voter, ClaimRejection::CatchingUp));
        outputs
    }

    fn runs_of_others(&self, key: &[u8], requester: Origin, now: Micros) -> Vec<ReportedRun> {
        self.replicas.get(key).map_or(Vec::new(), |replica| {
            entry::runs_of_others(replica, requester, now)
        })
    }

    /// Replies to a claim from another gateway.
    pub(super) fn on_claim(
        &mut self,
        now: Micros,
        link: u64,
        claim: RemoteClaim<'_>,
    ) -> Vec<Output> {
        let RemoteClaim {
            number,
            key,
            origin,
            record,
        } = claim;
        let reply = |message| Output::Send(Peer::Requester(link), message);
        let reported_runs = self.runs_of_others(key, origin, now);
        if self.replicas.merge(key, origin, record) == MergeResult::Full {
            self.counters.rejected += 1;
            let reason = ClaimRejection::Full;
            return vec![reply(Message::ClaimRejected { number, reason })];
        }
        if !self.is_voting() {
            // The record is stored, but a voter that may lack other records must not vote.
            self.counters.rejected += 1;
            let reason = ClaimRejection::CatchingUp;
            let rejection = reply(Message::ClaimRejected { number, reason });
            return vec![self.store_output(key, Vec::new()), rejection];
        }
        self.counters.accepted += 1;
        let vote = reply(Message::ClaimAccepted {
            number,
            reported_runs,
        });
        vec![self.store_output(key, vec![vote])]
    }

    /// Counts this voter's vote for its own claim once the record is durable, as requested by
    /// [`Output::LocalVote`].
    pub fn on_local_vote(
        &mut self,
        now: Micros,
        number: u64,
        reported_runs: &[ReportedRun],
    ) -> Option<Output> {
        let voter = self.config.voter_index?;
        self.on_vote(now, number, voter, reported_runs)
    }

    pub(super) fn on_vote(
        &mut self,
        now: Micros,
        number: u64,
        voter: usize,
        reported_runs: &[ReportedRun],
    ) -> Option<Output> {
        let verdict = self.claims.on_accepted(now, number, voter, reported_runs)?;
        Some(self.resolve_verdict(number, verdict))
    }

    pub(super) fn on_rejection(
        &mut self,
        number: u64,
        voter: usize,
        reason: ClaimRejection,
    ) -> Option<Output> {
        let verdict = self.claims.on_rejected(number, voter, reason)?;
        Some(self.resolve_verdict(number, verdict))
    }

    /// Counts a verdict, and replaces one without a majority if requests may be sent nevertheless.
    pub(super) fn resolve_verdict(&mut self, number: u64, verdict: Verdict) -> Output {
        match verdict {
            Verdict::Granted => self.counters.granted += 1,
            Verdict::PriorRunsFound(_) => self.counters.prior_runs_found += 1,
            Verdict::NoMajority(_) => self.counters.without_majority += 1,
        }
        let verdict = match verdict {
            Verdict::NoMajority(runs) if self.config.send_without_majority => {
                self.resolve_without_majority(runs)
            }
            verdict => verdict,
        };
        Output::Verdict(number, verdict)
    }

    /// Grants the claim, unless a minority of the voters has reported runs that the balancer does
    /// not know.
    fn resolve_without_majority(&mut self, reported_runs: PriorRuns) -> Verdict {
        if !reported_runs.is_empty() {
            return Verdict::PriorRunsFound(reported_runs);
        }
        self.counters.sent_without_majority += 1;
        Verdict::Granted
    }

    /// Drops a claim whose verdict is no longer needed. [`Core::on_attempts_ended`] updates the
    /// record that voters have stored for it.
    pub fn cancel_claim(&mut self, number: u64) {
        self.claims.cancel(number);
    }

    /// Updates the record of a key that this gateway has claimed, after all attempts so far have
    /// ended.
    pub fn on_attempts_ended(&mut self, now: Micros, ended: EndedAttempts<'_>) -> Vec<Output> {
        let key = ended.key;
        let Some(previous) = self.claims.get(key).copied() else {
            return Vec::new();
        };
        let until = now + ended.retention.min(self.config.max_retention);
        let phase = if ended.may_have_run {
            Phase::MayHaveRun
        } else {
            Phase::NeverRan
        };
        let record = Record {
            phase,
            location: ended.location,
            until,
            origin_expiry_ms: until / 1000,
            ..previous
        };
        let record = self.claims.write(now, key, record);
        let mut outputs = Vec::new();
        if let Some(voter) = self.config.voter_index {
            if self.replicas.merge(key, self.origin, record) != MergeResult::Full {
                self.claims.on_acknowledged(voter, key, record.version);
                outputs.push(self.store_output(key, Vec::new()));
            }
        }
        for voter in self.reachable_voters() {
            outputs.push(self.update_message(now, voter, key.to_vec(), record));
        }
        outputs
    }
}
