//! What goes to engines: attempts, probes, new priorities, wishes for pages; the connection that
//! carries them.

use super::*;

impl Engines {
    /// Sends an attempt; gives the connection that carries it, or what became of the attempt.
    pub fn send(
        &mut self,
        now: Micros,
        engine: EngineId,
        (request, attempt, spooled): (Key, usize, bool),
        serve: &Serve<'_>,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<Key, Outcome> {
        let streams = self.limits.streams;
        let takes = |conn: &Conn| {
            let free =
                conn.open.len() + conn.probes.len() < streams && conn.ended.len() < MAX_ENDED;
            free && !conn.open.contains_key(serve.id) && !conn.ended.contains(serve.id)
        };
        let key = self.connection_to(now, engine, takes, due, counters)?;
        let conn = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        conn.is_used(due);
        let begin = conn.connection.end_of_output();
        serve.write(conn.connection.output.tail());
        let sent = (begin, conn.connection.end_of_output());
        conn.open.insert(
            serve.id.into(),
            Open {
                request,
                attempt,
                stage: Stage::Running,
                spooled,
                sent_at: now,
                sent,
                later_rank: None,
            },
        );
        self.unflushed.push(key);
        Ok(key)
    }

    /// The first connection that takes more, else a new one. What is short on this side
    /// (descriptors, memory) says nothing of the engine, so that ends as never sent.
    fn connection_to(
        &mut self,
        now: Micros,
        engine: EngineId,
        takes: impl Fn(&Conn) -> bool,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<Key, Outcome> {
        let known = self.engines.get(&engine).ok_or(Outcome::NoConnection)?;
        let usable = |key: &&Key| {
            self.table
                .get(**key)
                .is_some_and(|conn| !conn.retired && takes(conn))
        };
        if let Some(&key) = known.conns.iter().find(usable) {
            return Ok(key);
        }
        let address = known.address.ok_or(Outcome::NoConnection)?;
        counters.dials += 1;
        if self.table.len() >= self.limits.connections && !self.close_idlest(due) {
            counters.dials_short += 1;
            return Err(Outcome::NotSent);
        }
        let key = self.table.next_key();
        let connection =
            Connection::dial(&self.events, address, Wake::Engine(key)).map_err(|e| {
                tracing::debug!("no connection to engine {engine}: {e}");
                let (count, outcome) = if is_shortage(&e) {
                    (&mut counters.dials_short, Outcome::NotSent)
                } else {
                    (&mut counters.dials_failed, Outcome::NoConnection)
                };
                *count += 1;
                outcome
            })?;
        self.engines
            .entry(engine)
            .and_modify(|known| known.conns.push(key));
        Ok(self.table.insert(Conn {
            engine,
            connection,
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
            probes: BTreeMap::new(),
            retired: false,
            opened_at: now,
            heard_at: now,
            deadline: Some(due.set(now + self.limits.dial_timeout, Due::Conn(key))),
            rest: None,
        }))
    }

    /// Room for another connection, at the cost of one that carries nothing.
    fn close_idlest(&mut self, due: &mut Deadlines) -> bool {
        let idle = |conn: &Conn| {
            conn.open.is_empty() && conn.probes.is_empty() && conn.connection.was_up()
        };
        let conns = self.table.iter().filter(|(_, conn)| idle(conn));
        let Some((key, _)) = conns.min_by_key(|(_, conn)| conn.heard_at) else {
            return false;
        };
        self.close(key, Outcome::NotSent, due, &mut Vec::new());
        true
    }

    /// Asks an engine for its load, or tells what became of that.
    pub fn probe(
        &mut self,
        now: Micros,
        engine: EngineId,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<(), Outcome> {
        let streams = self.limits.streams;
        let takes = |conn: &Conn| conn.open.len() + conn.probes.len() < streams;
        let key = self.connection_to(now, engine, takes, due, counters)?;
        let conn = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        self.probes_sent += 1;
        counters.probes += 1;
        let tag = format!("probe-{}", self.probes_sent);
        line::write_gauges(conn.connection.output.tail(), &tag);
        // An answer may take as long as a connection may: neither waits for the engine's work.
        let deadline = due.set(
            now + self.limits.dial_timeout,
            Due::Probe(key, self.probes_sent),
        );
        conn.probes.insert(tag.into(), deadline);
        conn.is_used(due);
        self.unflushed.push(key);
        Ok(())
    }

    pub fn probe_late(&mut self, key: Key, number: u64, heard: &mut Vec<Heard>) {
        let Some(conn) = self.table.get_mut(key) else {
            return;
        };
        if conn
            .probes
            .remove(format!("probe-{number}").as_str())
            .is_some()
        {
            heard.push(Heard::Probed {
                engine: conn.engine,
                outcome: Outcome::TimedOut,
                report: None,
            });
        }
    }

    /// A new priority for what is out. False: it is over there, its pages are being read.
    pub fn weigh(&mut self, key: Key, id: &str, rank: u8) -> bool {
        let Some(conn) = self.table.get_mut(key) else {
            return false;
        };
        let Some(open) = conn.open.get_mut(id) else {
            return false;
        };
        let running = matches!(open.stage, Stage::Running);
        if running && conn.connection.written < open.sent.1 {
            open.later_rank = Some(rank);
        } else if running {
            line::write_weigh(conn.connection.output.tail(), id, rank);
        }
        self.unflushed.push(key);
        running
    }

    /// Asks for more pages of a result for the spool, as many as so many bytes hold.
    pub fn read_on(&mut self, key: Key, id: &str, ahead: u64) {
        let Some(conn) = self.table.get_mut(key) else {
            return;
        };
        let Some(Open {
            stage:
                Stage::ResultSpoolDriver {
                    count,
                    next,
                    asked,
                    bytes,
                    ..
                },
            ..
        }) = conn.open.get_mut(id)
        else {
            return;
        };
        let page = (*bytes / (*next).max(1)).max(1) as u64;
        let most = (ahead / page).clamp(0, MAX_ASKED as u64) as usize;
        let before = *asked;
        while *asked < *count && *asked - *next < most {
            line::write_read(conn.connection.output.tail(), id, *asked);
            *asked += 1;
        }
        if *asked > before {
            self.unflushed.push(key);
        }
    }
}
