//! Connects the lease state (`eideryard_leases`, which makes the decisions) to the store and to the
//! links between gateways. The replication driver carries out the [`LeaseAction`]s that concern
//! these links.
//!
//! There is one kind of task: probing an engine and sending its load report to all gateways. The
//! driver exists only if the operator's file contains `task`.

use std::collections::BTreeSet;

use eideryard::interface::{EngineId, LoadReport, Micros};
use eideryard_event_log::FleetEvent;
use eideryard_leases::probe::{probe_task, ReceivedReport, ReportOutcome, Reports};
use eideryard_leases::{
    Config, Counters, FencingToken, LeaseCore, Message, Output, Task, VoterReadiness,
};
use eideryard_replication::Origin;
use eideryard_store::worker::Worker;

mod probe_report;
mod stored_tokens;

use probe_report::ProbeReport;
pub use stored_tokens::{decode_token, TOKEN_KEY_PREFIX};
use stored_tokens::{remove_token, store_token};

/// An action that the replication driver carries out for the lease driver.
pub enum LeaseAction {
    /// Send a message over the link to a voter; `voter` is its index in the list of voters.
    SendToVoter { voter: usize, message: Message },
    /// Send a message to a gateway that has opened a link to this one.
    SendToRequester { requester: u64, message: Message },
    /// Send a message to all gateways that have opened links to this one, except one.
    SendToAllRequesters {
        except: Option<u64>,
        message: Message,
    },
    /// Call [`LeaseDriver::on_token_durable`] once the write is durable.
    AwaitDurable(PendingToken),
}

/// A fencing token that was written to the store but is not durable yet.
pub struct PendingToken {
    /// Ticket of the write, assigned by the store's worker in increasing order.
    pub ticket: u64,
    pub task: Task,
    pub token: FencingToken,
    /// Outputs that must not be carried out until the token is durable.
    pub then: Vec<Output>,
}

/// The state of the probing leases, for the status file.
#[derive(Default)]
pub struct LeaseStatus {
    /// Engines whose probing leases this gateway holds, each with the term of the lease.
    pub owned: Vec<(EngineId, u64)>,
    /// The highest known fencing token for each engine.
    pub known: Vec<(EngineId, FencingToken)>,
}

/// Returns the identifier of this incarnation of the gateway in fencing tokens. The identifier
/// differs between starts, so no two incarnations share a token.
pub fn lease_owner(origin: Origin) -> u64 {
    origin.identity ^ origin.start.rotate_left(40)
}

/// The leases of one gateway.
pub struct LeaseDriver {
    core: LeaseCore,
    last_report_number: u64,
    reports: Reports<LoadReport>,
    /// Reports from other gateways that have not been passed to the balancer yet.
    fresh_reports: Vec<(EngineId, LoadReport)>,
    events: Vec<FleetEvent>,
    probes_spared: u64,
}

impl LeaseDriver {
    /// Creates a driver with the tokens recovered from the store. `voter_index` is the index of
    /// this gateway among the voters; `None` if it isn't a voter.
    pub fn new(
        voter_count: usize,
        voter_index: Option<usize>,
        origin: Origin,
        tokens: Vec<(Task, FencingToken)>,
        now: Micros,
    ) -> Self {
        let config = Config {
            voter_count,
            voter_index,
            owner: lease_owner(origin),
        };
        LeaseDriver {
            core: LeaseCore::new(config, tokens.into_iter(), now),
            last_report_number: 0,
            reports: Reports::default(),
            fresh_reports: Vec::new(),
            events: Vec::new(),
            probes_spared: 0,
        }
    }

    fn perform_outputs(
        &mut self,
        now: Micros,
        outputs: Vec<Output>,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        for output in outputs {
            match output {
                Output::ToVoter { voter, message } => {
                    actions.push(LeaseAction::SendToVoter { voter, message });
                }
                Output::ToRequester { requester, message } => {
                    actions.push(LeaseAction::SendToRequester { requester, message });
                }
                Output::ToAllRequesters { except, message } => {
                    actions.push(LeaseAction::SendToAllRequesters { except, message });
                }
                Output::StoreToken { task, token, then } => {
                    // If the write is rejected, the promise is not durable and is never sent.
                    if let Some(ticket) = worker.write(store_token(task, token)) {
                        actions.push(LeaseAction::AwaitDurable(PendingToken {
                            ticket,
                            task,
                            token,
                            then,
                        }));
                    }
                }
                Output::RemoveToken(task) => {
                    // If the write is rejected, the token is removed after the next start.
                    worker.write(remove_token(task));
                }
                Output::VoteForSelf { task, token } => {
                    let outputs = self.core.on_own_vote(now, task, token);
                    actions.extend(self.perform_outputs(now, outputs, worker));
                }
                Output::Apply {
                    task,
                    token,
                    payload,
                } => self.apply_report(now, task, token, &payload),
                Output::Fenced { task, token, .. } => self.record_work(task, token, false),
                Output::LeaseAcquired { task, token } => self.record_ownership(task, token, true),
                Output::LeaseLost { task, token } => self.record_ownership(task, token, false),
            }
        }
        actions
    }

    fn record_ownership(&mut self, task: Task, token: FencingToken, is_owner: bool) {
        tracing::debug!(
            "lease of task {} {}: term {}, is_owner={is_owner}",
            task.kind,
            task.number,
            token.term
        );
        self.events.push(FleetEvent::LeaseChanged {
            task: task.number,
            term: token.term,
            is_held: is_owner,
        });
    }

    fn record_work(&mut self, task: Task, token: FencingToken, is_applied: bool) {
        self.events.push(FleetEvent::WorkReceived {
            task: task.number,
            term: token.term,
            owner: token.owner,
            is_accepted: is_applied,
        });
    }

