//! Health of engines by symptoms: bad outcomes, silence, quarantine and probation.

use super::*;

impl Balancer {
    pub(super) fn heard(&mut self, engine_id: EngineId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        engine.last_heard = now;
        if std::mem::take(&mut engine.silent) {
            (engine.quarantined_until, engine.probation, engine.strikes) = (now, 0, 0);
            self.actions
                .push(Action::Log(format!("engine {engine_id} speaks again")));
        }
    }

    /// Health by symptoms: the share of bad outcomes, whatever makes them bad.
    pub(super) fn judge(&mut self, engine_id: EngineId, outcome: Outcome) {
        let bad = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Error | Outcome::NoConnection | Outcome::Broken => 1.0,
            Outcome::AtCapacity | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                return
            }
        };
        if bad == 0.0 || outcome == Outcome::Error {
            self.heard(engine_id);
        }
        self.traffic.fleet_bad += LEARN * (bad - self.traffic.fleet_bad);
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        engine.bad += BAD_WEIGHT * (bad - engine.bad);
        engine.lost_connection |= matches!(outcome, Outcome::NoConnection | Outcome::Broken);
        if bad > 0.0 {
            if engine.bad > BAD_SHARE || engine.probation > 0 {
                self.quarantine(engine_id, "bad outcomes");
            }
            return;
        }
        // It lost its connections and answers again: a restart that nobody told of, maybe, so it is
        // cold.
        if engine.probation > 0 && std::mem::take(&mut engine.lost_connection) {
            engine.cold_until = engine.cold_until.max(self.now + self.set.warm_up_duration);
        }
        engine.probation = engine.probation.saturating_sub(1);
        if engine.probation == 0 && engine.strikes > 0 {
            (engine.bad, engine.strikes) = (0.0, 0);
            self.actions.push(Action::Log(format!(
                "engine {engine_id} is back from probation"
            )));
        }
    }

    /// Shuts an engine out for a while, longer at each relapse; then it is on probation.
    pub(super) fn quarantine(&mut self, engine_id: EngineId, symptom: &str) {
        let away = self
            .engines
            .active()
            .filter(|e| e.listed && e.probation > 0)
            .count();
        // When most engines look bad at once the cause is shared: shutting them out would leave
        // nothing.
        let shared = (away + 1) as f64 > MAX_QUARANTINED * self.engines.listed_count() as f64;
        let (now, memory) = (self.now, self.latency);
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if now < engine.quarantined_until {
            return;
        }
        if engine.probation == 0 && shared {
            // Yet what answers next to nothing must not draw the queue by failing fast.
            let pause = if engine.bad > (1.0 + BAD_SHARE) / 2.0 {
                FULL_PAUSE * memory
            } else {
                0.0
            };
            engine.quarantined_until = now + pause as Micros;
            return;
        }
        let part = (QUARANTINE * 2f64.powi(engine.strikes)).min(LONGEST_QUARANTINE);
        engine.quarantined_until = now + (part * self.set.warm_up_duration as f64) as Micros;
        engine.strikes += 1;
        engine.probation = PROBATION;
        if engine.strikes == 1 {
            self.actions.push(Action::Log(format!(
                "engine {engine_id} quarantined: {symptom}"
            )));
        }
    }

    /// Silence: attempts are out, yet no note and no outcome comes while other engines speak.
    pub(super) fn watch_silence(&mut self) {
        let notes = self.set.note_period as f64;
        let longest = |e: &Engine| e.out.values().map(|c| c.ideal).fold(0.0, f64::max) * e.slowdown;
        let limit = |e: &Engine| {
            if notes > 0.0 {
                notes
            } else {
                longest(e).max(self.latency / SILENCE)
            }
        };
        let busy = self.engines.active().filter(|e| !e.out.is_empty());
        let quiet = |e: &Engine| (self.now - e.last_heard) as f64 > SILENCE * limit(e);
        let mute = busy.clone().filter(|e| quiet(e));
        if mute.clone().count() as f64 > MAX_QUARANTINED * busy.count() as f64 {
            return;
        }
        for engine_id in mute.map(|e| e.entry.engine).collect::<Vec<_>>() {
            self.quarantine(engine_id, "silent");
            let Some(engine) = self.engines.get_mut(&engine_id).filter(|e| e.probation > 0) else {
                continue;
            };
            engine.silent = true;
            // What it holds is taken back, where cancels are allowed and a repeat is safe.
            let held_there: Vec<(RequestId, usize)> = engine.out.keys().copied().collect();
            for (id, attempt) in held_there.into_iter() {
                self.take_back(id, attempt);
            }
        }
    }

    /// Cancels an attempt so that its request can go elsewhere.
    pub(super) fn take_back(&mut self, id: RequestId, attempt: usize) {
        let Some(held) = self.requests.get(&id) else {
            return;
        };
        let again =
            self.may_repeat(held) && held.attempts.len() < self.set.max_attempts && !held.streaming;
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        if self.set.may_cancel && again && !held.attempts[attempt].cancelled {
            held.attempts[attempt].cancelled = true;
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }
}
