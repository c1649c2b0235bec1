//! Starting, running and answering queries.

use super::*;

impl Engine {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn start_query(&self, connection: u64, id: String, fields: &str, statement: &[u8]) {
        use rand::Rng;
        let field = |name: &str| {
            fields
                .split(',')
                .find_map(|pair| {
                    pair.split_once('=')
                        .filter(|(field_name, _)| *field_name == name)
                })
                .map(|(_, v)| v)
        };
        let statement_hint = |name: &str| statement_hint(&String::from_utf8_lossy(statement), name);
        let mut state = self.state.borrow_mut();
        let is_busy =
            !has_passed(state.faults.busy_until) || state.queries.len() >= self.spec.sessions;
        *self
            .ledger
            .borrow_mut()
            .queries_started
            .entry(self.spec.name.clone())
            .or_default() += !is_busy as u64;
        if is_busy {
            return state.send_answer(connection, &id, "BUSY", &state.report(), "");
        }
        let class = self
            .classes
            .iter()
            .find(|class| Some(class.name.as_str()) == field("profile"));
        let key = field("replay").unwrap_or(&id).to_string();
        let effect = match class.map(|class| (class, class.effect)) {
            Some((class, "keyed")) => {
                let group = match class.scope {
                    Scope::All => Group::All,
                    Scope::Zone => Group::Zone(self.spec.zone.clone()),
                    Scope::Cell => Group::Cell(self.spec.cell),
                };
                Some(Effect::Keyed(key.clone(), group, class.window))
            }
            Some((_, "unsafe")) => Some(Effect::Once(id.clone())),
            _ => None,
        };
        let (work, memory_mb) = (
            statement_hint("work").unwrap_or(50.0),
            statement_hint("ram").unwrap_or(32.0),
        );
        let granted = field("heap")
            .and_then(|heap| heap.parse().ok())
            .filter(|heap: &f64| *heap > 0.0);
        let does_spill = granted.is_some_and(|granted| granted < memory_mb);
        let query = Query {
            work: work / 1e3 * if does_spill { SPILL_FACTOR } else { 1.0 },
            threads: statement_hint("threads").unwrap_or(1.0),
            memory_mb: granted.unwrap_or(memory_mb),
            rank: field("order")
                .and_then(|rank| rank.parse().ok())
                .unwrap_or(1),
        };
        let error_share = if has_passed(state.faults.errors_until) {
            0.0
        } else {
            state.faults.error_share
        };
        let fails = state.rng.random::<f64>() < error_share;
        state.last_number += 1;
        let number = state.last_number;
        let rows = statement_hint("rows").unwrap_or(4.0) as u64;
        state.cores.advance(self.now());
        state.cores.add(number, query);
        self.ledger
            .borrow_mut()
            .record_event(|| Event::QueryStarted {
                engine: self.name.clone(),
                id: u64::from_str_radix(&id, 16).unwrap_or_default(),
                class: field("profile").unwrap_or_default().into(),
                key: key.as_str().into(),
                work: work / 1e3,
            });
        state.queries.insert(
            number,
            ActiveQuery {
                connection,
                id,
                began: Instant::now(),
                effect,
                work,
                memory_mb,
                rows,
                fails,
            },
        );
    }

    /// Runs the queries and answers each one that completes.
    pub(super) async fn run_queries(self: Rc<Self>) {
        loop {
            let stalled_until = self.state.borrow().faults.stalled_until;
            if !has_passed(stalled_until) {
                sleep_until(stalled_until.unwrap_or_else(Instant::now)).await;
                continue;
            }
            let next = {
                let mut state = self.state.borrow_mut();
                for number in state.cores.advance(self.now()) {
                    if let Some(query) = state.queries.remove(&number) {
                        self.end_query(&mut state, query);
                    }
                }
                state.cores.next()
            };
            let until = next.map(|next| self.began + Duration::from_secs_f64(next));
            let one_hour_from_now = Instant::now() + Duration::from_secs(3600);
            tokio::select! {
                () = sleep_until(until.unwrap_or(one_hour_from_now)) => {}
                () = self.queries_changed.notified() => {}
            }
        }
    }

    pub(super) fn end_query(&self, state: &mut State, query: ActiveQuery) {
        if query.fails {
            self.record_query_ended(&query, false);
            return state.send_answer(query.connection, &query.id, "ERR", &state.report(), "");
        }
        if let Some(effect) = &query.effect {
            let (key, is_new) = match effect {
                Effect::Keyed(key, group, window) => (
                    key,
                    self.key_memory
                        .is_new(group.clone(), key, *window, query.began),
                ),
                Effect::Once(id) => (id, true),
            };
            let (engine, id) = (
                self.name.clone(),
                u64::from_str_radix(&query.id, 16).unwrap_or_default(),
            );
            let mut ledger = self.ledger.borrow_mut();
            if is_new {
                ledger.record_effect(key, &self.spec.name);
                ledger.record_event(|| Event::Effect {
                    engine,
                    id,
                    key: key.as_str().into(),
                });
            } else {
                ledger.record_event(|| Event::RepeatDropped {
                    engine,
                    id,
                    key: key.as_str().into(),
                });
            }
        }
        self.record_query_ended(&query, true);
        let pages = pages(&query.id, query.rows);
        let bill = format!("ticks={:.1},footprint={:.1}", query.work, query.memory_mb);
        let fields = format!("count={},{bill},{}", pages.len(), state.report());
        state.send_answer(query.connection, &query.id, "OK", &fields, &pages[0]);
        if pages.len() > 1 {
            state.results.insert((query.connection, query.id), pages);
        }
    }

    pub(super) async fn send_notes(self: Rc<Self>) {
        loop {
            sleep(NOTE_PERIOD).await;
            self.wait_while_silent().await;
            let state = self.state.borrow();
            for (number, query) in &state.queries {
                let is_waiting = state.cores.is_waiting(*number);
                let fields = if is_waiting {
                    "remark=held,reading=1"
                } else {
                    "remark=share,reading=0.5"
                };
                state.send_answer(query.connection, &query.id, "NOTE", fields, "");
            }
        }
    }
}
