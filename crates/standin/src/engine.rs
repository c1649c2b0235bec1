//! An engine on a socket: queries run side by side in [`Cores`]; faults are switched from outside.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use crate::cores::{Cores, Query};
use crate::history::{Name, What};
use crate::ledger;
use crate::place::Place;
use crate::scenario::{ClassSpec, EngineSpec, Scope};

/// Notes tell of queries this often.
const NOTE_PERIOD: Duration = Duration::from_millis(500);
/// Answers that wait on one connection; who doesn't read more loses it.
const MOST_ANSWERS: usize = 4096;
const MOST_STATEMENT: usize = 1 << 20;
const PAGE: usize = 6000;
/// No query runs for longer, so what it could repeat is remembered for as long.
const LONGEST_RUN: Duration = Duration::from_secs(60);
/// A query that spills does this many times its work.
const SPILLS: f64 = 1.5;

/// The engines that know each other's keyed requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    All,
    Zone(String),
    Cell(u64),
}

/// What all engines remember of keyed writes, by the group that shares it: when they took effect. It stands
/// beside the data that was written, so no engine's end takes it away.
#[derive(Clone, Default)]
pub struct Remembered(Rc<RefCell<Keys>>);

/// By group and key: when it took effect, and how long that is remembered.
type Keys = HashMap<(Group, String), (Instant, Duration)>;

impl Remembered {
    /// Whether a write that began then is none that the group drops, as it knows of an effect whose window
    /// had not passed by then; from now on the group remembers it.
    fn is_new(&self, group: Group, key: &str, window: Duration, began: Instant) -> bool {
        let mut known = self.0.borrow_mut();
        known.retain(|_, (at, window)| at.elapsed() < *window + LONGEST_RUN);
        let place = (group, key.to_string());
        let new = known.get(&place).is_none_or(|(at, window)| *at + *window < began);
        if new {
            known.insert(place, (Instant::now(), window));
        }
        new
    }
}

/// What its effect is known by, where it has one.
enum Effect {
    /// A repeat within the window is dropped.
    Keyed(String, Group, Duration),
    Once(String),
}

struct Job {
    connection: u64,
    id: String,
    began: Instant,
    effect: Option<Effect>,
    work: f64,
    memory_mb: f64,
    rows: u64,
    error: bool,
}

#[derive(Default)]
struct Faults {
    /// Nothing is read or done before.
    stalled: Option<Instant>,
    /// Nothing is written or accepted before.
    silent: Option<Instant>,
    errors: f64,
    errors_until: Option<Instant>,
    busy_until: Option<Instant>,
}

struct State {
    cores: Cores,
    jobs: HashMap<u64, Job>,
    /// Pages of results that were served, by connection and id.
    results: HashMap<(u64, String), Vec<String>>,
    connections: BTreeMap<u64, mpsc::Sender<String>>,
    tasks: Vec<JoinHandle<()>>,
    faults: Faults,
    next: u64,
    rng: rand::rngs::StdRng,
}

pub struct Engine {
    pub spec: EngineSpec,
    pub address: SocketAddr,
    name: Name,
    place: Place,
    classes: Rc<Vec<ClassSpec>>,
    remembered: Remembered,
    ledger: ledger::Shared,
    began: Instant,
    state: RefCell<State>,
    changed: Notify,
}

fn passed(until: Option<Instant>) -> bool {
    until.is_none_or(|until| until <= Instant::now())
}

