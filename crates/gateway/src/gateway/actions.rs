//! Carries out the balancer's actions.

use eideryard::interface::{request_timer_tag, LoadReport};

use super::*;

mod durability_results;
mod sends;

/// The shortest retry-after hint, in microseconds, because the hint is sent in whole milliseconds.
/// Refusals with a shorter delay contain no hint.
const MIN_RETRY_AFTER: Micros = 1000;

impl Gateway {
    /// Carries out one action of the balancer and records it in the event log.
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
            } => self.send_attempt(now, Key::from_number(request), engine, attempt_deadline),
            Action::Probe { engine } => self.probe_engine(now, engine),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(Key::from_number(request), attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after,
            } => self.refuse_request(Key::from_number(request), retry_after),
            Action::Fail { request } => self.fail_request(Key::from_number(request)),
            Action::SetTimer { after, tag } => self.set_timer(now, after, tag),
            // While connected, service discovery sends changes without a subscription, so an empty
            // list of changes confirms the subscription at once.
            Action::Subscribe if self.discovery.has_connection() => {
                self.events.push_back(Event::EndpointChanges(Vec::new()));
            }
            Action::Subscribe => self.events.push_back(Event::DiscoveryFailed),
            Action::Log(text) => tracing::info!("{}", self.with_engine_names(&text)),
        }
    }

    /// Sets the memory grant and the rank of a request, and sends a changed rank to the engines
    /// that run the request.
    pub(super) fn apply_grant(&mut self, key: Key, grant_mb: f64, rank: u8) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.grant_mb = grant_mb.round() as u64;
        if request.rank.replace(rank) == Some(rank) {
            return;
        }
        for connection in request
            .attempts
            .iter()
            .filter_map(|attempt| attempt.connection)
        {
            let is_sent = self.engines.update_rank(connection, &request.id, rank);
            self.counters.rank_updates += u64::from(is_sent);
        }
    }

    /// Probes an engine, unless the gateway that holds the lease for probing it has sent a recent
    /// report.
    fn probe_engine(&mut self, now: Micros, engine: EngineId) {
        let durability = self.intent_durability.as_mut();
        let recent_report = durability.and_then(|durability| durability.recent_report(now, engine));
        if recent_report.is_some() {
            return self.push_probe_result(engine, Outcome::Answered, recent_report);
        }
        let started = self.with_engines(|engines, context| engines.probe(engine, context));
        if let Err(outcome) = started {
            self.push_probe_result(engine, outcome, None);
        }
    }

    fn push_probe_result(
        &mut self,
        engine: EngineId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.events.push_back(Event::ProbeEnded(ProbeEnded {
            engine,
            outcome,
            report,
        }));
    }

    fn refuse_request(&mut self, key: Key, retry_after: Micros) {
        let reply = ErrorReply {
            retry_after: Some(retry_after).filter(|after| *after >= MIN_RETRY_AFTER),
            ..ErrorReply::new(ErrorKind::TryLater)
        };
        self.answer_error(key, &reply);
    }

    fn fail_request(&mut self, key: Key) {
        self.answer_error(key, &ErrorReply::new(ErrorKind::Failed));
    }

    fn set_timer(&mut self, now: Micros, after: Micros, tag: u64) {
        let timer = self
            .deadlines
            .set(now + after, Deadline::BalancerTimer(tag));
        // The timer's key is stored in its request, so that the timer is cancelled when the request
        // ends. Timers that belong to no request always fire.
        let Some(number) = tag.checked_sub(request_timer_tag(0)) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(Key::from_number(number)) {
            request.timer = Some(timer);
        }
    }

    /// Replaces engine IDs in a log line of the balancer with the names that operators know.
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
