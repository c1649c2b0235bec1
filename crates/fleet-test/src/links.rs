//! The links between the parts of a run, each with its relay, by the names of their ends; begins
//! and ends faults on them.

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
    last_fault: u64,
}

/// A fault that has begun and lasts until [`Links::end`].
pub struct ActiveFault {
    number: u64,
    fault: Fault,
    links: Vec<(Name, Name)>,
}

impl Links {
    /// Starts a relay for each link: from clients to gateways, and from each gateway to its
    /// bulletin, the engines and the other gateways. Relays refuse connections until they have a
    /// target.
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
            last_fault: 0,
        })
    }

    fn link(&self, from: &str, to: &str) -> Option<&Rc<Relay>> {
        self.links.get(&(from.into(), to.into()))
    }

    /// The address that `from` dials to reach `to`; `None` if there is no such link.
    pub fn address(&self, from: &str, to: &str) -> Option<SocketAddr> {
        self.link(from, to).map(|relay| relay.address)
    }

    /// Sets the target of all links to a part, also those from clients; `None` if it is down.
    pub fn set_all_targets(&self, to: &str, target: Option<SocketAddr>) {
        self.links
            .iter()
            .filter(|((_, far), _)| **far == *to)
            .for_each(|(_, relay)| relay.set_target(target));
    }

    /// Sets the target of all links from other gateways to a gateway; `None` if it has no peer
    /// address.
    pub fn set_peer_targets(&self, to: &str, target: Option<SocketAddr>) {
        let is_peer_link =
            |(from, far): &(Name, Name)| **far == *to && self.gateways.contains(from);
        self.links
            .iter()
            .filter(|(ends, _)| is_peer_link(ends))
            .for_each(|(_, relay)| relay.set_target(target));
    }

    /// Sets the target of one link; with `None` the relay refuses connections.
    pub fn set_target(&self, from: &str, to: &str, target: Option<SocketAddr>) {
        self.link(from, to)
            .into_iter()
            .for_each(|relay| relay.set_target(target));
    }

    fn matches(&self, name: &str, end: &Name) -> bool {
        match name {
            "any" => true,
            "gateways" => self.gateways.contains(end),
            "engines" => self.engines.contains(end),
            name => **end == *name,
        }
    }

    /// The links between two ends as a step names them; true for those whose direction is the
    /// reverse of the step's.
    fn between(&self, a: &str, b: &str) -> Vec<((Name, Name), bool)> {
        let is_forward = |from: &Name, to: &Name| self.matches(a, from) && self.matches(b, to);
        let is_reverse = |from: &Name, to: &Name| self.matches(b, from) && self.matches(a, to);
        let all = self
            .links
            .keys()
            .filter(|(from, to)| is_forward(from, to) || is_reverse(from, to));
        all.map(|(from, to)| ((from.clone(), to.clone()), !is_forward(from, to)))
            .collect()
    }

    /// Begins a fault on the links between the two ends that a step names.
    pub fn begin(&mut self, step: &Step, fault: Fault) -> ActiveFault {
        self.last_fault += 1;
        let number = self.last_fault;
        let mut links = Vec::new();
        for ((from, to), is_reversed) in self.between(&step.names[0], &step.names[1]) {
            let way = match (step.way, is_reversed) {
                (Way::There, true) => Way::Back,
                (Way::Back, true) => Way::There,
                (way, _) => way,
            };
            if let Some(relay) = self.link(&from, &to) {
                relay.begin(number, fault, way);
                self.record_fault(&from, &to, fault.name(), true);
                links.push((from, to));
            }
        }
        ActiveFault {
            number,
            fault,
            links,
        }
    }

    /// Ends a fault on all links that have it.
    pub fn end(&self, active: &ActiveFault) {
        for (from, to) in &active.links {
            if self
                .link(from, to)
                .is_some_and(|relay| relay.end(active.number))
            {
                self.record_fault(from, to, active.fault.name(), false);
            }
        }
    }

    /// Resets all connections between two ends.
    pub fn reset(&self, a: &str, b: &str) {
        for ((from, to), _) in self.between(a, b) {
            self.link(&from, &to)
                .into_iter()
                .for_each(|relay| relay.reset());
            self.record_fault(&from, &to, "reset", true);
            self.record_fault(&from, &to, "reset", false);
        }
    }

    /// Records the start or the end of a fault in the history.
    fn record_fault(&self, from: &Name, to: &Name, fault: &'static str, begins: bool) {
        let (from, to) = (from.clone(), to.clone());
        self.ledger.borrow_mut().happened(|| What::Link {
            from,
            to,
            fault,
            begins,
        });
    }
}
