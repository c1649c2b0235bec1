//! The thread that holds all links: dials keepers, takes in those who come, beats, and drops what
//! fails. It decides nothing of what it carries. The host's loop never waits for it: both queues
//! are bounded, and one that is full loses what it was given, which the host's core counts on.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token, Waker};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::failure_detector::{Micros, State, BEAT};
use crate::frame::Frame;
use crate::handshake::{takes, Handshake, HandshakeError};
use crate::link::{Link, LinkRead};

/// Links that others made, at the most.
pub const MAX_LINKS: usize = 400;
/// Messages that wait for the thread, and for the host.
pub const MAX_WAITING: usize = 8192;
/// A link that was lost is made anew after a random time up to this, which doubles with each
/// failure.
const FIRST_PAUSE: Micros = 100_000;
const LONGEST_PAUSE: Micros = 2_000_000;
/// One who has not said who it is by then goes.
const HELLO_BY: Micros = 2_000_000;
const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// The first token of a link.
const FIRST: usize = 2;
/// How long the end of the program waits for the thread.
const LAST: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// A keeper that this gateway calls, by its place in the plan.
    Voter(usize),
    /// One that made a link here, by a number that is never used again.
    Requester(u64),
}

pub struct Config {
    pub hello: Handshake,
    /// Where this gateway listens, if it does.
    pub listen: Option<SocketAddr>,
    /// Keepers that it calls: name and address, in the order of their places.
    pub keepers: Vec<(usize, String, SocketAddr)>,
    pub seed: u64,
}

/// What the thread tells the host.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent<M> {
    Up {
        peer: Peer,
        name: String,
    },
    Message {
        peer: Peer,
        message: M,
    },
    /// It does otherwise than before; gone: the link is no more.
    State {
        peer: Peer,
        state: State,
        trip: Micros,
    },
    Rejected {
        name: String,
        why: String,
    },
}

enum Order<M> {
    Tell(Peer, M),
}

/// The host's side.
pub struct Hub<M> {
    orders: Option<SyncSender<Order<M>>>,
    heard: Receiver<PeerEvent<M>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
    pub listens: Option<SocketAddr>,
    unwoken: bool,
    /// Messages that found the thread's queue full.
    pub lost: u64,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Hub<M> {
    /// `wake` is called from the thread when there is something to take.
    pub fn start(plan: Config, wake: Box<dyn Fn() + Send>) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let mut listener = match plan.listen {
            Some(address) => Some(TcpListener::bind(address)?),
            None => None,
        };
        let listens = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        if let Some(listener) = &mut listener {
            poll.registry()
                .register(listener, LISTENER, Interest::READABLE)?;
        }
        let (orders, taken) = sync_channel(MAX_WAITING);
        let (sender, heard) = sync_channel(MAX_WAITING);
        let began = Instant::now();
        let mut thread = Thread {
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
            poll,
            listener,
            links: BTreeMap::new(),
            next: FIRST,
            calls: BTreeMap::new(),
            lives: BTreeMap::new(),
            sender,
            waiting: VecDeque::new(),
            began,
            wake,
            dirty: Vec::new(),
        };
        let name = std::thread::Builder::new().name("peers".into());
        let thread = name.spawn(move || thread.run(taken))?;
        Ok(Hub {
            orders: Some(orders),
            heard,
            waker,
            thread: Some(thread),
            listens,
            unwoken: false,
            lost: 0,
        })
    }

    /// Hands a message over; the thread hears of it with the next [`Hub::flush`].
    pub fn tell(&mut self, peer: Peer, message: M) -> bool {
        let Some(orders) = &self.orders else {
            return false;
        };
        match orders.try_send(Order::Tell(peer, message)) {
            Ok(()) => {
                self.unwoken = true;
                true
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost += 1;
                false
            }
        }
    }

    pub fn flush(&mut self) {
        if std::mem::take(&mut self.unwoken) {
            // One who can't be woken looks by itself soon.
            let _ = self.waker.wake();
        }
    }

    pub fn take(&mut self) -> Option<PeerEvent<M>> {
        self.heard.try_recv().ok()
    }
}

