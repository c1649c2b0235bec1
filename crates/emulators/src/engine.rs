//! An engine on a socket: queries run concurrently in [`Cores`]; a scenario switches its faults.

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

/// Interval between progress reports on active queries.
const NOTE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of queued answers on one connection; further answers are dropped.
const MAX_QUEUED_ANSWERS: usize = 4096;
const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// Maximum size of a page of rows, in bytes, unless a single row is larger.
const PAGE_BYTES: usize = 6000;
/// Maximum time that a query is expected to run. Keys are retained for this long after their
/// window, since a write may begin within the window and end after it.
const MAX_QUERY_TIME: Duration = Duration::from_secs(60);
/// Factor by which the work of a query grows if less memory is granted than it needs.
const SPILL_FACTOR: f64 = 1.5;

/// A group of engines that share their record of idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    All,
    Zone(String),
    Cell(u64),
}

/// The keys of writes that have taken effect, for all engines, by the group that shares them. The
/// keys are stored with the data that was written, so they outlive an engine's process.
#[derive(Clone, Default)]
pub struct KeyMemory(Rc<RefCell<Keys>>);

/// By group and key: the time at which the write took effect, and the window in which a repeat is
/// dropped.
type Keys = HashMap<(Group, String), (Instant, Duration)>;

impl KeyMemory {
    /// Returns whether a write that began at `began` takes effect, and stores its key if it does.
    /// It doesn't take effect if at `began` the window of an earlier write with the same key hadn't
    /// passed.
    fn is_new(&self, group: Group, key: &str, window: Duration, began: Instant) -> bool {
        let mut entries = self.0.borrow_mut();
        entries.retain(|_, (at, window)| at.elapsed() < *window + MAX_QUERY_TIME);
        let entry_key = (group, key.to_string());
        let is_new = entries
            .get(&entry_key)
            .is_none_or(|(at, window)| *at + *window < began);
        if is_new {
            entries.insert(entry_key, (Instant::now(), window));
        }
        is_new
    }
}

/// How a write is identified, to detect repeats.
enum Effect {
    /// By its idempotency key: the group of engines drops repeats within the window.
    Keyed(String, Group, Duration),
    /// By the id of the request, for writes without a key.
    Once(String),
}

/// A query that is running or waiting for memory.
struct ActiveQuery {
    connection: u64,
    id: String,
    began: Instant,
    /// `None` for queries that only read.
    effect: Option<Effect>,
    /// Work in milliseconds on one core.
    work: f64,
    memory_mb: f64,
    /// Number of rows in the query's result.
    rows: u64,
    /// Whether the query will end with an error instead of a result.
    fails: bool,
}

#[derive(Default)]
struct Faults {
    /// Until this time no query completes, no command is handled and no answer is written.
    stalled_until: Option<Instant>,
    /// Until this time no command is handled and no answer is written, while queries continue to
    /// run.
    silent_until: Option<Instant>,
    /// Fraction of queries that end with an error until `errors_until`.
    error_share: f64,
    errors_until: Option<Instant>,
    /// Until this time all new queries are answered with `BUSY`.
    busy_until: Option<Instant>,
}

struct State {
    cores: Cores,
    queries: HashMap<u64, ActiveQuery>,
    /// Pages of completed results that can still be read, by connection and id.
    results: HashMap<(u64, String), Vec<String>>,
    connections: BTreeMap<u64, mpsc::Sender<String>>,
    tasks: Vec<JoinHandle<()>>,
    faults: Faults,
    /// Last ID assigned to a connection or a query.
    last_number: u64,
    rng: rand::rngs::StdRng,
}

/// An engine that runs queries on a given number of cores.
pub struct Engine {
    /// The engine's configuration in the scenario.
    pub spec: EngineSpec,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    name: SharedName,
    reserved_address: ReservedAddress,
    classes: Rc<Vec<ClassSpec>>,
    key_memory: KeyMemory,
    ledger: ledger::SharedLedger,
    /// The time from which the times of [`Cores`] are counted.
    began: Instant,
    state: RefCell<State>,
    /// Wakes the task that runs the queries.
    queries_changed: Notify,
}

fn has_passed(until: Option<Instant>) -> bool {
    until.is_none_or(|until| until <= Instant::now())
}

