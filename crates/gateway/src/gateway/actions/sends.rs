//! Sends attempts to engines. If an attempt needs an intent, no byte of the attempt is sent before
//! the intent is durable.

use eideryard::interface::PriorAttempt;
use eideryard_engine_protocol::ServeCommand;

use super::*;
use crate::engines::AttemptTarget;
use crate::intent_durability::{PendingSend, SendPlan, SendRequest};
use crate::requests::Attempt;

impl Gateway {
    /// Carries out the balancer's decision to send a request to an engine.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        attempt_deadline: Micros,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let has_ended = request.has_ended();
        let is_spooled = request.is_spooled;
        // A send is recorded here and not with the other actions, because a request that is no
        // longer in the table gets none.
        let action = Action::Send {
            request: key.number(),
            engine,
            attempt_deadline,
        };
        self.event_recorder.record_action(now, &action);
        self.counters.attempts_sent += 1;
        if has_ended {
            return self.end_attempt_of_ended_request(now, key, engine);
        }
        if is_spooled {
            self.restart_spooling(now, key);
        }
        let plan = self.prepare_send(now, key, engine, attempt_deadline);
        let Some(attempt) = self.add_attempt(now, key, engine, &plan) else {
            return;
        };
        match plan {
            SendPlan::Immediate => self.dispatch(now, key, attempt, engine, attempt_deadline),
            SendPlan::StoreFull => self.end_unsent_attempt(key, attempt),
            SendPlan::PriorAttemptFound(prior_attempt) => {
                self.add_prior_attempts(key, vec![prior_attempt]);
                self.end_unsent_attempt(key, attempt);
            }
            SendPlan::AfterWrite {
                ticket,
                claim,
                prior_attempt,
            } => {
                let send = PendingSend {
                    ticket,
                    claim,
                    request: key,
                    attempt,
                    engine,
                    attempt_deadline,
                };
                self.wait_for_intent(now, send, prior_attempt);
            }
        }
    }

    /// Ends an attempt of a request whose client has left. The balancer has reserved room for the
    /// attempt, so it must learn of the end.
    fn end_attempt_of_ended_request(&mut self, now: Micros, key: Key, engine: EngineId) {
        if let Some(attempt) = self.add_attempt(now, key, engine, &SendPlan::Immediate) {
            self.end_unsent_attempt(key, attempt);
        }
    }

    /// Drops the pages that a previous, incomplete attempt has spooled.
    fn restart_spooling(&mut self, now: Micros, key: Key) {
        if let Some(result_spool) = &mut self.result_spool {
            result_spool.restart_run(key.number(), now);
        }
        self.incoming_results.remove(&key);
    }

    fn prepare_send(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        attempt_deadline: Micros,
    ) -> SendPlan {
        let Some((durability, request)) =
            self.intent_durability.as_mut().zip(self.requests.get(key))
        else {
            return SendPlan::Immediate;
        };
        let send_request = SendRequest {
            class: request.class,
            key: request.key.as_deref(),
            engine,
            attempt_deadline,
            prior_attempts: &request.prior_attempts,
        };
        durability.prepare_send(now, &send_request)
    }

    /// Adds an attempt to its request. Returns its index among the request's attempts, or `None` if
    /// the request has ended.
    fn add_attempt(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        plan: &SendPlan,
    ) -> Option<usize> {
        let awaits_durability = matches!(plan, SendPlan::AfterWrite { .. });
        let request = self.requests.get_mut(key)?;
        request.attempts.push(Attempt {
            engine,
            connection: None,
            sent_at: now,
            deadline: None,
            awaits_durability,
            has_intent: awaits_durability || matches!(plan, SendPlan::StoreFull),
        });
        Some(request.attempts.len() - 1)
    }

    fn wait_for_intent(&mut self, now: Micros, send: PendingSend, prior_attempt: PriorAttempt) {
        let deadline = Deadline::Attempt(send.request, send.attempt);
        let timer = self.deadlines.set(send.attempt_deadline, deadline);
        if let Some(request) = self.requests.get_mut(send.request) {
            request.prior_attempts.push(prior_attempt);
            request.attempts[send.attempt].deadline = Some(timer);
        }
        if let Some(durability) = &mut self.intent_durability {
            durability.add_pending_send(now, send);
        }
    }

    /// Adds prior attempts to a request and reports them to the balancer.
    pub(super) fn add_prior_attempts(&mut self, key: Key, prior_attempts: Vec<PriorAttempt>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request
            .prior_attempts
            .extend(prior_attempts.iter().copied());
        self.events.push_back(Event::PriorAttempts {
            request: key.number(),
            prior_attempts,
        });
    }

    /// Ends an attempt of which no byte was sent.
    pub(super) fn end_unsent_attempt(&mut self, key: Key, attempt: usize) {
        self.end_attempt(AttemptEnd::new(key, attempt, Outcome::NotSent));
    }

    /// Queues an attempt on a connection to its engine, or ends the attempt if its deadline has
    /// passed or the engine can't accept it.
    pub(super) fn dispatch(
        &mut self,
        now: Micros,
        key: Key,
        attempt: usize,
        engine: EngineId,
        attempt_deadline: Micros,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let wait_ms = attempt_deadline.saturating_sub(now) / 1000;
        if wait_ms == 0 {
            return self.end_unsent_attempt(key, attempt);
        }
        let serve = ServeCommand {
            id: &request.id,
            class: &self.names.classes[request.class],
            wait_ms,
            key: request.key.as_deref(),
            grant_mb: request.grant_mb,
            rank: request.rank,
            statement: &request.statement,
        };
        let target = AttemptTarget {
            request: key,
            attempt,
            is_spooled: request.is_spooled,
        };
        let mut context = EngineContext {
            now,
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.engine_events,
        };
        let sent = self.engines.send(engine, target, &serve, &mut context);
        match sent {
            Ok(connection) => {
                let attempt_state = &mut request.attempts[attempt];
                attempt_state.connection = Some(connection);
                let deadlines = &mut self.deadlines;
                attempt_state.deadline.get_or_insert_with(|| {
                    deadlines.set(attempt_deadline, Deadline::Attempt(key, attempt))
                });
            }
            Err(outcome) => self.end_attempt(AttemptEnd::new(key, attempt, outcome)),
        }
    }
}
