//! Carries out the module's actions; sends wait here for their intents.

use super::*;

impl Gateway {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn act(&mut self, now: Micros, action: Action) {
        if !matches!(action, Action::Send { .. }) {
            self.tap.action(now, &action);
        }
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => self.terms(Key::from_number(request), grant_mb, rank),
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => self.send(now, Key::from_number(request), engine, attempt_deadline),
            Action::Probe { engine } => {
                if let Some(report) = self
                    .keeping
                    .as_mut()
                    .and_then(|keeping| keeping.recent_report(now, engine))
                {
                    let (outcome, report) = (Outcome::Answered, Some(report));
                    return self.events.push_back(Event::Probed(Probed {
                        engine,
                        outcome,
                        report,
                    }));
                }
                if let Err(outcome) =
                    self.engines
                        .probe(now, engine, &mut self.due, &mut self.counters)
                {
                    self.events.push_back(Event::Probed(Probed {
                        engine,
                        outcome,
                        report: None,
                    }));
                }
            }
            Action::Cancel { request, attempt } => {
                self.give_up(Key::from_number(request), attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after,
            } => {
                let wait = (retry_after / 1000).to_string();
                let advice = [("w", wait.as_str())];
                let advice = if retry_after >= 1000 {
                    &advice[..]
                } else {
                    &[]
                };
                self.turn_down(Key::from_number(request), "TryLater", advice);
            }
            Action::Fail { request } => self.turn_down(Key::from_number(request), "Failed", &[]),
            Action::SetTimer { after, tag } => {
                let timer = self.due.set(now + after, Due::Timer(tag));
                // A request's own timer goes with it; others fire.
                let request = tag.checked_sub(end_tag(0)).map(Key::from_number);
                request
                    .and_then(|key| self.requests.get_mut(key))
                    .map(|r| r.timer.replace(timer));
            }
            // The bulletin tells of changes by itself, whenever it can be reached.
            Action::Subscribe if self.watch.is_up() => {
                self.events.push_back(Event::EndpointChanges(Vec::new()));
            }
            Action::Subscribe => self.events.push_back(Event::DiscoveryFailed),
            Action::Log(text) => tracing::info!("{}", self.with_names(&text)),
        }
    }

