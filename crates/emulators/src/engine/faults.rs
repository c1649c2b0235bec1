//! Faults of an engine that a scenario can cause.

use super::*;

impl Engine {
    /// Ends the process: open connections are reset and new connections refused. Queries and
    /// results are lost.
    pub fn kill(&self) {
        self.record_process_event(None);
        let mut state = self.state.borrow_mut();
        state.tasks.drain(..).for_each(|task| task.abort());
        state.connections.clear();
        for (_, query) in state.queries.drain() {
            self.record_query_ended(&query, false);
        }
        state.results.clear();
        state.faults = Faults::default();
        state.cores = Cores::new(
            self.spec.cores as f64,
            self.spec.memory_mb,
            None,
            self.now(),
        );
    }

    /// Starts a new process at the same address, without queries or results. If the engine's
    /// warm-up time isn't zero, it has 40% of its capacity at first.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't listen at its address.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.kill();
        // Lets the aborted tasks close their sockets first.
        tokio::task::yield_now().await;
        let listener = self.reserved_address.listen()?;
        self.record_process_event(Some(self.spec.warm_up.as_micros() as u64));
        let cold = Some((0.4, self.spec.warm_up.as_secs_f64())).filter(|(_, within)| *within > 0.0);
        {
            let mut state = self.state.borrow_mut();
            state.cores = Cores::new(
                self.spec.cores as f64,
                self.spec.memory_mb,
                cold,
                self.now(),
            );
        }
        self.clone().serve(listener);
        Ok(())
    }

    /// Resets all connections; the process continues to run.
    pub fn reset(&self) {
        self.state.borrow_mut().connections.clear();
    }

    /// Pauses the engine for a time: no query completes, no command is handled, nothing is sent.
    pub fn stall(&self, duration: Duration) {
        self.state.borrow_mut().faults.stalled_until = Some(Instant::now() + duration);
        self.queries_changed.notify_one();
    }

    /// Sends nothing and handles no command for a time, while connections stay open and queries
    /// continue to run.
    pub fn vanish(&self, duration: Duration) {
        self.state.borrow_mut().faults.silent_until = Some(Instant::now() + duration);
    }

    /// Answers a fraction of new queries with errors for a time.
    pub fn fail(&self, share: f64, duration: Duration) {
        let faults = &mut self.state.borrow_mut().faults;
        (faults.error_share, faults.errors_until) = (share, Some(Instant::now() + duration));
    }

    /// Answers all new queries with `BUSY` for a time.
    pub fn turn_away(&self, duration: Duration) {
        self.state.borrow_mut().faults.busy_until = Some(Instant::now() + duration);
    }
}
