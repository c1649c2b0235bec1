//! The list of engines: births, restarts, drains, ends.

use super::*;

impl Gateway {
    pub(super) fn full_list(&mut self, entries: Vec<Entry>) {
        self.engines.values_mut().for_each(|e| e.listed = entries.iter().any(|n| n.engine == e.entry.engine));
        self.list_changes(entries);
    }

    pub(super) fn list_changes(&mut self, entries: Vec<Entry>) {
        entries.into_iter().for_each(|entry| self.listed(entry));
        self.count_shares();
    }

    fn listed(&mut self, entry: Entry) {
        let warm_at = entry.booted_at + self.set.warm_within;
        let engine = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry));
        if entry.booted_at > engine.entry.booted_at {
            // A restart: what was learned of the process before it is void, what it is charged with is not.
            let out = std::mem::take(&mut engine.out);
            *engine = Engine { out, threads: engine.threads, memory: engine.memory, ..Engine::new(entry) };
        }
        if entry.booted_at > 0 {
            engine.cold_until = engine.cold_until.max(warm_at);
        }
        engine.entry = entry;
        engine.listed = entry.phase != Phase::Gone;
    }
}
