//! The headline: the time of the incident, the worst episodes, and their effect on requests.

use eideryard_event_analysis::{Episode, EpisodeKind, View};

use super::episodes::{describe, other_episodes};
use super::{intent_refusals, totals, unknown_losses};
use crate::format::clock;

/// Maximum number of episodes that the headline describes.
const MAX_DESCRIBED: usize = 2;
/// Minimum weight of an episode that the headline mentions and includes in the incident's time.
const MIN_HEADLINE_WEIGHT: u8 = 2;
/// Minimum weight of episodes that the headline counts in addition to the worst ones.
const MIN_COUNTED_WEIGHT: u8 = 3;

/// Returns the headline of the report: the time of the incident, the worst episodes, and their
/// effect on requests.
pub fn headline(view: &View) -> String {
    let counts = request_counts(view);
    let episodes = view.detector.episodes();
    let worst = episodes.iter().map(weight).max().unwrap_or(0);
    if worst < MIN_HEADLINE_WEIGHT {
        return format!("No incident was found; {counts}");
    }
    let now = view.detector.now();
    let mut start = u64::MAX;
    let mut end = 0;
    let mut descriptions = Vec::new();
    let mut others = 0;
    for episode in episodes {
        let weight = weight(episode);
        if weight >= MIN_HEADLINE_WEIGHT {
            start = start.min(episode.started_at);
            end = end.max(episode.span(now).1);
        }
        if weight == worst {
            descriptions.push(describe(view, episode));
        } else if weight >= MIN_COUNTED_WEIGHT {
            others += 1;
        }
    }
    descriptions.truncate(MAX_DESCRIBED);
    let more = match others {
        0 => String::new(),
        count => format!("; {}", other_episodes(count)),
    };
    format!(
        "{} to {}: {}{more}; {counts}",
        clock(start),
        clock(end),
        descriptions.join("; ")
    )
}

fn request_counts(view: &View) -> String {
    let totals = totals(view);
    let reasons = intent_refusals(&totals).map(|reasons| format!(" ({reasons})"));
    let losses = unknown_losses(view).map(|losses| format!("; {losses}"));
    format!(
        "of {} requests {} refused{}, {} failed, {} lost{}",
        totals.received,
        totals.refused,
        reasons.unwrap_or_default(),
        totals.failed,
        totals.undelivered,
        losses.unwrap_or_default()
    )
}

/// Returns how much of an incident an episode explains, from 1 to 6: engines that are down explain
/// the most, followed by floods, outages of the discovery service, gaps, and finally symptoms.
fn weight(episode: &Episode) -> u8 {
    match episode.kind {
        EpisodeKind::EnginesDown(_) => 6,
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => 5,
        EpisodeKind::DiscoveryDown(_) => 4,
        EpisodeKind::LogGap(_) => 3,
        EpisodeKind::Refusals | EpisodeKind::Latency(_) => 2,
        EpisodeKind::Drain(_) | EpisodeKind::Quarantine(_) | EpisodeKind::Retries => 1,
    }
}
