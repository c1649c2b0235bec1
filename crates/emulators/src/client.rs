//! Clients: one load of a scenario. It sends requests at random times drawn from a seed. Each
//! answer is compared with the request, and errors are recorded in the ledger.
//!
//! Each request is sent to a randomly chosen gateway, as behind a simple balancer, on a connection
//! that stays open. A rejected request is retried after the time given by the retry-after hint. A
//! request whose connection was lost is retried with the same key. The scenario limits the number
//! of retries. An unsafe request is never retried after a lost connection.

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

mod connections;

/// Maximum number of open requests on one connection, as in the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// How long after the client's timeout an answer may still arrive before it counts as missing.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Range of the random delay before a retry after a lost connection, in seconds.
const RECONNECT_DELAY_S: (f64, f64) = (0.05, 0.5);
/// Interval at which a client that retries at the same gateway tries to connect until the gateway
/// has been restarted.
const RECONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to connect at [`RECONNECT_POLL_INTERVAL`].
const RECONNECT_POLLS: usize = 60;
/// Fraction of the time given by the retry-after hint after which a hasty client retries.
const HASTY_FRACTION: f64 = 0.3;
/// How long after the class's window a late client retries.
const LATE_DELAY: Duration = Duration::from_millis(500);
/// Timeout for connecting to a gateway. After it, the client connects to the next gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after which a client cancels a request that it is to cancel; see [`LoadSpec::forgets`].
const CANCEL_DELAY: Duration = Duration::from_millis(30);

/// Addresses of the gateways that are running, by name.
pub type GatewayAddresses = Rc<RefCell<BTreeMap<String, SocketAddr>>>;

/// A request, from its first to its last attempt (a `Try` in the history).
struct PendingRequest {
    /// The request's id on the wire, new with every attempt.
    id: String,
    /// The idempotency key, the same for all attempts.
    key: String,
    /// Number of rows in the expected result.
    rows: u64,
    /// Number of attempts before the current one.
    tries: u64,
    /// Whether the current attempt is marked as a retry.
    marked: bool,
    statement: String,
    /// Work in milliseconds on one core.
    work: f64,
    memory_mb: f64,
}

/// The outcome of an attempt, as far as it determines whether the request is retried.
enum TryEnd {
    /// The attempt ended with a result or an error, or was cancelled: the request isn't retried.
    Final,
    /// The attempt was rejected. Contains the retry-after hint in milliseconds, if there was one.
    Refused(Option<u64>),
    /// The connection was lost, or no answer arrived.
    Lost,
}

/// An open request: its id, the number of rows in its result, and the channel to its task.
type OpenRequest = (String, u64, oneshot::Sender<TryEnd>);

struct Connection {
    gateway: SharedName,
    write: tokio::sync::Mutex<OwnedWriteHalf>,
    /// Open requests by call ID.
    open_requests: RefCell<BTreeMap<u64, OpenRequest>>,
    last_number: Cell<u64>,
    is_closed: Cell<bool>,
    /// IDs of cancelled and timed-out calls, whose answers may still arrive.
    cancelled: RefCell<BTreeSet<u64>>,
}

impl Connection {
    /// Marks the connection as closed and notifies the tasks of all open requests.
    fn close(&self) {
        self.is_closed.set(true);
        self.open_requests.borrow_mut().clear();
    }
}

/// Clients of one load, with their connections.
pub struct Load {
    spec: LoadSpec,
    class: ClassSpec,
    name: SharedName,
    gateways: GatewayAddresses,
    ledger: ledger::SharedLedger,
    connections: RefCell<Vec<Rc<Connection>>>,
    rng: RefCell<StdRng>,
    /// Counter that distributes requests to connections in turn.
    next_connection: Cell<usize>,
}

fn parse_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

impl Load {
    /// Creates the clients of a load. All random numbers are drawn from `seed`.
    pub fn new(
        spec: LoadSpec,
        class: ClassSpec,
        gateways: GatewayAddresses,
        ledger: ledger::SharedLedger,
        seed: u64,
    ) -> Rc<Self> {
        ledger
            .borrow_mut()
            .answers
            .entry(spec.name.clone())
            .or_default();
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        let (connections, next_connection, name) = (
            RefCell::default(),
            Cell::default(),
            spec.name.as_str().into(),
        );
        Rc::new(Load {
            spec,
            class,
            name,
            gateways,
            ledger,
            connections,
            rng,
            next_connection,
        })
    }

