//! Detects that gateways have lost their connection to the discovery service.

use std::collections::{BTreeMap, BTreeSet};

use eideryard::interface::Micros;

use super::episode_list::EpisodeList;
use super::{Episode, EpisodeKind};

/// A connection that is re-established in less time than this is not an outage.
const MIN_OUTAGE: Micros = 1_500_000;

/// Tracks which gateways have no connection to the discovery service.
#[derive(Default)]
pub(super) struct DiscoveryOutage {
    /// Time at which each gateway without a connection lost it, by source.
    lost_since: BTreeMap<usize, Micros>,
    /// Index of the current episode; `None` if there is no outage.
    episode: Option<usize>,
}

impl DiscoveryOutage {
    pub fn on_lost(&mut self, source: usize, at: Micros) {
        self.lost_since.entry(source).or_insert(at);
    }

    /// Records that a gateway is connected again, or that it has ended and no longer needs a
    /// connection.
    pub fn on_restored(&mut self, source: usize, at: Micros, episodes: &mut EpisodeList) {
        self.lost_since.remove(&source);
        if !self.lost_since.is_empty() {
            return;
        }
        if let Some(index) = self.episode.take() {
            episodes.end_at(index, at);
        }
    }

    /// Starts or extends the episode if a gateway has been disconnected for long enough at the time
    /// `now`.
    pub fn evaluate(&mut self, now: Micros, episodes: &mut EpisodeList) {
        let mut lost = self.lost_since.clone();
        lost.retain(|_, at| *at + MIN_OUTAGE <= now);
        let Some(first) = lost.values().min().copied() else {
            return;
        };
        if self.episode.is_none() {
            let kind = EpisodeKind::DiscoveryDown(BTreeSet::new());
            self.episode = episodes.push(Episode::new(kind, first, 0.0, 0.0));
        }
        let Some(index) = self.episode else { return };
        let episode = episodes.get_mut(index);
        if let EpisodeKind::DiscoveryDown(sources) = &mut episode.kind {
            sources.extend(lost.keys());
        }
        episode.started_at = episode.started_at.min(first);
        let count = lost.len() as f64;
        if count > episode.peak {
            episode.peak = count;
            episode.peak_at = now;
        }
    }
}
