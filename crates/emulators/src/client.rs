//! Clients: one load of a scenario, at random times that come of its seed. Each answer is held
//! against what was asked; what is wrong goes to the ledger.
//!
//! Each request goes to a gateway drawn anew, as behind a plain front, on a connection that is kept
//! to it. Who is refused comes again by the advice, and who loses the connection comes again with
//! the same key, as often as the scenario says; an unsafe request is never asked again after a
//! loss.

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
use crate::history::{Event, SharedName, Try, TryOutcome};
use crate::ledger;
use crate::scenario::{ClassSpec, LoadSpec, RetryTarget};
use crate::scripted::{call, forget, parse_answer, Answer};

mod lines;

/// Open requests on one connection, as the protocol allows.
const MAX_OPEN: usize = 32;
/// An answer that has not come so long after the client's wait never comes.
const GRACE: Duration = Duration::from_secs(2);
/// After a loss a client comes again within this time, at random.
const COMES_BACK: (f64, f64) = (0.05, 0.5);
/// How often and how long a client that comes again to the same gateway looks whether it is back.
const LOOKS_EVERY: Duration = Duration::from_millis(50);
const LOOKS_AGAIN: usize = 60;
/// Who comes before the advice is over comes after this part of it.
const HASTY: f64 = 0.3;
/// Who comes after the window comes so long after it.
const LATE: Duration = Duration::from_millis(500);
/// A connection that isn't up by then goes to the next gateway.
const CONNECTS_WITHIN: Duration = Duration::from_millis(500);
/// How soon a client that thinks better of it takes its request back.
const FORGETS_AFTER: Duration = Duration::from_millis(30);

/// Where gateways listen now, by name; what was killed has no place.
pub type GatewayAddresses = Rc<RefCell<BTreeMap<String, SocketAddr>>>;

struct Asked {
    /// New with every try.
    id: String,
    key: String,
    rows: u64,
    tries: u64,
    marked: bool,
    statement: String,
    work: f64,
    memory_mb: f64,
}

/// How a try ended.
enum End {
    Final,
    /// Refused, with the advice if there was one.
    Refused(Option<u64>),
    /// Its connection ended, or no answer came.
    Lost,
}

/// What is open on a connection: id, rows of its result, and who waits.
type Open = (String, u64, oneshot::Sender<End>);

