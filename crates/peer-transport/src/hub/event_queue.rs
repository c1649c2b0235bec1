//! Queue of events from the thread to the host. The thread never blocks on the host.

use std::collections::VecDeque;
use std::sync::mpsc::{SyncSender, TrySendError};

use super::PeerEvent;

/// The bounded queue to the host, and the events that do not fit into it yet.
pub(super) struct EventQueue<M> {
    sender: SyncSender<PeerEvent<M>>,
    /// Events that are not in the queue yet. No link is read while there are any, so that the
    /// backlog stays short.
    backlog: VecDeque<PeerEvent<M>>,
    wake_host: Box<dyn Fn() + Send>,
    needs_wake: bool,
}

impl<M> EventQueue<M> {
    pub(super) fn new(sender: SyncSender<PeerEvent<M>>, wake_host: Box<dyn Fn() + Send>) -> Self {
        EventQueue {
            sender,
            backlog: VecDeque::new(),
            wake_host,
            needs_wake: false,
        }
    }

    pub(super) fn push(&mut self, event: PeerEvent<M>) {
        self.backlog.push_back(event);
    }

    pub(super) fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }

    /// Moves as many events from the backlog to the queue as fit.
    pub(super) fn deliver(&mut self) {
        while let Some(event) = self.backlog.pop_front() {
            match self.sender.try_send(event) {
                Ok(()) => self.needs_wake = true,
                Err(TrySendError::Full(event)) => {
                    self.backlog.push_front(event);
                    break;
                }
                Err(TrySendError::Disconnected(_)) => break,
            }
        }
    }

    /// Wakes the host if events were queued since the last call.
    pub(super) fn wake_host(&mut self) {
        if std::mem::take(&mut self.needs_wake) {
            (self.wake_host)();
        }
    }
}
