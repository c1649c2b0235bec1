//! Clients: one load of a scenario, at random times that come of its seed. Each answer is held against
//! what was asked; what is wrong goes to the ledger.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::engine::pages;
use crate::ledger;
use crate::scenario::LoadSpec;
use crate::scripted::{call, forget, parse_answer, Answer};

/// Open requests on one connection, as the protocol allows.
const MOST_OPEN: usize = 32;
/// An answer that has not come so long after the client's wait never comes.
const GRACE: Duration = Duration::from_secs(2);
/// How soon a client that thinks better of it takes its request back.
const FORGETS_AFTER: Duration = Duration::from_millis(30);

/// Where gateways listen now, by name; what was killed has no place.
pub type Doors = Rc<RefCell<BTreeMap<String, SocketAddr>>>;

struct Asked {
    id: String,
    key: String,
    rows: u64,
    tries: u64,
    statement: String,
    work: f64,
    memory_mb: f64,
}

/// What is tried again, and after how long; nothing where it is over.
type Again = Option<(Asked, Duration)>;

struct Line {
    write: tokio::sync::Mutex<OwnedWriteHalf>,
    open: RefCell<BTreeMap<u64, (Asked, oneshot::Sender<Again>)>>,
    next: Cell<u64>,
    ended: Cell<bool>,
    /// Taken back: an answer that was on its way is none too many.
    forgotten: RefCell<BTreeSet<u64>>,
}

impl Line {
    /// Nothing more comes: all that waits is told so.
    fn end(&self) {
        self.ended.set(true);
        self.open.borrow_mut().clear();
    }
}

pub struct Load {
    spec: LoadSpec,
    keyed: bool,
    threads: u64,
    doors: Doors,
    ledger: ledger::Shared,
    lines: RefCell<Vec<Rc<Line>>>,
    rng: RefCell<StdRng>,
    turn: Cell<usize>,
}

impl Load {
    pub fn new(
        spec: LoadSpec,
        keyed: bool,
        threads: u64,
        doors: Doors,
        ledger: ledger::Shared,
        seed: u64,
    ) -> Rc<Self> {
        ledger.borrow_mut().answers.entry(spec.name.clone()).or_default();
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        let (lines, turn) = Default::default();
        Rc::new(Load { spec, keyed, threads, doors, ledger, lines, rng, turn })
    }

    /// From `begin` to its end, and until all have their answers.
    pub async fn run(self: Rc<Self>, began: Instant, until: Duration) {
        let end = began + self.spec.end.unwrap_or(until).min(until);
        let Ok(gaps) = Exp::new(self.spec.rate) else { return };
        let mut next = began + self.spec.begin;
        let mut waiting = Vec::new();
        loop {
            next += Duration::from_secs_f64(gaps.sample(&mut *self.rng.borrow_mut()).min(3600.0));
            if next >= end {
                break;
            }
            sleep_until(next).await;
            let asked = self.draw();
            waiting.push(spawn_local(self.clone().ask(asked)));
            waiting.retain(|task| !task.is_finished());
        }
        for task in waiting {
            let _ = task.await;
        }
    }

    fn count(&self, what: impl FnOnce(&mut ledger::Answers)) {
        self.ledger.borrow_mut().answers.entry(self.spec.name.clone()).and_modify(what);
    }

    fn draw(&self) -> Asked {
        let mut rng = self.rng.borrow_mut();
        let median = self.spec.work.as_secs_f64() * 1e3;
        let mut of = |median: f64| match LogNormal::new(median.max(1e-3).ln(), self.spec.spread) {
            Ok(spread) => spread.sample(&mut *rng),
            Err(_) => median,
        };
        let (work, memory_mb) = (of(median), of(self.spec.memory_mb));
        let (id, key) = (format!("{:016x}", rng.random::<u64>()), format!("{:032x}", rng.random::<u128>()));
        let (rows, group) = (self.spec.rows, rng.random_range(1..50));
        let told = format!("work={work:.1} ram={memory_mb:.1} rows={rows} threads={}", self.threads);
        let statement = format!("SELECT * FROM sales_{group}.orders /* {told} */");
        Asked { id, key, rows, tries: 0, statement, work, memory_mb }
    }

    /// One request until its last try has ended.
    async fn ask(self: Rc<Self>, mut asked: Asked) {
        loop {
            self.count(|answers| answers.asked += 1);
            let Some(line) = self.line().await else {
                return self.count(|answers| answers.lost += 1);
            };
            match self.one(&line, asked).await {
                Some((again, pause)) => {
                    sleep(pause).await;
                    let id = format!("{:016x}", self.rng.borrow_mut().random::<u64>());
                    asked = Asked { id, tries: again.tries + 1, ..again };
                }
                None => return,
            }
        }
    }

