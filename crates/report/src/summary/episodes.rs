//! Episodes in words.

use std::collections::BTreeSet;

use eideryard_event_analysis::{Episode, EpisodeKind, View};

use super::gateway_name;
use crate::format::{clock, list, plural};

/// Whom or what an episode is about.
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

/// An episode's kind and subject.
pub fn title(view: &View, kind: &EpisodeKind) -> String {
    format!("{} ({})", kind.name(), subject(view, kind))
}

/// What an episode was, in one clause.
pub fn describe(view: &View, episode: &Episode) -> String {
    let subject = subject(view, &episode.kind);
    let peak = episode.peak;
    let usual = episode.baseline;
    match &episode.kind {
        EpisodeKind::EnginesDown(engines) => describe_engines_down(view, engines.len(), &subject),
        EpisodeKind::Drain(_) => format!("{subject} drained"),
        EpisodeKind::Quarantine(_) => format!("{subject} was in quarantine"),
        EpisodeKind::Refusals => format!(
            "{} of answers were refusals at the worst (usually {})",
            percent(peak),
            percent(usual)
        ),
        EpisodeKind::Retries => format!(
            "{} of attempts were further ones at the worst (usually {})",
            percent(peak),
            percent(usual)
        ),
        EpisodeKind::Latency(_) => format!(
            "nine in ten answers of {subject} took up to {peak:.0} ms (usually {usual:.0} ms)"
        ),
        EpisodeKind::DiscoveryDown(_) => format!("the bulletin was out of reach of {subject}"),
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
    let known = view.fleet.runs().map(|(_, run)| run.engines.len());
    let known = known.max().unwrap_or(0);
    let together = if down > 1 { " together" } else { "" };
    format!("{down} of {known} engines ended{together} ({subject})")
}

fn describe_gap(subject: &str, missing_entries: Option<u64>) -> String {
    let missing = match missing_entries {
        None => String::new(),
        Some(1) => ", which left out 1 entry".into(),
        Some(count) => format!(", which left out {count} entries"),
    };
    format!("the record of {subject} has a gap{missing}")
}

fn percent(share: f64) -> String {
    format!("{:.0}%", 100.0 * share)
}

/// A sentence for each two causes that overlap in time.
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

/// Whether an episode only shows what another one caused.
pub(crate) fn is_symptom(kind: &EpisodeKind) -> bool {
    matches!(
        kind,
        EpisodeKind::Refusals
            | EpisodeKind::Retries
            | EpisodeKind::Latency(_)
            | EpisodeKind::Quarantine(_)
    )
}

/// How many of a noun whose plural is regular, for the headline.
pub(super) fn other_episodes(count: u64) -> String {
    plural(count, "other trouble")
}
