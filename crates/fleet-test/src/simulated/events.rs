//! Handles the events of a simulated fleet.

use super::*;

impl Fleet {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn handle(&mut self, event: Event) {
        // Events of a paused gateway are deferred to the end of its pause.
        let pause_left = |gateway: usize, fleet: &Self| {
            fleet.gateways[gateway]
                .paused_until
                .saturating_sub(fleet.time.now)
        };
        match event {
            Event::Deliver {
                link,
                epoch,
                to_voter,
                message,
            } => {
                let to = if to_voter { link.1 } else { link.0 };
                let wait = pause_left(to, self);
                let is_same_connection = self
                    .links
                    .get(&link)
                    .is_some_and(|(up, current, _)| *up && *current == epoch);
                if wait > 0 {
                    return self.at(
                        wait,
                        Event::Deliver {
                            link,
                            epoch,
                            to_voter,
                            message,
                        },
                    );
                }
                if is_same_connection {
                    let from = if to_voter {
                        Peer::Requester(link.0 as u64)
                    } else {
                        Peer::Voter(link.1)
                    };
                    let outputs = self.gateways[to]
                        .core
                        .on_message(self.time.now, from, message);
                    self.perform(to, outputs);
                }
            }
            Event::Link { link, up } => self.set_link(link, up),
            Event::Poll(at) => {
                let wait = pause_left(at, self);
                if wait > 0 {
                    return self.at(wait, Event::Poll(at));
                }
                if self.gateways[at].is_up {
                    let outputs = self.gateways[at].core.poll(self.time.now);
                    self.perform(at, outputs);
                }
                self.at(POLL_INTERVAL, Event::Poll(at));
            }
            Event::Flush { voter, start } => self.flush(voter, start),
            Event::Ask(request) => self.send_request(request),
            Event::GiveUp {
                request,
                gateway,
                start,
            } => {
                let current = &mut self.requests[request];
                if current.is_done
                    || current.gateway != gateway
                    || self.gateways[gateway].start != start
                {
                    return;
                }
                self.retry(request);
            }
            Event::Run { key, cell } => {
                // A repeat of a key that this cell has seen within the window is dropped.
                self.trace(Some(key), || format!("runs in cell {cell}"));
                let is_repeat = self
                    .seen
                    .get(&(key, cell))
                    .is_some_and(|at| self.time.now < at + WINDOW);
                if !is_repeat {
                    self.seen.insert((key, cell), self.time.now);
                    *self.effects.entry(key).or_default() += 1;
                }
            }
            Event::AttemptEnded {
                gateway,
                start,
                key,
                cell,
            } => {
                let wait = pause_left(gateway, self);
                if wait > 0 {
                    return self.at(
                        wait,
                        Event::AttemptEnded {
                            gateway,
                            start,
                            key,
                            cell,
                        },
                    );
                }
                if !self.gateways[gateway].is_up || self.gateways[gateway].start != start {
                    // The gateway that sent the attempt is gone; the client retries.
                    return;
                }
                self.end_attempt(gateway, key, cell, true);
                if self.requests[key].gateway == gateway {
                    self.requests[key].is_done = true;
                }
            }
            Event::Kill {
                gateway,
                wiped,
                down,
            } => self.kill(gateway, wiped, down),
            Event::Start(gateway) => self.start(gateway),
            Event::Pause { gateway, until } => {
                self.trace(None, || format!("pause {gateway} until {until}"));
                let paused = &mut self.gateways[gateway];
                paused.paused_until = paused.paused_until.max(until);
            }
            Event::Cut { link, until } => {
                if self.links.contains_key(&link) {
                    self.set_link(link, false);
                    if let Some(state) = self.links.get_mut(&link) {
                        state.2 = state.2.max(until);
                    }
                    let wait = until.saturating_sub(self.time.now);
                    self.at(wait, Event::Link { link, up: true });
                }
            }
        }
    }
}
