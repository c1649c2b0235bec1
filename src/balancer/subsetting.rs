//! What part of the engines is this gateway's own: one of each, an arc of them, or the whole with
//! all others.

use super::*;

impl Balancer {
    /// A share of an engine that no query fits in makes own sums meaningless. Where arcs can be
    /// short enough, gateways keep to some of the engines each, at equal distances on a ring that
    /// all find alike: own sums tell there again. Else, and where only probes count queries, the
    /// whole engine is looked at by reports.
    pub(super) fn count_shares(&mut self) {
        let cores = self
            .set
            .kinds
            .iter()
            .map(|kind| kind.cores)
            .fold(0.0, f64::max);
        let widest = self
            .set
            .classes
            .iter()
            .map(|class| class.threads)
            .fold(1.0, f64::max);
        let (fit, peers) = (START_BOUND * cores / widest, self.set.peers);
        let open = self.engines.open_count() as f64;
        let arcs = !self.set.counts_by_probe && fit * open >= MIN_ARC * HOMES as f64 * peers;
        (self.few, self.thin) = (peers > fit && arcs, peers > fit && !arcs);
        let wide = (fit * open / peers).round().max(HOMES as f64);
        let own = if self.few {
            open / peers / wide
        } else {
            1.0 / peers
        };
        self.share = if self.thin { 1.0 } else { own };
        self.pause = (self.latency * if self.thin { 1.0 } else { FULL_PAUSE }) as Micros;
        if self.traffic.arrivals == 0.0 && !self.traffic.heard {
            // A stranger takes no engine for idle that none told of, and asks at once, where others
            // are many.
            let (level, probes) = if self.thin {
                (START_LEVEL, SAVED)
            } else {
                (0.0, 0.0)
            };
            (self.traffic.baseline_load, self.traffic.probes) = (level, probes);
        }
    }

    /// The open engines that a class is placed among, in the order of the ring: all, or this
    /// gateway's arc, where the successor stands in for what is closed for a while.
    pub(super) fn subset(&self, class: usize) -> impl Iterator<Item = (u64, EngineId)> + '_ {
        let ring = self.engines.ring(class);
        let count = ring.len() as f64;
        let wide = ((count / self.set.peers / self.share).round() as usize).max(HOMES);
        let (wide, begin) = if self.few {
            (wide, (self.place * count) as usize)
        } else {
            (ring.len(), 0)
        };
        let (before, from) = ring.split_at(begin.min(ring.len().saturating_sub(1)));
        let usable = |id: &EngineId| !self.few || self.now >= self.engines[id].quarantined_until;
        from.iter()
            .chain(before)
            .copied()
            .filter(move |(_, id)| usable(id))
            .take(wide)
    }
}
