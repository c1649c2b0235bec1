//! Whether an engine has room, by bounds that bind under pressure, and the queue of what waits.

use super::*;

impl Balancer {
    /// Held requests leave earliest due first; one that can't leave doesn't block others that can.
    pub(super) fn release(&mut self) {
        // The least memory that found no room, for each class and, where loads hold it back, group.
        let mut no_room: BTreeMap<(usize, u64), f64> = BTreeMap::new();
        let mut full = self.full_classes();
        let passable = self.queue.iter().filter(|(_, &class)| !full[class]);
        for (id, class) in passable
            .map(|(&(_, id), &class)| (id, class))
            .collect::<Vec<_>>()
        {
            let held = &self.requests[&id];
            let memory = held.memory;
            let like = (
                class,
                if self.concerned(class) {
                    held.req.group
                } else {
                    0
                },
            );
            let small = no_room.get(&like).is_none_or(|&least| memory < least);
            if full[class] || !small || !self.is_drawn(held) {
                continue;
            }
            let plain = held.attempts.is_empty() && !self.set.classes[class].ordered;
            let least = if self.is_dashboard(class) {
                0.0
            } else {
                memory
            };
            match self.choose(id) {
                Some(engine) => {
                    self.send(id, engine);
                    full = self.full_classes();
                }
                // Without room among the engines drawn, it waits to be drawn for again.
                None if self.thin => {
                    _ = self
                        .requests
                        .entry(id)
                        .and_modify(|held| held.asked.clear());
                }
                None if plain => _ = no_room.insert(like, least),
                None => {}
            }
        }
    }

    /// Classes whose lightest query has no room anywhere: most of a long queue needs no closer
    /// look.
    pub(super) fn full_classes(&self) -> Vec<bool> {
        let full = |class: usize| {
            let req = Request {
                class,
                group: u64::MAX,
                ..Default::default()
            };
            let held = Held {
                req,
                memory: f64::MIN_POSITIVE,
                ..Default::default()
            };
            !self.thin
                && !self
                    .subset(class)
                    .any(|(_, id)| self.has_room(&held, &self.engines[&id]))
        };
        (0..self.set.classes.len()).map(full).collect()
    }

    /// Both bounds, binding only while the engine shows pressure; an idle gateway may send one of
    /// any size.
    pub(super) fn has_room(&self, held: &Held, engine: &Engine) -> bool {
        if !self.may_take(held, engine) {
            return false;
        }
        let cores = self.kind(engine).cores * self.warmth(engine) * self.share;
        let others = if self.thin { self.others(engine) } else { 0.0 };
        let dashboard = self.is_dashboard(held.req.class);
        // A dashboard runs ahead of what is larger, so only its like stands before it, until the
        // engine jams. What can't be taken back jams for long, so there any pressure counts as a
        // jam.
        let jammed =
            self.now < engine.pressed_until || engine.slowdown > CLIP * engine.best_slowdown;
        let jam = if self.set.may_cancel {
            jammed
        } else {
            engine.under_pressure(self.now)
        };
        let ahead =
            |charge: &&Charge| jam || self.thin || !dashboard || self.is_dashboard(charge.class);
        let before = engine
            .out
            .values()
            .filter(ahead)
            .map(|charge| charge.threads)
            .sum::<f64>()
            + others;
        let threads = before + self.set.classes[held.req.class].threads;
        // Latency shows seconds after the sends that cause it; threads over cores imply it at once.
        let pressure = self.thin || engine.under_pressure(self.now) || threads > IMPLIED * cores;
        // Where shares are thin every gateway is idle on most engines, so being idle there excuses
        // nothing.
        if !pressure || engine.out.is_empty() && !self.thin {
            return true;
        }
        // The last one in may pass the bound: a small share would else stay partly unused.
        let thin_bound = if dashboard { IMPLIED } else { THIN_BOUND };
        let bound = if self.thin { thin_bound } else { START_BOUND };
        if before >= bound * engine.width * cores {
            return false;
        }
        let memory = engine.memory + others * self.traffic.hold / self.traffic.work.max(1.0);
        let (charge, room) = (self.charged_memory(held, engine), self.room(engine));
        dashboard || memory + charge <= room || engine.out.is_empty() && charge > room
    }

    /// Where shares are thin they are pooled: what this gateway has out on all engines is held
    /// against its share of them all. In a jam nothing comes back, so the pool stays taken and no
    /// gateway adds to it.
    pub(super) fn pool_has_room(&self, held: &Held) -> bool {
        let whole = |e: &Engine| {
            (
                POOL * self.kind(e).cores,
                START_ROOM * self.kind(e).memory_mb,
            )
        };
        let (cores, room) = self.engines.sums_of_open(self.set.peers, whole);
        let out = self.engines.active().filter(|engine| engine.open());
        let (threads, memory) = out.fold((0.0, held.memory), |(t, m), e| {
            (t + e.threads, m + e.memory)
        });
        threads == 0.0 || threads < cores && (memory <= room || self.is_dashboard(held.req.class))
    }

    pub(super) fn room(&self, engine: &Engine) -> f64 {
        START_ROOM * engine.width * self.kind(engine).memory_mb * self.share
    }

    pub(super) fn charged_memory(&self, held: &Held, engine: &Engine) -> f64 {
        Some(held.memory)
            .filter(|&known| known > 0.0)
            .unwrap_or(UNKNOWN_MEMORY * self.room(engine))
    }

    pub(super) fn kind(&self, engine: &Engine) -> &Kind {
        &self.set.kinds[self.engines.kind_of(engine)]
    }

    /// The part of its capacity that an engine is held to have: it grows from a cold start on.
    pub(super) fn warmth(&self, engine: &Engine) -> f64 {
        let left = engine.cold_until.saturating_sub(self.now) as f64
            / self.set.warm_up_duration.max(1) as f64;
        1.0 - (1.0 - self.set.start_capacity) * left.min(1.0)
    }
}
