//! What engines said: final answers for clients, ends of attempts for the module.

use super::*;

impl Gateway {
    pub(super) fn hear_engines(&mut self) {
        for heard in std::mem::take(&mut self.from_engines) {
            match heard {
                engines::Heard::Over {
                    request,
                    attempt,
                    outcome,
                    report,
                    told,
                } => self.over(request, attempt, outcome, told, None, report),
                engines::Heard::Served {
                    request,
                    attempt,
                    pages,
                    bill,
                    report,
                } => {
                    self.serve(request, &pages);
                    self.over(request, attempt, Outcome::Answered, false, bill, report);
                }
                engines::Heard::Page { request, rows } => self.page(request, rows),
                engines::Heard::Spooled {
                    request,
                    attempt,
                    bill,
                    report,
                } => {
                    self.spooled(request);
                    self.over(request, attempt, Outcome::Answered, false, bill, report);
                }
                engines::Heard::Noted {
                    request,
                    attempt,
                    note,
                } => self.events.push_back(Event::ProgressReported {
                    request: request.number(),
                    attempt,
                    progress: note,
                }),
                engines::Heard::Probed {
                    engine,
                    outcome,
                    report,
                } => {
                    let now = self.clock.now();
                    if let Some((keeping, report)) = self.keeping.as_mut().zip(report.as_ref()) {
                        keeping.publish_report(now, engine, report);
                    }
                    self.events.push_back(Event::Probed(Probed {
                        engine,
                        outcome,
                        report,
                    }));
                }
            }
        }
    }

    /// The first good answer goes to the client.
    pub(super) fn serve(&mut self, key: Key, pages: &[Vec<u8>]) {
        let pages = pages.iter().map(Vec::as_slice);
        if self.answer(key, AnswerKind::Served, |out, call| {
            write_result(out, call, pages);
        }) {
            self.counters.served += 1;
        }
    }

    /// A request's final answer, unless it has had one or nobody waits. True: it is on its way to
    /// the client.
    pub(super) fn answer(
        &mut self,
        key: Key,
        how: AnswerKind,
        write: impl FnOnce(&mut Vec<u8>, u32),
    ) -> bool {
        let Some(request) = self
            .requests
            .get_mut(key)
            .filter(|request| !request.answered)
        else {
            return false;
        };
        request.answered = true;
        let late = self.clock.now() > request.deadline;
        self.counters.late += late as u64;
        let call = request.call;
        let told = self
            .clients
            .answer(request.client, call, |out| write(out, call));
        self.counters.lost += !told as u64;
        let how = if told { how } else { AnswerKind::Lost };
        self.span(key)
            .in_scope(|| tracing::debug!(late, "{}", how.name()));
        self.tell_end(key, how, late);
        told
    }

    /// An attempt has its outcome.
    pub(super) fn over(
        &mut self,
        key: Key,
        attempt: usize,
        outcome: Outcome,
        told: bool,
        bill: Option<ResourceUsage>,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(tried) = request.attempts.get_mut(attempt) else {
            return;
        };
        let engine = tried.engine;
        (tried.conn, tried.waits) = (None, false);
        self.due.take_back(tried.deadline.take());
        if let Some(keeping) = self
            .keeping
            .as_mut()
            .filter(|_| std::mem::take(&mut tried.kept))
        {
            let never_ran = matches!(
                outcome,
                Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent
            );
            keeping.on_attempt_ended(
                self.clock.now(),
                request.class,
                request.key.as_deref(),
                never_ran,
            );
        }
        self.counters.attempts.count(outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: key.number(),
            attempt,
            outcome,
            spent: self.clock.now().saturating_sub(tried.sent_at),
            complete: request.answered,
            already_reported: told,
            usage: bill,
            report,
        }));
        if tracing::enabled!(tracing::Level::DEBUG) {
            let _span = self.attempt_span(key, engine);
            tracing::debug!(?outcome, "attempt {attempt} is over");
        }
        self.requests.give_back(key, &mut self.due);
    }

    /// No answer of an attempt is waited for any more: it ends with this outcome, or as never sent.
    pub(super) fn give_up(&mut self, key: Key, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(tried) = request.attempts.get_mut(attempt) else {
            return;
        };
        if tried.waits {
            return self.over(key, attempt, Outcome::NotSent, false, None, None);
        }
        let Some(conn) = tried.conn else { return };
        let (now, due, heard) = (self.clock.now(), &mut self.due, &mut self.from_engines);
        let sent = self.engines.give_up(now, conn, &request.id, due, heard);
        self.over(
            key,
            attempt,
            if sent { outcome } else { Outcome::NotSent },
            false,
            None,
            None,
        );
    }
}
