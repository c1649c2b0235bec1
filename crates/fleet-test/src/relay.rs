//! One link between two ends: a relay on loopback that forwards bytes, optionally late, slowly, in
//! one direction only or not at all.
//!
//! A cut behaves like a pulled cable: bytes in flight wait, connections stay open and silent, and
//! new ones are never established, because the listener's queue is kept full and nothing is
//! accepted. When the cut ends the bytes arrive, as they would by a transport's retransmission.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::reserved_address::ReservedAddress;
use eideryard_emulators::scenario::LinkDirection;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// Most chunks that wait on one connection in one direction.
const MAX_CHUNKS: usize = 64;
/// Most bytes of a chunk.
const CHUNK: usize = 16 << 10;
/// Queue of connections that wait to be accepted, while no cut keeps it full.
const BACKLOG: i32 = 1024;
/// Timeout for dialing the other end; after it the new connection is reset.
const CONNECTS_WITHIN: Duration = Duration::from_secs(2);

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No bytes are forwarded, and new connections are never established.
    Cut,
    /// No bytes are forwarded, but new connections are established.
    Stall,
    /// Bytes are accepted and dropped.
    Swallow,
    /// Bytes arrive later by this time.
    Delay(Duration),
    /// At most this many bytes per second are forwarded.
    Throttle(u64),
}

impl Fault {
    /// The name in histories.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Cut => "cut",
            Fault::Stall => "stall",
            Fault::Swallow => "swallow",
            Fault::Delay(_) => "delay",
            Fault::Throttle(_) => "throttle",
        }
    }
}

/// The effect of all faults on one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Direction {
    is_held: bool,
    drops_bytes: bool,
    delay: Duration,
    /// Bytes per second; `None` for unlimited.
    rate: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    there: Direction,
    back: Direction,
    /// The link has no target: new connections are refused.
    is_closed: bool,
    /// New connections are never established.
    is_silent: bool,
    /// Number of calls of [`Relay::reset`]; connections end when it changes.
    resets: u64,
}

fn combine_faults(faults: &[(u64, Fault, LinkDirection)], is_closed: bool, resets: u64) -> State {
    let mut state = State {
        is_closed,
        resets,
        ..State::default()
    };
    for (_, fault, way) in faults {
        let mut directions: Vec<&mut Direction> = Vec::new();
        if *way != LinkDirection::Reverse {
            directions.push(&mut state.there);
        }
        if *way != LinkDirection::Forward {
            directions.push(&mut state.back);
        }
        for direction in directions {
            match fault {
                Fault::Cut | Fault::Stall => direction.is_held = true,
                Fault::Swallow => direction.drops_bytes = true,
                Fault::Delay(by) => direction.delay += *by,
                Fault::Throttle(rate) => {
                    direction.rate = Some(direction.rate.map_or(*rate, |limit| limit.min(*rate)));
                }
            }
        }
        // A handshake needs both directions, so a cut of one prevents new connections.
        state.is_silent |= *fault == Fault::Cut;
    }
    state
}

/// One link between two parts of a run.
pub struct Relay {
    /// The address that the near end dials.
    pub address: SocketAddr,
    port: ReservedAddress,
    target: Cell<Option<SocketAddr>>,
    faults: RefCell<Vec<(u64, Fault, LinkDirection)>>,
    state: watch::Sender<State>,
}

impl Relay {
    /// Starts the relay, which refuses connections until it has a target.
    pub fn start() -> io::Result<Rc<Self>> {
        let port = ReservedAddress::reserve(None)?;
        let relay = Rc::new(Relay {
            address: port.address,
            port,
            target: Cell::new(None),
            faults: RefCell::default(),
            state: watch::Sender::new(State {
                is_closed: true,
                ..State::default()
            }),
        });
        spawn_local(relay.clone().serve());
        Ok(relay)
    }

