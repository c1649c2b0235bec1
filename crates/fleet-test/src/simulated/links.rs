//! Links between gateways and voters: connects and disconnects them, sends messages, and performs
//! the outputs of the replication cores.

use super::*;

impl Fleet {
    /// Connects or disconnects a link and notifies the cores at both ends. A link stays down while
    /// one of its ends is down or it is cut.
    pub(super) fn set_link(&mut self, link: (usize, usize), up: bool) {
        let are_ends_up = self.gateways[link.0].is_up && self.gateways[link.1].is_up;
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        if state.0 == up || (up && (!are_ends_up || self.time.now < state.2)) {
            return;
        }
        state.0 = up;
        state.1 += u64::from(up);
        let ends = [
            (link.0, Peer::Voter(link.1)),
            (link.1, Peer::Requester(link.0 as u64)),
        ];
        for (at, peer) in ends {
            if self.gateways[at].is_up {
                let outputs = self.gateways[at].core.on_link(self.time.now, peer, up);
                self.perform(at, outputs);
            }
        }
    }

    pub(super) fn send(&mut self, link: (usize, usize), to_voter: bool, message: Message) {
        let is_traced = self.traced.map(key_of).is_some_and(|key| match &message {
            Message::Claim { key: claimed, .. } | Message::Update { key: claimed, .. } => {
                *claimed == key
            }
            Message::StatePart { entries, .. } => entries.iter().any(|entry| entry.key == key),
            _ => false,
        });
        if is_traced {
            self.trace(None, || {
                format!("{link:?} to voter {to_voter}: {message:?}")
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
        // One message in fifty is slow and delays those behind it on the link.
        let delay = if self.rng.random_bool(0.02) {
            self.rng.random_range(10 * MS..300 * MS)
        } else {
            self.rng.random_range(200..2 * MS)
        };
        let event = Event::Deliver {
            link,
            epoch,
            to_voter,
            message,
        };
        self.time.send((link, to_voter), delay, event);
    }

    pub(super) fn perform(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(Peer::Voter(voter), message) => {
                    self.send((at, voter), true, message);
                }
                Output::Send(Peer::Requester(requester), message) => {
                    self.send((requester as usize, at), false, message);
                }
                Output::Store {
                    key,
                    replica,
                    after_durable,
                } => {
                    let gateway = &mut self.gateways[at];
                    gateway.unflushed.push((key, replica, after_durable));
                    if !std::mem::replace(&mut gateway.is_flushing, true) {
                        let start = gateway.start;
                        let duration = self.rng.random_range(300..4 * MS);
                        self.at(duration, Event::Flush { voter: at, start });
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
                Output::Verdict(number, verdict) => self.on_verdict(at, number, verdict),
                Output::EngineDrained(_) | Output::Hints { .. } => {}
                Output::BecameVoter => {
                    self.trace(None, || format!("{at} votes"));
                    let voter = &mut self.gateways[at];
                    voter.has_voted = true;
                    let took =
                        self.time.now - voter.catch_up_began.replace(0).unwrap_or(self.time.now);
                    self.figures.longest_catch_up_ms =
                        self.figures.longest_catch_up_ms.max(took / MS);
                    let requester_links: Vec<_> = self
                        .links
                        .keys()
                        .filter(|(_, voter)| *voter == at)
                        .copied()
                        .collect();
                    for link in requester_links.into_iter() {
                        self.send(link, false, Message::VoterStatus { is_voting: true });
                    }
                }
            }
        }
    }

    /// Makes the unflushed writes of a gateway durable and performs the outputs that waited for
    /// them.
    pub(super) fn flush(&mut self, voter: usize, start: u64) {
        let gateway = &mut self.gateways[voter];
        if gateway.start != start || !gateway.is_up {
            return;
        }
        if gateway.paused_until > self.time.now {
            let wait = gateway.paused_until - self.time.now;
            return self.at(wait, Event::Flush { voter, start });
        }
        gateway.is_flushing = false;
        let mut outputs = Vec::new();
        for (key, replica, then) in std::mem::take(&mut gateway.unflushed) {
            match replica {
                Some(replica) => _ = gateway.disk.insert(key, replica),
                None => _ = gateway.disk.remove(&key),
            }
            outputs.extend(then);
        }
        self.figures.most_held = self.figures.most_held.max(gateway.disk.len() as u64);
        self.perform(voter, outputs);
    }
}
