//! Detects incidents by their symptoms: when each began, was worst and ended, and which overlap.
//!
//! [`Detector`] receives all facts. It hands what concerns engines to `engines`, the connection to
//! the discovery service to `discovery` and requests to `traffic`, which judges each second over a
//! window against a baseline of the fleet's own past. Each of them owns its state and reports to
//! the `episode_list`. Seconds in which a log has a gap prove nothing: episodes that touch one say
//! so.

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

const SECOND: Micros = 1_000_000;
/// Symptoms of traffic are judged over this many seconds.
const WINDOW_SECONDS: usize = 3;
/// Most episodes, and most gaps, that are kept.
const MAX_EPISODES: usize = 4096;
/// Most client addresses, and engines, that are told apart.
const MAX_ADDRESSES: usize = 65_536;

/// What happened. The order is that of episodes that began at the same time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EpisodeKind {
    /// Engines that ended or can't be reached.
    EnginesDown(BTreeSet<EngineId>),
    /// An engine drained.
    Drain(EngineId),
    /// An engine was in quarantine.
    Quarantine(EngineId),
    /// Many requests were refused.
    Refusals,
    /// Many attempts were retries.
    Retries,
    /// A class was slower than usual.
    Latency(usize),
    /// Gateways had no connection to the discovery service, by source.
    DiscoveryDown(BTreeSet<usize>),
    /// A tenant sent many more requests than usual.
    TenantFlood(usize),
    /// A client address sent many more requests than usual.
    AddressFlood(IpAddr),
    /// A log lacks entries or breaks off, by source.
    LogGap(usize),
}

impl EpisodeKind {
    /// The kind's name in tables and filters.
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

/// An incident.
#[derive(Clone, Debug, PartialEq)]
pub struct Episode {
    /// What happened.
    pub kind: EpisodeKind,
    /// When it began.
    pub started_at: Micros,
    /// When it was worst.
    pub peak_at: Micros,
    /// How bad it was then: by kind a number of engines or gateways, a rate per second, a share,
    /// milliseconds, or seconds.
    pub peak: f64,
    /// When it ended; `None` while it lasts.
    pub ended_at: Option<Micros>,
    /// What was usual before, in the unit of the peak.
    pub baseline: f64,
    /// Times within it in which a log has a gap, so that nothing is known of them.
    pub unknown: Vec<(Micros, Micros)>,
    /// How many entries a gap left out, where that is known.
    pub missing_entries: Option<u64>,
    /// The address that most of a tenant's flood came from.
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

    /// Its start and end; `now` stands for the end while it lasts.
    pub fn span(&self, now: Micros) -> (Micros, Micros) {
        let end = self.ended_at.unwrap_or(now.max(self.started_at));
        (self.started_at, end)
    }
}

/// The time that two episodes have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// Index of the earlier episode.
    pub first: usize,
    /// Index of the later episode.
    pub second: usize,
    /// Start of the common time.
    pub from: Micros,
    /// End of the common time.
    pub to: Micros,
}