    /// Sets the address of the far end; with `None`, new connections are refused.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.target.set(target);
        self.state
            .send_modify(|state| state.is_closed = target.is_none());
    }

    /// Begins a fault. `number` must be unique among the link's faults.
    pub fn begin(&self, number: u64, fault: Fault, way: LinkDirection) {
        self.faults.borrow_mut().push((number, fault, way));
        self.update_state();
    }

    /// Ends a fault. Returns false if there was none with this number.
    pub fn end(&self, number: u64) -> bool {
        let before = self.faults.borrow().len();
        self.faults
            .borrow_mut()
            .retain(|(active, ..)| *active != number);
        self.update_state();
        self.faults.borrow().len() < before
    }

    fn update_state(&self) {
        let faults = self.faults.borrow();
        self.state
            .send_modify(|state| *state = combine_faults(&faults, state.is_closed, state.resets));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    async fn serve(self: Rc<Self>) {
        let mut changes = self.state.subscribe();
        let (mut listener, mut fillers): (Option<TcpListener>, Vec<Socket>) = (None, Vec::new());
        let mut filler_addresses: Vec<SocketAddr> = Vec::new();
        loop {
            let state = *changes.borrow_and_update();
            if state.is_closed {
                (listener, fillers) = (None, Vec::new());
            } else if listener.is_none() {
                // The port is reserved, so this fails only if descriptors run out; the next change
                // of the state tries again.
                listener = self.port.listen().ok();
            }
            let Some(listening) = listener.as_ref().filter(|_| !state.is_closed) else {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if state.is_silent && fillers.is_empty() {
                fillers = fill_queue(listening, self.address);
                filler_addresses = fillers
                    .iter()
                    .filter_map(|filler| filler.local_addr().ok()?.as_socket())
                    .collect();
            } else if !state.is_silent && !fillers.is_empty() {
                fillers.clear();
                // The listener is open, so this can't fail.
                let _ = SockRef::from(listening).listen(BACKLOG);
            }
            if state.is_silent {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                accepted = listening.accept() => {
                    if let Ok((stream, from)) = accepted {
                        if !filler_addresses.contains(&from) {
                            spawn_local(self.clone().connection(stream));
                        }
                    }
                }
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn connection(self: Rc<Self>, mut near: TcpStream) {
        // Connections end with a reset unless both directions were closed in order.
        let set_reset = |stream: &TcpStream, resets: bool| {
            let _ = SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO));
        };
        set_reset(&near, true);
        let _ = near.set_nodelay(true);
        let mut state = self.state.subscribe();
        let resets = state.borrow().resets;
        let Some(target) = self.target.get() else {
            return;
        };
        let Ok(Ok(mut far)) = timeout(CONNECTS_WITHIN, TcpStream::connect(target)).await else {
            return;
        };
        set_reset(&far, true);
        let _ = far.set_nodelay(true);
        let is_in_order = {
            let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
            let there = forward(near_read, far_write, self.state.subscribe(), |state| {
                state.there
            });
            let back = forward(far_read, near_write, self.state.subscribe(), |state| {
                state.back
            });
            tokio::select! {
                ended = async { tokio::try_join!(there, back) } => ended.is_ok(),
                _ = state.wait_for(|state| state.resets != resets) => false,
            }
        };
        if is_in_order {
            set_reset(&near, false);
            set_reset(&far, false);
        }
    }
}

/// Fills a listener's queue, so that no connection is established while the returned sockets are
/// open.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    // A backlog of 0 admits one connection; the system drops the handshakes of further ones.
    let _ = SockRef::from(listener).listen(0);
    let filler = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                Err(e)
            }
            _ => Ok(socket),
        }
    };
    (0..2).filter_map(|_| filler().ok()).collect()
}

/// Forwards one direction of a connection until its end. An error ends both directions.
async fn forward(
    mut read: ReadHalf<'_>,
    mut write: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    direction: fn(&State) -> Direction,
) -> io::Result<()> {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS);
    let delays = state.clone();
    let reading = async move {
        let mut buffer = vec![0; CHUNK];
        loop {
            let count = read.read(&mut buffer).await?;
            let due = Instant::now() + direction(&delays.borrow()).delay;
            // Sending fails if the writing side has ended.
            if sender.send((due, buffer[..count].to_vec())).await.is_err() || count == 0 {
                return io::Result::Ok(());
            }
        }
    };
    let writing = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            let current = direction(
                &*state
                    .wait_for(|state| !direction(state).is_held)
                    .await
                    .map_err(io::Error::other)?,
            );
            if current.drops_bytes && !chunk.is_empty() {
                // Dropped bytes can't be recovered, so the connection is reset when the fault ends.
                state
                    .wait_for(|state| !direction(state).drops_bytes)
                    .await
                    .map_err(io::Error::other)?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if chunk.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&chunk).await?;
            if let Some(rate) = current.rate {
                let pause = chunk.len() as f64 / rate.max(1) as f64;
                sleep_until(Instant::now() + Duration::from_secs_f64(pause)).await;
            }
        }
        Ok(())
    };
    // The writing side must still send what was read last, so both are awaited.
    tokio::try_join!(reading, writing).map(|_| ())
}

#[cfg(test)]
mod tests;