impl<M> Drop for Hub<M> {
    fn drop(&mut self) {
        self.orders = None;
        let _ = self.waker.wake();
        let (until, thread) = (Instant::now() + LAST, self.thread.take());
        while thread.as_ref().is_some_and(|thread| !thread.is_finished()) && Instant::now() < until
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A keeper that is called: under which token there is a link, and when it is called next.
struct Call {
    token: Option<usize>,
    at: Micros,
    pause: Micros,
}

struct Held {
    link: Link,
    peer: Peer,
    /// The name of the keeper that was called.
    expected: Option<String>,
    state: State,
    made: Micros,
    more: bool,
}

struct Thread<M> {
    plan: Config,
    poll: Poll,
    listener: Option<TcpListener>,
    links: BTreeMap<usize, Held>,
    next: usize,
    calls: BTreeMap<usize, Call>,
    /// Identity and start under which each name was heard last.
    lives: BTreeMap<String, (u64, u64)>,
    sender: SyncSender<PeerEvent<M>>,
    /// What the host's queue had no room for: no link is read until it has gone.
    waiting: VecDeque<PeerEvent<M>>,
    began: Instant,
    wake: Box<dyn Fn() + Send>,
    rng: fastrand::Rng,
    /// Links with something to send.
    dirty: Vec<usize>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Thread<M> {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn run(&mut self, orders: Receiver<Order<M>>) {
        let mut events = Events::with_capacity(256);
        for at in 0..self.plan.keepers.len() {
            let at_once = self.rng.u64(0..FIRST_PAUSE);
            self.calls.insert(
                at,
                Call {
                    token: None,
                    at: at_once,
                    pause: FIRST_PAUSE,
                },
            );
        }
        loop {
            let wait = self.patience();
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                    log::error!("fleet: links can't be waited for, so there are none: {e}");
                    return;
                }
                _ => {}
            }
            let mut told = self.pass_on();
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => {}
                    Token(token) => {
                        if let Some(held) = self.links.get_mut(&token) {
                            held.more |= event.is_readable() || event.is_read_closed();
                        }
                        if event.is_writable() {
                            self.dirty.push(token);
                        }
                    }
                }
            }
            loop {
                match orders.try_recv() {
                    Ok(Order::Tell(peer, message)) => self.tell(peer, message),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            let readable: Vec<usize> = self
                .links
                .iter()
                .filter(|(_, held)| held.more)
                .map(|(token, _)| *token)
                .collect();
            for token in readable {
                if self.waiting.is_empty() {
                    self.read(token);
                }
            }
            self.time();
            self.flush();
            told |= self.pass_on();
            if told {
                (self.wake)();
            }
        }
    }

    fn patience(&self) -> Duration {
        if !self.waiting.is_empty() {
            return Duration::from_millis(2);
        }
        if self.links.values().any(|held| held.more) {
            return Duration::ZERO;
        }
        let now = self.now();
        let calls = self
            .calls
            .values()
            .filter(|call| call.token.is_none())
            .map(|call| call.at);
        let made = self
            .links
            .values()
            .filter(|held| matches!(held.peer, Peer::Voter(_)));
        let next = made.map(|held| held.link.detector.due()).chain(calls).min();
        let wait = next
            .unwrap_or(now + BEAT)
            .saturating_sub(now)
            .clamp(1_000, BEAT);
        Duration::from_micros(wait)
    }

    /// Hands over what had no room; says whether something went.
    fn pass_on(&mut self) -> bool {
        let mut told = false;
        while let Some(heard) = self.waiting.pop_front() {
            match self.sender.try_send(heard) {
                Ok(()) => told = true,
                Err(TrySendError::Full(heard)) => {
                    self.waiting.push_front(heard);
                    break;
                }
                Err(TrySendError::Disconnected(_)) => break,
            }
        }
        told
    }

    fn hears(&mut self, heard: PeerEvent<M>) {
        self.waiting.push_back(heard);
    }

    fn accept(&mut self) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, _)) if self.links.len() >= MAX_LINKS + self.plan.keepers.len() => {
                    drop(stream);
                }
                Ok((stream, _)) => {
                    let peer = Peer::Requester(self.next as u64);
                    _ = self.hold(stream, peer, None, Interest::READABLE | Interest::WRITABLE);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn hold(
        &mut self,
        mut stream: TcpStream,
        peer: Peer,
        expected: Option<String>,
        interest: Interest,
    ) -> io::Result<usize> {
        let (token, now) = (self.next, self.now());
        self.poll
            .registry()
            .register(&mut stream, Token(token), interest)?;
        let _ = stream.set_nodelay(true);
        self.next += 1;
        let link = Link::new(stream, now);
        self.links.insert(
            token,
            Held {
                link,
                peer,
                expected,
                state: State::Up,
                made: now,
                more: false,
            },
        );
        Ok(token)
    }

    fn call(&mut self, at: usize) {
        let (place, name, address) = self.plan.keepers[at].clone();
        let made = TcpStream::connect(address);
        let made = made.and_then(|stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.hold(stream, Peer::Voter(place), Some(name), interest)
        });
        let hello = Frame::Handshake(self.plan.hello.clone());
        match made {
            Ok(token) => {
                self.calls
                    .get_mut(&at)
                    .into_iter()
                    .for_each(|call| call.token = Some(token));
                self.put(token, &hello);
            }
            Err(_) => self.call_later(at),
        }
    }

    fn call_later(&mut self, at: usize) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(&at) else {
            return;
        };
        (call.token, call.at) = (None, now + self.rng.u64(call.pause / 2..=call.pause));
        call.pause = (2 * call.pause).min(LONGEST_PAUSE);
    }

    fn put(&mut self, token: usize, carried: &Frame<M>) {
        let Some(held) = self.links.get_mut(&token) else {
            return;
        };
        if held.link.put(carried) {
            self.dirty.push(token);
        } else {
            self.drop_link(token, "it takes nothing");
        }
    }

    fn tell(&mut self, peer: Peer, message: M) {
        let token = match peer {
            Peer::Requester(number) => Some(number as usize),
            Peer::Voter(place) => {
                let at = self.plan.keepers.iter().position(|(own, ..)| *own == place);
                at.and_then(|at| self.calls.get(&at))
                    .and_then(|call| call.token)
            }
        };
        let known = |token: &usize| {
            self.links
                .get(token)
                .is_some_and(|held| held.link.known.is_some())
        };
        if let Some(token) = token.filter(known) {
            self.put(token, &Frame::Message(message));
        }
    }

    fn flush(&mut self) {
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        for token in dirty {
            let Some(held) = self.links.get_mut(&token) else {
                continue;
            };
            match held.link.flush() {
                Err(e) if e.kind() == io::ErrorKind::NotConnected => {}
                Err(_) => self.drop_link(token, "it broke"),
                Ok(()) if held.link.ends && held.link.is_flushed() => {
                    self.drop_link(token, "turned away");
                }
                Ok(()) => {}
            }
        }
    }

    fn read(&mut self, token: usize) {
        let Some(held) = self.links.get_mut(&token) else {
            return;
        };
        let LinkRead {
            frames,
            more,
            ended,
        } = held.link.read();
        held.more = more;
        let now = self.now();
        for carried in frames {
            if let Some(held) = self.links.get_mut(&token) {
                held.link.detector.heard(now);
                self.came(token, carried, now);
            }
        }
        match ended {
            Some(e) => {
                if e.kind() == io::ErrorKind::Other {
                    log::warn!("fleet: {e}; the link is dropped");
                }
                self.drop_link(token, "it ended");
            }
            None => self.look_at(token, now),
        }
    }

    fn came(&mut self, token: usize, carried: Frame<M>, now: Micros) {
        let Some(held) = self.links.get_mut(&token) else {
            return;
        };
        let (peer, known) = (held.peer, held.link.known.is_some());
        match carried {
            Frame::Handshake(hello) if !known => self.introduced(token, hello),
            Frame::Rejected(why) => {
                let name = held.expected.clone().unwrap_or_default();
                self.hears(PeerEvent::Rejected { name, why });
                self.drop_link(token, "turned away");
            }
            Frame::Heartbeat(number) if known => self.put(token, &Frame::HeartbeatReply(number)),
            Frame::HeartbeatReply(number) => held.link.detector.answered(now, number),
            Frame::Message(message) if known => self.hears(PeerEvent::Message { peer, message }),
            // Before it has said who it is, and a second time, nothing else is heard.
            _ => {}
        }
    }

    /// The other end has said who it is.
    fn introduced(&mut self, token: usize, hello: Handshake) {
        let Some(held) = self.links.get_mut(&token) else {
            return;
        };
        let (peer, expected) = (held.peer, held.expected.clone());
        let known = self.lives.get(&hello.name).copied();
        if let Err(why) = takes(&self.plan.hello, &hello, expected.as_deref(), known) {
            return self.turn_away(token, &hello.name, why);
        }
        // The same name once more: the older link is of a process or a path that is no more.
        let same = |(_, held): &(&usize, &Held)| {
            matches!(held.peer, Peer::Requester(_))
                && held.link.known.as_deref() == Some(&*hello.name)
        };
        let older = self.links.iter().find(same).map(|(token, _)| *token);
        if let Some(older) = older.filter(|_| expected.is_none()) {
            self.drop_link(older, "a newer link took its place");
        }
        if self.lives.len() < MAX_LINKS || self.lives.contains_key(&hello.name) {
            self.lives
                .insert(hello.name.clone(), (hello.identity, hello.start));
        }
        if let Some(held) = self.links.get_mut(&token) {
            held.link.known = Some(hello.name.clone());
        }
        match peer {
            Peer::Requester(_) => self.put(token, &Frame::Handshake(self.plan.hello.clone())),
            Peer::Voter(place) => {
                let at = self.plan.keepers.iter().position(|(own, ..)| *own == place);
                let call = at.and_then(|at| self.calls.get_mut(&at));
                for call in call.into_iter() {
                    call.pause = FIRST_PAUSE;
                }
            }
        }
        self.hears(PeerEvent::Up {
            peer,
            name: hello.name,
        });
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn turn_away(&mut self, token: usize, name: &str, why: HandshakeError) {
        let why = why.to_string();
        self.put(token, &Frame::Rejected(why.clone()));
        if let Some(held) = self.links.get_mut(&token) {
            held.link.ends = true;
        }
        self.hears(PeerEvent::Rejected {
            name: name.into(),
            why,
        });
    }

    fn drop_link(&mut self, token: usize, why: &str) {
        let Some(mut held) = self.links.remove(&token) else {
            return;
        };
        let _ = Registry::deregister(self.poll.registry(), &mut held.link.stream);
        if let Some(name) = &held.link.known {
            log::debug!("fleet: the link to {name} is dropped: {why}");
            let trip = held.link.detector.trip();
            self.hears(PeerEvent::State {
                peer: held.peer,
                state: State::Gone,
                trip,
            });
        }
        let at = self
            .calls
            .iter()
            .find(|(_, call)| call.token == Some(token))
            .map(|(at, _)| *at);
        for at in at.into_iter() {
            self.call_later(at);
        }
    }

    /// What time brings: calls, beats, and links that are late.
    fn time(&mut self) {
        let now = self.now();
        let due = self
            .calls
            .iter()
            .filter(|(_, call)| call.token.is_none() && call.at <= now);
        for at in due.map(|(at, _)| *at).collect::<Vec<_>>() {
            self.call(at);
        }
        for token in self.links.keys().copied().collect::<Vec<_>>() {
            let Some(held) = self.links.get_mut(&token) else {
                continue;
            };
            if held.link.known.is_none() {
                if now > held.made + HELLO_BY {
                    self.drop_link(token, "it didn't say who it is");
                }
                continue;
            }
            // The one who made a link asks; the other end hears that.
            let beat =
                Some(&mut held.link.detector).filter(|_| matches!(held.peer, Peer::Voter(_)));
            if let Some(number) = beat.and_then(|detector| detector.beats(now)) {
                self.put(token, &Frame::Heartbeat(number));
            }
            self.look_at(token, now);
        }
    }

    /// Tells the host where a peer does otherwise than before.
    fn look_at(&mut self, token: usize, now: Micros) {
        let Some(held) = self
            .links
            .get_mut(&token)
            .filter(|held| held.link.known.is_some())
        else {
            return;
        };
        let (state, peer) = (held.link.detector.state(now), held.peer);
        let trip = held.link.detector.trip();
        if state == State::Gone {
            return self.drop_link(token, "nothing is heard of it");
        }
        if std::mem::replace(&mut held.state, state) != state {
            self.hears(PeerEvent::State { peer, state, trip });
        }
    }
}