    /// Sends requests from the load's begin to its end or to `until`, whichever is earlier, and
    /// waits until all requests have ended. Times of the scenario are counted from `run_start`.
    pub async fn run(self: Rc<Self>, run_start: Instant, until: Duration) {
        let end = run_start + self.spec.end.unwrap_or(until).min(until);
        let Ok(intervals) = Exp::new(self.spec.rate) else {
            return;
        };
        let mut next_at = run_start + self.spec.begin;
        let mut tasks = Vec::new();
        loop {
            next_at +=
                Duration::from_secs_f64(intervals.sample(&mut *self.rng.borrow_mut()).min(3600.0));
            if next_at >= end {
                break;
            }
            sleep_until(next_at).await;
            let request = self.draw_request();
            tasks.push(spawn_local(self.clone().run_request(request)));
            tasks.retain(|task| !task.is_finished());
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    fn update_answers(&self, update: impl FnOnce(&mut ledger::Answers)) {
        self.ledger
            .borrow_mut()
            .answers
            .entry(self.spec.name.clone())
            .and_modify(update);
    }

    fn draw_request(&self) -> PendingRequest {
        let mut rng = self.rng.borrow_mut();
        let median = self.spec.work.as_secs_f64() * 1e3;
        let mut draw_around =
            |median: f64| match LogNormal::new(median.max(1e-3).ln(), self.spec.spread) {
                Ok(spread) => spread.sample(&mut *rng),
                Err(_) => median,
            };
        let (work, memory_mb) = (draw_around(median), draw_around(self.spec.memory_mb));
        let key = match self.spec.keys {
            Some(keys) => format!("{:032x}", rng.random_range(0..keys)),
            None => format!("{:032x}", rng.random::<u128>()),
        };
        let (rows, group) = (self.spec.rows, rng.random_range(1..50));
        let hints = format!(
            "work={work:.1} ram={memory_mb:.1} rows={rows} threads={}",
            self.class.threads
        );
        let statement = format!("SELECT * FROM sales_{group}.orders /* {hints} */");
        PendingRequest {
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

    /// Sends a request and retries it until its last attempt has ended.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn run_request(self: Rc<Self>, mut request: PendingRequest) {
        let (mut refusals, mut losses) = (0, 0);
        let mut previous_gateway: Option<SharedName> = None;
        loop {
            self.update_answers(|answers| answers.asked += 1);
            request.id = format!("{:016x}", self.rng.borrow_mut().random::<u64>());
            let retry_target = previous_gateway
                .clone()
                .filter(|_| losses > 0)
                .map(|gateway| (gateway, self.spec.back));
            let mut connection = self.acquire_connection(retry_target.clone()).await;
            // A client that retries at the same gateway waits until the gateway has been restarted.
            let waits_for_gateway = matches!(retry_target, Some((_, RetryTarget::Same)));
            for _ in 0..if waits_for_gateway {
                RECONNECT_POLLS
            } else {
                0
            } {
                if connection.is_some() {
                    break;
                }
                sleep(RECONNECT_POLL_INTERVAL).await;
                connection = self.acquire_connection(retry_target.clone()).await;
            }
            let Some(connection) = connection else {
                let (load, key) = (self.name.clone(), request.key.as_str().into());
                self.ledger
                    .borrow_mut()
                    .record_event(|| Event::NoGatewayReachable { load, key });
                return self.update_answers(|answers| answers.lost += 1);
            };
            let end = self.send_try(&connection, &request).await;
            let is_late = self.draw_bool(self.spec.late);
            let pause = match end {
                TryEnd::Final => return,
                TryEnd::Refused(advice) => {
                    refusals += 1;
                    if refusals > self.spec.retries {
                        return;
                    }
                    let advice = Duration::from_millis(advice.unwrap_or(100));
                    if self.draw_bool(self.spec.hasty) {
                        advice.mul_f64(HASTY_FRACTION)
                    } else {
                        advice
                    }
                }
                TryEnd::Lost => {
                    losses += 1;
                    if losses > self.spec.returns || self.class.effect == "unsafe" {
                        return;
                    }
                    let (min_delay, max_delay) = RECONNECT_DELAY_S;
                    Duration::from_secs_f64(
                        self.rng.borrow_mut().random_range(min_delay..max_delay),
                    )
                }
            };
            sleep(if is_late {
                pause.max(self.class.window + LATE_DELAY)
            } else {
                pause
            })
            .await;
            previous_gateway = Some(connection.gateway.clone());
            request.tries += 1;
            request.marked = self.draw_bool(self.spec.marked);
        }
    }

    fn draw_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random::<f64>() < probability
    }

    fn record_try_end(&self, id: &str, outcome: TryOutcome, advice: Option<u64>) {
        self.ledger.borrow_mut().record_event(|| Event::TryEnded {
            id: parse_id(id),
            outcome,
            advice,
        });
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn send_try(&self, connection: &Connection, request: &PendingRequest) -> TryEnd {
        let number = connection.last_number.get() + 1;
        connection.last_number.set(number);
        let (wait, work, ram) = (
            self.spec.wait.as_millis().to_string(),
            format!("{:.1}", request.work),
            format!("{:.1}", request.memory_mb),
        );
        let mut fields = vec![
            ("i", request.id.as_str()),
            ("d", &wait),
            ("t", &self.spec.tenant),
            ("h", &work),
            ("ram", &ram),
        ];
        if self.class.effect == "keyed" || self.spec.keys.is_some() {
            fields.push(("k", &request.key));
        }
        if request.marked {
            fields.push(("r", "1"));
        }
        let bytes = call(
            number,
            &self.spec.class,
            &fields,
            request.statement.as_bytes(),
        );
        let (end_sender, try_end) = oneshot::channel();
        connection
            .open_requests
            .borrow_mut()
            .insert(number, (request.id.clone(), request.rows, end_sender));
        self.ledger.borrow_mut().record_event(|| {
            Event::TrySent(Try {
                load: self.name.clone(),
                class: self.spec.class.as_str().into(),
                id: parse_id(&request.id),
                key: request.key.as_str().into(),
                gateway: connection.gateway.clone(),
                number: request.tries,
                marked: request.marked,
                wait: self.spec.wait.as_micros() as u64,
            })
        });
        if connection
            .write
            .lock()
            .await
            .write_all(&bytes)
            .await
            .is_err()
        {
            connection.close();
        }
        if self.draw_bool(self.spec.forgets) {
            sleep(CANCEL_DELAY).await;
            if connection
                .open_requests
                .borrow_mut()
                .remove(&number)
                .is_some()
            {
                connection.cancelled.borrow_mut().insert(number);
                if connection
                    .write
                    .lock()
                    .await
                    .write_all(&forget(number))
                    .await
                    .is_err()
                {
                    connection.close();
                }
                self.update_answers(|answers| answers.forgotten += 1);
                self.record_try_end(&request.id, TryOutcome::Forgotten, None);
                return TryEnd::Final;
            }
        }
        match timeout(self.spec.wait + ANSWER_GRACE, try_end).await {
            Ok(Ok(end)) => end,
            // The connection was lost before an answer arrived.
            Ok(Err(_)) => {
                self.update_answers(|answers| answers.lost += 1);
                self.record_try_end(&request.id, TryOutcome::ConnectionLost, None);
                TryEnd::Lost
            }
            Err(_) => {
                // A late answer must not count as an answer without a request.
                connection.open_requests.borrow_mut().remove(&number);
                connection.cancelled.borrow_mut().insert(number);
                let mut ledger = self.ledger.borrow_mut();
                if ledger.history.is_none() {
                    ledger.record_violation(format!("{}: no answer at all", self.spec.name));
                }
                drop(ledger);
                self.update_answers(|answers| answers.lost += 1);
                self.record_try_end(&request.id, TryOutcome::Unanswered, None);
                TryEnd::Lost
            }
        }
    }
}
