//! Passes facts and the progress of time to the modules that detect episodes.

use eideryard::interface::{EngineId, Micros};

use super::discovery::DiscoveryOutage;
use super::engines::EngineHealth;
use super::episode_list::EpisodeList;
use super::traffic::Traffic;
use super::{Episode, EpisodeKind, Overlap, MAX_EPISODES, SECOND, WINDOW_SECONDS};
use crate::state::{Fact, TimedFact};

/// Number of seconds after the end of the window in which a fleet without requests is still
/// evaluated every second. A longer quiet time is skipped at once.
const QUIET_SECONDS: Micros = 10;

/// An interval in which a log has no entries although the gateway ran or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogGap {
    /// Index of the source whose log has the gap.
    pub source: usize,
    /// Time of the last entry before the gap.
    pub from: Micros,
    /// Time of the first entry after the gap, or the time up to which it is known to last.
    pub to: Micros,
}

/// Detects episodes in the facts of all gateways.
#[derive(Default)]
pub struct Detector {
    episodes: EpisodeList,
    traffic: Traffic,
    engines: EngineHealth,
    discovery: DiscoveryOutage,
    gaps: Vec<LogGap>,
    /// Start of the current second; 0 before the first fact.
    second_at: Micros,
    now: Micros,
}

impl Detector {
    /// Creates a detector without baselines and episodes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the episodes detected so far. They are sorted by time only after
    /// [`Detector::finish`].
    pub fn episodes(&self) -> &[Episode] {
        self.episodes.as_slice()
    }

    /// Returns whether an engine is down at present.
    pub fn is_down(&self, engine: EngineId) -> bool {
        self.engines.is_down(engine)
    }

    /// Returns the gaps of all logs.
    pub fn gaps(&self) -> &[LogGap] {
        &self.gaps
    }

    /// Returns the latest time of all facts added.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns all pairs of episodes that overlap in time.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let episodes = self.episodes();
        let mut overlaps = Vec::new();
        for (first, episode) in episodes.iter().enumerate() {
            let (start, end) = episode.span(self.now);
            for (second, other) in episodes.iter().enumerate().skip(first + 1) {
                let (other_start, other_end) = other.span(self.now);
                let from = start.max(other_start);
                let to = end.min(other_end);
                if from < to {
                    overlaps.push(Overlap {
                        first,
                        second,
                        from,
                        to,
                    });
                }
            }
        }
        overlaps
    }

    /// Adds a fact and evaluates the seconds that are complete at its time.
    pub fn add(&mut self, fact: &TimedFact) {
        self.advance(fact.at);
        match fact.fact {
            Fact::RequestReceived {
                tenant, address, ..
            } => self.traffic.second_mut().add_received(tenant, address),
            Fact::RequestEnded {
                class,
                kind,
                duration,
                ..
            } => self.traffic.second_mut().add_ended(class, kind, duration),
            Fact::RequestRefused { .. } => self.traffic.second_mut().add_refused(),
            Fact::AttemptSent { is_retry, .. } => self.traffic.second_mut().add_sent(is_retry),
            _ => self.add_status(fact),
        }
    }

    /// Adds a fact about an engine or a gateway.
    fn add_status(&mut self, fact: &TimedFact) {
        let TimedFact { source, at, fact } = *fact;
        let episodes = &mut self.episodes;
        match fact {
            Fact::AttemptEnded { engine, outcome } => {
                self.engines.on_outcome(engine, outcome, at, episodes);
            }
            Fact::EndpointChanged {
                engine,
                phase,
                is_restarted,
            } => {
                self.engines
                    .on_endpoint(engine, phase, is_restarted, at, episodes);
            }
            Fact::QuarantineChanged {
                engine,
                is_quarantined: true,
            } => episodes.start(EpisodeKind::Quarantine(engine), at),
            Fact::QuarantineChanged {
                engine,
                is_quarantined: false,
            } => episodes.end(&EpisodeKind::Quarantine(engine), at),
            Fact::DiscoveryLinkChanged { is_up: false } => self.discovery.on_lost(source, at),
            Fact::DiscoveryLinkChanged { is_up: true }
            | Fact::DiscoveryEvent { .. }
            | Fact::Ended
            | Fact::BrokenOff => self.discovery.on_restored(source, at, episodes),
            Fact::EntriesMissing { from, entries } => {
                let gap = LogGap {
                    source,
                    from,
                    to: at,
                };
                self.add_gap(gap, entries);
            }
            _ => {}
        }
    }

    /// Ends the detection after the last fact and drops the episodes that ended before `from`.
    pub fn finish(&mut self, from: Micros) {
        // Evaluates the current second too, although it is not complete.
        let now = self.now;
        self.advance(now + SECOND);
        self.now = now;
        for gap in &self.gaps {
            self.episodes
                .mark_unknown(gap.source, gap.from, gap.to, now);
        }
        self.episodes.finish(from);
        self.gaps.retain(|gap| gap.to >= from);
    }

    // ---- Time ----

    /// Evaluates each second that is complete at the time `at`.
    fn advance(&mut self, at: Micros) {
        self.now = self.now.max(at);
        let second_of_fact = at - at % SECOND;
        if self.second_at == 0 {
            self.second_at = second_of_fact;
        }
        let quiet_after = (WINDOW_SECONDS as Micros + QUIET_SECONDS) * SECOND;
        while self.second_at + SECOND <= at {
            if at > self.second_at + quiet_after && self.traffic.is_quiet() {
                // A long time without requests need not be evaluated second by second.
                self.episodes.end_absent(at);
                self.second_at = second_of_fact;
                self.traffic.skip_second();
                return;
            }
            self.evaluate_second();
            self.second_at += SECOND;
        }
    }

    fn evaluate_second(&mut self) {
        let window_end = self.second_at + SECOND;
        self.traffic.end_second();
        self.engines.evaluate(window_end, &mut self.episodes);
        self.discovery.evaluate(window_end, &mut self.episodes);
        self.traffic.evaluate(window_end, &mut self.episodes);
        self.episodes.end_absent(window_end);
    }

    // ---- Gaps ----

    fn add_gap(&mut self, gap: LogGap, entries: Option<u64>) {
        if self.gaps.len() >= MAX_EPISODES {
            return;
        }
        self.gaps.push(gap);
        let seconds = gap.to.saturating_sub(gap.from) as f64 / 1e6;
        let kind = EpisodeKind::LogGap(gap.source);
        let mut episode = Episode::new(kind, gap.from, seconds, 0.0);
        episode.ended_at = Some(gap.to);
        episode.missing_entries = entries;
        self.episodes.push(episode);
    }
}