impl Engine {
    /// Binds its address and serves from now on.
    pub fn start(
        spec: EngineSpec,
        classes: Rc<Vec<ClassSpec>>,
        remembered: Remembered,
        ledger: ledger::Shared,
        seed: u64,
    ) -> io::Result<Rc<Self>> {
        let place = Place::reserve(spec.listen)?;
        let listener = place.listen()?;
        let rng = rand::SeedableRng::seed_from_u64(seed);
        let state = State {
            cores: Cores::new(spec.cores as f64, spec.memory_mb, None, 0.0),
            jobs: HashMap::new(),
            results: HashMap::new(),
            connections: BTreeMap::new(),
            tasks: Vec::new(),
            faults: Faults::default(),
            next: 0,
            rng,
        };
        let engine = Rc::new(Engine {
            address: place.address,
            name: spec.name.as_str().into(),
            place,
            spec,
            classes,
            remembered,
            ledger,
            began: Instant::now(),
            state: RefCell::new(state),
            changed: Notify::new(),
        });
        // Its process has run for long: it is warm.
        engine.note_state(Some(0));
        engine.clone().serve(listener);
        Ok(engine)
    }

    fn note_state(&self, begins: Option<u64>) {
        self.ledger.borrow_mut().happened(|| What::Engine { engine: self.name.clone(), begins });
    }

    /// A query is here no more.
    fn left(&self, job: &Job, done: bool) {
        let id = u64::from_str_radix(&job.id, 16).unwrap_or_default();
        self.ledger.borrow_mut().happened(|| What::Left { engine: self.name.clone(), id, done });
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn serve(self: Rc<Self>, listener: TcpListener) {
        let accepting = spawn_local(self.clone().accept(listener));
        let running = spawn_local(self.clone().work());
        let noting = spawn_local(self.clone().note());
        self.state.borrow_mut().tasks.extend([accepting, running, noting]);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = {
                let mut state = self.state.borrow_mut();
                state.next += 1;
                state.next
            };
            let task = spawn_local(self.clone().connection(number, stream));
            let mut state = self.state.borrow_mut();
            state.tasks.retain(|task| !task.is_finished());
            state.tasks.push(task);
        }
    }

