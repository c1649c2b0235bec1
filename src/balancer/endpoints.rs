//! The list of engines: births, restarts, drains, ends.

use super::*;

impl Balancer {
    pub(super) fn full_list(&mut self, entries: Vec<Endpoint>) {
        let told: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        let listed = self.engines.listed().map(|own| own.entry);
        let lacking: Vec<Endpoint> = listed
            .filter(|entry| !told.contains(&entry.engine))
            .collect();
        for entry in lacking.into_iter() {
            self.engines.relist(entry, self.now, |e| e.listed = false);
        }
        self.list_changes(entries);
    }

    pub(super) fn list_changes(&mut self, entries: Vec<Endpoint>) {
        for entry in entries.into_iter() {
            self.listed(entry);
        }
        self.engines
            .reindex(|class, entry| may_place(&self.set.classes[class], entry));
        self.count_shares();
    }

    fn listed(&mut self, entry: Endpoint) {
        let warm_at = entry.booted_at + self.set.warm_up_duration;
        self.engines.relist(entry, self.now, |engine| {
            if entry.booted_at > engine.entry.booted_at {
                // A restart: what was learned of the process before is void, what it is charged
                // with is not.
                let (out, threads, memory) = (
                    std::mem::take(&mut engine.out),
                    engine.threads,
                    engine.memory,
                );
                *engine = Engine {
                    out,
                    threads,
                    memory,
                    ..Engine::new(entry)
                };
            }
            if entry.booted_at > 0 {
                engine.cold_until = engine.cold_until.max(warm_at);
            }
            engine.entry = entry;
            engine.listed = entry.phase != Phase::Removed;
        });
    }
}
