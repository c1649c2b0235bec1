//! The only place that ends a request, and how one leaves.

use super::*;

impl Balancer {
    /// The only place that ends a request: refused where that is allowed, else failed.
    pub(super) fn end(&mut self, id: RequestId, retry_after: Micros) {
        let Some(held) = self
            .requests
            .get_mut(&id)
            .filter(|held| !held.ended && !held.streaming)
        else {
            return;
        };
        held.ended = true;
        let class = &self.set.classes[held.req.class];
        let ran = held.may_have_run().next().is_some();
        let known_to_all = class.effect == Effect::IdempotentWithKey && class.scope == Scope::All;
        let may_refuse = !ran || class.effect == Effect::Idempotent || known_to_all;
        let retry_after = if self.set.retry_after_allowed {
            retry_after.min(self.set.max_retry_after)
        } else {
            0
        };
        self.actions.push(if may_refuse {
            Action::Refuse {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.close(id);
    }

    /// The request is over: it leaves the queue, and is forgotten once no attempt of it is out.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        held.ended = true;
        self.queue.remove(&(held.due, id));
        let running = |(_, a): &(usize, &mut Attempt)| a.state == State::Out;
        let heeded = self.set.may_cancel && !held.streaming;
        for (attempt, tried) in held.attempts.iter_mut().enumerate().filter(running) {
            if heeded && !std::mem::replace(&mut tried.cancelled, true) {
                self.actions.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        if held.attempts.iter().all(|a| a.state != State::Out) {
            let Some(held) = self.requests.remove(&id) else {
                return;
            };
            // Errors are an engine's fault where no other engine made one of the same request. This
            // guards against requests that no engine can use, which would shut out one after the
            // other.
            for engine_id in held.erred_at() {
                self.engines
                    .get_mut(&engine_id)
                    .into_iter()
                    .for_each(|e| e.doubts = (e.doubts - 1).max(0));
                if !held.erred_at_several() {
                    self.judge(engine_id, Outcome::Error);
                }
            }
            let line = held.req.key.and_then(|key| self.keys.get_mut(&key));
            for line in line.into_iter() {
                line.0.retain(|&other| other != id);
            }
        }
    }
}
