//! Detects incidents by their symptoms: when each began, peaked and ended, and which of them
//! overlap.
//!
//! [`Detector`] receives all facts. It passes facts about engines to `engines`, facts about the
//! connection to the discovery service to `discovery` and facts about requests to `traffic`, which
//! compares a sliding window with a baseline of the fleet's own past once a second. Each of these
//! modules owns its state and reports episodes to `episode_list`. Nothing can be concluded from the
//! time in which a log has a gap, so episodes that overlap a gap mark that time as unknown.

mod baseline;
mod detector;
mod discovery;
mod engines;
mod episode_list;
mod traffic;
mod window;

use std::collections::BTreeSet;
use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros};

pub use detector::{Detector, LogGap};

/// One second in microseconds.
const SECOND: Micros = 1_000_000;
/// Length in seconds of the sliding window in which symptoms of traffic are detected.
const WINDOW_SECONDS: usize = 3;
/// Maximum number of episodes, and of gaps, that are stored.
const MAX_EPISODES: usize = 4096;
/// Maximum number of client addresses, and of engines, that are tracked separately.
const MAX_ADDRESSES: usize = 65_536;

/// What happened in an episode. Episodes that began at the same time are sorted in the order of
/// these variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EpisodeKind {
    /// These engines ended or could not be reached.
    EnginesDown(BTreeSet<EngineId>),
    /// The discovery service listed this engine as draining.
    Drain(EngineId),
    /// This engine was in quarantine at a gateway.
    Quarantine(EngineId),
    /// An unusual share of requests was refused.
    Refusals,
    /// An unusual share of attempts was retries.
    Retries,
    /// The class with this index was slower than usual.
    Latency(usize),
    /// The gateways of these sources had no connection to the discovery service.
    DiscoveryDown(BTreeSet<usize>),
    /// The tenant with this index sent many more requests than usual.
    TenantFlood(usize),
    /// This client address sent many more requests than usual.
    AddressFlood(IpAddr),
    /// The log of this source lacks entries or breaks off.
    LogGap(usize),
}

impl EpisodeKind {
    /// Returns the kind's name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            EpisodeKind::EnginesDown(_) => "engines gone",
            EpisodeKind::Drain(_) => "drain",
            EpisodeKind::Quarantine(_) => "quarantine",
            EpisodeKind::Refusals => "refusals",
            EpisodeKind::Retries => "resends",
            EpisodeKind::Latency(_) => "latency",
            EpisodeKind::DiscoveryDown(_) => "roster silent",
            EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => "flood",
            EpisodeKind::LogGap(_) => "gap",
        }
    }
}

/// An incident: a time with one kind of symptom.
#[derive(Clone, Debug, PartialEq)]
pub struct Episode {
    /// What happened, and to which engine, class, tenant or gateway.
    pub kind: EpisodeKind,
    /// Start of the episode.
    pub started_at: Micros,
    /// Time at which the value in `peak` was reached.
    pub peak_at: Micros,
    /// Highest value during the episode. Depending on the kind, this is a number of engines or
    /// gateways, a rate per second, a share, milliseconds or seconds.
    pub peak: f64,
    /// End of the episode; `None` while it lasts.
    pub ended_at: Option<Micros>,
    /// Usual value before the episode, in the unit of the peak; 0 for kinds without a baseline.
    pub baseline: f64,
    /// Intervals within the episode in which a log has a gap. Nothing is known about these times.
    pub unknown: Vec<(Micros, Micros)>,
    /// Number of entries missing in a gap; `None` if it is not known or the episode is not a gap.
    pub missing_entries: Option<u64>,
    /// Address that at least half of a tenant's flood came from; `None` if there is none.
    pub address: Option<IpAddr>,
}

impl Episode {
    fn new(kind: EpisodeKind, started_at: Micros, peak: f64, baseline: f64) -> Self {
        Episode {
            kind,
            started_at,
            peak_at: started_at,
            peak,
            ended_at: None,
            baseline,
            unknown: Vec::new(),
            missing_entries: None,
            address: None,
        }
    }

    /// Returns the start and the end of the episode. While the episode lasts, the end is `now`.
    pub fn span(&self, now: Micros) -> (Micros, Micros) {
        let end = self.ended_at.unwrap_or(now.max(self.started_at));
        (self.started_at, end)
    }
}

/// The interval in which two episodes overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// Index in [`Detector::episodes`] of the overlapping episode that comes first in that list.
    pub first: usize,
    /// Index in [`Detector::episodes`] of the other episode.
    pub second: usize,
    /// Time from which both episodes last.
    pub from: Micros,
    /// End of the overlap.
    pub to: Micros,
}
