//! Kills, starts and what a start finds on its disk.

use super::*;

impl Fleet {
    pub(super) fn kill(&mut self, gateway: usize, wiped: bool, down: Micros) {
        self.tell(None, || {
            format!("kill {gateway} wiped {wiped} for {} ms", down / MS)
        });
        if !std::mem::replace(&mut self.gateways[gateway].up, false) {
            return;
        }
        let links: Vec<_> = self
            .links
            .keys()
            .filter(|(a, b)| *a == gateway || *b == gateway)
            .copied()
            .collect();
        for link in links.into_iter() {
            self.link(link, false);
        }
        let own = &mut self.gateways[gateway];
        (own.unflushed, own.flushing) = (Vec::new(), false);
        own.claims.clear();
        // What was out may run on.
        own.local
            .values_mut()
            .for_each(|own| (own.ran, own.out) = (own.ran || own.out > 0, 0));
        if wiped {
            own.disk.clear();
            own.local.clear();
            own.identity = self.rng.random();
            own.voted = false;
        }
        for request in 0..self.requests.len() {
            let own = self.requests[request];
            if !own.done && own.tries > 0 && own.at == gateway {
                self.again(request);
            }
        }
        self.at(down, Event::Start(gateway));
    }

    pub(super) fn start(&mut self, gateway: usize) {
        self.tell(None, || format!("start {gateway}"));
        let own = &self.gateways[gateway];
        let (identity, start, disk) = (own.identity, own.start + 1, own.disk.clone());
        let core = self.core(gateway, identity, start, own.voted, &disk);
        let own = &mut self.gateways[gateway];
        (own.core, own.start, own.up, own.paused_until) = (core, start, true, 0);
        own.voted_at = Some(self.time.now).filter(|_| !own.voted);
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
