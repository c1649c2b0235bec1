//! The end: graceful shutdown at the pace of [`Shutdown`].

use super::*;

impl Gateway {
    /// SIGTERM: everything that comes is still served, until clients have stopped coming and all
    /// have their answers.
    pub(super) fn stop(&mut self) {
        let now = self.clock.now();
        if !self.shutdown.begin(now, self.longest_wait) {
            return;
        }
        tracing::info!("stopping; {} requests are open", self.counters.open());
        self.tap.host(now, Host::Stopping);
        self.clients.well = false;
        self.keeping
            .iter_mut()
            .for_each(|keeping| keeping.release_leases(now));
        for at in self.shutdown.due() {
            self.due.set(at, Due::Shutdown);
        }
    }

    /// The steps that are due, at the end of each look.
    pub(super) fn stop_work(&mut self) {
        while self.shutdown.phase() != Stage::Serving {
            if self.shutdown.phase() >= Stage::Closing {
                self.close_resting();
            }
            let left = Left {
                requests: self.counters.open() as usize,
                connections: self.clients.len(),
            };
            match self.shutdown.next(self.clock.now(), left) {
                Some(Step::Close | Step::Leave) => {}
                Some(Step::End) => {
                    for request in self.requests.owing() {
                        // The request's own timer fires early: its time is up now.
                        self.events.push_back(Event::Timer {
                            tag: end_tag(request.number()),
                        });
                    }
                    self.settle();
                }
                None => return,
            }
            if self.is_done() {
                return;
            }
        }
    }

    fn close_resting(&mut self) {
        // What waits to connect is owed an answer; who comes later finds nobody.
        if self.accept() {
            self.clients.stop_listening();
        }
        let (now, names, heard) = (self.clock.now(), &self.names, &mut self.from_clients);
        self.clients
            .end_resting(now, names, &mut self.due, &mut self.counters, heard);
        self.hear_clients();
        self.settle();
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.shutdown.phase() == Stage::Over
    }
}