    /// One try; gives the request back if it is to be tried again, and when.
    async fn one(&self, line: &Line, asked: Asked) -> Again {
        let number = line.next.get() + 1;
        line.next.set(number);
        let (wait, work, ram) = (
            self.spec.wait.as_millis().to_string(),
            format!("{:.1}", asked.work),
            format!("{:.1}", asked.memory_mb),
        );
        let mut fields = vec![
            ("i", asked.id.as_str()),
            ("d", &wait),
            ("t", &self.spec.tenant),
            ("h", &work),
            ("ram", &ram),
        ];
        if self.keyed {
            fields.push(("k", &asked.key));
        }
        if asked.tries > 0 {
            fields.push(("r", "1"));
        }
        let bytes = call(number, &self.spec.class, &fields, asked.statement.as_bytes());
        let (told, verdict) = oneshot::channel();
        line.open.borrow_mut().insert(number, (asked, told));
        if line.write.lock().await.write_all(&bytes).await.is_err() {
            line.end();
        }
        if self.rng.borrow_mut().random::<f64>() < self.spec.forgets {
            sleep(FORGETS_AFTER).await;
            if line.open.borrow_mut().remove(&number).is_some() {
                line.forgotten.borrow_mut().insert(number);
                if line.write.lock().await.write_all(&forget(number)).await.is_err() {
                    line.end();
                }
                self.count(|answers| answers.forgotten += 1);
                return None;
            }
        }
        match timeout(self.spec.wait + GRACE, verdict).await {
            Ok(Ok(again)) => again,
            // The connection ended first.
            Ok(Err(_)) => {
                self.count(|answers| answers.lost += 1);
                None
            }
            Err(_) => {
                line.open.borrow_mut().remove(&number);
                self.ledger.borrow_mut().break_rule(format!("{}: no answer at all", self.spec.name));
                self.count(|answers| answers.lost += 1);
                None
            }
        }
    }

    /// A connection with room, in turn.
    async fn line(self: &Rc<Self>) -> Option<Rc<Line>> {
        self.lines.borrow_mut().retain(|line| !line.ended.get());
        let free = |line: &&Rc<Line>| line.open.borrow().len() < MOST_OPEN;
        if self.lines.borrow().len() >= self.spec.connections {
            let lines = self.lines.borrow();
            self.turn.set(self.turn.get() + 1);
            let from = self.turn.get() % lines.len();
            return lines.iter().cycle().skip(from).take(lines.len()).find(free).cloned();
        }
        let stream = self.connect().await.ok()?;
        let (read, write) = stream.into_split();
        let line = Rc::new(Line {
            write: tokio::sync::Mutex::new(write),
            open: RefCell::new(BTreeMap::new()),
            next: Cell::new(0),
            ended: Cell::new(false),
            forgotten: RefCell::default(),
        });
        self.lines.borrow_mut().push(line.clone());
        let (own, theirs) = (self.clone(), line.clone());
        spawn_local(async move {
            // However it ended, nothing more comes.
            let _ = own.read(read, &theirs).await;
            theirs.end();
        });
        Some(line)
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let door = {
            let doors = self.doors.borrow();
            match &self.spec.gateway {
                Some(name) => doors.get(name).copied(),
                None => {
                    self.turn.set(self.turn.get() + 1);
                    doors.values().nth(self.turn.get() % doors.len().max(1)).copied()
                }
            }
        };
        let door = door.ok_or(io::ErrorKind::NotConnected)?;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.spec.from, 0))?;
        let stream = timeout(Duration::from_secs(2), socket.connect(door)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn read(&self, mut read: OwnedReadHalf, line: &Line) -> io::Result<()> {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
        loop {
            let count = read.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&chunk[..count]);
            while let Some((answer, used)) = parse_answer(&bytes)? {
                bytes.drain(..used);
                self.answered(line, answer);
            }
        }
    }

    fn answered(&self, line: &Line, answer: Answer) {
        let number = match &answer {
            Answer::Result { id, .. }
            | Answer::Part { id, .. }
            | Answer::Error { id, .. }
            | Answer::Health { id, .. } => *id,
        };
        let Some((asked, told)) = line.open.borrow_mut().remove(&number) else {
            if line.forgotten.borrow_mut().remove(&number) {
                return;
            }
            let what = format!("{}: an answer that nothing waits for", self.spec.name);
            return self.ledger.borrow_mut().break_rule(what);
        };
        match answer {
            Answer::Result { body, .. } => {
                if body != pages(&asked.id, asked.rows).concat().into_bytes() {
                    let what = format!("{}: {} got what no engine made for it", self.spec.name, asked.id);
                    self.ledger.borrow_mut().break_rule(what);
                }
                self.count(|answers| answers.served += 1);
            }
            Answer::Error { word, fields, .. } if word == "TryLater" => {
                let wait =
                    fields.iter().find(|(name, _)| name == "w").and_then(|(_, value)| value.parse().ok());
                self.count(|answers| {
                    answers.refused += 1;
                    answers.advised += wait.is_some() as u64;
                });
                if asked.tries < self.spec.retries {
                    // Whoever waited for it may have given up.
                    let _ = told.send(Some((asked, Duration::from_millis(wait.unwrap_or(100)))));
                    return;
                }
            }
            _ => self.count(|answers| answers.failed += 1),
        }
        let _ = told.send(None);
    }
}
