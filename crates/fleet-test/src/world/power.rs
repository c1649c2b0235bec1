//! Power loss: every part at once, with what nobody flushed; and how the parts come back.

use std::io;
use std::time::Duration;

use eideryard_emulators::bulletin::Availability;
use eideryard_emulators::history::{Event, ProcessChange};
use eideryard_emulators::scenario::Step;
use rand::Rng;
use rustix::process::Signal;

use super::{Next, World};
use crate::directories;
use crate::links::BULLETIN;

impl World {
    /// All at once: first every process gets its signal, then comes what takes time.
    pub(super) async fn power_loss(&mut self) -> io::Result<()> {
        let names = self.processes.names();
        for name in names.iter() {
            self.signal(name, Signal::KILL, ProcessChange::Killed);
        }
        self.engines
            .iter()
            .for_each(|engine| self.kill_engine(engine));
        self.bulletin(Availability::Down).await?;
        for name in &names {
            self.ended(name).await?;
        }
        let Some(programs) = self.programs.as_ref().filter(|_| self.links.is_some()) else {
            return Ok(());
        };
        for name in &names {
            let torn =
                directories::tear(&directories::of(&programs.directory, name), &mut self.rng)?;
            self.ledger.borrow_mut().record_event(|| Event::Other {
                text: format!("{name}: {torn} files torn"),
            });
        }
        Ok(())
    }

    /// Each part comes back at a time of its own within the one that is told.
    pub(super) fn power_back(&mut self, step: &Step) -> Vec<(Duration, Next)> {
        let wanted = |name: &str| step.names.iter().any(|own| own == "all" || own == name);
        let mut parts: Vec<(&'static str, String)> = Vec::new();
        if wanted(BULLETIN) {
            parts.push(("bulletin", "up".into()));
        }
        for engine in self
            .engines
            .iter()
            .filter(|engine| wanted(&engine.spec.name))
        {
            parts.push(("start", engine.spec.name.clone()));
        }
        for gateway in self
            .scenario
            .gateways
            .iter()
            .filter(|gateway| wanted(&gateway.name))
        {
            parts.push(("start-gateway", gateway.name.clone()));
        }
        self.did(format!("power-back {}", step.names.join(" ")));
        let mut drawn = Vec::new();
        for (action, name) in parts {
            let after = step.time.mul_f64(self.rng.random::<f64>());
            drawn.push((after, Next::Step(Step::new(after, action, vec![name]))));
        }
        drawn
    }
}
