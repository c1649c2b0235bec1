//! Spooled results: pages that come, who takes them, who comes again.

use super::*;

impl Gateway {
    /// The client of a request whose result is spooled has gone: the run goes on for when it comes
    /// again.
    pub(super) fn left_running(&mut self, key: Key) -> bool {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.spooled) else {
            return false;
        };
        request.answered = true;
        let who = Waiter {
            client: request.client,
            call: request.call,
            counts: None,
        };
        self.spooling
            .iter_mut()
            .for_each(|spooling| spooling.leaves(key.number(), &who));
        self.tell_end(key, AnswerKind::Lost, false);
        true
    }

    /// The next page of a result has come. One that can't be kept fails at once.
    pub(super) fn page(&mut self, key: Key, rows: Vec<u8>) {
        let now = self.clock.now();
        let Some(spooling) = &mut self.spooling else {
            return;
        };
        match spooling.page(key.number(), rows, now) {
            Ok(()) => _ = self.coming.insert(key),
            Err(why) => {
                self.events.push_back(Event::ClientLeft {
                    request: key.number(),
                });
                self.fail(key, &[("why", why)]);
            }
        }
    }

    /// A result is whole: all who wait for it get it.
    pub(super) fn spooled(&mut self, key: Key) {
        let now = self.clock.now();
        self.coming.remove(&key);
        let Some(spooling) = &mut self.spooling else {
            return;
        };
        let told = spooling.whole(key.number(), now);
        if let Some(request) = self
            .requests
            .get_mut(key)
            .filter(|request| !request.answered)
        {
            request.answered = true;
            let late = now > request.deadline;
            self.counters.late += late as u64;
            self.counters.served += 1;
            self.tell_end(key, AnswerKind::Served, late);
        }
        for word in told.into_iter() {
            self.tell(word);
        }
    }

    /// A run ended without a result: who came again for it is told the same.
    pub(super) fn spool_over(&mut self, key: Key, refused: bool) {
        self.coming.remove(&key);
        let now = self.clock.now();
        let own = self.requests.get(key).map(|request| Waiter {
            client: request.client,
            call: request.call,
            counts: None,
        });
        let Some(spooling) = self
            .spooling
            .as_mut()
            .filter(|spooling| spooling.is_spooled(key.number()))
        else {
            return;
        };
        let waiting = spooling.over(key.number(), refused, now);
        let word = if refused { "TryLater" } else { "Failed" };
        for waiter in waiting.into_iter().filter(|waiter| Some(*waiter) != own) {
            self.tell(Word::Error(
                waiter,
                word,
                "the run that it asked for ended so".into(),
            ));
        }
    }

    pub(super) fn asked(&mut self, client: Key, call: u32, what: clients::Asked) {
        let now = self.clock.now();
        let who = Waiter {
            client,
            call,
            counts: None,
        };
        let Some(spooling) = &mut self.spooling else {
            return;
        };
        let told = match what {
            clients::Asked::Page { token, id } => spooling.by_token(&token, &id, who, now),
            clients::Asked::Again { id } => spooling.again(&id, who, now),
            clients::Asked::Release { token, id } => {
                spooling.release(&token, &id, now);
                self.clients.answer(client, call, |out| {
                    write_part(out, call, std::iter::empty(), &[]);
                });
                None
            }
        };
        for word in told.into_iter() {
            self.tell(word);
        }
    }

    pub(super) fn tell(&mut self, word: Word) {
        // Whose connection has ended comes again, or doesn't.
        let (told, counts, how) = match word {
            Word::Part(part) => {
                let Waiter {
                    client,
                    call,
                    counts,
                } = part.waiter;
                let fields = [
                    ("token", part.token.as_str()),
                    ("more", if part.more { "1" } else { "0" }),
                ];
                let rows = part.rows.iter().map(Vec::as_slice);
                let told = self
                    .clients
                    .answer(client, call, |out| write_part(out, call, rows, &fields));
                (told, counts, AnswerKind::Served)
            }
            Word::Error(
                Waiter {
                    client,
                    call,
                    counts,
                },
                word,
                why,
            ) => {
                let told = self.clients.answer(client, call, |out| {
                    write_error(out, call, word, &[("why", &why)]);
                });
                (
                    told,
                    counts,
                    if word == "TryLater" {
                        AnswerKind::Refused
                    } else {
                        AnswerKind::Failed
                    },
                )
            }
        };
        let Some((class, tenant)) = counts else {
            return;
        };
        let how = if told { how } else { AnswerKind::Lost };
        *match how {
            AnswerKind::Served => &mut self.counters.served,
            AnswerKind::Refused => &mut self.counters.refused,
            AnswerKind::Failed => &mut self.counters.failed,
            _ => &mut self.counters.lost,
        } += 1;
        self.tap.host(
            self.clock.now(),
            Host::Answered {
                request: 0,
                class,
                tenant,
                how,
                late: false,
            },
        );
    }

    /// What waits in the spool, and pages of results that there is room for now.
    pub(super) fn spool_work(&mut self) {
        let now = self.clock.now();
        let Some(spooling) = &mut self.spooling else {
            return;
        };
        let told = spooling.work(now);
        for key in &self.coming {
            let Some(request) = self.requests.get(*key) else {
                continue;
            };
            let conns = request.attempts.iter().filter_map(|attempt| attempt.conn);
            let ahead = spooling.ahead(key.number());
            conns.for_each(|conn| self.engines.read_on(conn, &request.id, ahead));
        }
        for word in told.into_iter() {
            self.tell(word);
        }
        self.flush();
    }
}
