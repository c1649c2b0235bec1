//! Keyed requests: asked, claimed, sent, ended, asked again.

use eideryard_replication::core::{ClaimRequest, EndedAttempts};

use super::*;

impl Fleet {
    pub(super) fn again(&mut self, request: usize) {
        let own = &mut self.requests[request];
        own.at = usize::MAX;
        if own.tries >= 4 {
            // Its client has had enough: an answer all the same, of its own making.
            own.done = true;
            return;
        }
        let after = self.rng.random_range(MS..500 * MS);
        self.at(after, Event::Ask(request));
    }

    pub(super) fn ask(&mut self, request: usize) {
        let gateway = self.rng.random_range(0..self.size.gateways);
        let own = &mut self.requests[request];
        own.tries += 1;
        if own.tries == 1 {
            own.first = self.time.now;
        }
        if !self.gateways[gateway].up {
            return self.again(request);
        }
        self.requests[request].at = gateway;
        self.tell(Some(request), || format!("asked at {gateway}"));
        let start = self.gateways[gateway].start;
        self.at(
            WAIT,
            Event::GiveUp {
                request,
                gateway,
                start,
            },
        );
        let known = match self.gateways[gateway].local.get(&request) {
            Some(own) => vec![PriorRun {
                location: Some(Location {
                    zone: 0,
                    cell: own.cell,
                }),
                since: own.since,
            }],
            None => PriorRuns::new(),
        };
        self.decide(request, gateway, known);
    }

    /// The module's rule on effects: within the one cell that may have run it, and within its
    /// window.
    pub(super) fn decide(&mut self, request: usize, gateway: usize, known: PriorRuns) {
        let mut cells: Vec<_> = known
            .iter()
            .map(|run| run.location.map(|location| location.cell))
            .collect();
        cells.sort();
        cells.dedup();
        let since = known.iter().map(|run| run.since).min();
        // What an engine would get after the window of the first is not sent.
        let in_time = since.is_none_or(|since| self.time.now + 50 * MS < since + WINDOW);
        let cell = match &cells[..] {
            [] => Some(self.rng.random_range(0..CELLS)),
            [one] if in_time => *one,
            _ => None,
        };
        let Some(cell) = cell else {
            self.requests[request].done = true;
            return;
        };
        if self.without == Without::Claims {
            return self.dispatch(request, gateway, cell, since);
        }
        let own = &mut self.gateways[gateway];
        // As the ledger: it is there before anything goes out.
        let fresh = Local {
            cell,
            since: since.unwrap_or(self.time.now),
            out: 0,
            ran: false,
        };
        own.local.entry(request).or_insert(fresh).out += 1;
        own.numbers += 1;
        let number = own.numbers;
        own.claims
            .insert(number, (request, cell, self.time.now, known.clone()));
        let (location, keep) = (Some(Location { zone: 0, cell }), WAIT + WINDOW + SLACK);
        let since = since.unwrap_or(self.time.now);
        let claim = ClaimRequest {
            number,
            key: &key_of(request),
            location,
            since,
            retention: keep,
            known_runs: known,
        };
        let outputs = own.core.claim(self.time.now, claim);
        self.perform(gateway, outputs);
    }

    /// An attempt has its end: keepers hear of a key once none of its attempts is out.
    pub(super) fn ended(&mut self, gateway: usize, key: usize, cell: u32, ran: bool) {
        let Some(own) = self.gateways[gateway].local.get_mut(&key) else {
            return;
        };
        own.out = own.out.saturating_sub(1);
        own.ran |= ran;
        let (out, ran) = (own.out, own.ran);
        if out > 0 {
            return;
        }
        if !ran {
            self.gateways[gateway].local.remove(&key);
        }
        let location = Some(Location { zone: 0, cell });
        let ended = EndedAttempts {
            key: &key_of(key),
            location,
            may_have_run: ran,
            retention: WINDOW + SLACK,
        };
        let outputs = self.gateways[gateway]
            .core
            .on_attempts_ended(self.time.now, ended);
        self.perform(gateway, outputs);
    }

    pub(super) fn decided(&mut self, gateway: usize, number: u64, verdict: Verdict) {
        let Some((request, cell, asked, mut known)) = self.gateways[gateway].claims.remove(&number)
        else {
            return;
        };
        let waits = self.requests[request].at == gateway && !self.requests[request].done;
        self.tell(Some(request), || {
            format!("{gateway} claim {number} of cell {cell}: {verdict:?}, waits {waits}")
        });
        match verdict {
            Verdict::Granted if waits => {
                let took = (self.time.now - asked) / MS;
                self.figures.longest_claim_ms = self.figures.longest_claim_ms.max(took);
                let since = known.iter().map(|run| run.since).min();
                self.dispatch(request, gateway, cell, since);
            }
            verdict => {
                self.ended(gateway, request, cell, false);
                match verdict {
                    Verdict::PriorRunsFound(told) if waits => {
                        known.extend(told);
                        self.decide(request, gateway, known);
                    }
                    _ if waits => {
                        self.figures.refused += 1;
                        self.again(request);
                    }
                    _ => {}
                }
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        request: usize,
        gateway: usize,
        cell: u32,
        since: Option<Micros>,
    ) {
        if since.is_some_and(|since| self.time.now + 50 * MS >= since + WINDOW) {
            // Time has passed since it was decided.
            self.ended(gateway, request, cell, false);
            self.requests[request].done = true;
            return;
        }
        let own = &mut self.gateways[gateway];
        if self.without == Without::Claims {
            let fresh = Local {
                cell,
                since: since.unwrap_or(self.time.now),
                out: 0,
                ran: false,
            };
            own.local.entry(request).or_insert(fresh).out += 1;
        }
        let start = own.start;
        let (way, takes) = (
            self.rng.random_range(200..2 * MS),
            self.rng.random_range(5 * MS..900 * MS),
        );
        self.at(way, Event::Run { key: request, cell });
        self.at(
            way + takes,
            Event::Over {
                gateway,
                start,
                key: request,
                cell,
            },
        );
    }
}