struct Line {
    gateway: SharedName,
    write: tokio::sync::Mutex<OwnedWriteHalf>,
    open: RefCell<BTreeMap<u64, Open>>,
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

/// Clients of one load, with their connections.
pub struct Load {
    spec: LoadSpec,
    class: ClassSpec,
    name: SharedName,
    doors: GatewayAddresses,
    ledger: ledger::SharedLedger,
    lines: RefCell<Vec<Rc<Line>>>,
    rng: RefCell<StdRng>,
    turn: Cell<usize>,
}

fn hex(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

impl Load {
    /// Those that a scenario names; their random numbers come of the seed.
    pub fn new(
        spec: LoadSpec,
        class: ClassSpec,
        doors: GatewayAddresses,
        ledger: ledger::SharedLedger,
        seed: u64,
    ) -> Rc<Self> {
        ledger
            .borrow_mut()
            .answers
            .entry(spec.name.clone())
            .or_default();
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        let (lines, turn, name) = (
            RefCell::default(),
            Cell::default(),
            spec.name.as_str().into(),
        );
        Rc::new(Load {
            spec,
            class,
            name,
            doors,
            ledger,
            lines,
            rng,
            turn,
        })
    }

    /// From `begin` to its end, and until all have their answers.
    pub async fn run(self: Rc<Self>, began: Instant, until: Duration) {
        let end = began + self.spec.end.unwrap_or(until).min(until);
        let Ok(gaps) = Exp::new(self.spec.rate) else {
            return;
        };
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
        self.ledger
            .borrow_mut()
            .answers
            .entry(self.spec.name.clone())
            .and_modify(what);
    }

    fn draw(&self) -> Asked {
        let mut rng = self.rng.borrow_mut();
        let median = self.spec.work.as_secs_f64() * 1e3;
        let mut of = |median: f64| match LogNormal::new(median.max(1e-3).ln(), self.spec.spread) {
            Ok(spread) => spread.sample(&mut *rng),
            Err(_) => median,
        };
        let (work, memory_mb) = (of(median), of(self.spec.memory_mb));
        let key = match self.spec.keys {
            Some(keys) => format!("{:032x}", rng.random_range(0..keys)),
            None => format!("{:032x}", rng.random::<u128>()),
        };
        let (rows, group) = (self.spec.rows, rng.random_range(1..50));
        let told = format!(
            "work={work:.1} ram={memory_mb:.1} rows={rows} threads={}",
            self.class.threads
        );
        let statement = format!("SELECT * FROM sales_{group}.orders /* {told} */");
        Asked {
            id: String::new(),
            key,
            rows,
            tries: 0,
            marked: false,
            statement,
            work,
            memory_mb,
        }
    }

    /// One request until its last try has ended.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn ask(self: Rc<Self>, mut asked: Asked) {
        let (mut refusals, mut losses) = (0, 0);
        let mut before: Option<SharedName> = None;
        loop {
            self.count(|answers| answers.asked += 1);
            asked.id = format!("{:016x}", self.rng.borrow_mut().random::<u64>());
            let wanted = before
                .clone()
                .filter(|_| losses > 0)
                .map(|gateway| (gateway, self.spec.back));
            let mut line = self.line(wanted.clone()).await;
            // Who comes again to the same one waits until it is back.
            let insists = matches!(wanted, Some((_, RetryTarget::Same)));
            for _ in 0..if insists { LOOKS_AGAIN } else { 0 } {
                if line.is_some() {
                    break;
                }
                sleep(LOOKS_EVERY).await;
                line = self.line(wanted.clone()).await;
            }
            let Some(line) = line else {
                let (load, key) = (self.name.clone(), asked.key.as_str().into());
                self.ledger
                    .borrow_mut()
                    .record_event(|| Event::NoGatewayReachable { load, key });
                return self.count(|answers| answers.lost += 1);
            };
            let end = self.one(&line, &asked).await;
            let late = self.chance(self.spec.late);
            let pause = match end {
                End::Final => return,
                End::Refused(advice) => {
                    refusals += 1;
                    if refusals > self.spec.retries {
                        return;
                    }
                    let advice = Duration::from_millis(advice.unwrap_or(100));
                    if self.chance(self.spec.hasty) {
                        advice.mul_f64(HASTY)
                    } else {
                        advice
                    }
                }
                End::Lost => {
                    losses += 1;
                    if losses > self.spec.returns || self.class.effect == "unsafe" {
                        return;
                    }
                    let (least, most) = COMES_BACK;
                    Duration::from_secs_f64(self.rng.borrow_mut().random_range(least..most))
                }
            };
            sleep(if late {
                pause.max(self.class.window + LATE)
            } else {
                pause
            })
            .await;
            before = Some(line.gateway.clone());
            asked.tries += 1;
            asked.marked = self.chance(self.spec.marked);
        }
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    fn over(&self, id: &str, outcome: TryOutcome, advice: Option<u64>) {
        self.ledger.borrow_mut().record_event(|| Event::TryEnded {
            id: hex(id),
            outcome,
            advice,
        });
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn one(&self, line: &Line, asked: &Asked) -> End {
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
        if self.class.effect == "keyed" || self.spec.keys.is_some() {
            fields.push(("k", &asked.key));
        }
        if asked.marked {
            fields.push(("r", "1"));
        }
        let bytes = call(
            number,
            &self.spec.class,
            &fields,
            asked.statement.as_bytes(),
        );
        let (told, verdict) = oneshot::channel();
        line.open
            .borrow_mut()
            .insert(number, (asked.id.clone(), asked.rows, told));
        self.ledger.borrow_mut().record_event(|| {
            Event::TrySent(Try {
                load: self.name.clone(),
                class: self.spec.class.as_str().into(),
                id: hex(&asked.id),
                key: asked.key.as_str().into(),
                gateway: line.gateway.clone(),
                number: asked.tries,
                marked: asked.marked,
                wait: self.spec.wait.as_micros() as u64,
            })
        });
        if line.write.lock().await.write_all(&bytes).await.is_err() {
            line.end();
        }
        if self.chance(self.spec.forgets) {
            sleep(FORGETS_AFTER).await;
            if line.open.borrow_mut().remove(&number).is_some() {
                line.forgotten.borrow_mut().insert(number);
                if line
                    .write
                    .lock()
                    .await
                    .write_all(&forget(number))
                    .await
                    .is_err()
                {
                    line.end();
                }
                self.count(|answers| answers.forgotten += 1);
                self.over(&asked.id, TryOutcome::Forgotten, None);
                return End::Final;
            }
        }
        match timeout(self.spec.wait + GRACE, verdict).await {
            Ok(Ok(end)) => end,
            // The connection ended first.
            Ok(Err(_)) => {
                self.count(|answers| answers.lost += 1);
                self.over(&asked.id, TryOutcome::ConnectionLost, None);
                End::Lost
            }
            Err(_) => {
                // An answer that comes after all is told from one that nothing waited for.
                line.open.borrow_mut().remove(&number);
                line.forgotten.borrow_mut().insert(number);
                let mut ledger = self.ledger.borrow_mut();
                if ledger.history.is_none() {
                    ledger.record_violation(format!("{}: no answer at all", self.spec.name));
                }
                drop(ledger);
                self.count(|answers| answers.lost += 1);
                self.over(&asked.id, TryOutcome::Unanswered, None);
                End::Lost
            }
        }
    }
}
