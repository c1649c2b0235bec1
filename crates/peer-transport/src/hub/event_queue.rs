//! Events on their way to the host, which the thread never waits for.

use std::collections::VecDeque;
use std::sync::mpsc::{SyncSender, TrySendError};

use super::PeerEvent;

/// The queue to the host, and the events that it had no room for.
pub(super) struct EventQueue<M> {
    sender: SyncSender<PeerEvent<M>>,
    /// While there is a backlog no link is read.
    backlog: VecDeque<PeerEvent<M>>,
    wake_host: Box<dyn Fn() + Send>,
    has_delivered: bool,
}

impl<M> EventQueue<M> {
    pub(super) fn new(sender: SyncSender<PeerEvent<M>>, wake_host: Box<dyn Fn() + Send>) -> Self {
        EventQueue {
            sender,
            backlog: VecDeque::new(),
            wake_host,
            has_delivered: false,
        }
    }

    pub(super) fn push(&mut self, event: PeerEvent<M>) {
        self.backlog.push_back(event);
    }

    pub(super) fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }

    /// Hands over as many events as there is room for.
    pub(super) fn deliver(&mut self) {
        while let Some(event) = self.backlog.pop_front() {
            match self.sender.try_send(event) {
                Ok(()) => self.has_delivered = true,
                Err(TrySendError::Full(event)) => {
                    self.backlog.push_front(event);
                    break;
                }
                Err(TrySendError::Disconnected(_)) => break,
            }
        }
    }

    /// Wakes the host if events were handed over since the last call.
    pub(super) fn wake_host(&mut self) {
        if std::mem::take(&mut self.has_delivered) {
            (self.wake_host)();
        }
    }
}
