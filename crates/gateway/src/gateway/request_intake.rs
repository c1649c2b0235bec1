//! Calls of clients: taken into a slot, or answered at once.

use super::*;

impl Gateway {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn called(&mut self, client: Key, id: u32, call: Result<Call, &'static str>) {
        let now = self.clock.now();
        self.counters.taken += 1;
        let call = match (self.clients.takes(client), call) {
            (Some(true), Ok(call)) => call,
            (Some(true), Err(field)) => return self.invalid(client, id, field),
            (Some(false), _) => return self.invalid(client, id, "one behind it"),
            (None, _) => {
                self.counters.lost += 1;
                self.tell_untaken(RejectReason::Gone, None);
                return;
            }
        };
        let of = (call.class, call.tenant);
        let spooled = call.paged && self.spooling.is_some();
        let address = self.clients.address_of(client);
        let name = call.key.clone().filter(|_| spooled);
        if let Some((name, spooling)) = name
            .zip(self.spooling.as_mut())
            .filter(|(name, own)| own.knows(name))
        {
            // The same key again: the answer of its one run is this one's too, and no room and no
            // attempt is taken.
            let who = Waiter {
                client,
                call: id,
                counts: Some(of),
            };
            let told = spooling.again(&name, who, now);
            self.tap.host(
                now,
                Host::Attached {
                    class: of.0,
                    tenant: of.1,
                },
            );
            for word in told.into_iter() {
                self.tell(word);
            }
            return;
        }
        if let Some(spooling) = self.spooling.as_mut().filter(|_| spooled) {
            if let Err((wait, why)) = spooling.admit(of.0, of.1, address, now) {
                self.counters.refused += 1;
                self.counters.no_room += 1;
                self.tell_untaken(RejectReason::NoRoom, Some(of));
                let wait = wait.map(|wait| (wait / 1000).to_string());
                let mut fields = vec![("why", why)];
                fields.extend(
                    wait.as_deref()
                        .filter(|_| self.may_advise)
                        .map(|wait| ("w", wait)),
                );
                self.clients
                    .answer(client, id, |out| write_error(out, id, "TryLater", &fields));
                return;
            }
        }
        let earlier = self.keeping.as_mut().map_or(Ok(Vec::new()), |keeping| {
            keeping.admit_request(now, call.class, call.key.as_deref(), call.marked)
        });
        let earlier = match earlier {
            Ok(earlier) => earlier,
            Err(why) => return self.no_store(client, id, of, why),
        };
        let deadline = now + call.wait;
        let arrived = Request {
            id: 0,
            class: call.class,
            tenant: call.tenant,
            // The module keeps the order of classes that have one by it; one that comes without is
            // its own.
            key: call
                .order_key
                .as_deref()
                .or(call.key.as_deref())
                .map(str::to_string),
            deadline: self
                .shutdown
                .last_answer()
                .map_or(deadline, |stop| deadline.min(stop)),
            work: call.work,
            memory_mb: call.memory_mb,
            group: call.group.unwrap_or(0),
            prior_attempts: earlier.clone(),
        };
        let request = match self.requests.insert(client, id, now, deadline, call) {
            Ok(request) => request,
            Err(NotTaken::Again) => return self.invalid(client, id, "i"),
            Err(NotTaken::NoRoom) => {
                self.counters.refused += 1;
                self.counters.no_room += 1;
                self.tell_untaken(RejectReason::NoRoom, Some(of));
                self.clients
                    .answer(client, id, |out| write_error(out, id, "TryLater", &[]));
                return;
            }
        };
        self.clients.opened(client, id, request);
        let mut own = self.requests.get_mut(request);
        for own in own.iter_mut() {
            own.earlier.clone_from(&earlier);
        }
        if let Some((spooling, own)) = self.spooling.as_mut().filter(|_| spooled).zip(own) {
            own.spooled = true;
            let who = Waiter {
                client,
                call: id,
                counts: None,
            };
            let name = own.key.as_ref().unwrap_or(&own.id);
            spooling.begin(request.number(), name, who, (of.0, of.1, address), now);
        }
        self.span(request).in_scope(|| tracing::debug!("taken"));
        if self.tap.is_on() {
            let offered = self
                .requests
                .get_mut(request)
                .map(|own| Host::Offered(offer(request, own)));
            for offered in offered.into_iter() {
                self.tap.host(now, offered);
            }
        }
        self.events.push_back(Event::Arrived(Request {
            id: request.number(),
            ..arrived
        }));
    }

    /// A keyed request is not taken, since its intent can't be kept now.
    fn no_store(&mut self, client: Key, id: u32, of: (usize, usize), why: RejectReason) {
        self.counters.refused += 1;
        self.counters.no_room += 1;
        self.tell_untaken(why, Some(of));
        let wait = (eideryard_intent_log::state::RETRY_AFTER / 1000).to_string();
        let mut fields = vec![("why", why.name())];
        fields.extend(Some(("w", wait.as_str())).filter(|_| self.may_advise));
        self.clients
            .answer(client, id, |out| write_error(out, id, "TryLater", &fields));
    }

    /// A request that can't be used gets an error that names the field.
    fn invalid(&mut self, client: Key, id: u32, field: &str) {
        tracing::debug!("a request can't be used: {field}");
        self.counters.invalid += 1;
        self.tell_untaken(RejectReason::Invalid, None);
        self.clients.answer(client, id, |out| {
            write_error(out, id, "Invalid", &[("field", field)]);
        });
    }

    /// Nobody waits for this any more.
    pub(super) fn left(&mut self, key: Key, how: AnswerKind) {
        self.spool_over(key, true);
        self.tell_end(key, how, false);
        if let Some(request) = self.requests.get_mut(key) {
            request.answered = true;
            self.events.push_back(Event::ClientLeft {
                request: key.number(),
            });
            self.requests.give_back(key, &mut self.due);
        }
    }
}
