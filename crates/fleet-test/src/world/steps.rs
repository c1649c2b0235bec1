//! Steps of a scenario: faults that begin, and those that end by themselves.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::bulletin::Mood;
use eideryard_emulators::engine::Engine;
use eideryard_emulators::history::{Process, What};
use eideryard_emulators::scenario::Step;
use rustix::process::Signal;

use super::{Next, Undo, World};
use crate::directories;
use crate::relay::Fault;

impl World {
    pub(super) async fn next(
        &mut self,
        queue: &mut VecDeque<(Duration, Next)>,
        now: Duration,
    ) -> io::Result<()> {
        let more = match queue.pop_front() {
            Some((_, Next::Step(step))) => self.step(&step).await?,
            Some((_, Next::Undo(undo))) => {
                self.undo(undo);
                Vec::new()
            }
            None => Vec::new(),
        };
        for (after, next) in more {
            let at = now + after;
            let place = queue.partition_point(|(own, _)| *own <= at);
            queue.insert(place, (at, next));
        }
        Ok(())
    }

    pub(super) fn did(&self, what: String) {
        self.ledger.borrow_mut().happened(|| What::Did { what });
    }

    pub(super) fn engines_of(&self, names: &[String]) -> Vec<Rc<Engine>> {
        self.engines
            .iter()
            .filter(|engine| names.contains(&engine.spec.name))
            .cloned()
            .collect()
    }

    /// Does a step; gives what follows it, and after how long.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) async fn step(&mut self, step: &Step) -> io::Result<Vec<(Duration, Next)>> {
        let engines = self.engines_of(&step.names);
        if step.action.starts_with("link-") {
            return Ok(self.link_step(step));
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
            "drain" => self.tell(&engines, "draining", 0),
            "remove" => self.tell(&engines, "removed", 0),
            "list" => self.tell(&engines, "up", 0),
            "bulletin" => {
                self.bulletin(match step.names[0].as_str() {
                    "down" => Mood::Down,
                    "silent" => Mood::Silent,
                    _ => Mood::Up,
                })
                .await?;
            }
            "kill-gateway" => {
                step.names
                    .iter()
                    .for_each(|name| self.signal(name, Signal::KILL, Process::Killed));
                for name in &step.names {
                    self.ended(name).await?;
                }
            }
            "stop-gateway" => step
                .names
                .iter()
                .for_each(|name| self.signal(name, Signal::TERM, Process::Stopping)),
            "start-gateway" => {
                for name in step
                    .names
                    .iter()
                    .filter(|name| !self.processes.is_running(name))
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.ended(&name).await?;
                    self.start_gateway(&name).await?;
                }
            }
            "pause-gateway" => {
                step.names
                    .iter()
                    .for_each(|name| self.signal(name, Signal::STOP, Process::Paused));
                let undo = |name: &String| (step.lasts, Next::Undo(Undo::Continue(name.clone())));
                return Ok(step.names.iter().map(undo).collect());
            }
            "stall-disk" => {
                for name in &step.names {
                    self.processes.stall_thread(name, "store")?;
                }
                self.did(format!("stall-disk {}", step.names.join(" ")));
                let undo = |name: &String| (step.lasts, Next::Undo(Undo::Disk(name.clone())));
                return Ok(step.names.iter().map(undo).collect());
            }
            "save-directory" | "wipe-directory" | "put-back-directory" => self.directories(step)?,
            "power-loss" => self.power_loss().await?,
            "power-back" => return Ok(self.power_back(step)),
            _ => {}
        }
        if !matches!(
            step.action,
            "start-gateway" | "kill-gateway" | "stop-gateway"
        ) {
            self.did(
                format!("{} {}", step.action, step.names.join(" "))
                    .trim_end()
                    .to_string(),
            );
        }
        Ok(Vec::new())
    }

    pub(super) fn link_step(&mut self, step: &Step) -> Vec<(Duration, Next)> {
        let Some(links) = &mut self.links else {
            return Vec::new();
        };
        let fault = match step.action {
            "link-reset" => {
                links.reset(&step.names[0], &step.names[1]);
                return Vec::new();
            }
            "link-flap" => {
                // Cut for one period, whole for the next.
                let lasts = step.lasts.min(self.scenario.time);
                let cut = |at: Duration| {
                    let cut = Step {
                        action: "link-cut",
                        at,
                        lasts: step.time,
                        ..step.clone()
                    };
                    (at, Next::Step(cut))
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
        vec![(step.lasts, Next::Undo(Undo::Link(links.begin(step, fault))))]
    }

    pub(super) fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Link(active) => self.links.iter().for_each(|links| links.end(&active)),
            Undo::Disk(name) => {
                self.processes.resume_thread(&name);
                self.did(format!("the disk of {name} goes on"));
            }
            Undo::Continue(name) => self.signal(&name, Signal::CONT, Process::Continued),
        }
    }

    pub(super) fn directories(&mut self, step: &Step) -> io::Result<()> {
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
