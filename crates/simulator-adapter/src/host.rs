//! The gateways in this process and the batch of lines that is being read.

use std::collections::BTreeMap;

use eideryard::balancer::Balancer;
use eideryard::interface::{Action, Event, Micros};
use eideryard_settings::{read_settings, SettingsTree};

use crate::actions::write_action;
use crate::error::AdapterError;
use crate::events::{is_event, parse_event};
use crate::line::Line;
use crate::lists::EndpointLists;

/// One gateway of this process.
struct Instance {
    balancer: Balancer,
    /// Number of request classes in the gateway's settings.
    class_count: usize,
}

/// A batch of lines with the same time, which get one reply.
#[derive(Clone, Copy)]
struct Batch {
    now: Micros,
    number: u64,
}

/// All gateways in this process. The gateways share only the endpoint lists that the simulator
/// sends.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: EndpointLists,
    batch: Option<Batch>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Handles one line and returns the reply if the line ends a batch.
    ///
    /// # Errors
    ///
    /// The line is malformed, or the protocol doesn't allow it at this point.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<&str>, AdapterError> {
        if text.is_empty() {
            return Ok(None);
        }
        let line = Line::parse(text)?;
        let verb = || line.verb.to_string();
        if self.lists.is_open() && line.verb != "ITEM" {
            return Err(AdapterError::IncompleteList { verb: verb() });
        }
        if line.verb == "FRAME" {
            self.begin_batch(&line)?;
            return Ok(None);
        }
        let Some(batch) = self.batch else {
            return Err(AdapterError::OutsideBatch { verb: verb() });
        };
        match line.verb {
            "GO" => return Ok(Some(self.end_batch(batch))),
            "MANIFEST" => self.lists.begin(&line)?,
            "ITEM" => self.lists.add_entry(&line)?,
            "ENLIST" => self.add_instance(batch.now, &line)?,
            "TEARDOWN" => self.remove_instance(&line)?,
            verb if is_event(verb) => self.handle_event(batch.now, &line)?,
            // Unknown verbs are ignored, since later versions of the protocol may add verbs.
            _ => {}
        }
        Ok(None)
    }

    /// Handles the end of input, which is allowed only between batches.
    pub fn end_input(&self) -> Result<(), AdapterError> {
        match self.batch {
            Some(batch) => Err(AdapterError::EndedInsideBatch(batch.number)),
            None => Ok(()),
        }
    }

    fn begin_batch(&mut self, line: &Line<'_>) -> Result<(), AdapterError> {
        if self.batch.is_some() {
            return Err(AdapterError::BatchNotEnded);
        }
        let now = line.required("wall-us")?;
        let number = line.required("turn")?;
        self.batch = Some(Batch { now, number });
        self.reply.clear();
        Ok(())
    }

    fn end_batch(&mut self, batch: Batch) -> &str {
        self.batch = None;
        self.reply
            .push_str(&format!("READY turn={}\n", batch.number));
        &self.reply
    }

    fn add_instance(&mut self, now: Micros, line: &Line<'_>) -> Result<(), AdapterError> {
        let number = line.required("who")?;
        let settings = read_settings(&SettingsTree::from_pairs(line.fields()))?;
        let class_count = settings.classes.len();
        let balancer = Balancer::new(settings, line.required("init-seed")?, now);
        let instance = Instance {
            balancer,
            class_count,
        };
        self.instances.insert(number, instance);
        Ok(())
    }

    fn remove_instance(&mut self, line: &Line<'_>) -> Result<(), AdapterError> {
        let number = line.required("who")?;
        match self.instances.remove(&number) {
            Some(_) => Ok(()),
            None => Err(unknown_instance(line, number)),
        }
    }

    fn handle_event(&mut self, now: Micros, line: &Line<'_>) -> Result<(), AdapterError> {
        let number = line.required("who")?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(unknown_instance(line, number));
        };
        let Some(event) = parse_event(line, &self.lists)? else {
            return Ok(());
        };
        if let Event::Arrived(request) = &event {
            if request.class >= instance.class_count {
                return Err(AdapterError::UnknownClass {
                    class: request.class,
                    instance: number,
                });
            }
        }
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, number, action);
        }
        Ok(())
    }
}

fn unknown_instance(line: &Line<'_>, instance: u64) -> AdapterError {
    AdapterError::UnknownInstance {
        verb: line.verb.to_string(),
        instance,
    }
}
