//! What the record, the store and the log are told.

use super::*;

impl Gateway {
    /// What is known, at the beginning of a segment of the record.
    pub(super) fn tell_state(&mut self) {
        let now = self.clock.now();
        if !self.tap.wants_state(now) {
            return;
        }
        let engines = self.last_listed.values().cloned().map(Host::Engine);
        let connections = self
            .clients
            .addresses()
            .map(|(key, address)| Host::Connected {
                connection: key.number(),
                address,
            });
        let open = self.requests.open().map(|(key, request)| {
            let out = request
                .attempts
                .iter()
                .rev()
                .find(|attempt| attempt.conn.is_some());
            Host::Open(OpenRequest {
                offer: offer(key, request),
                class: request.class,
                tenant: request.tenant,
                arrived_at: request.taken_at,
                deadline: request.deadline,
                attempts: request.attempts.len() as u64,
                out: out.map(|attempt| (attempt.engine, attempt.sent_at)),
            })
        });
        let link = Host::Link {
            up: self.watch.is_heard(),
        };
        let fleet = self
            .keeping
            .iter()
            .flat_map(|keeping| keeping.fleet_state())
            .map(Host::Fleet);
        self.tap.state(
            now,
            engines
                .chain(connections)
                .chain(open)
                .chain([link])
                .chain(fleet),
        );
    }

    /// Connections of clients that have come and gone.
    pub(super) fn tell_changes(&mut self) {
        let now = self.clock.now();
        for (key, change) in self.clients.changes.drain(..) {
            let connection = key.number();
            let host = match change {
                clients::Change::Came(address) => Host::Connected {
                    connection,
                    address,
                },
                clients::Change::Ends(why) => Host::Ending { connection, why },
                clients::Change::Gone => Host::Disconnected { connection },
            };
            self.tap.host(now, host);
        }
    }

    pub(super) fn tell_watch(
        &mut self,
        now: Micros,
        (was_heard, had): (bool, u64),
        items: &[Item],
    ) {
        if self.watch.is_heard() != was_heard {
            self.tap.host(now, Host::Link { up: !was_heard });
        }
        if had != self.counters.list_events {
            for item in items.iter() {
                self.tap.host(now, Host::ListEvent { number: item.no });
            }
        }
    }

    /// A request that was taken has had its end.
    pub(super) fn tell_end(&mut self, key: Key, how: AnswerKind, late: bool) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (class, tenant) = (request.class, request.tenant);
        self.tap.host(
            now,
            Host::Answered {
                request: key.number(),
                class,
                tenant,
                how,
                late,
            },
        );
    }

    pub(super) fn tell_untaken(&mut self, how: RejectReason, of: Option<(usize, usize)>) {
        let (class, tenant) = (of.map(|of| of.0), of.map(|of| of.1));
        self.tap
            .host(self.clock.now(), Host::NotTaken { how, class, tenant });
    }

    /// The last word of the record, the store and of the log.
    pub fn end(&mut self) {
        if let Some(keeping) = &mut self.keeping {
            keeping.save_checkpoint(self.clock.now(), &self.module.learned_state());
        }
        self.tell_changes();
        let counters = self
            .counters
            .pairs()
            .map(|(name, value)| (name.to_string(), value))
            .collect();
        self.tap.host(self.clock.now(), Host::Ended { counters });
        self.report();
    }

    /// What was counted, and how much each table holds.
    pub fn report(&self) {
        let tables = self
            .tables()
            .into_iter()
            .map(|(name, size)| format!("{name}={size}"));
        let (counters, tables) = (&self.counters, tables.collect::<Vec<_>>());
        let spool = self
            .spooling
            .as_ref()
            .map(|spooling| format!("; {}", crate::counter_text::spool(&spooling.counted)));
        let kept = self
            .keeping
            .as_ref()
            .map(|keeping| crate::counter_text::durability(keeping));
        let more = [spool, kept].into_iter().flatten().collect::<String>();
        tracing::info!("counters: {counters}; tables {}{more}", tables.join(" "));
    }

    /// All that may grow, with its size: none of these may go on growing through a long day.
    pub(super) fn tables(&self) -> Vec<(&'static str, usize)> {
        let (engines, conns) = self.engines.sizes();
        let (requests, ids) = self.requests.sizes();
        let mut tables = vec![
            ("clients", self.clients.len()),
            ("requests", requests),
            ("ids", ids),
            ("engines", engines),
            ("engine_conns", conns),
            ("engine_names", self.engine_names.len()),
            ("deadlines", self.due.len()),
        ];
        tables.extend(self.spooling.iter().flat_map(|spooling| spooling.sizes()));
        tables.extend(self.keeping.iter().flat_map(|keeping| keeping.sizes()));
        tables
    }
}
