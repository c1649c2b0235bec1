//! Links between gateways and keepers: made, broken, what goes over them, and what cores ask for.

use super::*;

impl Fleet {
    pub(super) fn link(&mut self, link: (usize, usize), up: bool) {
        let ends_up = self.gateways[link.0].up && self.gateways[link.1].up;
        let Some(own) = self.links.get_mut(&link) else {
            return;
        };
        if own.0 == up || (up && (!ends_up || self.time.now < own.2)) {
            return;
        }
        own.0 = up;
        own.1 += u64::from(up);
        let ends = [
            (link.0, Peer::Voter(link.1)),
            (link.1, Peer::Requester(link.0 as u64)),
        ];
        for (at, peer) in ends {
            if self.gateways[at].up {
                let outputs = self.gateways[at].core.on_link(self.time.now, peer, up);
                self.perform(at, outputs);
            }
        }
    }

    pub(super) fn send(&mut self, link: (usize, usize), to_keeper: bool, message: Message) {
        let is_traced = self.traced.map(key_of).is_some_and(|key| match &message {
            Message::Claim { key: own, .. } | Message::Update { key: own, .. } => *own == key,
            Message::StatePart { entries, .. } => entries.iter().any(|entry| entry.key == key),
            _ => false,
        });
        if is_traced {
            self.tell(None, || {
                format!("{link:?} to keeper {to_keeper}: {message:?}")
                    .chars()
                    .take(400)
                    .collect()
            });
        }
        let Some((true, epoch, _)) = self.links.get(&link).copied() else {
            return;
        };
        self.figures.messages += 1;
        self.figures.bytes +=
            8 + postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len()) as u64;
        // One in fifty takes long, and what comes behind it as long.
        let delay = if self.rng.random_bool(0.02) {
            self.rng.random_range(10 * MS..300 * MS)
        } else {
            self.rng.random_range(200..2 * MS)
        };
        let event = Event::Deliver {
            link,
            epoch,
            to_keeper,
            message,
        };
        self.time.send((link, to_keeper), delay, event);
    }

    pub(super) fn perform(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(Peer::Voter(keeper), message) => {
                    self.send((at, keeper), true, message);
                }
                Output::Send(Peer::Requester(asker), message) => {
                    self.send((asker as usize, at), false, message);
                }
                Output::Store {
                    key,
                    replica,
                    after_durable,
                } => {
                    let own = &mut self.gateways[at];
                    own.unflushed.push((key, replica, after_durable));
                    if !std::mem::replace(&mut own.flushing, true) {
                        let start = own.start;
                        let takes = self.rng.random_range(300..4 * MS);
                        self.at(takes, Event::Flush { keeper: at, start });
                    }
                }
                Output::LocalVote {
                    number,
                    reported_runs,
                } => {
                    let verdict =
                        self.gateways[at]
                            .core
                            .on_local_vote(self.time.now, number, &reported_runs);
                    self.perform(at, verdict.into_iter().collect());
                }
                Output::Verdict(number, verdict) => self.decided(at, number, verdict),
                Output::EngineDrained(_) | Output::Hints { .. } => {}
                Output::BecameVoter => {
                    self.tell(None, || format!("{at} votes"));
                    let own = &mut self.gateways[at];
                    own.voted = true;
                    let took = self.time.now - own.voted_at.replace(0).unwrap_or(self.time.now);
                    self.figures.longest_catch_up_ms =
                        self.figures.longest_catch_up_ms.max(took / MS);
                    let askers: Vec<_> = self
                        .links
                        .keys()
                        .filter(|(_, keeper)| *keeper == at)
                        .copied()
                        .collect();
                    for link in askers.into_iter() {
                        self.send(link, false, Message::VoterStatus { is_voting: true });
                    }
                }
            }
        }
    }

    pub(super) fn flush(&mut self, keeper: usize, start: u64) {
        let own = &mut self.gateways[keeper];
        if own.start != start || !own.up {
            return;
        }
        if own.paused_until > self.time.now {
            let wait = own.paused_until - self.time.now;
            return self.at(wait, Event::Flush { keeper, start });
        }
        own.flushing = false;
        let mut outputs = Vec::new();
        for (key, copy, then) in std::mem::take(&mut own.unflushed) {
            match copy {
                Some(copy) => _ = own.disk.insert(key, copy),
                None => _ = own.disk.remove(&key),
            }
            outputs.extend(then);
        }
        self.figures.most_held = self.figures.most_held.max(own.disk.len() as u64);
        self.perform(keeper, outputs);
    }
}
