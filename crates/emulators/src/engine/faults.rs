//! Faults of an engine, as a scenario begins and ends them.

use super::*;

impl Engine {
    /// The process ends: connections are reset, nobody listens.
    pub fn kill(&self) {
        self.note_state(None);
        let mut state = self.state.borrow_mut();
        state.tasks.drain(..).for_each(|task| task.abort());
        state.connections.clear();
        for (_, job) in state.jobs.drain() {
            self.left(&job, false);
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

    /// A new process at the same address, with nothing in its memory.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.kill();
        // Those that were aborted give their sockets back first.
        tokio::task::yield_now().await;
        let listener = self.place.listen()?;
        self.note_state(Some(self.spec.warm_up.as_micros() as u64));
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

    /// Resets its connections.
    pub fn reset(&self) {
        self.state.borrow_mut().connections.clear();
    }

    /// Stands still for a while.
    pub fn stall(&self, lasts: Duration) {
        self.state.borrow_mut().faults.stalled = Some(Instant::now() + lasts);
        self.changed.notify_one();
    }

    /// Says nothing more for a while.
    pub fn vanish(&self, lasts: Duration) {
        self.state.borrow_mut().faults.silent = Some(Instant::now() + lasts);
    }

    /// Answers a share of queries with errors for a while.
    pub fn fail(&self, share: f64, lasts: Duration) {
        let faults = &mut self.state.borrow_mut().faults;
        (faults.errors, faults.errors_until) = (share, Some(Instant::now() + lasts));
    }

    /// Answers all new queries busy for a while.
    pub fn turn_away(&self, lasts: Duration) {
        self.state.borrow_mut().faults.busy_until = Some(Instant::now() + lasts);
    }
}
