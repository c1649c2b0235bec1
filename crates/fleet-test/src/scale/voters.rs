//! Real voters (`keeper` in an operator's file): processes of the program that replicate intents,
//! measured under links of hollow gateways and under keyed requests of real ones.
//!
//! A hollow gateway here is only the thread of the peer transport: it sends and answers heartbeats
//! and claims nothing.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eideryard_emulators::ledger::Answers;
use eideryard_emulators::scripted::unused_address;
use eideryard_gateway::links::{classes_fingerprint, PeerMessage};
use eideryard_peer_transport::{Config, Handshake, Hub, PeerEvent, VoterAddress};

use super::clients::RequestKind;
use super::measure::Size;
use super::processes::{Fleet, FleetExit};

/// Number of voters of the fleet.
pub const VOTERS: usize = 3;
/// Number of gateways that aren't voters and serve clients.
const CLIENT_GATEWAYS: usize = 2;
/// Links of a voter that are reserved for real gateways, with some to spare.
pub const SPARE_LINKS: usize = 10;
const FLEET: &str = "scale";
/// Timeout for the first served keyed request. A voter with a new store can't know what it has
/// forgotten, so it votes only once any entry it may have had has expired.
const FIRST_VOTE_TIMEOUT: Duration = Duration::from_secs(20);
const LINK_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Cost of the voters without requests.
#[derive(Clone, Debug, Default)]
pub struct IdleCost {
    /// Processor time of each voter per second, in microseconds.
    pub micros_per_second: Vec<f64>,
    /// Resident memory of each voter.
    pub resident_bytes: Vec<f64>,
}

/// Cost of keyed requests.
#[derive(Clone, Debug, Default)]
pub struct ClaimCost {
    /// Processor time of each voter per keyed request of another gateway, in microseconds.
    pub micros_per_claim: Vec<f64>,
    /// Processor time of each gateway that serves clients per keyed request, in microseconds.
    pub micros_per_request: Vec<f64>,
    /// Answers that the clients received.
    pub answers: Answers,
}

/// Three voters, two gateways that serve clients, and links of hollow gateways.
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
    /// Starts the processes. Voters with new stores wait before they vote, so keyed requests aren't
    /// served yet.
    pub fn start(program: &Path, size: Size) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = (0..VOTERS).map(|_| unused_address()).collect();
        let operator =
            |number: usize, directory: &Path| operator_lines(number, directory, &addresses);
        let fleet = Fleet::start_with(program, VOTERS + CLIENT_GATEWAYS, size, &operator)?;
        Ok(VoterFleet {
            fleet,
            addresses,
            links: Vec::new(),
        })
    }

    /// Waits until keyed requests are served, and warms up the gateways with some.
    pub fn wait_until_served(&self) -> io::Result<()> {
        let deadline = Instant::now() + FIRST_VOTE_TIMEOUT;
        while Instant::now() < deadline {
            if self.fleet.serves_keyed(VOTERS)? {
                return self.fleet.warm_up(VOTERS, RequestKind::Keyed).map(|_| ());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(io::Error::other(format!(
            "the voters served no keyed request within {FIRST_VOTE_TIMEOUT:?}"
        )))
    }

    /// Starts hollow gateways until there are `links` of them, each linked to all voters.
    pub fn open_links(&mut self, links: usize) -> io::Result<()> {
        let before = self.links.len();
        for number in before..links {
            self.links.push(self.start_hollow_gateway(number)?);
        }
        let deadline = Instant::now() + LINK_TIMEOUT;
        let mut up = 0;
        while up < (self.links.len() - before) * VOTERS && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL);
            up += self.links[before..]
                .iter_mut()
                .map(drain_and_count_connected)
                .sum::<usize>();
        }
        let expected = (self.links.len() - before) * VOTERS;
        if up < expected {
            let what =
                format!("only {up} of {expected} links to voters came up within {LINK_TIMEOUT:?}");
            return Err(io::Error::other(what));
        }
        Ok(())
    }

    /// Closes all links of hollow gateways.
    pub fn close_links(&mut self) {
        self.links.clear();
    }

    fn start_hollow_gateway(&self, number: usize) -> io::Result<Hub<PeerMessage>> {
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

    /// Measures the voters for `duration` while clients send nothing.
    pub fn measure_idle(&mut self, duration: Duration) -> io::Result<IdleCost> {
        let (before, began) = (self.fleet.processor_times()?, Instant::now());
        std::thread::sleep(duration);
        let micros_per_second = self.micros_since(&before, began.elapsed())?;
        self.drain_links();
        Ok(IdleCost {
            micros_per_second,
            resident_bytes: self.fleet.resident_bytes()[..VOTERS].to_vec(),
        })
    }

    /// Measures voters and gateways while clients send `rate` keyed requests per second in total.
    /// The idle cost of the voters is subtracted.
    pub fn measure_claims(
        &mut self,
        idle: &IdleCost,
        rate: f64,
        duration: Duration,
    ) -> io::Result<ClaimCost> {
        let drivers = self.fleet.connect(VOTERS, RequestKind::Keyed)?;
        let (before, began) = (self.fleet.processor_times()?, Instant::now());
        let samples =
            self.fleet
                .measure(VOTERS, drivers, rate / CLIENT_GATEWAYS as f64, duration)?;
        let spent = self.micros_since(&before, began.elapsed())?;
        let seconds = began.elapsed().as_secs_f64();
        let answers: Answers = samples.iter().map(|sample| sample.answers).sum();
        let micros_per_claim = |(spent, idle): (&f64, &f64)| {
            (spent - idle).max(0.0) * seconds / answers.asked.max(1) as f64
        };
        let cost = ClaimCost {
            micros_per_claim: spent
                .iter()
                .zip(&idle.micros_per_second)
                .map(micros_per_claim)
                .collect(),
            micros_per_request: samples
                .iter()
                .map(|sample| sample.micros_per_request)
                .collect(),
            answers,
        };
        self.drain_links();
        Ok(cost)
    }

    /// Processor time of each voter per second since the processor times `before`, in
    /// microseconds.
    fn micros_since(&self, before: &[Duration], lasted: Duration) -> io::Result<Vec<f64>> {
        let after = self.fleet.processor_times()?;
        let spent = before.iter().zip(&after).take(VOTERS);
        let micros = |(before, after): (&Duration, &Duration)| {
            (*after - *before).as_secs_f64() * 1e6 / lasted.as_secs_f64()
        };
        Ok(spent.map(micros).collect())
    }

    /// Discards the messages that hollow gateways received, so that no link's queue fills up.
    fn drain_links(&mut self) {
        self.links
            .iter_mut()
            .for_each(|link| _ = drain_and_count_connected(link));
    }

    /// Closes the links and stops all processes.
    pub fn end(self) -> io::Result<FleetExit> {
        drop(self.links);
        self.fleet.end()
    }
}

/// Discards all events of a hollow gateway and returns how many of its links came up.
fn drain_and_count_connected(hub: &mut Hub<PeerMessage>) -> usize {
    std::iter::from_fn(|| hub.try_recv())
        .filter(|event| matches!(event, PeerEvent::Connected { .. }))
        .count()
}
