//! One link between two ends: a relay on loopback that passes bytes on, late, slowly, one way or
//! not at all.
//!
//! A cut is as a cable that is pulled: what was sent waits, connections stay open and silent, and
//! new ones never come up, since the listener's queue is kept full while nobody accepts. What
//! waited arrives when the cut is over, as a transport that sends again would have it.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::place::Place;
use eideryard_emulators::scenario::Way;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// Pieces that wait on one connection in one direction, and the bytes of each at most: what a link
/// holds.
const MAX_PIECES: usize = 64;
const PIECE: usize = 16 << 10;
/// Connections that may wait to be accepted while the link is whole.
const BACKLOG: i32 = 1024;
/// The other end has answered a new connection by then, or it is refused.
const CONNECTS_WITHIN: Duration = Duration::from_secs(2);

/// What goes wrong on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes, and new connections never come up.
    Cut,
    /// Nothing passes, but new connections come up.
    Stall,
    /// Bytes are taken and none delivered.
    Swallow,
    /// What passes takes longer by so much.
    Delay(Duration),
    /// Bytes a second.
    Throttle(u64),
}

impl Fault {
    /// Its name in histories.
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

/// What holds in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Lane {
    holds: bool,
    swallows: bool,
    delay: Duration,
    rate: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    there: Lane,
    back: Lane,
    /// Nobody is at the other end: new connections are refused.
    vacant: bool,
    /// New connections never come up.
    silent: bool,
    /// Counts orders to end all connections.
    resets: u64,
}

fn combine_faults(faults: &[(u64, Fault, Way)], vacant: bool, resets: u64) -> State {
    let mut state = State {
        vacant,
        resets,
        ..State::default()
    };
    for (_, fault, way) in faults {
        let mut lanes: Vec<&mut Lane> = Vec::new();
        if *way != Way::Back {
            lanes.push(&mut state.there);
        }
        if *way != Way::There {
            lanes.push(&mut state.back);
        }
        for lane in lanes {
            match fault {
                Fault::Cut | Fault::Stall => lane.holds = true,
                Fault::Swallow => lane.swallows = true,
                Fault::Delay(by) => lane.delay += *by,
                Fault::Throttle(rate) => {
                    lane.rate = Some(lane.rate.map_or(*rate, |own| own.min(*rate)));
                }
            }
        }
        // No connection comes up over a way that delivers one direction only.
        state.silent |= *fault == Fault::Cut;
    }
    state
}

/// One link that is led through the rig.
pub struct Relay {
    /// Where the link's one end finds the other.
    pub address: SocketAddr,
    place: Place,
    target: Cell<Option<SocketAddr>>,
    faults: RefCell<Vec<(u64, Fault, Way)>>,
    state: watch::Sender<State>,
}

impl Relay {
    /// Refuses until it has a target.
    pub fn start() -> io::Result<Rc<Self>> {
        let place = Place::reserve(None)?;
        let relay = Rc::new(Relay {
            address: place.address,
            place,
            target: Cell::new(None),
            faults: RefCell::default(),
            state: watch::Sender::new(State {
                vacant: true,
                ..State::default()
            }),
        });
        spawn_local(relay.clone().serve());
        Ok(relay)
    }

