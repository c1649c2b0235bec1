//! Keyed requests: sends, claims, dispatches, ends and retries them.

use eideryard_replication::core::{ClaimRequest, EndedAttempts};

use super::*;

impl Fleet {
    /// Retries a request after a random time; the client gives up after four tries.
    pub(super) fn retry(&mut self, request: usize) {
        let current = &mut self.requests[request];
        current.gateway = usize::MAX;
        if current.tries >= 4 {
            // Giving up counts as an end of the request.
            current.is_done = true;
            return;
        }
        let after = self.rng.random_range(MS..500 * MS);
        self.at(after, Event::Ask(request));
    }

    /// Sends a request to a random gateway.
    pub(super) fn send_request(&mut self, request: usize) {
        let gateway = self.rng.random_range(0..self.size.gateways);
        let current = &mut self.requests[request];
        current.tries += 1;
        if current.tries == 1 {
            current.first_sent = self.time.now;
        }
        if !self.gateways[gateway].is_up {
            return self.retry(request);
        }
        self.requests[request].gateway = gateway;
        self.trace(Some(request), || format!("sent to {gateway}"));
        let start = self.gateways[gateway].start;
        self.at(
            WAIT,
            Event::GiveUp {
                request,
                gateway,
                start,
            },
        );
        let known_runs = match self.gateways[gateway].local.get(&request) {
            Some(intent) => vec![PriorRun {
                location: Some(Location {
                    zone: 0,
                    cell: intent.cell,
                }),
                since: intent.since,
            }],
            None => PriorRuns::new(),
        };
        self.choose_cell(request, gateway, known_runs);
    }

    /// Applies the balancer's rule on effects: a request that may have run is sent only to the cell
    /// where it may have run, and only within the window of the first run.
    pub(super) fn choose_cell(&mut self, request: usize, gateway: usize, known_runs: PriorRuns) {
        let mut cells: Vec<_> = known_runs
            .iter()
            .map(|run| run.location.map(|location| location.cell))
            .collect();
        cells.sort();
        cells.dedup();
        let since = known_runs.iter().map(|run| run.since).min();
        // An attempt that would reach its engine after the window of the first run is not sent.
        let is_in_time = since.is_none_or(|since| self.time.now + 50 * MS < since + WINDOW);
        let cell = match &cells[..] {
            [] => Some(self.rng.random_range(0..CELLS)),
            [one] if is_in_time => *one,
            _ => None,
        };
        let Some(cell) = cell else {
            self.requests[request].is_done = true;
            return;
        };
        if self.without == Without::Claims {
            return self.dispatch(request, gateway, cell, since);
        }
        let claiming = &mut self.gateways[gateway];
        // As in the intent log, the intent is stored before the request is sent.
        let new_intent = LocalIntent {
            cell,
            since: since.unwrap_or(self.time.now),
            in_flight: 0,
            may_have_run: false,
        };
        claiming
            .local
            .entry(request)
            .or_insert(new_intent)
            .in_flight += 1;
        claiming.last_claim += 1;
        let number = claiming.last_claim;
        claiming
            .claims
            .insert(number, (request, cell, self.time.now, known_runs.clone()));
        let (location, retention) = (Some(Location { zone: 0, cell }), WAIT + WINDOW + SLACK);
        let since = since.unwrap_or(self.time.now);
        let claim = ClaimRequest {
            number,
            key: &key_of(request),
            location,
            since,
            retention,
            known_runs,
        };
        let outputs = claiming.core.claim(self.time.now, claim);
        self.perform(gateway, outputs);
    }

    /// Ends an attempt. The voters are notified once no attempt of the key is in flight.
    pub(super) fn end_attempt(&mut self, gateway: usize, key: usize, cell: u32, ran: bool) {
        let Some(intent) = self.gateways[gateway].local.get_mut(&key) else {
            return;
        };
        intent.in_flight = intent.in_flight.saturating_sub(1);
        intent.may_have_run |= ran;
        let (in_flight, may_have_run) = (intent.in_flight, intent.may_have_run);
        if in_flight > 0 {
            return;
        }
        if !may_have_run {
            self.gateways[gateway].local.remove(&key);
        }
        let location = Some(Location { zone: 0, cell });
        let ended = EndedAttempts {
            key: &key_of(key),
            location,
            may_have_run,
            retention: WINDOW + SLACK,
        };
        let outputs = self.gateways[gateway]
            .core
            .on_attempts_ended(self.time.now, ended);
        self.perform(gateway, outputs);
    }

    /// Handles the voters' verdict on a claim: sends the request, chooses a cell again with the
    /// prior runs that voters reported, or refuses the request.
    pub(super) fn on_verdict(&mut self, gateway: usize, number: u64, verdict: Verdict) {
        let Some((request, cell, claimed_at, mut known_runs)) =
            self.gateways[gateway].claims.remove(&number)
        else {
            return;
        };
        let is_waiting =
            self.requests[request].gateway == gateway && !self.requests[request].is_done;
        self.trace(Some(request), || {
            format!("{gateway} claim {number} of cell {cell}: {verdict:?}, waits {is_waiting}")
        });
        match verdict {
            Verdict::Granted if is_waiting => {
                let took = (self.time.now - claimed_at) / MS;
                self.figures.longest_claim_ms = self.figures.longest_claim_ms.max(took);
                let since = known_runs.iter().map(|run| run.since).min();
                self.dispatch(request, gateway, cell, since);
            }
            verdict => {
                self.end_attempt(gateway, request, cell, false);
                match verdict {
                    Verdict::PriorRunsFound(reported) if is_waiting => {
                        known_runs.extend(reported);
                        self.choose_cell(request, gateway, known_runs);
                    }
                    _ if is_waiting => {
                        self.figures.refused += 1;
                        self.retry(request);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Sends a request to an engine of a cell unless the window of its first run is over.
    pub(super) fn dispatch(
        &mut self,
        request: usize,
        gateway: usize,
        cell: u32,
        since: Option<Micros>,
    ) {
        if since.is_some_and(|since| self.time.now + 50 * MS >= since + WINDOW) {
            // The window ended while the claim was pending.
            self.end_attempt(gateway, request, cell, false);
            self.requests[request].is_done = true;
            return;
        }
        let sending = &mut self.gateways[gateway];
        if self.without == Without::Claims {
            let new_intent = LocalIntent {
                cell,
                since: since.unwrap_or(self.time.now),
                in_flight: 0,
                may_have_run: false,
            };
            sending.local.entry(request).or_insert(new_intent).in_flight += 1;
        }
        let start = sending.start;
        let (delay, duration) = (
            self.rng.random_range(200..2 * MS),
            self.rng.random_range(5 * MS..900 * MS),
        );
        self.at(delay, Event::Run { key: request, cell });
        self.at(
            delay + duration,
            Event::AttemptEnded {
                gateway,
                start,
                key: request,
                cell,
            },
        );
    }
}
