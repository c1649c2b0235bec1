//! Kills and restarts of gateways, with or without the loss of their disk.

use super::*;

impl Fleet {
    pub(super) fn kill(&mut self, gateway: usize, wiped: bool, down: Micros) {
        self.trace(None, || {
            format!("kill {gateway} wiped {wiped} for {} ms", down / MS)
        });
        if !std::mem::replace(&mut self.gateways[gateway].is_up, false) {
            return;
        }
        let links: Vec<_> = self
            .links
            .keys()
            .filter(|(a, b)| *a == gateway || *b == gateway)
            .copied()
            .collect();
        for link in links.into_iter() {
            self.set_link(link, false);
        }
        let killed = &mut self.gateways[gateway];
        (killed.unflushed, killed.is_flushing) = (Vec::new(), false);
        killed.claims.clear();
        // Attempts in flight may still run at their engines.
        killed.local.values_mut().for_each(|intent| {
            (intent.may_have_run, intent.in_flight) =
                (intent.may_have_run || intent.in_flight > 0, 0);
        });
        if wiped {
            killed.disk.clear();
            killed.local.clear();
            killed.identity = self.rng.random();
            killed.has_voted = false;
        }
        for request in 0..self.requests.len() {
            let current = self.requests[request];
            if !current.is_done && current.tries > 0 && current.gateway == gateway {
                self.retry(request);
            }
        }
        self.at(down, Event::Start(gateway));
    }

    pub(super) fn start(&mut self, gateway: usize) {
        self.trace(None, || format!("start {gateway}"));
        let previous = &self.gateways[gateway];
        let (identity, start, disk) =
            (previous.identity, previous.start + 1, previous.disk.clone());
        let core = self.core(gateway, identity, start, previous.has_voted, &disk);
        let started = &mut self.gateways[gateway];
        (
            started.core,
            started.start,
            started.is_up,
            started.paused_until,
        ) = (core, start, true, 0);
        started.catch_up_began = Some(self.time.now).filter(|_| !started.has_voted);
        let links: Vec<_> = self
            .links
            .keys()
            .filter(|(a, b)| *a == gateway || *b == gateway)
            .copied()
            .collect();
        for link in links {
            let after = self.rng.random_range(10 * MS..200 * MS);
            self.at(after, Event::Link { link, up: true });
        }
    }
}
