//! Performs the steps of a scenario, and undoes those that last for a time.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::bulletin::Availability;
use eideryard_emulators::engine::Engine;
use eideryard_emulators::history::{Event, ProcessChange};
use eideryard_emulators::scenario::Step;
use rustix::process::Signal;

use super::{Action, Undo, World};
use crate::directories;
use crate::relay::Fault;

impl World {
    /// Performs the first action of the queue, and queues the actions that follow from it.
    pub(super) async fn run_next(
        &mut self,
        queue: &mut VecDeque<(Duration, Action)>,
        now: Duration,
    ) -> io::Result<()> {
        let following = match queue.pop_front() {
            Some((_, Action::Step(step))) => self.perform_step(&step).await?,
            Some((_, Action::Undo(undo))) => {
                self.undo(undo);
                Vec::new()
            }
            None => Vec::new(),
        };
        for (after, next) in following {
            let at = now + after;
            let index = queue.partition_point(|(queued, _)| *queued <= at);
            queue.insert(index, (at, next));
        }
        Ok(())
    }

    pub(super) fn record_step(&self, text: String) {
        self.ledger
            .borrow_mut()
            .record_event(|| Event::Other { text });
    }

    pub(super) fn find_engines(&self, names: &[String]) -> Vec<Rc<Engine>> {
        self.engines
            .iter()
            .filter(|engine| names.contains(&engine.spec.name))
            .cloned()
            .collect()
    }

    /// Performs a step. Returns the actions that follow from it, each with the time until it runs.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) async fn perform_step(
        &mut self,
        step: &Step,
    ) -> io::Result<Vec<(Duration, Action)>> {
        let engines = self.find_engines(&step.names);
        if step.action.starts_with("link-") {
            return Ok(self.perform_link_step(step));
        }
        match step.action {
            "kill" => engines.iter().for_each(|engine| self.kill_engine(engine)),
            "start" => self.start_engines(&engines).await?,
            "vanish" => engines.iter().for_each(|engine| engine.vanish(step.lasts)),
            "reset" => engines.iter().for_each(|engine| engine.reset()),
            "stall" => engines.iter().for_each(|engine| engine.stall(step.lasts)),
            "errors" => engines
                .iter()
                .for_each(|engine| engine.fail(step.share, step.lasts)),
            "busy" => engines
                .iter()
                .for_each(|engine| engine.turn_away(step.lasts)),
            "drain" => self.announce(&engines, "draining", 0),
            "remove" => self.announce(&engines, "removed", 0),
            "list" => self.announce(&engines, "up", 0),
            "bulletin" => {
                self.set_bulletin(match step.names[0].as_str() {
                    "down" => Availability::Down,
                    "silent" => Availability::Silent,
                    _ => Availability::Up,
                })
                .await?;
            }
            "kill-gateway" => {
                step.names
                    .iter()
                    .for_each(|name| self.signal(name, Signal::KILL, ProcessChange::Killed));
                for name in &step.names {
                    self.finish_gateway(name).await?;
                }
            }
            "stop-gateway" => step
                .names
                .iter()
                .for_each(|name| self.signal(name, Signal::TERM, ProcessChange::Stopping)),
            "start-gateway" => {
                for name in step
                    .names
                    .iter()
                    .filter(|name| !self.processes.is_running(name))
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.finish_gateway(&name).await?;
                    self.start_gateway(&name).await?;
                }
            }
            "pause-gateway" => {
                step.names
                    .iter()
                    .for_each(|name| self.signal(name, Signal::STOP, ProcessChange::Paused));
                let undo = |name: &String| {
                    (
                        step.lasts,
                        Action::Undo(Undo::ContinueGateway(name.clone())),
                    )
                };
                return Ok(step.names.iter().map(undo).collect());
            }
            "stall-disk" => {
                for name in &step.names {
                    self.processes.stall_thread(name, "store")?;
                }
                self.record_step(format!("stall-disk {}", step.names.join(" ")));
                let undo =
                    |name: &String| (step.lasts, Action::Undo(Undo::ResumeDisk(name.clone())));
                return Ok(step.names.iter().map(undo).collect());
            }
            "save-directory" | "wipe-directory" | "put-back-directory" => {
                self.change_directories(step)?;
            }
            "power-loss" => self.power_loss().await?,
            "power-back" => return Ok(self.power_back(step)),
            _ => {}
        }
        if !matches!(
            step.action,
            "start-gateway" | "kill-gateway" | "stop-gateway"
        ) {
            self.record_step(
                format!("{} {}", step.action, step.names.join(" "))
                    .trim_end()
                    .to_string(),
            );
        }
        Ok(Vec::new())
    }

    pub(super) fn perform_link_step(&mut self, step: &Step) -> Vec<(Duration, Action)> {
        let Some(links) = &mut self.links else {
            return Vec::new();
        };
        let fault = match step.action {
            "link-reset" => {
                links.reset(&step.names[0], &step.names[1]);
                return Vec::new();
            }
            "link-flap" => {
                // The link is cut for one period and works in the next.
                let lasts = step.lasts.min(self.scenario.time);
                let cut = |at: Duration| {
                    let cut = Step {
                        action: "link-cut",
                        at,
                        lasts: step.time,
                        ..step.clone()
                    };
                    (at, Action::Step(cut))
                };
                let periods = lasts.as_micros().div_ceil(2 * step.time.as_micros().max(1)) as u32;
                return (0..periods)
                    .map(|number| cut(step.time * 2 * number))
                    .collect();
            }
            "link-stall" => Fault::Stall,
            "link-swallow" => Fault::Swallow,
            "link-delay" => Fault::Delay(step.time),
            "link-throttle" => Fault::Throttle(step.bytes),
            _ => Fault::Cut,
        };
        vec![(
            step.lasts,
            Action::Undo(Undo::EndLinkFault(links.begin(step, fault))),
        )]
    }

    pub(super) fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::EndLinkFault(active) => self.links.iter().for_each(|links| links.end(&active)),
            Undo::ResumeDisk(name) => {
                self.processes.resume_thread(&name);
                self.record_step(format!("the disk of {name} works again"));
            }
            Undo::ContinueGateway(name) => {
                self.signal(&name, Signal::CONT, ProcessChange::Continued);
            }
        }
    }

    pub(super) fn change_directories(&mut self, step: &Step) -> io::Result<()> {
        let Some(programs) = self.programs.as_ref().filter(|_| self.links.is_some()) else {
            return Ok(());
        };
        for name in &step.names {
            match step.action {
                "save-directory" => directories::save(&programs.directory, name)?,
                "wipe-directory" => directories::wipe(&programs.directory, name)?,
                _ => _ = directories::put_back(&programs.directory, name)?,
            }
        }
        Ok(())
    }
}
