//! What happens in a simulated fleet, event by event.

use super::*;

impl Fleet {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn happens(&mut self, event: Event) {
        // One that stands still does all of it when it goes on.
        let paused = |gateway: usize, fleet: &Self| {
            fleet.gateways[gateway]
                .paused_until
                .saturating_sub(fleet.time.now)
        };
        match event {
            Event::Deliver {
                link,
                epoch,
                to_keeper,
                message,
            } => {
                let to = if to_keeper { link.1 } else { link.0 };
                let wait = paused(to, self);
                let stands = self
                    .links
                    .get(&link)
                    .is_some_and(|(up, own, _)| *up && *own == epoch);
                if wait > 0 {
                    return self.at(
                        wait,
                        Event::Deliver {
                            link,
                            epoch,
                            to_keeper,
                            message,
                        },
                    );
                }
                if stands {
                    let from = if to_keeper {
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
            Event::Link { link, up } => self.link(link, up),
            Event::Look(at) => {
                let wait = paused(at, self);
                if wait > 0 {
                    return self.at(wait, Event::Look(at));
                }
                if self.gateways[at].up {
                    let outputs = self.gateways[at].core.poll(self.time.now);
                    self.perform(at, outputs);
                }
                self.at(LOOK, Event::Look(at));
            }
            Event::Flush { keeper, start } => self.flush(keeper, start),
            Event::Ask(request) => self.ask(request),
            Event::GiveUp {
                request,
                gateway,
                start,
            } => {
                let own = &mut self.requests[request];
                if own.done || own.at != gateway || self.gateways[gateway].start != start {
                    return;
                }
                self.again(request);
            }
            Event::Run { key, cell } => {
                // Dropped as a repeat where this cell has seen the key within the window.
                self.tell(Some(key), || format!("runs in cell {cell}"));
                let known = self
                    .seen
                    .get(&(key, cell))
                    .is_some_and(|at| self.time.now < at + WINDOW);
                if !known {
                    self.seen.insert((key, cell), self.time.now);
                    *self.effects.entry(key).or_default() += 1;
                }
            }
            Event::Over {
                gateway,
                start,
                key,
                cell,
            } => {
                let wait = paused(gateway, self);
                if wait > 0 {
                    return self.at(
                        wait,
                        Event::Over {
                            gateway,
                            start,
                            key,
                            cell,
                        },
                    );
                }
                if !self.gateways[gateway].up || self.gateways[gateway].start != start {
                    // Its answer finds nobody: the client comes again.
                    return;
                }
                self.ended(gateway, key, cell, true);
                if self.requests[key].at == gateway {
                    self.requests[key].done = true;
                }
            }
            Event::Kill {
                gateway,
                wiped,
                down,
            } => self.kill(gateway, wiped, down),
            Event::Start(gateway) => self.start(gateway),
            Event::Pause { gateway, until } => {
                self.tell(None, || format!("pause {gateway} until {until}"));
                let own = &mut self.gateways[gateway];
                own.paused_until = own.paused_until.max(until);
            }
            Event::Cut { link, until } => {
                if self.links.contains_key(&link) {
                    self.link(link, false);
                    if let Some(own) = self.links.get_mut(&link) {
                        own.2 = own.2.max(until);
                    }
                    let wait = until.saturating_sub(self.time.now);
                    self.at(wait, Event::Link { link, up: true });
                }
            }
        }
    }
}
