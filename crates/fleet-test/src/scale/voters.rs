//! Real voters (`keeper` in an operator's file): processes of the program that share their intents,
//! under links of hollow gateways and under keyed requests of real ones.
//!
//! A hollow gateway here is the links' own thread with nothing behind it: it sends heartbeats,
//! answers them, and claims nothing.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eideryard_emulators::ledger::Answers;
use eideryard_emulators::scripted::unused_address;
use eideryard_gateway::links::{classes_fingerprint, PeerMessage};
use eideryard_peer_transport::{Config, Handshake, Hub, PeerEvent, VoterAddress};

use super::clients::Asks;
use super::measure::Size;
use super::processes::{Ended, Fleet};

/// Voters of the fleet, and gateways beside them that clients ask.
pub const VOTERS: usize = 3;
const ASKED: usize = 2;
/// Links that others than hollow gateways make to a voter, and some to spare.
pub const SPARE_LINKS: usize = 10;
const FLEET: &str = "scale";
/// Voters that start for the first time vote after the longest time that they may have forgotten
/// something.
const VOTES_WITHIN: Duration = Duration::from_secs(20);
const LINKS_WITHIN: Duration = Duration::from_secs(10);
const LOOKS_EVERY: Duration = Duration::from_millis(20);

/// What voters took while nobody asked for anything.
#[derive(Clone, Debug, Default)]
pub struct Idle {
    /// Processor time of each voter in a second.
    pub micros_a_second: Vec<f64>,
    /// Memory that each held.
    pub resident_bytes: Vec<f64>,
}

/// What keyed requests took.
#[derive(Clone, Debug, Default)]
pub struct Claimed {
    /// Processor time of each voter for a keyed request of another gateway.
    pub micros_a_claim: Vec<f64>,
    /// Processor time of each asked gateway for a keyed request.
    pub micros_a_request: Vec<f64>,
    /// What their clients were answered.
    pub answers: Answers,
}

/// Three voters, two gateways that are asked, and links of hollow ones.
pub struct VoterFleet {
    fleet: Fleet,
    addresses: Vec<SocketAddr>,
    links: Vec<Hub<PeerMessage>>,
}

fn operator_lines(number: usize, directory: &Path, addresses: &[SocketAddr]) -> Vec<String> {
    let store = directory.join(format!("g{number}.store"));
    let listen = addresses
        .get(number)
        .map_or("127.0.0.1:0".to_string(), SocketAddr::to_string);
    let mut lines = vec![
        format!("store-dir \"{}\"", store.display()),
        format!("fleet {FLEET} {{"),
        format!("    listen {listen}"),
    ];
    lines.extend(
        addresses
            .iter()
            .enumerate()
            .map(|(at, address)| format!("    keeper g{at} {address}")),
    );
    lines.push("}".into());
    lines
}

