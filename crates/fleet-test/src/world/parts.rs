//! Engines, service discovery and gateways: started, ended, and led to each other.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use eideryard_emulators::bulletin::Mood;
use eideryard_emulators::engine::Engine;
use eideryard_emulators::history::{Process, What};
use rustix::process::Signal;

use super::{World, RECORD};
use crate::config::{self, GatewayInputs};
use crate::directories;
use crate::links::{BULLETIN, CLIENTS};
use crate::processes::Programs;

/// The operator's file of a gateway, beside its directory.
const OPERATOR: &str = "operator.conf";

impl World {
    pub(super) fn kill_engine(&self, engine: &Rc<Engine>) {
        engine.kill();
        self.links
            .iter()
            .for_each(|links| links.set_all_targets(&engine.spec.name, None));
    }

    pub(super) async fn start_engines(&mut self, engines: &[Rc<Engine>]) -> io::Result<()> {
        for engine in engines {
            engine.restart().await?;
            let address = Some(engine.address);
            self.links
                .iter()
                .for_each(|links| links.set_all_targets(&engine.spec.name, address));
        }
        self.tell(engines, "up", self.ledger.borrow().now() / 1000);
        Ok(())
    }

    pub(super) async fn bulletin(&self, mood: Mood) -> io::Result<()> {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.set(mood).await?;
            let address = Some(bulletin.address).filter(|_| mood != Mood::Down);
            self.links
                .iter()
                .for_each(|links| links.set_target(gateway, BULLETIN, address));
        }
        Ok(())
    }

    pub(super) fn note(&self, name: &str, how: Process) {
        self.ledger.borrow_mut().happened(|| What::Gateway {
            gateway: name.into(),
            how,
        });
    }

    /// Sends a signal; one that ends it closes its door as well.
    pub(super) fn signal(&mut self, name: &str, signal: Signal, how: Process) {
        if !self.processes.names().iter().any(|own| own == name) {
            return;
        }
        self.processes.signal(name, signal);
        self.note(name, how);
        if matches!(how, Process::Killed | Process::Stopping) {
            self.doors.borrow_mut().remove(name);
        }
        if how == Process::Killed {
            self.links
                .iter()
                .for_each(|links| links.set_all_targets(name, None));
        }
    }

    pub(super) async fn ended(&mut self, name: &str) -> io::Result<()> {
        if !self.processes.names().iter().any(|own| own == name) {
            return Ok(());
        }
        self.doors.borrow_mut().remove(name);
        // One that stands still doesn't hear that it is to end.
        self.processes.signal(name, Signal::CONT);
        if !self.processes.wait_for_end(name).await? {
            self.ledger
                .borrow_mut()
                .break_rule(format!("gateway {name} doesn't end"));
            self.crashed.push(name.to_string());
        }
        self.links
            .iter()
            .for_each(|links| links.set_all_targets(name, None));
        self.note(name, Process::Ended);
        Ok(())
    }

    pub(super) async fn start_gateway(&mut self, name: &str) -> io::Result<()> {
        let Some(programs) = self.programs.clone() else {
            return Ok(());
        };
        let bulletin = self
            .bulletins
            .get(name)
            .or_else(|| self.bulletins.get(BULLETIN));
        let Some(bulletin) = bulletin.cloned() else {
            return Ok(());
        };
        let door = self
            .links
            .as_ref()
            .and_then(|links| links.door(name, BULLETIN));
        let inputs = GatewayInputs {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bulletin: door.unwrap_or(bulletin.address),
            endpoint_list: bulletin.known(),
        };
        let config = config::config(&self.scenario, name, inputs);
        let more = match &self.links {
            Some(_) => vec!["--operator".to_string(), self.operator(&programs, name)?],
            None => Vec::new(),
        };
        let (address, start) = self
            .processes
            .start(&programs, name, &config, &more)
            .await?;
        self.links
            .iter()
            .for_each(|links| links.set_all_targets(name, None));
        let door = match &self.links {
            Some(links) => {
                links.set_target(CLIENTS, name, Some(address));
                links.door(CLIENTS, name)
            }
            None => Some(address),
        };
        let reached = self.processes.peer_address(name);
        self.links
            .iter()
            .for_each(|links| links.set_peer_targets(name, reached));
        self.note(name, Process::Started(start));
        for door in door.into_iter() {
            _ = self.doors.borrow_mut().insert(name.to_string(), door);
        }
        Ok(())
    }

    /// A line of a gateway's operator's file with its directory and the doors to its peers.
    pub(super) fn filled(&self, name: &str, line: &str, directory: &Path) -> String {
        let mut line = line.replace("{directory}", &directory.display().to_string());
        for gateway in &self.scenario.gateways {
            let door = self
                .links
                .as_ref()
                .and_then(|links| links.door(name, &gateway.name));
            // Its own address nobody calls.
            let door = door.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)));
            line = line.replace(&format!("{{peer {}}}", gateway.name), &door.to_string());
        }
        line
    }

    /// Writes a gateway's operator's file: its record, and what the scenario says.
    pub(super) fn operator(&self, programs: &Programs, name: &str) -> io::Result<String> {
        let own = directories::of(&programs.directory, name);
        std::fs::create_dir_all(&own)?;
        let mut text = format!("record-dir \"{}\"\n", own.join(RECORD).display());
        let spec = self
            .scenario
            .gateways
            .iter()
            .find(|gateway| gateway.name == name);
        for line in spec.into_iter().flat_map(|spec| &spec.operator) {
            text += &self.filled(name, line, &own);
            text += "\n";
        }
        // Beside the directory: what is wiped is state, not the operator's own file.
        let path = programs.directory.join(format!("{name}.{OPERATOR}"));
        std::fs::write(&path, text)?;
        Ok(path.display().to_string())
    }
}
