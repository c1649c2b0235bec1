//! Queries: begun, run side by side, and ended.

use super::*;

impl Engine {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn begin(&self, connection: u64, id: String, fields: &str, statement: &[u8]) {
        use rand::Rng;
        let field = |name: &str| {
            fields
                .split(',')
                .find_map(|pair| pair.split_once('=').filter(|(own, _)| *own == name))
                .map(|(_, v)| v)
        };
        let told = |name: &str| told(&String::from_utf8_lossy(statement), name);
        let mut state = self.state.borrow_mut();
        let busy = !passed(state.faults.busy_until) || state.jobs.len() >= self.spec.sessions;
        *self
            .ledger
            .borrow_mut()
            .queries_started
            .entry(self.spec.name.clone())
            .or_default() += !busy as u64;
        if busy {
            return state.answer(connection, &id, "BUSY", &state.report(), "");
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
        let (work, memory_mb) = (told("work").unwrap_or(50.0), told("ram").unwrap_or(32.0));
        let granted = field("heap")
            .and_then(|heap| heap.parse().ok())
            .filter(|heap: &f64| *heap > 0.0);
        let spills = granted.is_some_and(|granted| granted < memory_mb);
        let query = Query {
            work: work / 1e3 * if spills { SPILLS } else { 1.0 },
            threads: told("threads").unwrap_or(1.0),
            memory_mb: granted.unwrap_or(memory_mb),
            rank: field("order")
                .and_then(|rank| rank.parse().ok())
                .unwrap_or(1),
        };
        let errors = if passed(state.faults.errors_until) {
            0.0
        } else {
            state.faults.errors
        };
        let error = state.rng.random::<f64>() < errors;
        state.next += 1;
        let number = state.next;
        let rows = told("rows").unwrap_or(4.0) as u64;
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
        state.jobs.insert(
            number,
            Job {
                connection,
                id,
                began: Instant::now(),
                effect,
                work,
                memory_mb,
                rows,
                error,
            },
        );
    }

    /// Ends queries when they are done.
    pub(super) async fn work(self: Rc<Self>) {
        loop {
            let stalled = self.state.borrow().faults.stalled;
            if !passed(stalled) {
                sleep_until(stalled.unwrap_or_else(Instant::now)).await;
                continue;
            }
            let next = {
                let mut state = self.state.borrow_mut();
                for number in state.cores.advance(self.now()) {
                    if let Some(job) = state.jobs.remove(&number) {
                        self.end(&mut state, job);
                    }
                }
                state.cores.next()
            };
            let until = next.map(|next| self.began + Duration::from_secs_f64(next));
            let hour = Instant::now() + Duration::from_secs(3600);
            tokio::select! {
                () = sleep_until(until.unwrap_or(hour)) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    pub(super) fn end(&self, state: &mut State, job: Job) {
        if job.error {
            self.left(&job, false);
            return state.answer(job.connection, &job.id, "ERR", &state.report(), "");
        }
        if let Some(effect) = &job.effect {
            let (key, new) = match effect {
                Effect::Keyed(key, group, window) => (
                    key,
                    self.remembered
                        .is_new(group.clone(), key, *window, job.began),
                ),
                Effect::Once(id) => (id, true),
            };
            let (engine, id) = (
                self.name.clone(),
                u64::from_str_radix(&job.id, 16).unwrap_or_default(),
            );
            let mut ledger = self.ledger.borrow_mut();
            if new {
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
        self.left(&job, true);
        let pages = pages(&job.id, job.rows);
        let bill = format!("ticks={:.1},footprint={:.1}", job.work, job.memory_mb);
        let fields = format!("count={},{bill},{}", pages.len(), state.report());
        state.answer(job.connection, &job.id, "OK", &fields, &pages[0]);
        if pages.len() > 1 {
            state.results.insert((job.connection, job.id), pages);
        }
    }

    pub(super) async fn note(self: Rc<Self>) {
        loop {
            sleep(NOTE_PERIOD).await;
            self.unless_silent().await;
            let state = self.state.borrow();
            for (number, job) in &state.jobs {
                let held = state.cores.is_waiting(*number);
                let fields = if held {
                    "remark=held,reading=1"
                } else {
                    "remark=share,reading=0.5"
                };
                state.answer(job.connection, &job.id, "NOTE", fields, "");
            }
        }
    }

    // ---- Faults ----
}