    pub(super) fn terms(&mut self, key: Key, grant_mb: f64, rank: u8) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.grant_mb = grant_mb.round() as u64;
        if request.rank.replace(rank) == Some(rank) {
            return;
        }
        for conn in request.attempts.iter().filter_map(|attempt| attempt.conn) {
            self.counters.ranks += self.engines.weigh(conn, &request.id, rank) as u64;
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn send(&mut self, now: Micros, key: Key, engine: EngineId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        // Here and not with the other actions: one for a request that is no more sends nothing.
        self.tap.action(
            now,
            &Action::Send {
                request: key.number(),
                engine,
                attempt_deadline: give_up_at,
            },
        );
        let attempt = request.attempts.len();
        if request.spooled {
            // Of an earlier attempt that ended half way.
            let of = (
                request.class,
                request.tenant,
                self.clients.address_of(request.client),
            );
            self.spooling
                .iter_mut()
                .for_each(|spooling| spooling.restart(key.number(), of, now));
            self.coming.remove(&key);
        }
        self.counters.sent += 1;
        let (class, name) = (request.class, request.key.as_deref());
        let sending = match &mut self.keeping {
            Some(keeping) => {
                keeping.prepare_send(now, class, name, engine, give_up_at, &request.earlier)
            }
            None => Sending::Now,
        };
        let waits = matches!(sending, Sending::Waits { .. });
        let kept = waits || matches!(sending, Sending::Not);
        request.attempts.push(Attempt {
            engine,
            conn: None,
            sent_at: now,
            deadline: None,
            waits,
            kept,
        });
        match sending {
            Sending::Now => self.dispatch(now, key, attempt, engine, give_up_at),
            Sending::Not => self.over(key, attempt, Outcome::NotSent, false, None, None),
            Sending::Untold(ran) => {
                request.earlier.push(ran);
                self.events.push_back(Event::PriorAttempts {
                    request: key.number(),
                    prior_attempts: vec![ran],
                });
                self.over(key, attempt, Outcome::NotSent, false, None, None);
            }
            Sending::Waits { ticket, claim, ran } => {
                request.earlier.push(ran);
                let deadline = self.due.set(give_up_at, Due::Attempt(key, attempt));
                request.attempts[attempt].deadline = Some(deadline);
                let waiting = Waiting {
                    ticket,
                    claim,
                    request: key,
                    attempt,
                    engine,
                    give_up_at,
                };
                self.keeping
                    .iter_mut()
                    .for_each(|keeping| keeping.add_pending_send(now, waiting));
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
                let tried = (key, attempt, request.spooled);
                self.engines.send(
                    now,
                    engine,
                    tried,
                    &serve,
                    &mut self.due,
                    &mut self.counters,
                )
            }
        };
        match conn {
            Ok(conn) => {
                let own = &mut request.attempts[attempt];
                own.conn = Some(conn);
                let due = &mut self.due;
                own.deadline
                    .get_or_insert_with(|| due.set(give_up_at, Due::Attempt(key, attempt)));
            }
            Err(outcome) => self.over(key, attempt, outcome, false, None, None),
        }
    }

    /// Intents that are durable let their sends go; those that wait for too long are refused.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn keep_work(&mut self) {
        let now = self.clock.now();
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        if keeping.is_checkpoint_due(now) {
            keeping.save_checkpoint(now, &self.module.learned_state());
        }
        let (Ready { go, late, earlier }, words) = (keeping.poll(now), keeping.take_fleet_events());
        for word in words.into_iter() {
            self.tap.host(now, Host::Fleet(word));
        }
        let (drains, hints) = (keeping.take_drains(), keeping.take_peer_hint());
        let (probes, reports) = keeping.take_probe_work(now);
        let nothing = probes.is_empty()
            && reports.is_empty()
            && go.is_empty()
            && drains.is_empty()
            && hints.is_none()
            && late.is_empty()
            && earlier.is_empty();
        self.heed_drains(drains);
        for engine in probes {
            // One that can't be reached is no news from here: each gateway finds that out for
            // itself.
            let _ = self
                .engines
                .probe(now, engine, &mut self.due, &mut self.counters);
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
            if !tried.is_some_and(|tried| std::mem::take(&mut tried.waits)) {
                continue;
            }
            let own = self.requests.get(request).zip(self.keeping.as_ref());
            if own
                .is_none_or(|(own, keeping)| keeping.is_within_window(now, own.class, &own.earlier))
            {
                self.dispatch(now, request, attempt, engine, give_up_at);
            } else {
                self.over(request, attempt, Outcome::NotSent, false, None, None);
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
            own.earlier.extend(ran.iter().copied());
            // The module knows it before it hears that the attempt was not sent.
            self.events.push_back(Event::PriorAttempts {
                request: request.number(),
                prior_attempts: ran,
            });
            self.give_up(request, attempt, Outcome::NotSent);
        }
        let wait = (eideryard_intent_log::state::RETRY_AFTER / 1000).to_string();
        for (
            Waiting {
                request, attempt, ..
            },
            why,
        ) in late
        {
            let own = self.requests.get(request);
            let alone = own.is_some_and(|own| own.attempts.len() == 1 && own.attempts[0].waits);
            // The module hears that nobody waits before it hears of the attempt's end: else it
            // would send a further one, of a request that is no more here, and never hear of that
            // one's end.
            if alone {
                self.events.push_back(Event::ClientLeft {
                    request: request.number(),
                });
            }
            self.give_up(request, attempt, Outcome::NotSent);
            if alone {
                let advice = [("why", why.name()), ("w", wait.as_str())];
                let advice = if self.may_advise {
                    &advice[..]
                } else {
                    &advice[..1]
                };
                self.tap.host(
                    now,
                    Host::Because {
                        request: request.number(),
                        why,
                    },
                );
                self.turn_down(request, "TryLater", advice);
            }
        }
        if !nothing {
            self.settle();
            self.flush();
        }
        self.keeping.iter_mut().for_each(|keeping| keeping.flush());
    }

    /// Refused or failed.
    pub(super) fn turn_down(&mut self, key: Key, word: &str, fields: &[(&str, &str)]) {
        let how = if word == "TryLater" {
            AnswerKind::Refused
        } else {
            AnswerKind::Failed
        };
        self.spool_over(key, how == AnswerKind::Refused);
        if self.answer(key, how, |out, call| write_error(out, call, word, fields)) {
            match how {
                AnswerKind::Refused => self.counters.refused += 1,
                _ => self.counters.failed += 1,
            }
        }
        self.requests.give_back(key, &mut self.due);
    }

    /// Log lines of the module say numbers where an operator knows engines by name.
    pub(super) fn with_names(&self, text: &str) -> String {
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
