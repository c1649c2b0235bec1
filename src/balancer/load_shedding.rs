//! Overload: what can't meet its aim gives way at once.

use super::*;

impl Balancer {
    /// What can't meet its aim gives way: when a request would be late, the one worth least per
    /// work goes.
    pub(super) fn shed(&mut self) {
        // Work a microsecond that this gateway's share of the engines gets done that aren't shut
        // out.
        let away = |e: &Engine| e.probation > 0 && self.now < e.quarantined_until;
        let usable = self.engines.active().filter(|e| e.open() && !away(e));
        let cores = |e: &Engine| self.kind(e).cores * self.warmth(e) / self.set.peers;
        let active: f64 = usable.map(|e| e.threads.max(cores(e)) / e.slowness()).sum();
        let rate = (active + self.engines.resting_cores() / self.set.peers).max(LEARN);
        let mut ahead = 0.0;
        // Worth per work, a positive figure: its bits sort as it does.
        let mut kept: BTreeMap<(u64, RequestId), f64> = BTreeMap::new();
        let mut gone = Vec::new();
        for &(due, id) in self.queue.keys() {
            let held = &self.requests[&id];
            let latest = due as f64 + SHED_SLACK * due.saturating_sub(self.now) as f64;
            ahead += held.work;
            let place = ((held.priority_weight / held.work.max(1.0)).to_bits(), id);
            kept.insert(place, held.work);
            while kept.contains_key(&place) && self.now as f64 + ahead / rate + held.ideal > latest
            {
                let Some(((_, victim), work)) = kept.pop_first() else {
                    break;
                };
                ahead -= work;
                gone.push(victim);
            }
        }
        for id in gone {
            let advice = (self.set.max_retry_after as f64 * (0.5 + 0.5 * self.rng.f64())) as Micros;
            self.end(id, advice);
        }
    }
}
