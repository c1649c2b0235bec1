//! The list of episodes, including those that have not ended.

use std::collections::BTreeMap;

use eideryard::interface::Micros;

use super::{Episode, EpisodeKind, MAX_EPISODES, SECOND, WINDOW_SECONDS};

/// An episode ends when its symptom has been absent for this long. Shorter pauses are part of the
/// episode.
const MAX_PAUSE: Micros = 3 * SECOND;

/// All episodes detected so far, at most [`MAX_EPISODES`].
#[derive(Default)]
pub(super) struct EpisodeList {
    episodes: Vec<Episode>,
    /// Episodes that have not ended, by kind. Those added with [`EpisodeList::push`] are not
    /// included, because the caller sets their end.
    open: BTreeMap<EpisodeKind, OpenEpisode>,
}

/// An episode that has not ended.
#[derive(Clone, Copy)]
struct OpenEpisode {
    index: usize,
    /// End of the last window that showed the symptom; `None` if a fact ends the episode instead.
    last_seen: Option<Micros>,
}

impl EpisodeList {
    pub fn as_slice(&self) -> &[Episode] {
        &self.episodes
    }

    pub fn get_mut(&mut self, index: usize) -> &mut Episode {
        &mut self.episodes[index]
    }

    /// Adds an episode whose end the caller sets. Returns its index, or `None` if the list is full.
    pub fn push(&mut self, episode: Episode) -> Option<usize> {
        if self.episodes.len() >= MAX_EPISODES {
            return None;
        }
        self.episodes.push(episode);
        Some(self.episodes.len() - 1)
    }

    /// Starts an episode that lasts until [`EpisodeList::end`] is called, unless an episode of this
    /// kind already lasts.
    pub fn start(&mut self, kind: EpisodeKind, at: Micros) {
        if self.open.contains_key(&kind) {
            return;
        }
        let Some(index) = self.push(Episode::new(kind.clone(), at, 1.0, 0.0)) else {
            return;
        };
        let open = OpenEpisode {
            index,
            last_seen: None,
        };
        self.open.insert(kind, open);
    }

    pub fn end(&mut self, kind: &EpisodeKind, at: Micros) {
        if let Some(open) = self.open.remove(kind) {
            self.end_at(open.index, at);
        }
    }

    pub fn end_at(&mut self, index: usize, at: Micros) {
        if let Some(episode) = self.episodes.get_mut(index) {
            episode.ended_at = Some(at.max(episode.started_at));
        }
    }

    /// Adds a symptom found in the window that ends at `window_end`: starts an episode, or extends
    /// the one that lasts. Returns the episode's index, or `None` if the list is full.
    pub fn add_symptom(
        &mut self,
        kind: EpisodeKind,
        window_end: Micros,
        value: f64,
        baseline: f64,
    ) -> Option<usize> {
        let started_at = window_end.saturating_sub(SECOND);
        let index = match self.open.get(&kind) {
            Some(open) => open.index,
            None => self.push(Episode::new(kind.clone(), started_at, value, baseline))?,
        };
        let open = OpenEpisode {
            index,
            last_seen: Some(window_end),
        };
        self.open.insert(kind, open);
        let episode = &mut self.episodes[index];
        if value > episode.peak {
            episode.peak = value;
            episode.peak_at = started_at;
        }
        Some(index)
    }

    /// Ends the episodes whose symptoms have been absent for [`MAX_PAUSE`]. Each lasts
    /// up to the first second of the last window that showed its symptom, but at least one second.
    pub fn end_absent(&mut self, now: Micros) {
        let mut absent = Vec::new();
        self.open.retain(|_, open| match open.last_seen {
            Some(last_seen) if last_seen + MAX_PAUSE <= now => {
                absent.push((open.index, last_seen));
                false
            }
            _ => true,
        });
        for (index, last_seen) in absent {
            // A window covers several seconds, so the symptom ended before the end of the last
            // window that showed it.
            let ended_at = last_seen.saturating_sub((WINDOW_SECONDS as Micros - 1) * SECOND);
            let started_at = self.episodes[index].started_at;
            self.end_at(index, ended_at.max(started_at + SECOND));
        }
    }

    /// Marks the time of a gap as unknown in the episodes that overlap it.
    pub fn mark_unknown(&mut self, source: usize, from: Micros, to: Micros, now: Micros) {
        for episode in &mut self.episodes {
            let (start, end) = episode.span(now);
            let is_gap_itself = episode.kind == EpisodeKind::LogGap(source);
            if !is_gap_itself && start < to && from < end {
                add_span(&mut episode.unknown, from.max(start), to.min(end));
            }
        }
    }

    /// Drops the episodes that ended before `from` and sorts the others by their start.
    pub fn finish(&mut self, from: Micros) {
        self.episodes
            .retain(|episode| episode.ended_at.is_none_or(|end| end >= from));
        self.episodes
            .sort_by(|a, b| (a.started_at, &a.kind).cmp(&(b.started_at, &b.kind)));
        self.open.clear();
    }
}

/// Adds an interval to a list of sorted, disjoint intervals, and merges it with those that it
/// touches.
fn add_span(spans: &mut Vec<(Micros, Micros)>, mut from: Micros, mut to: Micros) {
    spans.retain(|(start, end)| {
        let is_apart = *end < from || to < *start;
        if !is_apart {
            from = from.min(*start);
            to = to.max(*end);
        }
        is_apart
    });
    let index = spans.partition_point(|(start, _)| *start < from);
    spans.insert(index, (from, to));
}
