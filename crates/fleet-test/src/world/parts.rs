//! Starts and ends engines, service discovery and gateways, and sets the targets of the links
//! between them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use eideryard_emulators::bulletin::Availability;
use eideryard_emulators::engine::Engine;
use eideryard_emulators::history::{Event, ProcessChange};
use rustix::process::Signal;

use super::{World, RECORD};
use crate::config::{self, GatewayInputs};
use crate::directories;
use crate::links::{BULLETIN, CLIENTS};
use crate::processes::Programs;

/// Extension of a gateway's operator file, which is beside its directory.
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
        self.announce(engines, "up", self.ledger.borrow().now() / 1000);
        Ok(())
    }

    pub(super) async fn set_bulletin(&self, mood: Availability) -> io::Result<()> {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.set_availability(mood).await?;
            let address = Some(bulletin.address).filter(|_| mood != Availability::Down);
            self.links
                .iter()
                .for_each(|links| links.set_target(gateway, BULLETIN, address));
        }
        Ok(())
    }

    /// Records a change of a gateway process in the history.
    pub(super) fn record_process(&self, name: &str, change: ProcessChange) {
        self.ledger.borrow_mut().record_event(|| Event::Gateway {
            gateway: name.into(),
            change,
        });
    }

    /// Sends a signal to a running gateway and records it. Clients no longer dial a gateway that is
    /// to end.
    pub(super) fn signal(&mut self, name: &str, signal: Signal, change: ProcessChange) {
        if !self.processes.names().iter().any(|running| running == name) {
            return;
        }
        self.processes.signal(name, signal);
        self.record_process(name, change);
        if matches!(change, ProcessChange::Killed | ProcessChange::Stopping) {
            self.doors.borrow_mut().remove(name);
        }
        if change == ProcessChange::Killed {
            self.links
                .iter()
                .for_each(|links| links.set_all_targets(name, None));
        }
    }

    /// Waits until a running gateway has ended and removes it. A gateway that must be killed for
    /// this counts as crashed.
    pub(super) async fn finish_gateway(&mut self, name: &str) -> io::Result<()> {
        if !self.processes.names().iter().any(|running| running == name) {
            return Ok(());
        }
        self.doors.borrow_mut().remove(name);
        // A paused process doesn't handle the signal to stop.
        self.processes.signal(name, Signal::CONT);
        if !self.processes.wait_for_end(name).await? {
            self.ledger
                .borrow_mut()
                .record_violation(format!("gateway {name} didn't end in time and was killed"));
            self.crashed.push(name.to_string());
        }
        self.links
            .iter()
            .for_each(|links| links.set_all_targets(name, None));
        self.record_process(name, ProcessChange::Ended);
        Ok(())
    }

    /// Starts a gateway, and points its links and the clients to it once it listens.
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
        let bulletin_address = self
            .links
            .as_ref()
            .and_then(|links| links.address(name, BULLETIN));
        let inputs = GatewayInputs {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bulletin: bulletin_address.unwrap_or(bulletin.address),
            endpoint_list: bulletin.snapshot(),
        };
        let config = config::config(&self.scenario, name, inputs);
        let arguments = match &self.links {
            Some(_) => vec![
                "--operator".to_string(),
                self.write_operator_file(&programs, name)?,
            ],
            None => Vec::new(),
        };
        let (address, start) = self
            .processes
            .start(&programs, name, &config, &arguments)
            .await?;
        self.links
            .iter()
            .for_each(|links| links.set_all_targets(name, None));
        let client_address = match &self.links {
            Some(links) => {
                links.set_target(CLIENTS, name, Some(address));
                links.address(CLIENTS, name)
            }
            None => Some(address),
        };
        let peer_address = self.processes.peer_address(name);
        self.links
            .iter()
            .for_each(|links| links.set_peer_targets(name, peer_address));
        self.record_process(name, ProcessChange::Started(start));
        for address in client_address.into_iter() {
            _ = self.doors.borrow_mut().insert(name.to_string(), address);
        }
        Ok(())
    }

    /// Replaces `{directory}` and `{peer NAME}` in a line of a gateway's operator file.
    pub(super) fn fill_placeholders(&self, name: &str, line: &str, directory: &Path) -> String {
        let mut line = line.replace("{directory}", &directory.display().to_string());
        for gateway in &self.scenario.gateways {
            let address = self
                .links
                .as_ref()
                .and_then(|links| links.address(name, &gateway.name));
            // There is no link from a gateway to itself, and no gateway dials itself.
            let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)));
            line = line.replace(&format!("{{peer {}}}", gateway.name), &address.to_string());
        }
        line
    }

    /// Writes the operator file of a gateway: the directory of its event log and the scenario's
    /// lines. Returns its path.
    pub(super) fn write_operator_file(
        &self,
        programs: &Programs,
        name: &str,
    ) -> io::Result<String> {
        let directory = directories::of(&programs.directory, name);
        std::fs::create_dir_all(&directory)?;
        let mut text = format!("record-dir \"{}\"\n", directory.join(RECORD).display());
        let spec = self
            .scenario
            .gateways
            .iter()
            .find(|gateway| gateway.name == name);
        for line in spec.into_iter().flat_map(|spec| &spec.operator) {
            text += &self.fill_placeholders(name, line, &directory);
            text += "\n";
        }
        // Beside the directory, so that wiping the gateway's state keeps the file.
        let path = programs.directory.join(format!("{name}.{OPERATOR}"));
        std::fs::write(&path, text)?;
        Ok(path.display().to_string())
    }
}
