//! The way of a send: its intent is prepared, then its first byte may go out.

use super::*;
use crate::intent_durability::{PendingSend, SendPlan, SendRequest};

impl Gateway {
    /// Carries out the balancer's decision to send a request to an engine.
    pub(super) fn send(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        attempt_deadline: Micros,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        // Recorded here and not with the other actions: for a request that has ended nothing is
        // sent.
        let action = Action::Send {
            request: key.number(),
            engine,
            attempt_deadline,
        };
        self.tap.action(now, &action);
        if request.spooled {
            self.restart_spooling(now, key);
        }
        self.counters.sent += 1;
        let plan = self.prepare_send(now, key, engine, attempt_deadline);
        let Some(attempt) = self.add_attempt(now, key, engine, &plan) else {
            return;
        };
        match plan {
            SendPlan::Immediate => self.dispatch(now, key, attempt, engine, attempt_deadline),
            SendPlan::StoreFull => self.end_unsent(key, attempt),
            SendPlan::PriorAttemptFound(prior_attempt) => {
                self.add_prior_attempts(key, vec![prior_attempt]);
                self.end_unsent(key, attempt);
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

    /// Drops what an earlier attempt that ended half way has spooled.
    fn restart_spooling(&mut self, now: Micros, key: Key) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let address = self.clients.address_of(request.client);
        let owner = (request.class, request.tenant, address);
        if let Some(spooling) = &mut self.spooling {
            spooling.restart(key.number(), owner, now);
        }
        self.coming.remove(&key);
    }

    fn prepare_send(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        attempt_deadline: Micros,
    ) -> SendPlan {
        let Some((durability, request)) = self.keeping.as_mut().zip(self.requests.get(key)) else {
            return SendPlan::Immediate;
        };
        let send_request = SendRequest {
            class: request.class,
            key: request.key.as_deref(),
            engine,
            attempt_deadline,
            known: &request.earlier,
        };
        durability.prepare_send(now, &send_request)
    }

    /// Adds an attempt to its request. Returns its number among the request's attempts.
    fn add_attempt(
        &mut self,
        now: Micros,
        key: Key,
        engine: EngineId,
        plan: &SendPlan,
    ) -> Option<usize> {
        let waits = matches!(plan, SendPlan::AfterWrite { .. });
        let request = self.requests.get_mut(key)?;
        request.attempts.push(Attempt {
            engine,
            conn: None,
            sent_at: now,
            deadline: None,
            waits,
            kept: waits || matches!(plan, SendPlan::StoreFull),
        });
        Some(request.attempts.len() - 1)
    }

    fn wait_for_intent(&mut self, now: Micros, send: PendingSend, prior_attempt: PriorAttempt) {
        let deadline = Due::Attempt(send.request, send.attempt);
        let timer = self.due.set(send.attempt_deadline, deadline);
        if let Some(request) = self.requests.get_mut(send.request) {
            request.earlier.push(prior_attempt);
            request.attempts[send.attempt].deadline = Some(timer);
        }
        if let Some(durability) = &mut self.keeping {
            durability.add_pending_send(now, send);
        }
    }

    /// Remembers prior attempts of a request, and tells the balancer.
    pub(super) fn add_prior_attempts(&mut self, key: Key, prior_attempts: Vec<PriorAttempt>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.earlier.extend(prior_attempts.iter().copied());
        self.events.push_back(Event::PriorAttempts {
            request: key.number(),
            prior_attempts,
        });
    }

    /// An attempt ends before anything of it was sent.
    pub(super) fn end_unsent(&mut self, key: Key, attempt: usize) {
        self.over(key, attempt, Outcome::NotSent, false, None, None);
    }

    /// Sends an attempt to its engine.
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
            return self.end_unsent(key, attempt);
        }
        let serve = Serve {
            id: &request.id,
            class: &self.names.classes[request.class],
            wait_ms,
            key: request.key.as_deref(),
            grant_mb: request.grant_mb,
            rank: request.rank,
            statement: &request.statement,
        };
        let sent = self.engines.send(
            now,
            engine,
            (key, attempt, request.spooled),
            &serve,
            &mut self.due,
            &mut self.counters,
        );
        match sent {
            Ok(conn) => {
                let attempt_state = &mut request.attempts[attempt];
                attempt_state.conn = Some(conn);
                let due = &mut self.due;
                attempt_state
                    .deadline
                    .get_or_insert_with(|| due.set(attempt_deadline, Due::Attempt(key, attempt)));
            }
            Err(outcome) => self.over(key, attempt, outcome, false, None, None),
        }
    }
}
