//! Joins the tasks that have one owner to the links and the store. One task is there: probes of an
//! engine, whose report goes to all. Off without `task` in the operator's file. Decides nothing:
//! `eideryard_leases` does.

use eideryard::interface::{EngineId, LoadReport, Micros};
use eideryard_event_log::FleetEvent;
use eideryard_leases::probe::{task, Reports};
use eideryard_leases::{Config, Core, FencingToken, Message, Output, Task};
use eideryard_replication::Origin;
use eideryard_store::worker::Worker;
use eideryard_store::Batch;
use serde::{Deserialize, Serialize};

/// The store's keys of tokens: a prefix, then the task.
pub const PREFIX: &[u8] = b"t";
/// An engine's report as its owner sends it: a number that only grows under one token, since each
/// keeper passes it on and one copy counts, and the age.
#[derive(Serialize, Deserialize)]
struct Work {
    number: u64,
    age: Micros,
    report: [Option<f64>; 5],
}

/// What a gateway is to do.
pub enum Todo {
    /// To a keeper, one who made a link here, or all of these but one.
    Keeper(usize, Message),
    Asker(u64, Message),
    Askers(Option<u64>, Message),
    /// Once a ticket of the store is durable.
    Then(u64, Task, FencingToken, Vec<Output>),
}

pub struct LeaseDriver {
    core: Core,
    numbers: u64,
    reports: Reports<LoadReport>,
    /// Reports that the module is to hear of.
    fresh: Vec<(EngineId, LoadReport)>,
    words: Vec<FleetEvent>,
    /// Probes that a fresh report stood in for.
    pub spared: u64,
}

/// Engines whose probing is owned here, with the term; of each engine the greatest token that is
/// known.
#[derive(Default)]
pub struct Terms {
    pub owned: Vec<(u32, u64)>,
    pub known: Vec<(u32, u64, u64)>,
}

fn store_key(task: Task) -> Vec<u8> {
    let mut key = PREFIX.to_vec();
    key.push(task.kind);
    key.extend_from_slice(&task.number.to_be_bytes());
    key
}

/// A task's token as the store holds it.
pub fn stored(key: &[u8], value: &[u8]) -> Option<(Task, FencingToken)> {
    let key = key.strip_prefix(PREFIX)?;
    let (kind, number) = key.split_first()?;
    let task = Task {
        kind: *kind,
        number: u32::from_be_bytes(number.try_into().ok()?),
    };
    postcard::from_bytes(value).ok().map(|token| (task, token))
}

impl LeaseDriver {
    pub fn start(
        keepers: usize,
        own: Option<usize>,
        origin: Origin,
        tokens: Vec<(Task, FencingToken)>,
        now: Micros,
    ) -> Self {
        // Another one for each life, so that no two lives share a token.
        let owner = origin.identity ^ origin.start.rotate_left(40);
        let core = Core::start(
            Config {
                keepers,
                own,
                owner,
            },
            tokens.into_iter(),
            now,
        );
        LeaseDriver {
            core,
            numbers: 0,
            reports: Reports::default(),
            fresh: Vec::new(),
            words: Vec::new(),
            spared: 0,
        }
    }

    fn perform(&mut self, now: Micros, outputs: Vec<Output>, worker: &mut Worker) -> Vec<Todo> {
        let mut todo = Vec::new();
        for output in outputs {
            match output {
                Output::Keeper(keeper, message) => todo.push(Todo::Keeper(keeper, message)),
                Output::Asker(link, message) => todo.push(Todo::Asker(link, message)),
                Output::Askers { but, message } => todo.push(Todo::Askers(but, message)),
                Output::Store { task, token, then } => {
                    let mut batch = Batch::default();
                    batch.put(
                        store_key(task),
                        postcard::to_stdvec(&token).unwrap_or_default(),
                        0,
                    );
                    // A promise that can't be made durable is never given.
                    let ticket = worker.write(batch).into_iter();
                    todo.extend(ticket.map(|ticket| Todo::Then(ticket, task, token, then.clone())));
                }
                Output::Forget(task) => {
                    let mut batch = Batch::default();
                    batch.remove(store_key(task));
                    // What stays in the store is forgotten after the next start.
                    worker.write(batch);
                }
                Output::OwnVote { task, token } => {
                    let outputs = self.core.own_vote(now, task, token);
                    todo.extend(self.perform(now, outputs, worker));
                }
                Output::Apply { task, token, work } => self.applies(now, task, token, &work),
                Output::Fenced { task, token, .. } => self.tells(task, token, false),
                Output::Won { task, token } => self.owns(task, token, true),
                Output::Lost { task, token } => self.owns(task, token, false),
            }
        }
        todo
    }

    fn owns(&mut self, task: Task, token: FencingToken, owns: bool) {
        tracing::debug!(
            "task {} {}: term {} {owns}",
            task.kind,
            task.number,
            token.term
        );
        self.words.push(FleetEvent::LeaseChanged {
            task: task.number,
            term: token.term,
            is_held: owns,
        });
    }

