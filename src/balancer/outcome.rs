//! An attempt has ended or a note tells of it: charges, what it teaches of estimates, and what
//! follows.

use super::*;

impl Balancer {
    pub(super) fn outcome(&mut self, end: AttemptEnded) {
        let Some(held) = self.requests.get_mut(&end.request) else {
            return;
        };
        let Some(tried) = held.attempts.get_mut(end.attempt) else {
            return;
        };
        let never_ran = matches!(
            end.outcome,
            Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent
        );
        tried.state = if never_ran {
            State::NeverRan
        } else {
            State::MayHaveRun
        };
        tried.erred = end.outcome == Outcome::Error;
        let (engine_id, tried) = (tried.entry.engine, *tried);
        held.ended |= end.complete;
        let unusable = held.erred_at_several();
        let (ended, class) = (held.ended, held.req.class);
        let (estimate, key) = ((held.req.work, held.req.memory_mb), held.req.key.clone());
        if end.outcome == Outcome::NotSent {
            self.uncount_sent(end.request, end.attempt, &tried);
        }
        let rests_until = self.now + self.set.ordering_delay + self.set.tick;
        let charge = self.uncharge(engine_id, &end);
        if let Some(charge) = charge.filter(|_| end.outcome == Outcome::Answered) {
            end.usage
                .into_iter()
                .for_each(|bill| self.learn(class, estimate, bill));
            self.learn_stretch(engine_id, &charge, end.spent, end.usage);
        }
        // Whose fault an error is shows when the request is over, in `close`.
        if end.outcome != Outcome::Error && !end.already_reported {
            self.judge(engine_id, end.outcome);
        }
        end.report
            .into_iter()
            .for_each(|report| self.heed_report(engine_id, report));
        if matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled
        ) {
            // What may still run holds its key back a while longer.
            let line = key.and_then(|key| self.keys.get_mut(&key));
            for line in line.into_iter() {
                line.1 = rests_until;
            }
        }
        self.rerank(engine_id);
        match ended {
            true => self.close(end.request),
            false if unusable => self.end(end.request, self.set.max_retry_after),
            false => self.further_or_end(end.request),
        }
    }

    /// Takes the charge off; a refusal as full also closes the engine for a while.
    pub(super) fn uncharge(&mut self, engine: EngineId, end: &AttemptEnded) -> Option<Charge> {
        let engine = self.engines.get_mut(&engine)?;
        let charge = engine.out.remove(&(end.request, end.attempt))?;
        engine.doubts += (end.outcome == Outcome::Error) as i32;
        if end.outcome == Outcome::AtCapacity {
            // What refuses at once frees its charges at once and would draw the whole queue.
            let pause_ends = self.now + self.pause;
            engine.quarantined_until = engine.quarantined_until.max(pause_ends);
            engine.pressed_until = pause_ends + self.latency as Micros / 3;
            engine.widen(-BOUND_CUT);
        }
        engine.tally();
        Some(charge)
    }

    /// Estimates are scaled by the class's mean true-to-estimated ratio, where answers tell the
    /// truth.
    pub(super) fn learn(
        &mut self,
        class: usize,
        estimate: (Option<f64>, Option<f64>),
        bill: ResourceUsage,
    ) {
        let known = &mut self.learned[class];
        known.work_ratio = nudged(known.work_ratio, estimate.0.map(|work| bill.work / work));
        known.memory_ratio = nudged(
            known.memory_ratio,
            estimate.1.map(|memory| bill.memory_mb / memory),
        );
        let mean = known.memory.unwrap_or(bill.memory_mb);
        known.memory = Some(mean + LEARN * (bill.memory_mb - mean));
    }

    pub(super) fn learn_stretch(
        &mut self,
        id: EngineId,
        charge: &Charge,
        spent: Micros,
        bill: Option<ResourceUsage>,
    ) {
        let ideal = bill.map_or(charge.ideal, |bill| bill.work / charge.threads);
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        engine.observe(
            self.now,
            self.latency,
            (!charge.waited).then_some((spent as f64, ideal)),
        );
        engine.widen(if engine.under_pressure(self.now) {
            -BOUND_CUT
        } else {
            1.0
        });
    }

    /// A word on an attempt that is out: the engine lives, and a plan may prove bad.
    pub(super) fn noted(&mut self, id: RequestId, attempt: usize, note: Progress) {
        let Some(held) = self.requests.get(&id) else {
            return;
        };
        let Some(engine_id) = held.attempts.get(attempt).map(|a| a.entry.engine) else {
            return;
        };
        let end_by = held.end_by;
        self.heard(engine_id);
        let warmth = self
            .engines
            .get(&engine_id)
            .map_or(1.0, |engine| self.warmth(engine));
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        // A cold engine is slow for all: that is no bad plan.
        let stretch = engine.slowdown.max(1.0) / warmth;
        let Some(charge) = engine.out.get_mut(&(id, attempt)) else {
            return;
        };
        match note {
            Progress::Share(share) => {
                let elapsed = (self.now - charge.sent_at) as f64;
                let remaining = elapsed * (1.0 - share).max(0.0) / share.max(1e-6);
                let fresh = charge.ideal * stretch;
                charge.noted = Some((elapsed, share * charge.ideal));
                let bad_plan = !charge.waited && remaining > BAD_PLAN * fresh;
                engine.observe(self.now, self.latency, None);
                // Far slower than its own estimate where others run well: the plan is drawn anew
                // elsewhere.
                if bad_plan && self.now + fresh as Micros <= end_by {
                    self.take_back(id, attempt);
                }
            }
            Progress::WaitsForMemory => charge.waited = true,
            // Nothing is done yet, so nothing is lost elsewhere; one attempt is kept for worse.
            Progress::WaitsForLoad => {
                charge.waited = true;
                engine.loading.insert(charge.group, self.now);
                if attempt + 2 < self.set.max_attempts {
                    self.take_back(id, attempt);
                }
            }
            Progress::Spilling(_) => {}
        }
    }

    /// Another attempt where rules, time and the fleet's health allow one; else the end.
    pub(super) fn further_or_end(&mut self, id: RequestId) {
        let Some(held) = self.requests.get(&id) else {
            return;
        };
        if held.attempts.iter().any(|a| a.state == State::Out) {
            return;
        }
        // No retry storm: the sicker the fleet, the fewer further attempts; own cancels don't
        // count.
        let tried = held.attempts.iter().filter(|a| !a.cancelled).count();
        let sick = self.traffic.fleet_bad > SICK_FLEET;
        let most = if sick {
            (1.0 / self.traffic.fleet_bad) as usize
        } else {
            usize::MAX
        };
        let left = held.attempts.len() < self.set.max_attempts && tried <= most;
        let may_retry =
            left && self.may_repeat(held) && self.now < held.end_by && self.budget_allows_further();
        if may_retry {
            self.queue.insert((held.due, id), held.req.class);
        } else {
            self.end(id, 0);
        }
    }
}

/// A ratio moved toward an observation, which counts as at most `CLIP` times off.
pub(super) fn nudged(ratio: f64, seen: Option<f64>) -> f64 {
    seen.map_or(ratio, |seen| {
        ratio + LEARN * (seen.clamp(ratio / CLIP, ratio * CLIP) - ratio)
    })
}