impl Engine {
    /// Starts the engine at its address. `seed` determines which queries fail while the scenario
    /// makes the engine answer a fraction of them with errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(
        spec: EngineSpec,
        classes: Rc<Vec<ClassSpec>>,
        key_memory: KeyMemory,
        ledger: ledger::SharedLedger,
        seed: u64,
    ) -> io::Result<Rc<Self>> {
        let reserved_address = ReservedAddress::reserve(spec.listen)?;
        let listener = reserved_address.listen()?;
        let rng = rand::SeedableRng::seed_from_u64(seed);
        let state = State {
            cores: Cores::new(spec.cores as f64, spec.memory_mb, None, 0.0),
            queries: HashMap::new(),
            results: HashMap::new(),
            connections: BTreeMap::new(),
            tasks: Vec::new(),
            faults: Faults::default(),
            last_number: 0,
            rng,
        };
        let engine = Rc::new(Engine {
            address: reserved_address.address,
            name: spec.name.as_str().into(),
            reserved_address,
            spec,
            classes,
            key_memory,
            ledger,
            began: Instant::now(),
            state: RefCell::new(state),
            queries_changed: Notify::new(),
        });
        // The engine counts as warm, as if its process had been running for a long time.
        engine.record_process_event(Some(0));
        engine.clone().serve(listener);
        Ok(engine)
    }

    fn record_process_event(&self, begins: Option<u64>) {
        self.ledger.borrow_mut().record_event(|| Event::Engine {
            engine: self.name.clone(),
            begins,
        });
    }

    /// Records that a query has completed, or ended without completing.
    fn record_query_ended(&self, query: &ActiveQuery, completed: bool) {
        let id = u64::from_str_radix(&query.id, 16).unwrap_or_default();
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
        let running = spawn_local(self.clone().run_queries());
        let noting = spawn_local(self.clone().send_notes());
        self.state
            .borrow_mut()
            .tasks
            .extend([accepting, running, noting]);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = {
                let mut state = self.state.borrow_mut();
                state.last_number += 1;
                state.last_number
            };
            let task = spawn_local(self.clone().serve_connection(number, stream));
            let mut state = self.state.borrow_mut();
            state.tasks.retain(|task| !task.is_finished());
            state.tasks.push(task);
        }
    }

    /// Serves a connection until it ends. The connection's queries are then stopped, unless the
    /// engine finishes orphaned queries.
    async fn serve_connection(self: Rc<Self>, number: u64, stream: TcpStream) {
        // Closing sends a reset, as when a process is killed.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
        let (sender, mut answers) = mpsc::channel(MAX_QUEUED_ANSWERS);
        self.state.borrow_mut().connections.insert(number, sender);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let reading = async { while self.handle_command(number, &mut read).await.is_ok() {} };
        let writing = async {
            while let Some(answer) = answers.recv().await {
                self.wait_while_silent().await;
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
        let orphaned: Vec<u64> = state
            .queries
            .iter()
            .filter(|(_, query)| query.connection == number)
            .map(|(at, _)| *at)
            .collect();
        if !self.spec.finishes_orphans {
            for number in orphaned {
                state
                    .queries
                    .remove(&number)
                    .into_iter()
                    .for_each(|query| self.record_query_ended(&query, false));
                state.cores.remove(number);
            }
        }
        self.queries_changed.notify_one();
    }

    async fn wait_while_silent(&self) {
        loop {
            let until = self
                .state
                .borrow()
                .faults
                .silent_until
                .max(self.state.borrow().faults.stalled_until);
            if has_passed(until) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn handle_command<R: AsyncBufReadExt + AsyncReadExt + Unpin>(
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
            if length > MAX_STATEMENT_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            payload.resize(length + 2, 0);
            read.read_exact(&mut payload).await?;
            payload.truncate(length);
        }
        self.wait_while_silent().await;
        let id = words.get(1).copied().unwrap_or("").to_string();
        match words[0] {
            "serve" => self.start_query(connection, id, words[2], &payload),
            "cancel" => {
                let mut state = self.state.borrow_mut();
                if let Some(number) = state.find_query(connection, &id) {
                    state
                        .queries
                        .remove(&number)
                        .into_iter()
                        .for_each(|query| self.record_query_ended(&query, false));
                    state.cores.advance(self.now());
                    state.cores.remove(number);
                }
            }
            "weigh" => {
                let rank = words.get(2).and_then(|word| word.parse().ok()).unwrap_or(1);
                let mut state = self.state.borrow_mut();
                if let Some(query) = state.find_query(connection, &id) {
                    state.cores.set_rank(query, rank);
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
                        state.send_answer(connection, &id, "ROWS", &format!("pos={page}"), rows);
                    }
                    None => state.send_answer(connection, &id, "ERR", "-", ""),
                }
            }
            "release" => _ = self.state.borrow_mut().results.remove(&(connection, id)),
            "gauges" | "health" => {
                let state = self.state.borrow();
                state.send_answer(connection, &id, "UP", &state.report(), "");
            }
            _ => {}
        }
        self.queries_changed.notify_one();
        Ok(())
    }
}

impl State {
    fn find_query(&self, connection: u64, id: &str) -> Option<u64> {
        let mut queries = self.queries.iter();
        queries
            .find(|(_, query)| query.connection == connection && query.id == id)
            .map(|(number, _)| *number)
    }

    fn send_answer(&self, connection: u64, id: &str, kind: &str, fields: &str, payload: &str) {
        if let Some(answers) = self.connections.get(&connection) {
            // The queue is full only if the gateway has stopped reading.
            let _ = answers.try_send(format!(
                "{id} {kind} {fields} {}\r\n{payload}\r\n",
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

/// Returns the number called `name` in the comment in a statement, such as `/* work=80 ram=64
/// rows=4 */`; `None` if the comment has no such name.
fn statement_hint(statement: &str, name: &str) -> Option<f64> {
    let comment = statement.split("/*").nth(1)?.split("*/").next()?;
    let pair = comment.split_whitespace().find_map(|pair| {
        pair.split_once('=')
            .filter(|(field_name, _)| *field_name == name)
    });
    pair.and_then(|(_, value)| value.parse().ok())
}

/// Returns the result of the request with the id `id`, in pages of whole rows. Each row contains
/// the id, so that a client can check that the result belongs to its request.
pub fn pages(id: &str, rows: u64) -> Vec<String> {
    let mut pages = vec![String::new()];
    for number in 0..rows {
        let row = format!("{id}\t{number}\tokra\n");
        if pages
            .last()
            .is_some_and(|page| page.len() + row.len() > PAGE_BYTES)
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
