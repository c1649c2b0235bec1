//! Detects that gateways have no connection to the discovery service.

use std::collections::{BTreeMap, BTreeSet};

use eideryard::interface::Micros;

use super::episode_list::EpisodeList;
use super::{Episode, EpisodeKind};

/// A shorter loss of the connection is only a reconnect.
const MIN_OUTAGE: Micros = 1_500_000;

#[derive(Default)]
pub(super) struct DiscoveryOutage {
    /// Since when gateways have no connection, by source.
    lost_since: BTreeMap<usize, Micros>,
    /// The index of the episode that lasts.
    episode: Option<usize>,
}

impl DiscoveryOutage {
    pub fn on_lost(&mut self, source: usize, at: Micros) {
        self.lost_since.entry(source).or_insert(at);
    }

    /// A gateway is connected, or is no more and so misses no connection.
    pub fn on_restored(&mut self, source: usize, at: Micros, episodes: &mut EpisodeList) {
        self.lost_since.remove(&source);
        if !self.lost_since.is_empty() {
            return;
        }
        if let Some(index) = self.episode.take() {
            episodes.end_at(index, at);
        }
    }

    /// Judges the time up to `now`.
    pub fn judge(&mut self, now: Micros, episodes: &mut EpisodeList) {
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