    /// Where the other end is now, if anybody is there.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.target.set(target);
        self.state
            .send_modify(|state| state.vacant = target.is_none());
    }

    /// Begins a fault under a number of its own.
    pub fn begin(&self, number: u64, fault: Fault, way: Way) {
        self.faults.borrow_mut().push((number, fault, way));
        self.update_state();
    }

    /// False: it had ended already.
    pub fn end(&self, number: u64) -> bool {
        let before = self.faults.borrow().len();
        self.faults.borrow_mut().retain(|(own, ..)| *own != number);
        self.update_state();
        self.faults.borrow().len() < before
    }

    fn update_state(&self) {
        let faults = self.faults.borrow();
        self.state
            .send_modify(|state| *state = combine_faults(&faults, state.vacant, state.resets));
    }

    /// Ends all connections now.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    async fn serve(self: Rc<Self>) {
        let mut changes = self.state.subscribe();
        let (mut listener, mut fillers): (Option<TcpListener>, Vec<Socket>) = (None, Vec::new());
        let mut passed_over: Vec<SocketAddr> = Vec::new();
        loop {
            let state = *changes.borrow_and_update();
            if state.vacant {
                (listener, fillers) = (None, Vec::new());
            } else if listener.is_none() {
                // The port is held, so it can only fail for want of descriptors: the next change
                // tries again.
                listener = self.place.listen().ok();
            }
            let Some(own) = listener.as_ref().filter(|_| !state.vacant) else {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if state.silent && fillers.is_empty() {
                fillers = fill_queue(own, self.address);
                passed_over = fillers
                    .iter()
                    .filter_map(|own| own.local_addr().ok()?.as_socket())
                    .collect();
            } else if !state.silent && !fillers.is_empty() {
                fillers.clear();
                // The listener is open, so this can't fail.
                let _ = SockRef::from(own).listen(BACKLOG);
            }
            if state.silent {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                accepted = own.accept() => {
                    if let Ok((stream, from)) = accepted {
                        if !passed_over.contains(&from) {
                            spawn_local(self.clone().connection(stream));
                        }
                    }
                }
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn connection(self: Rc<Self>, mut near: TcpStream) {
        // Whatever ends it, ends it with a reset unless it was closed in order.
        let linger = |stream: &TcpStream, resets: bool| {
            let _ = SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO));
        };
        linger(&near, true);
        let _ = near.set_nodelay(true);
        let mut state = self.state.subscribe();
        let resets = state.borrow().resets;
        let Some(target) = self.target.get() else {
            return;
        };
        let Ok(Ok(mut far)) = timeout(CONNECTS_WITHIN, TcpStream::connect(target)).await else {
            return;
        };
        linger(&far, true);
        let _ = far.set_nodelay(true);
        let in_order = {
            let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
            let there = pass(near_read, far_write, self.state.subscribe(), |state| {
                state.there
            });
            let back = pass(far_read, near_write, self.state.subscribe(), |state| {
                state.back
            });
            tokio::select! {
                ended = async { tokio::try_join!(there, back) } => ended.is_ok(),
                _ = state.wait_for(|state| state.resets != resets) => false,
            }
        };
        if in_order {
            linger(&near, false);
            linger(&far, false);
        }
    }
}

/// Keeps a listener's queue full, so that no connection comes up: sockets that hold the places in
/// it.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    // One place is left, and what comes beyond it is dropped by the system.
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

/// One direction of a connection, until it ends in order; an error ends both.
async fn pass(
    mut read: ReadHalf<'_>,
    mut write: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    lane: fn(&State) -> Lane,
) -> io::Result<()> {
    let (sender, mut pieces) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_PIECES);
    let delays = state.clone();
    let reading = async move {
        let mut chunk = vec![0; PIECE];
        loop {
            let count = read.read(&mut chunk).await?;
            let due = Instant::now() + lane(&delays.borrow()).delay;
            // The writing side has ended where it takes no more.
            if sender.send((due, chunk[..count].to_vec())).await.is_err() || count == 0 {
                return io::Result::Ok(());
            }
        }
    };
    let writing = async move {
        while let Some((due, piece)) = pieces.recv().await {
            sleep_until(due).await;
            let now = lane(
                &*state
                    .wait_for(|state| !lane(state).holds)
                    .await
                    .map_err(io::Error::other)?,
            );
            if now.swallows && !piece.is_empty() {
                // What is lost can't be made good: the connection ends with the fault.
                state
                    .wait_for(|state| !lane(state).swallows)
                    .await
                    .map_err(io::Error::other)?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if piece.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&piece).await?;
            if let Some(rate) = now.rate {
                let pause = piece.len() as f64 / rate.max(1) as f64;
                sleep_until(Instant::now() + Duration::from_secs_f64(pause)).await;
            }
        }
        Ok(())
    };
    // Both, since what was read last still goes out.
    tokio::try_join!(reading, writing).map(|_| ())
}

#[cfg(test)]
mod tests;
