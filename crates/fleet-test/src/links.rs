//! All links between the parts of a run, by the names of their ends, and what is wrong with each.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use eideryard_emulators::history::{Name, What};
use eideryard_emulators::ledger;
use eideryard_emulators::scenario::{Step, Way};

use crate::relay::{Fault, Relay};

/// The name of all clients as one end of a link.
pub const CLIENTS: &str = "clients";
/// The name of service discovery as one end of a link.
pub const BULLETIN: &str = "bulletin";

/// The relays of all links, by their ends.
pub struct Links {
    links: BTreeMap<(Name, Name), Rc<Relay>>,
    gateways: Vec<Name>,
    engines: Vec<Name>,
    ledger: ledger::Shared,
    next: u64,
}

/// A fault that lasts, on all links that it was put on.
pub struct ActiveFault {
    number: u64,
    fault: Fault,
    on: Vec<(Name, Name)>,
}

impl Links {
    /// Opens a door for each link of these gateways and engines.
    pub fn start(
        gateways: Vec<Name>,
        engines: Vec<Name>,
        ledger: ledger::Shared,
    ) -> io::Result<Self> {
        let mut links = BTreeMap::new();
        for gateway in &gateways {
            links.insert((CLIENTS.into(), gateway.clone()), Relay::start()?);
            links.insert((gateway.clone(), BULLETIN.into()), Relay::start()?);
            for other in engines
                .iter()
                .chain(gateways.iter().filter(|other| *other != gateway))
            {
                links.insert((gateway.clone(), other.clone()), Relay::start()?);
            }
        }
        Ok(Links {
            links,
            gateways,
            engines,
            ledger,
            next: 0,
        })
    }

    fn link(&self, from: &str, to: &str) -> Option<&Rc<Relay>> {
        self.links.get(&(from.into(), to.into()))
    }

    /// The address at which one end finds the other.
    pub fn door(&self, from: &str, to: &str) -> Option<SocketAddr> {
        self.link(from, to).map(|relay| relay.address)
    }

    /// Where one end of all links that lead to it is now, if anybody is there.
    pub fn set_all_targets(&self, to: &str, target: Option<SocketAddr>) {
        self.links
            .iter()
            .filter(|((_, own), _)| **own == *to)
            .for_each(|(_, relay)| relay.set_target(target));
    }

    /// Where gateways reach another one of them.
    pub fn set_peer_targets(&self, to: &str, target: Option<SocketAddr>) {
        let of_peers = |(from, own): &(Name, Name)| **own == *to && self.gateways.contains(from);
        self.links
            .iter()
            .filter(|(ends, _)| of_peers(ends))
            .for_each(|(_, relay)| relay.set_target(target));
    }

    /// Leads one link to an address, or to nobody.
    pub fn set_target(&self, from: &str, to: &str, target: Option<SocketAddr>) {
        self.link(from, to)
            .into_iter()
            .for_each(|relay| relay.set_target(target));
    }

    fn is(&self, name: &str, end: &Name) -> bool {
        match name {
            "any" => true,
            "gateways" => self.gateways.contains(end),
            "engines" => self.engines.contains(end),
            name => **end == *name,
        }
    }

    /// Links between two ends as a step names them, and whether they are named from their far end.
    fn between(&self, a: &str, b: &str) -> Vec<((Name, Name), bool)> {
        let along = |from: &Name, to: &Name| self.is(a, from) && self.is(b, to);
        let against = |from: &Name, to: &Name| self.is(b, from) && self.is(a, to);
        let all = self
            .links
            .keys()
            .filter(|(from, to)| along(from, to) || against(from, to));
        all.map(|(from, to)| ((from.clone(), to.clone()), !along(from, to)))
            .collect()
    }

    /// Begins a fault on the links that a step names.
    pub fn begin(&mut self, step: &Step, fault: Fault) -> ActiveFault {
        self.next += 1;
        let number = self.next;
        let mut on = Vec::new();
        for ((from, to), turned) in self.between(&step.names[0], &step.names[1]) {
            let way = match (step.way, turned) {
                (Way::There, true) => Way::Back,
                (Way::Back, true) => Way::There,
                (way, _) => way,
            };
            if let Some(relay) = self.link(&from, &to) {
                relay.begin(number, fault, way);
                self.note(&from, &to, fault.name(), true);
                on.push((from, to));
            }
        }
        ActiveFault { number, fault, on }
    }

    /// Ends such a fault.
    pub fn end(&self, active: &ActiveFault) {
        for (from, to) in &active.on {
            if self
                .link(from, to)
                .is_some_and(|relay| relay.end(active.number))
            {
                self.note(from, to, active.fault.name(), false);
            }
        }
    }

    /// Resets all connections between two ends.
    pub fn reset(&self, a: &str, b: &str) {
        for ((from, to), _) in self.between(a, b) {
            self.link(&from, &to)
                .into_iter()
                .for_each(|relay| relay.reset());
            self.note(&from, &to, "reset", true);
            self.note(&from, &to, "reset", false);
        }
    }

    fn note(&self, from: &Name, to: &Name, fault: &'static str, begins: bool) {
        let (from, to) = (from.clone(), to.clone());
        self.ledger.borrow_mut().happened(|| What::Link {
            from,
            to,
            fault,
            begins,
        });
    }
}
