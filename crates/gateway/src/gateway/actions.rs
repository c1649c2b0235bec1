//! Carries out the balancer's actions; sends wait here for their intents.

use eideryard::interface::end_tag;
use eideryard_engine_protocol::Serve;
use eideryard_intent_log::state::RETRY_AFTER;

use super::*;
use crate::engines::AttemptTarget;
use crate::intent_durability::{Ready, Sending, Waiting};
use crate::requests::Attempt;
use crate::result_spool::ResultOwner;

/// Shorter delays are not advised to clients: the wire states whole milliseconds.
const MIN_RETRY_AFTER: Micros = 1000;

impl Gateway {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn execute_action(&mut self, now: Micros, action: Action) {
        if !matches!(action, Action::Send { .. }) {
            self.event_recorder.record_action(now, &action);
        }
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => self.apply_grant(Key::from_number(request), grant_mb, rank),
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => self.send(now, Key::from_number(request), engine, attempt_deadline),
            Action::Probe { engine } => {
                if let Some(report) = self
                    .intent_durability
                    .as_mut()
                    .and_then(|intent_durability| intent_durability.recent_report(now, engine))
                {
                    let (outcome, report) = (Outcome::Answered, Some(report));
                    return self.events.push_back(Event::Probed(Probed {
                        engine,
                        outcome,
                        report,
                    }));
                }
                let result = self.with_engines(|engines, context| engines.probe(engine, context));
                if let Err(outcome) = result {
                    self.events.push_back(Event::Probed(Probed {
                        engine,
                        outcome,
                        report: None,
                    }));
                }
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(Key::from_number(request), attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after,
            } => {
                let reply = ErrorReply {
                    retry_after: Some(retry_after).filter(|after| *after >= MIN_RETRY_AFTER),
                    ..ErrorReply::new(ErrorKind::TryLater)
                };
                self.answer_error(Key::from_number(request), &reply);
            }
            Action::Fail { request } => {
                let reply = ErrorReply::new(ErrorKind::Failed);
                self.answer_error(Key::from_number(request), &reply);
            }
            Action::SetTimer { after, tag } => {
                let timer = self
                    .deadlines
                    .set(now + after, Deadline::BalancerTimer(tag));
                // A request's own timer goes with it; others fire.
                let request = tag.checked_sub(end_tag(0)).map(Key::from_number);
                if let Some(request) = request.and_then(|key| self.requests.get_mut(key)) {
                    request.timer = Some(timer);
                }
            }
            // Service discovery tells of changes by itself, whenever it can be reached.
            Action::Subscribe if self.discovery.is_up() => {
                self.events.push_back(Event::EndpointChanges(Vec::new()));
            }
            Action::Subscribe => self.events.push_back(Event::DiscoveryFailed),
            Action::Log(text) => tracing::info!("{}", self.with_engine_names(&text)),
        }
    }