    fn apply_report(&mut self, now: Micros, task: Task, token: FencingToken, payload: &[u8]) {
        let Some(probe_report) = ProbeReport::from_bytes(payload) else {
            return;
        };
        let report = probe_report.load_report();
        let received = ReceivedReport {
            token,
            number: probe_report.number,
            age: probe_report.age,
            report,
        };
        let outcome = self.reports.on_report(now, task.number, received);
        if outcome == ReportOutcome::Duplicate {
            return;
        }
        self.record_work(task, token, true);
        if outcome == ReportOutcome::Fresh {
            self.fresh_reports.push((task.number, report));
        }
    }

    /// Handles a message from a gateway that has opened a link to this one.
    pub fn on_requester_message(
        &mut self,
        now: Micros,
        requester: u64,
        message: Message,
        readiness: VoterReadiness,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        let outputs = self
            .core
            .on_requester_message(now, requester, message, readiness);
        self.perform_outputs(now, outputs, worker)
    }

    /// Handles a message from a voter that this gateway has opened a link to.
    pub fn on_voter_message(
        &mut self,
        now: Micros,
        voter: usize,
        message: Message,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        let outputs = self.core.on_voter_message(now, voter, message);
        self.perform_outputs(now, outputs, worker)
    }

    /// Handles a token that has become durable: carries out the outputs that were waiting for it.
    pub fn on_token_durable(
        &mut self,
        now: Micros,
        pending: PendingToken,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        self.core.mark_durable(pending.task, pending.token);
        self.perform_outputs(now, pending.then, worker)
    }

    /// Handles expired timers: renews, requests and releases leases.
    pub fn on_timer(
        &mut self,
        now: Micros,
        readiness: VoterReadiness,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        // The gateway's clock counts microseconds from the Unix epoch.
        let unix_ms = now / 1000;
        let outputs = self.core.on_timer(now, unix_ms, readiness);
        self.perform_outputs(now, outputs, worker)
    }

    /// Sets the engines that exist. This gateway becomes a candidate for the probing lease of each
    /// of these engines.
    pub fn set_engines(&mut self, now: Micros, engines: impl Iterator<Item = EngineId>) {
        let engines: BTreeSet<EngineId> = engines.collect();
        for engine in &engines {
            self.core.add_candidate(now, probe_task(*engine));
        }
        self.core
            .remove_candidates(|task| !engines.contains(&task.number));
        self.reports
            .retain_engines(|engine| engines.contains(&engine));
    }

    /// Takes the engines that this gateway has to probe now on behalf of the whole fleet.
    pub fn take_due_probes(&mut self, now: Micros) -> Vec<EngineId> {
        let owned = self.core.held_tokens(now).map(|(task, _)| task);
        self.reports.take_due_probes(now, owned)
    }

    /// Sends an engine's answer to a probe from this gateway to all gateways, if this gateway holds
    /// the probing lease of the engine.
    pub fn publish_report(
        &mut self,
        now: Micros,
        engine: EngineId,
        report: &LoadReport,
        worker: &mut Worker,
    ) -> Vec<LeaseAction> {
        self.last_report_number += 1;
        let payload = ProbeReport::new(self.last_report_number, report).to_bytes();
        let outputs = self.core.submit_work(now, probe_task(engine), payload);
        let actions = self.perform_outputs(now, outputs, worker);
        // The balancer already has this report.
        self.fresh_reports
            .retain(|(reported, _)| *reported != engine);
        actions
    }

    /// Returns another gateway's report on an engine if it is recent enough to replace a probe by
    /// this gateway, and counts the probe as spared.
    pub fn recent_report(&mut self, now: Micros, engine: EngineId) -> Option<LoadReport> {
        let report = self.reports.recent_report(now, engine);
        self.probes_spared += u64::from(report.is_some());
        report
    }

    /// Takes the reports that other gateways have sent since the last call.
    pub fn take_fresh_reports(&mut self) -> Vec<(EngineId, LoadReport)> {
        std::mem::take(&mut self.fresh_reports)
    }

    /// Takes the events for the event log since the last call.
    pub fn take_events(&mut self) -> Vec<FleetEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns a message with all tokens that this gateway knows, for a peer that is catching up;
    /// `None` if there are no tokens.
    pub fn tokens_message(&self) -> Option<Message> {
        self.core.tokens_message()
    }

    /// Releases all leases at shutdown, so that other gateways can acquire them at once.
    pub fn stop(&mut self, now: Micros, worker: &mut Worker) -> Vec<LeaseAction> {
        let outputs = self.core.stop();
        self.perform_outputs(now, outputs, worker)
    }

    /// Returns the next time at which [`LeaseDriver::on_timer`] or [`LeaseDriver::take_due_probes`]
    /// must be called.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let owned = self.core.held_tokens(now).map(|(task, _)| task);
        let next_timer = self.core.deadline();
        match self.reports.next_probe_at(now, owned) {
            Some(next_probe) => next_probe.min(next_timer),
            None => next_timer,
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> Counters {
        self.core.counters()
    }

    /// Returns the number of probes, since the start of the process, that a recent report from
    /// another gateway replaced.
    pub fn probes_spared(&self) -> u64 {
        self.probes_spared
    }

    /// Returns the leases that this gateway holds and the tokens that it knows, for the status
    /// file.
    pub fn status(&self, now: Micros) -> LeaseStatus {
        let held = self.core.held_tokens(now);
        let known = self.core.fences().tokens();
        LeaseStatus {
            owned: held
                .map(|(task, token)| (task.number, token.term))
                .collect(),
            known: known.map(|(task, token)| (task.number, token)).collect(),
        }
    }
}
