//! Detects engines that are down, and ends their drains and quarantines with the endpoint.

use std::collections::{BTreeMap, BTreeSet};

use eideryard::interface::{EngineId, Micros, Outcome, Phase};

use super::episode_list::EpisodeList;
use super::{Episode, EpisodeKind, MAX_ADDRESSES, SECOND};

/// An engine is considered down if it answers nothing for this long after a connection broke.
const DOWN_AFTER: Micros = SECOND;
/// Engines that go down within this time after the first one belong to the same episode.
const GROUP_TIME: Micros = 3 * SECOND;

/// An engine that lost a connection and has not answered since.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    since: Micros,
    /// Whether a connection to the engine could not be established, which proves that it is down.
    has_refused: bool,
}

impl Unreachable {
    fn is_down(&self, now: Micros) -> bool {
        self.has_refused || self.since + DOWN_AFTER <= now
    }
}

/// Engines that went down within [`GROUP_TIME`].
struct DownGroup {
    /// Index of the group's episode.
    episode: usize,
    /// Engines of the group that are still down.
    engines: BTreeSet<EngineId>,
}

/// Tracks which engines can be reached.
#[derive(Default)]
pub(super) struct EngineHealth {
    unreachable: BTreeMap<EngineId, Unreachable>,
    /// Phase of each engine that the discovery service listed last.
    phases: BTreeMap<EngineId, Phase>,
    /// The group whose episode has not ended, if any.
    down: Option<DownGroup>,
}

impl EngineHealth {
    /// Returns whether an engine is down at present.
    pub fn is_down(&self, engine: EngineId) -> bool {
        let down = self.down.as_ref();
        down.is_some_and(|group| group.engines.contains(&engine))
    }

    pub fn on_outcome(
        &mut self,
        engine: EngineId,
        outcome: Outcome,
        at: Micros,
        episodes: &mut EpisodeList,
    ) {
        match outcome {
            Outcome::Answered | Outcome::AtCapacity | Outcome::Error => {
                self.on_reachable(engine, at, episodes);
            }
            Outcome::Broken => self.on_unreachable(engine, at, false),
            Outcome::NoConnection => self.on_unreachable(engine, at, true),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    pub fn on_endpoint(
        &mut self,
        engine: EngineId,
        phase: Phase,
        is_restarted: bool,
        at: Micros,
        episodes: &mut EpisodeList,
    ) {
        let phase_before = self.phases.insert(engine, phase);
        if self.phases.len() > MAX_ADDRESSES {
            self.phases.retain(|_, phase| *phase != Phase::Removed);
        }
        match phase {
            Phase::Draining if phase_before == Some(Phase::Draining) => {}
            Phase::Draining => episodes.start(EpisodeKind::Drain(engine), at),
            Phase::Ready => {
                episodes.end(&EpisodeKind::Drain(engine), at);
                if is_restarted {
                    self.on_reachable(engine, at, episodes);
                    episodes.end(&EpisodeKind::Quarantine(engine), at);
                }
            }
            Phase::Removed => {
                episodes.end(&EpisodeKind::Drain(engine), at);
                episodes.end(&EpisodeKind::Quarantine(engine), at);
                // An engine that was removed is no longer expected to answer.
                self.on_reachable(engine, at, episodes);
            }
        }
    }

    fn on_unreachable(&mut self, engine: EngineId, at: Micros, has_refused: bool) {
        let unreachable = self.unreachable.entry(engine).or_insert(Unreachable {
            since: at,
            has_refused,
        });
        unreachable.has_refused |= has_refused;
    }

    fn on_reachable(&mut self, engine: EngineId, at: Micros, episodes: &mut EpisodeList) {
        self.unreachable.remove(&engine);
        let Some(group) = &mut self.down else { return };
        group.engines.remove(&engine);
        if group.engines.is_empty() {
            episodes.end_at(group.episode, at);
            self.down = None;
        }
    }

    /// Starts or extends the episode for the engines that are down at the time `now`.
    pub fn evaluate(&mut self, now: Micros, episodes: &mut EpisodeList) {
        let mut down = self.unreachable.clone();
        down.retain(|_, unreachable| unreachable.is_down(now));
        for (engine, unreachable) in down {
            let Some(group) = self.group_for(engine, unreachable.since, episodes) else {
                return;
            };
            add_to_group(group, engine, unreachable.since, episodes);
        }
    }

    /// Returns the group that an engine belongs to, starting a new one if necessary. Returns `None`
    /// if the list of episodes is full.
    fn group_for(
        &mut self,
        engine: EngineId,
        since: Micros,
        episodes: &mut EpisodeList,
    ) -> Option<&mut DownGroup> {
        let is_in_group = self.down.as_ref().is_some_and(|group| {
            let episode = episodes.get_mut(group.episode);
            since <= episode.started_at + GROUP_TIME
                || matches!(&episode.kind, EpisodeKind::EnginesDown(set) if set.contains(&engine))
        });
        if !is_in_group {
            // A new group begins and ends the previous one, although its engines are still down.
            if let Some(previous) = self.down.take() {
                episodes.end_at(previous.episode, since);
            }
            let kind = EpisodeKind::EnginesDown(BTreeSet::from([engine]));
            let episode = episodes.push(Episode::new(kind, since, 1.0, 0.0))?;
            self.down = Some(DownGroup {
                episode,
                engines: BTreeSet::new(),
            });
        }
        self.down.as_mut()
    }
}

fn add_to_group(
    group: &mut DownGroup,
    engine: EngineId,
    since: Micros,
    episodes: &mut EpisodeList,
) {
    let episode = episodes.get_mut(group.episode);
    if let EpisodeKind::EnginesDown(engines) = &mut episode.kind {
        engines.insert(engine);
    }
    episode.started_at = episode.started_at.min(since);
    group.engines.insert(engine);
    let count = group.engines.len() as f64;
    if count > episode.peak || episode.peak_at < episode.started_at {
        episode.peak = count;
        episode.peak_at = since.max(episode.started_at);
    }
}