    fn tells(&mut self, task: Task, FencingToken { term, owner }: FencingToken, counts: bool) {
        self.words.push(FleetEvent::WorkReceived {
            task: task.number,
            term,
            owner,
            is_accepted: counts,
        });
    }

    fn applies(&mut self, now: Micros, task: Task, token: FencingToken, work: &[u8]) {
        let Ok(Work {
            number,
            age,
            report,
        }) = postcard::from_bytes(work)
        else {
            return;
        };
        let [in_flight, waiting_for_memory, cores_busy, memory_granted, disks_busy] = report;
        let report = LoadReport {
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        };
        let Some(fresh) = self
            .reports
            .take(now, task.number, (token, number), age, report)
        else {
            return;
        };
        self.tells(task, token, true);
        self.fresh.extend(fresh.then_some((task.number, report)));
    }

    pub fn hears_asker(
        &mut self,
        now: Micros,
        from: u64,
        message: Message,
        votes: bool,
        worker: &mut Worker,
    ) -> Vec<Todo> {
        let outputs = self.core.hears_asker(now, from, message, votes);
        self.perform(now, outputs, worker)
    }

    pub fn hears_keeper(
        &mut self,
        now: Micros,
        keeper: usize,
        message: Message,
        worker: &mut Worker,
    ) -> Vec<Todo> {
        let outputs = self.core.hears_keeper(now, keeper, message);
        self.perform(now, outputs, worker)
    }

    /// A ticket is durable: what waited for it follows.
    pub fn durable(
        &mut self,
        now: Micros,
        (task, token): (Task, FencingToken),
        outputs: Vec<Output>,
        worker: &mut Worker,
    ) -> Vec<Todo> {
        self.core.durable(task, token);
        self.perform(now, outputs, worker)
    }

    pub fn work(&mut self, now: Micros, votes: bool, worker: &mut Worker) -> Vec<Todo> {
        // The host's clock is fixed to Unix time at its start.
        let outputs = self.core.work(now, now / 1000, votes);
        self.perform(now, outputs, worker)
    }

    /// The engines that there are: each is a task that this gateway may own.
    pub fn engines(&mut self, now: Micros, engines: impl Iterator<Item = EngineId>) {
        let known: std::collections::BTreeSet<EngineId> = engines.collect();
        for engine in known.iter() {
            self.core.wants(now, task(*engine));
        }
        self.core.forgets(|task| !known.contains(&task.number));
        self.reports.retain(|engine| known.contains(&engine));
    }

    /// Engines that this gateway is to probe for all.
    pub fn probes(&mut self, now: Micros) -> Vec<EngineId> {
        self.reports
            .due(now, self.core.owned(now).map(|(task, _)| task))
    }

    /// An engine has answered a probe of this gateway's: all hear of it, if it owns the probing of
    /// it.
    pub fn reported(
        &mut self,
        now: Micros,
        engine: EngineId,
        report: &LoadReport,
        worker: &mut Worker,
    ) -> Vec<Todo> {
        self.numbers += 1;
        let LoadReport {
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        } = *report;
        let report = [
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        ];
        let work = Work {
            number: self.numbers,
            age: 0,
            report,
        };
        let work = postcard::to_stdvec(&work).unwrap_or_default();
        let outputs = self.core.act(now, task(engine), work);
        let todo = self.perform(now, outputs, worker);
        // The module has heard of it already.
        self.fresh.retain(|(own, _)| *own != engine);
        todo
    }

    /// A report that stands in for a probe.
    pub fn report(&mut self, now: Micros, engine: EngineId) -> Option<LoadReport> {
        let report = self.reports.stands_in(now, engine);
        self.spared += u64::from(report.is_some());
        report
    }

    pub fn fresh(&mut self) -> Vec<(EngineId, LoadReport)> {
        std::mem::take(&mut self.fresh)
    }

    pub fn words(&mut self) -> Vec<FleetEvent> {
        std::mem::take(&mut self.words)
    }

    pub fn tokens(&self) -> Option<Message> {
        self.core.tokens()
    }

    pub fn ends(&mut self, now: Micros, worker: &mut Worker) -> Vec<Todo> {
        let outputs = self.core.ends();
        self.perform(now, outputs, worker)
    }

    pub fn due(&self, now: Micros) -> Micros {
        let probes = self
            .reports
            .next(now, self.core.owned(now).map(|(task, _)| task));
        probes
            .into_iter()
            .chain([self.core.due()])
            .min()
            .unwrap_or(now)
    }

    pub fn counted(&self) -> eideryard_leases::core::Counters {
        self.core.counted
    }

    /// Tasks that this gateway owns, and the greatest term of each that it knows.
    pub fn status(&self, now: Micros) -> Terms {
        let owned = self
            .core
            .owned(now)
            .map(|(task, token)| (task.number, token.term))
            .collect();
        let known = self
            .core
            .fences()
            .all()
            .map(|(task, token)| (task.number, token.term, token.owner));
        Terms {
            owned,
            known: known.collect(),
        }
    }
}
