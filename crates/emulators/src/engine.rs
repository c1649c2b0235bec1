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
use crate::history::{Event, SharedName};
use crate::ledger;
use crate::reserved_address::ReservedAddress;
use crate::scenario::{ClassSpec, EngineSpec, Scope};

mod faults;
mod queries;

/// Notes tell of queries this often.
const NOTE_PERIOD: Duration = Duration::from_millis(500);
/// Answers that wait on one connection; who doesn't read more loses it.
const MAX_ANSWERS: usize = 4096;
const MAX_STATEMENT: usize = 1 << 20;
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

/// What all engines remember of keyed writes, by the group that shares it: when they took effect.
/// It stands beside the data that was written, so no engine's end takes it away.
#[derive(Clone, Default)]
pub struct KeyMemory(Rc<RefCell<Keys>>);

/// By group and key: when it took effect, and how long that is remembered.
type Keys = HashMap<(Group, String), (Instant, Duration)>;

impl KeyMemory {
    /// Whether a write that began then is none that the group drops, as it knows of an effect whose
    /// window had not passed by then; from now on the group remembers it.
    fn is_new(&self, group: Group, key: &str, window: Duration, began: Instant) -> bool {
        let mut known = self.0.borrow_mut();
        known.retain(|_, (at, window)| at.elapsed() < *window + LONGEST_RUN);
        let place = (group, key.to_string());
        let new = known
            .get(&place)
            .is_none_or(|(at, window)| *at + *window < began);
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

/// An engine that runs queries on a stated number of cores.
pub struct Engine {
    /// What the scenario says of it.
    pub spec: EngineSpec,
    /// Where it listens.
    pub address: SocketAddr,
    name: SharedName,
    place: ReservedAddress,
    classes: Rc<Vec<ClassSpec>>,
    remembered: KeyMemory,
    ledger: ledger::SharedLedger,
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
        remembered: KeyMemory,
        ledger: ledger::SharedLedger,
        seed: u64,
    ) -> io::Result<Rc<Self>> {
        let place = ReservedAddress::reserve(spec.listen)?;
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
        self.ledger.borrow_mut().record_event(|| Event::Engine {
            engine: self.name.clone(),
            begins,
        });
    }

    /// A query is here no more.
    fn left(&self, job: &Job, completed: bool) {
        let id = u64::from_str_radix(&job.id, 16).unwrap_or_default();
        self.ledger.borrow_mut().record_event(|| Event::QueryEnded {
            engine: self.name.clone(),
            id,
            completed,
        });
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn serve(self: Rc<Self>, listener: TcpListener) {
        let accepting = spawn_local(self.clone().accept(listener));
        let running = spawn_local(self.clone().work());
        let noting = spawn_local(self.clone().note());
        self.state
            .borrow_mut()
            .tasks
            .extend([accepting, running, noting]);
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
        let (sender, mut answers) = mpsc::channel(MAX_ANSWERS);
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
        let gone: Vec<u64> = state
            .jobs
            .iter()
            .filter(|(_, job)| job.connection == number)
            .map(|(at, _)| *at)
            .collect();
        if !self.spec.finishes_orphans {
            for number in gone {
                state
                    .jobs
                    .remove(&number)
                    .into_iter()
                    .for_each(|job| self.left(&job, false));
                state.cores.remove(number);
            }
        }
        self.changed.notify_one();
    }

    async fn unless_silent(&self) {
        loop {
            let until = self
                .state
                .borrow()
                .faults
                .silent
                .max(self.state.borrow().faults.stalled);
            if passed(until) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
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
            let length: usize = words
                .get(3)
                .and_then(|word| word.parse().ok())
                .ok_or(io::ErrorKind::InvalidData)?;
            if length > MAX_STATEMENT {
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
                    state
                        .jobs
                        .remove(&number)
                        .into_iter()
                        .for_each(|job| self.left(&job, false));
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
                let page = words
                    .get(2)
                    .and_then(|word| word.parse::<usize>().ok())
                    .unwrap_or(usize::MAX);
                let state = self.state.borrow();
                let rows = state
                    .results
                    .get(&(connection, id.clone()))
                    .and_then(|pages| pages.get(page));
                match rows {
                    Some(rows) => {
                        state.answer(connection, &id, "ROWS", &format!("pos={page}"), rows);
                    }
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
}

impl State {
    fn job_of(&self, connection: u64, id: &str) -> Option<u64> {
        let mut jobs = self.jobs.iter();
        jobs.find(|(_, job)| job.connection == connection && job.id == id)
            .map(|(number, _)| *number)
    }

    fn answer(&self, connection: u64, id: &str, word: &str, fields: &str, payload: &str) {
        if let Some(answers) = self.connections.get(&connection) {
            // Who doesn't read for so long has gone.
            let _ = answers.try_send(format!(
                "{id} {word} {fields} {}\r\n{payload}\r\n",
                payload.len()
            ));
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
    let pair = comment
        .split_whitespace()
        .find_map(|pair| pair.split_once('=').filter(|(own, _)| *own == name));
    pair.and_then(|(_, value)| value.parse().ok())
}

/// Rows that tell whose they are, in pages of whole rows.
pub fn pages(id: &str, rows: u64) -> Vec<String> {
    let mut pages = vec![String::new()];
    for number in 0..rows {
        let row = format!("{id}\t{number}\tokra\n");
        if pages
            .last()
            .is_some_and(|page| page.len() + row.len() > PAGE)
        {
            pages.push(String::new());
        }
        pages
            .last_mut()
            .into_iter()
            .for_each(|page| page.push_str(&row));
    }
    pages
}
