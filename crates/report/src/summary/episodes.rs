//! Describes episodes in words.

use std::collections::BTreeSet;

use eideryard_event_analysis::{Episode, EpisodeKind, View};

use super::gateway_name;
use crate::format::{clock, list, plural};

/// Returns the name of the engine, class, tenant, address or gateway that an episode is about.
pub fn subject(view: &View, kind: &EpisodeKind) -> String {
    match kind {
        EpisodeKind::EnginesDown(engines) => {
            let names = engines.iter().map(|engine| view.fleet.engine_name(*engine));
            let mut names: Vec<String> = names.collect();
            names.sort();
            list(&names)
        }
        EpisodeKind::Drain(engine) | EpisodeKind::Quarantine(engine) => {
            view.fleet.engine_name(*engine)
        }
        EpisodeKind::Refusals | EpisodeKind::Retries => "the fleet".into(),
        EpisodeKind::Latency(class) => view.fleet.class_name(*class),
        EpisodeKind::DiscoveryDown(sources) => {
            let names = sources.iter().map(|source| gateway_name(view, *source));
            let names: BTreeSet<String> = names.collect();
            list(&Vec::from_iter(names))
        }
        EpisodeKind::TenantFlood(tenant) => view.fleet.tenant_name(*tenant),
        EpisodeKind::AddressFlood(address) => address.to_string(),
        EpisodeKind::LogGap(source) => gateway_name(view, *source),
    }
}

/// Returns an episode's kind and subject, as `drain (e-4)`.
pub fn title(view: &View, kind: &EpisodeKind) -> String {
    format!("{} ({})", kind.name(), subject(view, kind))
}

/// Describes an episode in one clause.
pub fn describe(view: &View, episode: &Episode) -> String {
    let subject = subject(view, &episode.kind);
    let peak = episode.peak;
    let usual = episode.baseline;
    match &episode.kind {
        EpisodeKind::EnginesDown(engines) => describe_engines_down(view, engines.len(), &subject),
        EpisodeKind::Drain(_) => format!("{subject} drained"),
        EpisodeKind::Quarantine(_) => format!("{subject} was in quarantine"),
        EpisodeKind::Refusals => format!(
            "{} of answers were refusals at the peak (usually {})",
            percent(peak),
            percent(usual)
        ),
        EpisodeKind::Retries => format!(
            "{} of attempts were retries at the peak (usually {})",
            percent(peak),
            percent(usual)
        ),
        EpisodeKind::Latency(_) => format!(
            "the 90th percentile of latency of {subject} rose to {peak:.0} ms (usually {usual:.0} ms)"
        ),
        EpisodeKind::DiscoveryDown(_) => format!("{subject} had no connection to the bulletin"),
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => {
            let address = episode.address.map(|address| format!(" from {address}"));
            format!(
                "{subject} flooded{}: {peak:.0} requests a second (usually {usual:.0})",
                address.unwrap_or_default()
            )
        }
        EpisodeKind::LogGap(_) => describe_gap(&subject, episode.missing_entries),
    }
}

fn describe_engines_down(view: &View, down: usize, subject: &str) -> String {
    let engine_counts = view.fleet.runs().map(|(_, run)| run.engines.len());
    let engine_count = engine_counts.max().unwrap_or(0);
    let together = if down > 1 { " together" } else { "" };
    format!("{down} of {engine_count} engines ended{together} ({subject})")
}

fn describe_gap(subject: &str, missing_entries: Option<u64>) -> String {
    let missing = match missing_entries {
        None => String::new(),
        Some(1) => " of 1 entry".into(),
        Some(count) => format!(" of {count} entries"),
    };
    format!("the record of {subject} has a gap{missing}")
}

fn percent(share: f64) -> String {
    format!("{:.0}%", 100.0 * share)
}

/// Returns a sentence for each pair of episodes that overlap in time, except symptoms.
pub fn overlaps(view: &View) -> Vec<String> {
    let episodes = view.detector.episodes();
    let mut sentences = Vec::new();
    for overlap in view.detector.overlaps() {
        let first = &episodes[overlap.first].kind;
        let second = &episodes[overlap.second].kind;
        if is_symptom(first) || is_symptom(second) {
            continue;
        }
        sentences.push(format!(
            "{} and {} overlap from {} to {}",
            title(view, first),
            title(view, second),
            clock(overlap.from),
            clock(overlap.to)
        ));
    }
    sentences
}

/// Returns whether episodes of this kind are only effects of other episodes.
pub(crate) fn is_symptom(kind: &EpisodeKind) -> bool {
    matches!(
        kind,
        EpisodeKind::Refusals
            | EpisodeKind::Retries
            | EpisodeKind::Latency(_)
            | EpisodeKind::Quarantine(_)
    )
}

/// Formats the number of episodes that the headline counts besides the worst ones.
pub(super) fn other_episodes(count: u64) -> String {
    plural(count, "other episode")
}
