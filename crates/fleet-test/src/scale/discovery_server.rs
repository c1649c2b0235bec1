//! A stand-in for service discovery: publishes the same events to all watches, those of real
//! gateways over sockets and those of hollow ones over channels.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eideryard_emulators::scripted::{is_timeout, Bulletin, BulletinStream};
use serde_json::Value;

use super::discovery;

/// A comment on each watch says that it lives.
const COMMENT_EVERY: Duration = Duration::from_millis(500);
/// Events that a hollow watch has not taken yet; one that lags by more is left behind, which its
/// count shows.
const MAX_UNREAD: usize = 4_096;

/// The number of the list that gateways start with.
pub const FIRST_NUMBER: u64 = 1;

type Watches = Arc<Mutex<Vec<BulletinStream>>>;

/// Service discovery at one address.
pub struct DiscoveryServer {
    /// Where gateways watch it.
    pub address: SocketAddr,
    watches: Watches,
    hollow: Vec<SyncSender<Arc<str>>>,
    stop: Arc<AtomicBool>,
    number: u64,
}

fn locked(watches: &Watches) -> MutexGuard<'_, Vec<BulletinStream>> {
    watches.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiscoveryServer {
    /// Listens at an address of the system's choice.
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
                    Ok(end) => locked(&watches).push(end),
                    Err(e) if is_timeout(&e) => {}
                    Err(_) => return,
                }
            }
        });
        let (watches, stop) = (server.watches.clone(), server.stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                locked(&watches).retain_mut(|watch| watch.comment().is_ok());
                std::thread::sleep(COMMENT_EVERY);
            }
        });
        Ok(server)
    }

    /// A watch without a socket, which gets the events that all others get.
    pub fn watch(&mut self) -> Receiver<Arc<str>> {
        let (sender, receiver) = sync_channel(MAX_UNREAD);
        self.hollow.push(sender);
        receiver
    }

    /// Publishes these engines to all watches: as all there are, or as those that have changed.
    pub fn publish(&mut self, whole: bool, hosts: &[Value]) {
        self.number += 1;
        let event: Arc<str> = discovery::event(self.number, whole, hosts).into();
        locked(&self.watches).retain_mut(|watch| watch.write_raw(event.as_bytes()).is_ok());
        self.hollow
            .retain(|hollow| hollow.try_send(event.clone()).is_ok());
    }

    /// Real watches that stand.
    pub fn watch_count(&self) -> usize {
        locked(&self.watches).len()
    }

    /// Takes over from another address: events go on behind its last number.
    pub fn take_over(&mut self, other: &mut DiscoveryServer) {
        self.number = other.number;
        self.hollow = std::mem::take(&mut other.hollow);
    }

    /// Forgets the watches of gateways that have moved elsewhere.
    pub fn close_watches(&self) {
        locked(&self.watches).clear();
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