impl VoterFleet {
    /// Starts the processes. They serve no keyed request yet: voters that start for the first time
    /// wait.
    pub fn start(program: &Path, size: Size) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = (0..VOTERS).map(|_| unused_address()).collect();
        let operator =
            |number: usize, directory: &Path| operator_lines(number, directory, &addresses);
        let fleet = Fleet::start_with(program, VOTERS + ASKED, size, &operator)?;
        Ok(VoterFleet {
            fleet,
            addresses,
            links: Vec::new(),
        })
    }

    /// Waits until keyed requests are served, and lets some be.
    pub fn until_served(&self) -> io::Result<()> {
        let until = Instant::now() + VOTES_WITHIN;
        while Instant::now() < until {
            if self.fleet.serves_keyed(VOTERS)? {
                return self.fleet.warm_up(VOTERS, Asks::Keyed).map(|_| ());
            }
            std::thread::sleep(LOOKS_EVERY);
        }
        Err(io::Error::other(format!(
            "no keyed request was served within {VOTES_WITHIN:?}"
        )))
    }

    /// Adds links of hollow gateways until there are so many, each to all voters.
    pub fn link(&mut self, links: usize) -> io::Result<()> {
        let before = self.links.len();
        for number in before..links {
            self.links.push(self.hollow(number)?);
        }
        let until = Instant::now() + LINKS_WITHIN;
        let mut up = 0;
        while up < (self.links.len() - before) * VOTERS && Instant::now() < until {
            std::thread::sleep(LOOKS_EVERY);
            up += self.links[before..]
                .iter_mut()
                .map(links_that_came_up)
                .sum::<usize>();
        }
        let wanted = (self.links.len() - before) * VOTERS;
        if up < wanted {
            let what = format!("{up} of {wanted} links to voters came up within {LINKS_WITHIN:?}");
            return Err(io::Error::other(what));
        }
        Ok(())
    }

    /// Ends all links of hollow gateways.
    pub fn unlink(&mut self) {
        self.links.clear();
    }

    fn hollow(&self, number: usize) -> io::Result<Hub<PeerMessage>> {
        let settings = self.fleet.settings()?;
        let handshake = Handshake {
            version: eideryard_peer_transport::VERSION,
            fleet: FLEET.into(),
            name: format!("h{number}"),
            voters: (0..VOTERS).map(|at| format!("g{at}")).collect(),
            classes_fingerprint: classes_fingerprint(&settings.classes),
            identity: number as u64 + 1,
            start_number: 1,
        };
        let voters = self
            .addresses
            .iter()
            .enumerate()
            .map(|(index, address)| VoterAddress {
                index,
                name: format!("g{index}"),
                address: *address,
            })
            .collect();
        Hub::start(
            Config {
                handshake,
                listen_address: None,
                voters,
                seed: number as u64,
            },
            Box::new(|| ()),
        )
    }

    /// What voters take while clients ask for nothing.
    pub fn idle(&mut self, lasts: Duration) -> io::Result<Idle> {
        let (before, began) = (self.fleet.processor_times()?, Instant::now());
        std::thread::sleep(lasts);
        let micros_a_second = self.micros_since(&before, began.elapsed())?;
        self.drain_links();
        Ok(Idle {
            micros_a_second,
            resident_bytes: self.fleet.resident_bytes()[..VOTERS].to_vec(),
        })
    }

    /// What voters and asked gateways take for keyed requests, so many a second in all, beyond what
    /// the voters take anyway.
    pub fn claims(&mut self, idle: &Idle, rate: f64, lasts: Duration) -> io::Result<Claimed> {
        let drivers = self.fleet.connect(VOTERS, Asks::Keyed)?;
        let (before, began) = (self.fleet.processor_times()?, Instant::now());
        let samples = self
            .fleet
            .measure(VOTERS, drivers, rate / ASKED as f64, lasts)?;
        let taken = self.micros_since(&before, began.elapsed())?;
        let seconds = began.elapsed().as_secs_f64();
        let answers: Answers = samples.iter().map(|sample| sample.answers).sum();
        let of_claim = |(taken, idle): (&f64, &f64)| {
            (taken - idle).max(0.0) * seconds / answers.asked.max(1) as f64
        };
        let claimed = Claimed {
            micros_a_claim: taken
                .iter()
                .zip(&idle.micros_a_second)
                .map(of_claim)
                .collect(),
            micros_a_request: samples
                .iter()
                .map(|sample| sample.micros_a_request)
                .collect(),
            answers,
        };
        self.drain_links();
        Ok(claimed)
    }

    /// Processor time of each voter in a second, since earlier times of all processes.
    fn micros_since(&self, before: &[Duration], lasted: Duration) -> io::Result<Vec<f64>> {
        let after = self.fleet.processor_times()?;
        let spent = before.iter().zip(&after).take(VOTERS);
        let micros = |(before, after): (&Duration, &Duration)| {
            (*after - *before).as_secs_f64() * 1e6 / lasted.as_secs_f64()
        };
        Ok(spent.map(micros).collect())
    }

    /// Hollow gateways take what voters sent them, so that no link is full.
    fn drain_links(&mut self) {
        self.links
            .iter_mut()
            .for_each(|link| _ = links_that_came_up(link));
    }

    /// Ends all processes.
    pub fn end(self) -> io::Result<Ended> {
        drop(self.links);
        self.fleet.end()
    }
}

/// Takes all that a hollow gateway received; how many of its links came up.
fn links_that_came_up(hub: &mut Hub<PeerMessage>) -> usize {
    std::iter::from_fn(|| hub.try_recv())
        .filter(|event| matches!(event, PeerEvent::Connected { .. }))
        .count()
}
