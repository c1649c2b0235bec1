//! What an engine is held to be at: own latency, reports, and what others are held to have there.

use super::*;

impl Engine {
    pub(super) fn under_pressure(&self, now: Micros) -> bool {
        now < self.pressed_until
            || now >= self.vouched_until && self.slowdown > PRESSURE * self.best_slowdown
    }

    /// Stretch is time spent over ideal time, of what ended lately and of what is out: a jam shows
    /// in what does not end. What no note tells of is held to have run at its ideal pace so far.
    pub(super) fn observe(&mut self, now: Micros, memory: f64, ended: Option<(f64, f64)>) {
        let kept = (-((now - self.stretch_at) as f64) / memory).exp();
        self.stretch_at = now;
        let (spent, ideal) = ended.unwrap_or((0.0, 0.0));
        self.spent = self.spent * kept + spent.min(CLIP * ideal * self.slowdown);
        self.ideal = self.ideal * kept + ideal;
        let (mut spent, mut ideal) = (self.spent, self.ideal);
        for charge in self.out.values().filter(|charge| !charge.waited) {
            let age = (now - charge.sent_at) as f64;
            let (elapsed, done) = charge.noted.unwrap_or((age, age.min(charge.ideal)));
            spent += elapsed.min(CLIP * done * self.slowdown);
            ideal += done;
        }
        // Without evidence a bad figure fades: it must not outlive its cause.
        self.slowdown = if ideal > 1.0 {
            spent / ideal
        } else {
            self.best_slowdown + (self.slowdown - self.best_slowdown) * kept
        };
        self.best_slowdown = self.best_slowdown.min(self.slowdown);
    }

    pub(super) fn widen(&mut self, steps: f64) {
        self.width = (self.width * (1.0 + steps * BOUND_STEP)).clamp(MIN_BOUND, 1.0);
    }
}

impl Balancer {
    /// Threads of others there: what a report told fades to what engines hold on the whole.
    pub(super) fn others(&self, engine: &Engine) -> f64 {
        let kept = (-((self.now - engine.reported_at) as f64) / self.latency).exp();
        let usual = self.traffic.baseline_load * self.kind(engine).cores;
        let told = usual + (engine.foreign_load - usual) * kept;
        // A jammed engine has idle cores: a report that doesn't count queries shows none emptier
        // than usual, and latency far over the best tells what an engine holds.
        let counted = self.traffic.counted;
        let jam = engine.slowdown > if counted { CLIP } else { PRESSURE } * engine.best_slowdown;
        let held = if jam {
            engine.slowdown * self.kind(engine).cores
        } else {
            usual
        };
        told.max(if self.thin && (jam || !counted) {
            held
        } else {
            0.0
        })
    }

    /// Cores, disks or memory that are all in use are held to be at the thread bound.
    pub(super) fn heed_report(&mut self, engine: EngineId, report: LoadReport) {
        let threads_each = self.traffic.work / self.traffic.ideal.max(1.0);
        let cores = self
            .engines
            .get(&engine)
            .map_or(1.0, |engine| self.kind(engine).cores);
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        let shares = [report.cores_busy, report.disks_busy, report.memory_granted];
        let busy = shares.into_iter().flatten().reduce(f64::max);
        if report.waiting_for_memory > Some(1.0) || busy.is_some_and(|share| share > BUSY_REPORT) {
            engine.pressed_until = engine
                .pressed_until
                .max(self.now + BEAT_TICKS * self.set.tick);
        }
        let counted = report.in_flight.map(|in_flight| in_flight * threads_each);
        // Latency also swings with what queries find warm, so where threads are counted their
        // number tells.
        let vouched = counted.is_some_and(|threads| threads <= START_BOUND * cores);
        engine.vouched_until = if vouched {
            self.now + self.latency as Micros
        } else {
            0
        };
        let implied = busy.map(|share| share * START_BOUND * cores);
        let Some(threads) = counted.into_iter().chain(implied).reduce(f64::max) else {
            return;
        };
        engine.foreign_load = (threads - engine.threads).max(0.0);
        engine.reported_at = self.now;
        self.traffic.counted |= counted.is_some();
        self.traffic.heard = true;
        self.traffic.baseline_load +=
            LEARN * (engine.foreign_load / cores - self.traffic.baseline_load);
    }

    /// A probe's answer: the report in it counts, a failure closes the engine for a while. That the
    /// process runs proves nothing of what it makes of queries, so it is no good outcome.
    pub(super) fn probed(&mut self, probed: Probed) {
        let Some(engine) = self.engines.get_mut(&probed.engine) else {
            return;
        };
        engine.asked_at = 0;
        if matches!(
            probed.outcome,
            Outcome::NoConnection | Outcome::Broken | Outcome::TimedOut
        ) {
            engine.quarantined_until = engine.quarantined_until.max(self.now + self.pause);
        }
        probed
            .report
            .into_iter()
            .for_each(|report| self.heed_report(probed.engine, report));
    }
}
