//! Power loss: stops all parts at once, with loss of unflushed data, and starts them again.

use std::io;
use std::time::Duration;

use eideryard_emulators::bulletin::Availability;
use eideryard_emulators::history::{Event, ProcessChange};
use eideryard_emulators::scenario::Step;
use rand::Rng;
use rustix::process::Signal;

use super::{Action, World};
use crate::directories;
use crate::links::BULLETIN;

impl World {
    /// Kills all gateways first, so that they stop at the same time, then stops the other parts and
    /// truncates unflushed files.
    pub(super) async fn power_loss(&mut self) -> io::Result<()> {
        let names = self.processes.names();
        for name in names.iter() {
            self.signal(name, Signal::KILL, ProcessChange::Killed);
        }
        self.engines
            .iter()
            .for_each(|engine| self.kill_engine(engine));
        self.set_bulletin(Availability::Down).await?;
        for name in &names {
            self.finish_gateway(name).await?;
        }
        let Some(programs) = self.programs.as_ref().filter(|_| self.links.is_some()) else {
            return Ok(());
        };
        for name in &names {
            let truncated = directories::truncate_unflushed(
                &directories::of(&programs.directory, name),
                &mut self.rng,
            )?;
            self.ledger.borrow_mut().record_event(|| Event::Other {
                text: format!("{name}: {truncated} unflushed files truncated"),
            });
        }
        Ok(())
    }

    /// Returns the start of each part that the step names, at a random time within its duration.
    pub(super) fn power_back(&mut self, step: &Step) -> Vec<(Duration, Action)> {
        let is_named = |name: &str| {
            step.names
                .iter()
                .any(|named| named == "all" || named == name)
        };
        let mut parts: Vec<(&'static str, String)> = Vec::new();
        if is_named(BULLETIN) {
            parts.push(("bulletin", "up".into()));
        }
        for engine in self
            .engines
            .iter()
            .filter(|engine| is_named(&engine.spec.name))
        {
            parts.push(("start", engine.spec.name.clone()));
        }
        for gateway in self
            .scenario
            .gateways
            .iter()
            .filter(|gateway| is_named(&gateway.name))
        {
            parts.push(("start-gateway", gateway.name.clone()));
        }
        self.record_step(format!("power-back {}", step.names.join(" ")));
        let mut starts = Vec::new();
        for (action, name) in parts {
            let after = step.time.mul_f64(self.rng.random::<f64>());
            starts.push((after, Action::Step(Step::new(after, action, vec![name]))));
        }
        starts
    }
}
