//! Graceful shutdown of the gateway, in the phases that [`Shutdown`](crate::shutdown::Shutdown)
//! defines.

use eideryard::interface::{request_timer_tag, Event};
use eideryard_event_log::HostEvent;

use super::Gateway;
use crate::clients::Clients;
use crate::deadlines::Deadline;
use crate::shutdown::{Phase, Remaining, ShutdownStep};

impl Gateway {
    /// Handles SIGTERM: starts the shutdown. New requests are still served until clients have
    /// stopped connecting and all requests are answered.
    pub(super) fn begin_shutdown(&mut self) {
        let now = self.clock.now();
        if !self.shutdown.begin(now, self.longest_wait) {
            return;
        }
        tracing::info!(
            "stopping: {} open requests are still served",
            self.counters.open_requests()
        );
        self.event_recorder
            .record_host_event(now, &HostEvent::Stopping);
        self.clients.is_healthy = false;
        if let Some(intent_durability) = &mut self.intent_durability {
            intent_durability.release_leases(now);
        }
        for phase_start in self.shutdown.phase_starts() {
            self.deadlines.set(phase_start, Deadline::Shutdown);
        }
    }

    /// Runs the shutdown steps whose time has come. Called at the end of each poll.
    pub(super) fn poll_shutdown(&mut self) {
        while self.shutdown.phase() != Phase::Serving {
            if self.shutdown.phase() >= Phase::Closing {
                self.close_idle_connections();
            }
            let remaining = Remaining {
                requests: self.counters.open_requests() as usize,
                connections: self.clients.len(),
            };
            match self.shutdown.next_step(self.clock.now(), remaining) {
                Some(ShutdownStep::CloseIdleConnections | ShutdownStep::Exit) => {}
                Some(ShutdownStep::AnswerOpenRequests) => self.expire_open_requests(),
                None => return,
            }
            if self.is_done() {
                return;
            }
        }
    }

    /// Fires the balancer's end timer of each open request now, so that the request gets its final
    /// answer.
    fn expire_open_requests(&mut self) {
        for request in self.requests.open_keys() {
            let tag = request_timer_tag(request.number());
            self.events.push_back(Event::Timer { tag });
        }
        self.run_balancer();
    }

    fn close_idle_connections(&mut self) {
        // Listening stops only after all connections in the listen queue have been accepted.
        if self.accept_connections() {
            self.clients.stop_listening();
        }
        self.with_clients(Clients::close_idle_connections);
        self.handle_client_events();
        self.run_balancer();
    }

    /// Returns whether the shutdown is complete, so that the process can exit.
    pub fn is_done(&self) -> bool {
        self.shutdown.phase() == Phase::Finished
    }
}
