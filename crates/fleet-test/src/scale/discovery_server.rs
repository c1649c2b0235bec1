//! Emulator of service discovery. Sends the same events to all gateways: to real ones over sockets,
//! to hollow ones over channels.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eideryard_emulators::scripted::{is_timeout, Bulletin, BulletinStream};
use serde_json::Value;

use super::discovery;

/// Interval of comments on each stream, which show the gateway that the stream is alive.
const COMMENT_EVERY: Duration = Duration::from_millis(500);
/// Maximum number of events that a hollow gateway hasn't read. One that lags further is
/// disconnected and then misses events, which the check of its event count detects.
const MAX_UNREAD: usize = 4_096;

/// Sequence number of the list that gateways have at their start.
pub const FIRST_NUMBER: u64 = 1;

type Watches = Arc<Mutex<Vec<BulletinStream>>>;

/// Service discovery at one address, with its connected gateways.
pub struct DiscoveryServer {
    /// Address to which real gateways connect.
    pub address: SocketAddr,
    watches: Watches,
    hollow: Vec<SyncSender<Arc<str>>>,
    stop: Arc<AtomicBool>,
    number: u64,
}

fn lock(watches: &Watches) -> MutexGuard<'_, Vec<BulletinStream>> {
    watches.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiscoveryServer {
    /// Starts to listen on a loopback port that the system chooses.
    pub fn start() -> io::Result<Self> {
        let listener = Bulletin::listen("127.0.0.1:0")?;
        let server = DiscoveryServer {
            address: listener.address(),
            watches: Watches::default(),
            hollow: Vec::new(),
            stop: Arc::default(),
            number: FIRST_NUMBER,
        };
        let (watches, stop) = (server.watches.clone(), server.stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok(end) => lock(&watches).push(end),
                    Err(e) if is_timeout(&e) => {}
                    Err(_) => return,
                }
            }
        });
        let (watches, stop) = (server.watches.clone(), server.stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                lock(&watches).retain_mut(|watch| watch.comment().is_ok());
                std::thread::sleep(COMMENT_EVERY);
            }
        });
        Ok(server)
    }

    /// Connects a hollow gateway: returns a channel that receives the same events as all streams.
    pub fn watch(&mut self) -> Receiver<Arc<str>> {
        let (sender, receiver) = sync_channel(MAX_UNREAD);
        self.hollow.push(sender);
        receiver
    }

    /// Sends an event with these engines to all gateways: the whole list, or the changed engines.
    pub fn publish(&mut self, is_whole: bool, hosts: &[Value]) {
        self.number += 1;
        let event: Arc<str> = discovery::event(self.number, is_whole, hosts).into();
        lock(&self.watches).retain_mut(|watch| watch.write_raw(event.as_bytes()).is_ok());
        self.hollow
            .retain(|hollow| hollow.try_send(event.clone()).is_ok());
    }

    /// Number of connected real gateways.
    pub fn watch_count(&self) -> usize {
        lock(&self.watches).len()
    }

    /// Takes over from another server: continues its sequence numbers, and serves its hollow
    /// gateways.
    pub fn take_over(&mut self, other: &mut DiscoveryServer) {
        self.number = other.number;
        self.hollow = std::mem::take(&mut other.hollow);
    }

    /// Closes the streams of all real gateways, which have moved to another server.
    pub fn close_watches(&self) {
        lock(&self.watches).clear();
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
