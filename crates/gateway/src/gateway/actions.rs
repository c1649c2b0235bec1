//! Carries out the balancer's actions.

use super::*;

mod durability_results;
mod sends;

/// Shorter advice to retry is not given to clients.
const MIN_RETRY_AFTER: Micros = 1000;

/// How a request ends without a result, as its client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorAnswer {
    /// The client may try again later.
    TryLater,
    /// The request has failed.
    Failed,
}

impl ErrorAnswer {
    /// The word on the wire.
    fn word(self) -> &'static str {
        match self {
            ErrorAnswer::TryLater => "TryLater",
            ErrorAnswer::Failed => "Failed",
        }
    }
}

impl Gateway {
    /// Carries out one action.
    pub(super) fn act(&mut self, now: Micros, action: Action) {
        if !matches!(action, Action::Send { .. }) {
            self.tap.action(now, &action);
        }
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => self.set_grant(Key::from_number(request), grant_mb, rank),
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => self.send(now, Key::from_number(request), engine, attempt_deadline),
            Action::Probe { engine } => self.probe(now, engine),
            Action::Cancel { request, attempt } => {
                self.give_up(Key::from_number(request), attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after,
            } => self.refuse(Key::from_number(request), retry_after),
            Action::Fail { request } => self.fail(Key::from_number(request), &[]),
            Action::SetTimer { after, tag } => self.set_timer(now, after, tag),
            // The discovery service reports changes by itself whenever it can be reached.
            Action::Subscribe if self.watch.is_up() => {
                self.events.push_back(Event::EndpointChanges(Vec::new()));
            }
            Action::Subscribe => self.events.push_back(Event::DiscoveryFailed),
            Action::Log(text) => tracing::info!("{}", self.with_engine_names(&text)),
        }
    }

    /// Sets the memory and the rank of a request; engines that run it are told of a new rank.
    fn set_grant(&mut self, key: Key, grant_mb: f64, rank: u8) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.grant_mb = grant_mb.round() as u64;
        if request.rank.replace(rank) == Some(rank) {
            return;
        }
        for conn in request.attempts.iter().filter_map(|attempt| attempt.conn) {
            let is_sent = self.engines.weigh(conn, &request.id, rank);
            self.counters.ranks += u64::from(is_sent);
        }
    }

    /// Probes an engine, unless the owner of its probing reported a moment ago.
    fn probe(&mut self, now: Micros, engine: EngineId) {
        let durability = self.keeping.as_mut();
        let shared = durability.and_then(|durability| durability.recent_report(now, engine));
        if shared.is_some() {
            return self.add_probed(engine, Outcome::Answered, shared);
        }
        let probed = self
            .engines
            .probe(now, engine, &mut self.due, &mut self.counters);
        if let Err(outcome) = probed {
            self.add_probed(engine, outcome, None);
        }
    }

    fn add_probed(&mut self, engine: EngineId, outcome: Outcome, report: Option<LoadReport>) {
        self.events.push_back(Event::Probed(Probed {
            engine,
            outcome,
            report,
        }));
    }

    fn refuse(&mut self, key: Key, retry_after: Micros) {
        let retry_after_ms = (retry_after / 1000).to_string();
        let fields = [("w", retry_after_ms.as_str())];
        let has_advice = retry_after >= MIN_RETRY_AFTER;
        let fields = if has_advice { &fields[..] } else { &[] };
        self.end_with_error(key, ErrorAnswer::TryLater, fields);
    }

    /// Ends a request as failed; `fields` go to its client beside the error.
    pub(super) fn fail(&mut self, key: Key, fields: &[(&str, &str)]) {
        self.end_with_error(key, ErrorAnswer::Failed, fields);
    }

    fn set_timer(&mut self, now: Micros, after: Micros, tag: u64) {
        let timer = self.due.set(now + after, Due::Timer(tag));
        // A request's own timer is removed with it; others fire.
        let Some(number) = tag.checked_sub(end_tag(0)) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(Key::from_number(number)) {
            request.timer = Some(timer);
        }
    }

    /// Answers a request with an error, and removes it.
    fn end_with_error(&mut self, key: Key, error: ErrorAnswer, fields: &[(&str, &str)]) {
        let kind = match error {
            ErrorAnswer::TryLater => AnswerKind::Refused,
            ErrorAnswer::Failed => AnswerKind::Failed,
        };
        self.spool_over(key, error == ErrorAnswer::TryLater);
        let is_answered = self.answer(key, kind, |buffer, call| {
            write_error(buffer, call, error.word(), fields);
        });
        if is_answered {
            match error {
                ErrorAnswer::TryLater => self.counters.refused += 1,
                ErrorAnswer::Failed => self.counters.failed += 1,
            }
        }
        self.requests.give_back(key, &mut self.due);
    }

    /// Log lines of the balancer name engines by number; operators know them by name.
    fn with_engine_names(&self, text: &str) -> String {
        let mut words = Vec::new();
        for word in text.split(' ') {
            let engine = word.parse().ok();
            let name = engine.and_then(|engine| self.engine_names.get(&engine));
            words.push(name.map_or(word, String::as_str));
        }
        words.join(" ")
    }
}