    pub(super) fn apply_grant(&mut self, key: Key, grant_mb: f64, rank: u8) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.grant_mb = grant_mb.round() as u64;
        if request.rank.replace(rank) == Some(rank) {
            return;
        }
        for conn in request
            .attempts
            .iter()
            .filter_map(|attempt| attempt.connection)
        {
            self.counters.ranks += self.engines.update_rank(conn, &request.id, rank) as u64;
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn send(&mut self, now: Micros, key: Key, engine: EngineId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        // Here and not with the other actions: one for a request that is no more sends nothing.
        self.event_recorder.record_action(
            now,
            &Action::Send {
                request: key.number(),
                engine,
                attempt_deadline: give_up_at,
            },
        );
        let attempt = request.attempts.len();
        if request.is_spooled {
            // Of an earlier attempt that ended half way.
            let owner = ResultOwner {
                labels: request.labels(),
                address: self.clients.address_of(request.client),
            };
            if let Some(result_spool) = &mut self.result_spool {
                result_spool.restart(key.number(), owner, now);
            }
            self.incoming_results.remove(&key);
        }
        self.counters.sent += 1;
        let (class, name) = (request.class, request.key.as_deref());
        let sending = match &mut self.intent_durability {
            Some(intent_durability) => intent_durability.prepare_send(
                now,
                class,
                name,
                engine,
                give_up_at,
                &request.prior_attempts,
            ),
            None => Sending::Now,
        };
        let waits = matches!(sending, Sending::Waits { .. });
        let kept = waits || matches!(sending, Sending::Not);
        request.attempts.push(Attempt {
            engine,
            connection: None,
            sent_at: now,
            deadline: None,
            awaits_durability: waits,
            has_intent: kept,
        });
        match sending {
            Sending::Now => self.dispatch(now, key, attempt, engine, give_up_at),
            Sending::Not => self.end_attempt(AttemptEnd::new(key, attempt, Outcome::NotSent)),
            Sending::Untold(ran) => {
                request.prior_attempts.push(ran);
                self.events.push_back(Event::PriorAttempts {
                    request: key.number(),
                    prior_attempts: vec![ran],
                });
                self.end_attempt(AttemptEnd::new(key, attempt, Outcome::NotSent));
            }
            Sending::Waits { ticket, claim, ran } => {
                request.prior_attempts.push(ran);
                let deadline = self
                    .deadlines
                    .set(give_up_at, Deadline::Attempt(key, attempt));
                request.attempts[attempt].deadline = Some(deadline);
                let waiting = Waiting {
                    ticket,
                    claim,
                    request: key,
                    attempt,
                    engine,
                    give_up_at,
                };
                self.intent_durability
                    .iter_mut()
                    .for_each(|intent_durability| intent_durability.add_pending_send(now, waiting));
            }
        }
    }

    /// The first byte of an attempt may go out.
    pub(super) fn dispatch(
        &mut self,
        now: Micros,
        key: Key,
        attempt: usize,
        engine: EngineId,
        give_up_at: Micros,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let wait_ms = give_up_at.saturating_sub(now) / 1000;
        let serve = Serve {
            id: &request.id,
            class: &self.names.classes[request.class],
            wait_ms,
            key: request.key.as_deref(),
            grant_mb: request.grant_mb,
            rank: request.rank,
            statement: &request.statement,
        };
        let conn = match wait_ms {
            0 => Err(Outcome::NotSent),
            _ => {
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
                self.engines.send(engine, target, &serve, &mut context)
            }
        };
        match conn {
            Ok(conn) => {
                let own = &mut request.attempts[attempt];
                own.connection = Some(conn);
                let deadlines = &mut self.deadlines;
                own.deadline.get_or_insert_with(|| {
                    deadlines.set(give_up_at, Deadline::Attempt(key, attempt))
                });
            }
            Err(outcome) => self.end_attempt(AttemptEnd::new(key, attempt, outcome)),
        }
    }

    /// Intents that are durable let their sends go; those that wait for too long are refused.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn poll_intent_durability(&mut self) {
        let now = self.clock.now();
        let Some(intent_durability) = &mut self.intent_durability else {
            return;
        };
        if intent_durability.is_checkpoint_due(now) {
            intent_durability.save_checkpoint(now, &self.balancer.learned_state());
        }
        let (Ready { go, late, earlier }, words) = (
            intent_durability.poll(now),
            intent_durability.take_fleet_events(),
        );
        for word in words.into_iter() {
            self.event_recorder
                .record_host(now, &HostEvent::Fleet(word));
        }
        let (drains, hints) = (
            intent_durability.take_drains(),
            intent_durability.take_peer_hint(),
        );
        let (probes, reports) = intent_durability.take_probe_work(now);
        let nothing = probes.is_empty()
            && reports.is_empty()
            && go.is_empty()
            && drains.is_empty()
            && hints.is_none()
            && late.is_empty()
            && earlier.is_empty();
        self.handle_peer_drains(drains);
        for engine in probes {
            // One that can't be reached is no news from here: each gateway finds that out for
            // itself.
            let _ = self.with_engines(|engines, context| engines.probe(engine, context));
        }
        for (engine, report) in reports {
            let (outcome, report) = (Outcome::Answered, Some(report));
            self.events.push_back(Event::Probed(Probed {
                engine,
                outcome,
                report,
            }));
        }
        if let Some((lessons, age)) = hints {
            self.events.push_back(Event::CheckpointRestored {
                learned: lessons,
                age,
            });
        }
        for Waiting {
            request,
            attempt,
            engine,
            give_up_at,
            ..
        } in go
        {
            let tried = self
                .requests
                .get_mut(request)
                .and_then(|own| own.attempts.get_mut(attempt));
            // One that was given up meanwhile waits no more.
            if !tried.is_some_and(|tried| std::mem::take(&mut tried.awaits_durability)) {
                continue;
            }
            let own = self
                .requests
                .get(request)
                .zip(self.intent_durability.as_ref());
            if own.is_none_or(|(own, intent_durability)| {
                intent_durability.is_within_window(now, own.class, &own.prior_attempts)
            }) {
                self.dispatch(now, request, attempt, engine, give_up_at);
            } else {
                self.end_attempt(AttemptEnd::new(request, attempt, Outcome::NotSent));
            }
        }
        for (
            Waiting {
                request, attempt, ..
            },
            ran,
        ) in earlier
        {
            let Some(own) = self.requests.get_mut(request) else {
                continue;
            };
            own.prior_attempts.extend(ran.iter().copied());
            // The balancer knows it before it hears that the attempt was not sent.
            self.events.push_back(Event::PriorAttempts {
                request: request.number(),
                prior_attempts: ran,
            });
            self.cancel_attempt(request, attempt, Outcome::NotSent);
        }
        for (
            Waiting {
                request, attempt, ..
            },
            why,
        ) in late
        {
            let own = self.requests.get(request);
            let alone =
                own.is_some_and(|own| own.attempts.len() == 1 && own.attempts[0].awaits_durability);
            // The balancer hears that nobody waits before it hears of the attempt's end: else it
            // would send a further one, of a request that is no more here, and never hear of that
            // one's end.
            if alone {
                self.events.push_back(Event::ClientLeft {
                    request: request.number(),
                });
            }
            self.cancel_attempt(request, attempt, Outcome::NotSent);
            if alone {
                let because = HostEvent::RefusalExplained {
                    request: request.number(),
                    reason: why,
                };
                self.event_recorder.record_host(now, &because);
                let reply = ErrorReply {
                    retry_after: self.retry_after_allowed.then_some(RETRY_AFTER),
                    ..ErrorReply::with_reason(ErrorKind::TryLater, why.name())
                };
                self.answer_error(request, &reply);
            }
        }
        if !nothing {
            self.run_balancer();
            self.flush();
        }
        self.intent_durability
            .iter_mut()
            .for_each(|intent_durability| intent_durability.flush());
    }

    /// Log lines of the balancer say numbers where an operator knows engines by name.
    pub(super) fn with_engine_names(&self, text: &str) -> String {
        let named = |word: &str| {
            let number = word.parse().ok();
            number
                .and_then(|id| self.engine_names.get(&id))
                .cloned()
                .unwrap_or_else(|| word.to_string())
        };
        text.split(' ').map(named).collect::<Vec<_>>().join(" ")
    }
}
