//! Applies the balancer's entries: its input events and its output actions.

use eideryard::interface::{
    Action, AttemptEnded, EngineId, Event, Request as ArrivedRequest, RequestId,
};

use super::fact::{Attempt, Fact};
use super::run::GatewayRun;
use super::FactSink;

impl GatewayRun {
    pub(super) fn on_event(&mut self, event: &Event, sink: &mut FactSink<'_>) {
        match event {
            Event::Arrived(arrived) => self.on_arrived(arrived, sink),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended, sink),
            _ => {}
        }
    }

    pub(super) fn on_action(&mut self, action: &Action, sink: &mut FactSink<'_>) {
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => self.on_grant(*request, *grant_mb, *rank),
            Action::Send {
                request, engine, ..
            } => self.on_send(*request, *engine, sink),
            Action::Log(text) => self.on_log(text, sink),
            _ => {}
        }
    }

    fn on_arrived(&mut self, arrived: &ArrivedRequest, sink: &mut FactSink<'_>) {
        let request = self.open_requests.get_mut(&arrived.id);
        sink.emit(Fact::RequestReceived {
            class: arrived.class,
            tenant: arrived.tenant,
            address: request.as_ref().and_then(|request| request.address),
        });
        let Some(request) = request else { return };
        request.class = arrived.class;
        request.tenant = arrived.tenant;
        request.has_arrived = true;
        if request.is_answered {
            self.close_request(arrived.id);
        }
    }

    fn on_attempt_ended(&mut self, ended: &AttemptEnded, sink: &mut FactSink<'_>) {
        let Some(request) = self.open_requests.get_mut(&ended.request) else {
            return;
        };
        let Some(attempt) = request.attempt_mut(ended.attempt) else {
            return;
        };
        attempt.ended = Some((ended.outcome, sink.at));
        let engine = attempt.engine;
        let load = request.load(self.names.threads_of_class(request.class));
        if request.is_answered && !request.is_running() {
            self.open_requests.remove(&ended.request);
        }
        if let Some(state) = self.engines.get_mut(&engine) {
            state.remove_load(load);
            state.add_outcome(ended.outcome, sink.at);
            let reported = ended.report.and_then(|report| report.in_flight);
            state.reported_in_flight = reported.or(state.reported_in_flight);
        }
        sink.emit(Fact::AttemptEnded {
            engine,
            outcome: ended.outcome,
        });
    }

    fn on_grant(&mut self, request: RequestId, grant_mb: f64, rank: u8) {
        let Some(request) = self.open_requests.get_mut(&request) else {
            return;
        };
        let threads = self.names.threads_of_class(request.class);
        let load_before = request.load(threads);
        request.rank = rank;
        request.grant_mb = grant_mb;
        let load = request.load(threads);
        for attempt in request.running_attempts() {
            if let Some(engine) = self.engines.get_mut(&attempt.engine) {
                engine.remove_load(load_before);
                engine.add_load(load);
            }
        }
    }

    fn on_send(&mut self, request: RequestId, engine: EngineId, sink: &mut FactSink<'_>) {
        let state = self.engines.entry(engine).or_default();
        state.sent += 1;
        let Some(request) = self.open_requests.get_mut(&request) else {
            return;
        };
        state.add_load(request.load(self.names.threads_of_class(request.class)));
        let is_retry = request.attempt_count() > 0;
        request.add_attempt(Attempt {
            engine,
            sent_at: sink.at,
            ended: None,
        });
        sink.emit(Fact::AttemptSent {
            engine,
            class: request.class,
            is_retry,
        });
    }

    fn on_log(&mut self, text: &str, sink: &mut FactSink<'_>) {
        let Some(notice) = parse_quarantine_notice(text) else {
            return;
        };
        let QuarantineNotice {
            engine,
            is_quarantined,
        } = notice;
        if let Some(state) = self.engines.get_mut(&engine) {
            state.is_quarantined = is_quarantined;
            sink.emit(Fact::QuarantineChanged {
                engine,
                is_quarantined,
            });
        }
    }
}

struct QuarantineNotice {
    engine: EngineId,
    is_quarantined: bool,
}

/// Parses a log line of the balancer, which reports quarantines only as text: `engine N
/// quarantined: REASON`, `engine N is back from probation` and `engine N speaks again`. Returns
/// `None` for any other line.
fn parse_quarantine_notice(text: &str) -> Option<QuarantineNotice> {
    let mut words = text.split(' ');
    if words.next()? != "engine" {
        return None;
    }
    let engine = words.next()?.parse().ok()?;
    let is_quarantined = match words.next()? {
        "quarantined:" => true,
        "is" | "speaks" => false,
        _ => return None,
    };
    Some(QuarantineNotice {
        engine,
        is_quarantined,
    })
}