    /// One connection until it ends, and with it what runs on it.
    async fn connection(self: Rc<Self>, number: u64, stream: TcpStream) {
        // What ends here ends with a reset, as that of a process that dies.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
        let (sender, mut answers) = mpsc::channel(MOST_ANSWERS);
        self.state.borrow_mut().connections.insert(number, sender);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let reading = async { while self.command(number, &mut read).await.is_ok() {} };
        let writing = async {
            while let Some(answer) = answers.recv().await {
                self.unless_silent().await;
                if write.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
        let mut state = self.state.borrow_mut();
        state.connections.remove(&number);
        state.results.retain(|(of, _), _| *of != number);
        let gone: Vec<u64> =
            state.jobs.iter().filter(|(_, job)| job.connection == number).map(|(at, _)| *at).collect();
        if !self.spec.finishes_orphans {
            for number in gone {
                state.jobs.remove(&number).into_iter().for_each(|job| self.left(&job, false));
                state.cores.remove(number);
            }
        }
        self.changed.notify_one();
    }

    async fn unless_silent(&self) {
        loop {
            let until = self.state.borrow().faults.silent.max(self.state.borrow().faults.stalled);
            if passed(until) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn command<R: AsyncBufReadExt + AsyncReadExt + Unpin>(
        &self,
        connection: u64,
        read: &mut R,
    ) -> io::Result<()> {
        let mut line = String::new();
        if read.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut payload = Vec::new();
        if words[0] == "serve" {
            let length: usize =
                words.get(3).and_then(|word| word.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
            if length > MOST_STATEMENT {
                return Err(io::ErrorKind::InvalidData.into());
            }
            payload.resize(length + 2, 0);
            read.read_exact(&mut payload).await?;
            payload.truncate(length);
        }
        self.unless_silent().await;
        let id = words.get(1).copied().unwrap_or("").to_string();
        match words[0] {
            "serve" => self.begin(connection, id, words[2], &payload),
            "cancel" => {
                let mut state = self.state.borrow_mut();
                if let Some(number) = state.job_of(connection, &id) {
                    state.jobs.remove(&number).into_iter().for_each(|job| self.left(&job, false));
                    state.cores.advance(self.now());
                    state.cores.remove(number);
                }
            }
            "weigh" => {
                let rank = words.get(2).and_then(|word| word.parse().ok()).unwrap_or(1);
                let mut state = self.state.borrow_mut();
                if let Some(job) = state.job_of(connection, &id) {
                    state.cores.weigh(job, rank);
                }
            }
            "read" => {
                let page = words.get(2).and_then(|word| word.parse::<usize>().ok()).unwrap_or(usize::MAX);
                let state = self.state.borrow();
                let rows = state.results.get(&(connection, id.clone())).and_then(|pages| pages.get(page));
                match rows {
                    Some(rows) => state.answer(connection, &id, "ROWS", &format!("pos={page}"), rows),
                    None => state.answer(connection, &id, "ERR", "-", ""),
                }
            }
            "release" => _ = self.state.borrow_mut().results.remove(&(connection, id)),
            "gauges" | "health" => {
                let state = self.state.borrow();
                state.answer(connection, &id, "UP", &state.report(), "");
            }
            _ => {}
        }
        self.changed.notify_one();
        Ok(())
    }

    fn begin(&self, connection: u64, id: String, fields: &str, statement: &[u8]) {
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
        *self.ledger.borrow_mut().begun.entry(self.spec.name.clone()).or_default() += !busy as u64;
        if busy {
            return state.answer(connection, &id, "BUSY", &state.report(), "");
        }
        let class = self.classes.iter().find(|class| Some(class.name.as_str()) == field("profile"));
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
        let granted = field("heap").and_then(|heap| heap.parse().ok()).filter(|heap: &f64| *heap > 0.0);
        let spills = granted.is_some_and(|granted| granted < memory_mb);
        let query = Query {
            work: work / 1e3 * if spills { SPILLS } else { 1.0 },
            threads: told("threads").unwrap_or(1.0),
            memory_mb: granted.unwrap_or(memory_mb),
            rank: field("order").and_then(|rank| rank.parse().ok()).unwrap_or(1),
        };
        let errors = if passed(state.faults.errors_until) { 0.0 } else { state.faults.errors };
        let error = state.rng.random::<f64>() < errors;
        state.next += 1;
        let number = state.next;
        let rows = told("rows").unwrap_or(4.0) as u64;
        state.cores.advance(self.now());
        state.cores.add(number, query);
        self.ledger.borrow_mut().happened(|| What::Began {
            engine: self.name.clone(),
            id: u64::from_str_radix(&id, 16).unwrap_or_default(),
            class: field("profile").unwrap_or_default().into(),
            key: key.as_str().into(),
            work: work / 1e3,
        });
        state.jobs.insert(
            number,
            Job { connection, id, began: Instant::now(), effect, work, memory_mb, rows, error },
        );
    }

    /// Ends queries when they are done.
    async fn work(self: Rc<Self>) {
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

    fn end(&self, state: &mut State, job: Job) {
        if job.error {
            self.left(&job, false);
            return state.answer(job.connection, &job.id, "ERR", &state.report(), "");
        }
        if let Some(effect) = &job.effect {
            let (key, new) = match effect {
                Effect::Keyed(key, group, window) => {
                    (key, self.remembered.is_new(group.clone(), key, *window, job.began))
                }
                Effect::Once(id) => (id, true),
            };
            let (engine, id) = (self.name.clone(), u64::from_str_radix(&job.id, 16).unwrap_or_default());
            let mut ledger = self.ledger.borrow_mut();
            if new {
                ledger.took_effect(key, &self.spec.name);
                ledger.happened(|| What::Effect { engine, id, key: key.as_str().into() });
            } else {
                ledger.happened(|| What::Repeat { engine, id, key: key.as_str().into() });
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

    async fn note(self: Rc<Self>) {
        loop {
            sleep(NOTE_PERIOD).await;
            self.unless_silent().await;
            let state = self.state.borrow();
            for (number, job) in &state.jobs {
                let held = state.cores.is_waiting(*number);
                let fields = if held { "remark=held,reading=1" } else { "remark=share,reading=0.5" };
                state.answer(job.connection, &job.id, "NOTE", fields, "");
            }
        }
    }

    // ---- Faults ----

    /// The process ends: connections are reset, nobody listens.
    pub fn kill(&self) {
        self.note_state(None);
        let mut state = self.state.borrow_mut();
        state.tasks.drain(..).for_each(|task| task.abort());
        state.connections.clear();
        for (_, job) in state.jobs.drain() {
            self.left(&job, false);
        }
        state.results.clear();
        state.faults = Faults::default();
        state.cores = Cores::new(self.spec.cores as f64, self.spec.memory_mb, None, self.now());
    }

    /// A new process at the same address, with nothing in its memory.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.kill();
        // Those that were aborted give their sockets back first.
        tokio::task::yield_now().await;
        let listener = self.place.listen()?;
        self.note_state(Some(self.spec.warm_up.as_micros() as u64));
        let cold = Some((0.4, self.spec.warm_up.as_secs_f64())).filter(|(_, within)| *within > 0.0);
        {
            let mut state = self.state.borrow_mut();
            state.cores = Cores::new(self.spec.cores as f64, self.spec.memory_mb, cold, self.now());
        }
        self.clone().serve(listener);
        Ok(())
    }

    pub fn reset(&self) {
        self.state.borrow_mut().connections.clear();
    }

    pub fn stall(&self, lasts: Duration) {
        self.state.borrow_mut().faults.stalled = Some(Instant::now() + lasts);
        self.changed.notify_one();
    }

    pub fn vanish(&self, lasts: Duration) {
        self.state.borrow_mut().faults.silent = Some(Instant::now() + lasts);
    }

    pub fn fail(&self, share: f64, lasts: Duration) {
        let faults = &mut self.state.borrow_mut().faults;
        (faults.errors, faults.errors_until) = (share, Some(Instant::now() + lasts));
    }

    pub fn turn_away(&self, lasts: Duration) {
        self.state.borrow_mut().faults.busy_until = Some(Instant::now() + lasts);
    }
}

impl State {
    fn job_of(&self, connection: u64, id: &str) -> Option<u64> {
        let mut jobs = self.jobs.iter();
        jobs.find(|(_, job)| job.connection == connection && job.id == id).map(|(number, _)| *number)
    }

    fn answer(&self, connection: u64, id: &str, word: &str, fields: &str, payload: &str) {
        if let Some(answers) = self.connections.get(&connection) {
            // Who doesn't read for so long has gone.
            let _ = answers.try_send(format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len()));
        }
    }

    fn report(&self) -> String {
        let (cores, busy) = (&self.cores, self.cores.pressure().min(1.0));
        format!(
            "report=inflight:{};queue:{};util:{busy:.2}",
            cores.running() + cores.waiting(),
            cores.waiting()
        )
    }
}

/// A figure that a statement tells in its comment, as in `/* work=80 ram=64 rows=4 */`.
fn told(statement: &str, name: &str) -> Option<f64> {
    let comment = statement.split("/*").nth(1)?.split("*/").next()?;
    let pair =
        comment.split_whitespace().find_map(|pair| pair.split_once('=').filter(|(own, _)| *own == name));
    pair.and_then(|(_, value)| value.parse().ok())
}

/// Rows that tell whose they are, in pages of whole rows.
pub fn pages(id: &str, rows: u64) -> Vec<String> {
    let mut pages = vec![String::new()];
    for number in 0..rows {
        let row = format!("{id}\t{number}\tokra\n");
        if pages.last().is_some_and(|page| page.len() + row.len() > PAGE) {
            pages.push(String::new());
        }
        pages.last_mut().into_iter().for_each(|page| page.push_str(&row));
    }
    pages
}
