//! What happened, in plain words.

use eideryard::interface::Micros;
use eideryard_event_analysis::episodes::LogGap;
use eideryard_event_analysis::{Episode, EpisodeKind, View};
use eideryard_event_log::totals::Totals;
use eideryard_event_log::RejectReason;
use time::macros::format_description;
use time::OffsetDateTime;

fn moment(at: Micros) -> OffsetDateTime {
    OffsetDateTime::from_unix_timestamp_nanos(at as i128 * 1000)
        .unwrap_or(OffsetDateTime::UNIX_EPOCH)
}

/// A time of day in UTC, to the second.
pub fn clock(at: Micros) -> String {
    moment(at)
        .format(format_description!("[hour]:[minute]:[second]"))
        .unwrap_or_default()
}

/// The same to the millisecond.
pub fn clock_ms(at: Micros) -> String {
    moment(at)
        .format(format_description!(
            "[hour]:[minute]:[second].[subsecond digits:3]"
        ))
        .unwrap_or_default()
}

pub fn date(at: Micros) -> String {
    moment(at)
        .format(format_description!("[year]-[month]-[day]"))
        .unwrap_or_default()
}

/// A stretch of time as a person would say it.
pub fn lasting(micros: Micros) -> String {
    match micros {
        0..1_000_000 => format!("{} ms", micros / 1000),
        1_000_000..120_000_000 => format!("{:.1} s", micros as f64 / 1e6),
        120_000_000..7_200_000_000 => format!("{} min", micros / 60_000_000),
        _ => format!("{:.1} h", micros as f64 / 3.6e9),
    }
}

pub fn plural(count: u64, one: &str) -> String {
    if count == 1 {
        format!("1 {one}")
    } else {
        format!("{count} {one}s")
    }
}

#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
fn listed(names: Vec<String>) -> String {
    match &names[..] {
        [] => "none".into(),
        [one] => one.clone(),
        [first @ .., last] => format!("{} and {last}", first.join(", ")),
    }
}

/// Sums over all starts of all gateways.
pub fn totals(view: &View) -> Totals {
    let mut sum = Totals::default();
    for (_, start) in view.fleet.runs() {
        let own = start.tally();
        let own = own.totals.pairs();
        sum.values_mut()
            .zip(own)
            .for_each(|(sum, (_, value))| *sum += value);
    }
    sum
}

fn source(view: &View, source: usize) -> String {
    view.fleet
        .run(source)
        .map_or_else(|| format!("gateway {source}"), |start| start.name.clone())
}

/// Whom or what an episode is about.
pub fn subject(view: &View, kind: &EpisodeKind) -> String {
    match kind {
        EpisodeKind::EnginesDown(engines) => {
            let mut names: Vec<String> = engines
                .iter()
                .map(|engine| view.fleet.engine(*engine))
                .collect();
            names.sort();
            listed(names)
        }
        EpisodeKind::Drain(engine) | EpisodeKind::Quarantine(engine) => view.fleet.engine(*engine),
        EpisodeKind::Refusals | EpisodeKind::Retries => "the fleet".into(),
        EpisodeKind::Latency(class) => view.fleet.class(*class),
        EpisodeKind::DiscoveryDown(sources) => {
            let names: std::collections::BTreeSet<String> =
                sources.iter().map(|at| source(view, *at)).collect();
            listed(names.into_iter().collect())
        }
        EpisodeKind::TenantFlood(tenant) => view.fleet.tenant(*tenant),
        EpisodeKind::AddressFlood(from) => from.to_string(),
        EpisodeKind::LogGap(at) => source(view, *at),
    }
}

/// What an episode was, in one clause.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn clause(view: &View, episode: &Episode) -> String {
    let subject = subject(view, &episode.kind);
    let share = |value: f64| format!("{:.0}%", 100.0 * value);
    match &episode.kind {
        EpisodeKind::EnginesDown(engines) => {
            let known = view
                .fleet
                .runs()
                .map(|(_, start)| start.engines.len())
                .max()
                .unwrap_or(0);
            let together = if engines.len() > 1 { " together" } else { "" };
            format!(
                "{} of {known} engines ended{together} ({subject})",
                engines.len()
            )
        }
        EpisodeKind::Drain(_) => format!("{subject} drained"),
        EpisodeKind::Quarantine(_) => format!("{subject} was in quarantine"),
        EpisodeKind::Refusals => {
            format!(
                "{} of answers were refusals at the worst (usually {})",
                share(episode.peak),
                share(episode.baseline)
            )
        }
        EpisodeKind::Retries => {
            format!(
                "{} of attempts were further ones at the worst (usually {})",
                share(episode.peak),
                share(episode.baseline)
            )
        }
        EpisodeKind::Latency(_) => {
            let (peak, usual) = (episode.peak, episode.baseline);
            format!(
                "nine in ten answers of {subject} took up to {peak:.0} ms (usually {usual:.0} ms)"
            )
        }
        EpisodeKind::DiscoveryDown(_) => format!("the bulletin was out of reach of {subject}"),
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => {
            let from = episode
                .address
                .map(|from| format!(" from {from}"))
                .unwrap_or_default();
            format!(
                "{subject} flooded{from}: {:.0} requests a second (usually {:.0})",
                episode.peak, episode.baseline
            )
        }
        EpisodeKind::LogGap(_) => {
            let left_out = episode.missing_entries.map(|entries| {
                format!(
                    ", which left out {}",
                    plural(entries, "entry").replace("entrys", "entries")
                )
            });
            format!(
                "the record of {subject} has a gap{}",
                left_out.unwrap_or_default()
            )
        }
    }
}

/// Marks an episode in whose time a record has a gap; [`PARTLY`] says once what it means.
pub const MARK: &str = "\u{2020}";
pub const PARTLY: &str =
    "within this time a record has a gap, which is an episode of its own: nothing is concluded from it";

/// Requests that were open where a record breaks off: their clients had no answer from that
/// gateway.
pub fn broken_off(view: &View) -> u64 {
    let broken = view.fleet.runs().filter(|(_, start)| start.is_broken_off);
    broken
        .map(|(_, start)| start.running_tally.tally.open())
        .sum()
}

/// What clients may have lost that no record can know: where gateways broke off.
pub fn unseen(view: &View) -> Option<String> {
    let broken = view.fleet.runs().filter(|(_, start)| start.is_broken_off);
    let names: std::collections::BTreeSet<&str> =
        broken.map(|(_, start)| start.name.as_str()).collect();
    let open = plural(broken_off(view), "request");
    let who = listed(names.iter().map(|name| name.to_string()).collect());
    (!names.is_empty()).then(|| {
        format!(
            "{who} broke off with {open} open, and what clients asked there after the last whole frame or \
             while nobody listened is in no record: they have lost more than is counted here"
        )
    })
}

/// Refusals for want of something that intents need, by reason.
pub fn wanting(totals: &Totals) -> Option<String> {
    let reasons = [
        (totals.intent_log_full, RejectReason::IntentLogFull),
        (totals.store_stalled, RejectReason::StoreStalled),
        (totals.no_majority, RejectReason::NoMajority),
    ];
    let told = reasons.iter().filter(|(count, _)| *count > 0);
    let told: Vec<String> = told
        .map(|(count, why)| format!("{count} {}", why.name()))
        .collect();
    (!told.is_empty()).then(|| listed(told))
}

/// How gateways stand to each other: one line for each that said something of it.
pub fn fleet(view: &View) -> Vec<String> {
    let mut lines = Vec::new();
    for (_, start) in view.fleet.latest_runs() {
        if start.peers.is_empty() && start.rejected_peers.is_empty() && start.is_voter.is_none() {
            continue;
        }
        let mut states: std::collections::BTreeMap<&str, Vec<&str>> = Default::default();
        start
            .peers
            .iter()
            .for_each(|(name, state)| states.entry(state).or_default().push(name));
        let mut parts: Vec<String> = states
            .iter()
            .map(|(state, names)| format!("{state}: {}", names.join(" ")))
            .collect();
        parts.extend(
            start
                .rejected_peers
                .iter()
                .map(|(name, why)| format!("{name} turned away ({why})")),
        );
        parts.extend(
            start
                .is_voter
                .map(|votes| if votes { "votes" } else { "catches up" }.to_string()),
        );
        if !start.leases.is_empty() {
            let owned = start
                .leases
                .iter()
                .map(|(engine, term)| format!("{} (term {term})", view.fleet.engine(*engine)));
            parts.push(format!(
                "probes for all {}",
                owned.collect::<Vec<_>>().join(" ")
            ));
        }
        parts.extend(
            (start.rejected_work > 0)
                .then(|| format!("turned away {} of late owners", start.rejected_work)),
        );
        parts.extend((start.has_majority == Some(false)).then(|| "NO MAJORITY".to_string()));
        lines.push(format!("{}: {}", start.name, parts.join("; ")));
    }
    lines
}

/// The head line: when, the worst thing, and what it meant for requests.
pub fn headline(view: &View) -> String {
    let totals = totals(view);
    let counts = format!(
        "of {} requests {} refused{}, {} failed, {} lost{}",
        totals.received,
        totals.refused,
        wanting(&totals)
            .map(|reasons| format!(" ({reasons})"))
            .unwrap_or_default(),
        totals.failed,
        totals.lost,
        unseen(view)
            .map(|unseen| format!("; {unseen}"))
            .unwrap_or_default()
    );
    // What explains the others comes first: engines, then who floods, then the roster, then mere
    // symptoms.
    let weight = |episode: &Episode| match episode.kind {
        EpisodeKind::EnginesDown(_) => 6,
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => 5,
        EpisodeKind::DiscoveryDown(_) => 4,
        EpisodeKind::LogGap(_) => 3,
        EpisodeKind::Refusals | EpisodeKind::Latency(_) => 2,
        _ => 1,
    };
    let episodes = view.detector.episodes();
    let Some(most) = episodes.iter().map(weight).max().filter(|most| *most > 1) else {
        return format!("No trouble was found; {counts}");
    };
    let now = view.detector.now();
    let causes = || episodes.iter().filter(|episode| weight(episode) > 1);
    let begin = causes()
        .map(|episode| episode.started_at)
        .min()
        .unwrap_or(0);
    let end = causes()
        .map(|episode| episode.span(now).1)
        .max()
        .unwrap_or(0);
    let worst = episodes.iter().filter(|episode| weight(episode) == most);
    let clauses: Vec<String> = worst.take(2).map(|episode| clause(view, episode)).collect();
    let others = episodes
        .iter()
        .filter(|episode| weight(episode) < most && weight(episode) > 2)
        .count() as u64;
    let more = match others {
        0 => String::new(),
        count => format!("; {} besides", plural(count, "other trouble")),
    };
    format!(
        "{} to {}: {}{more}; {counts}",
        clock(begin),
        clock(end),
        clauses.join("; ")
    )
}

/// A sentence for each two troubles at the same time, causes before symptoms.
pub fn overlaps(view: &View) -> Vec<String> {
    let episodes = view.detector.episodes();
    let is_cause = |kind: &EpisodeKind| {
        !matches!(
            kind,
            EpisodeKind::Refusals
                | EpisodeKind::Retries
                | EpisodeKind::Latency(_)
                | EpisodeKind::Quarantine(_)
        )
    };
    let overlaps = view.detector.overlaps().into_iter();
    let overlaps = overlaps
        .filter(|o| is_cause(&episodes[o.first].kind) && is_cause(&episodes[o.second].kind));
    overlaps
        .map(|o| {
            let name = |at: usize| {
                format!(
                    "{} ({})",
                    episodes[at].kind.name(),
                    subject(view, &episodes[at].kind)
                )
            };
            let (from, to) = (clock(o.from), clock(o.to));
            format!(
                "{} and {} overlap from {from} to {to}",
                name(o.first),
                name(o.second)
            )
        })
        .collect()
}

/// What a reader must know of the records themselves.
pub fn caveats(view: &View) -> Vec<String> {
    let mut said = Vec::new();
    for (_, start) in view.fleet.runs() {
        if start.is_broken_off {
            let at = clock_ms(start.last_at);
            said.push(format!(
                "{} (started {}) did not end by itself: its figures are those up to {at}, its last whole \
                 frame; {} open then",
                start.name,
                clock(start.epoch),
                plural(start.running_tally.tally.open(), "request")
            ));
        }
        if !start.are_totals_exact {
            said.push(format!(
                "{}: a part of the record can't be read and no tally follows, so its figures are at least \
                 those",
                start.name
            ));
        }
    }
    for LogGap { source, from, to } in view.detector.gaps() {
        let name = self::source(view, *source);
        said.push(format!(
            "{name}: not known from {} to {}",
            clock_ms(*from),
            clock_ms(*to)
        ));
    }
    let sources: Vec<(usize, &str)> = view
        .fleet
        .runs()
        .map(|(at, start)| (at, start.name.as_str()))
        .collect();
    for (place, (at, name)) in sources.iter().enumerate().skip(1) {
        let mut before = sources[..place].iter().filter(|(_, other)| other != name);
        let apart = before.find_map(|(of, other)| Some((other, view.skew.ahead(*at, *of)?)));
        if let Some((other, (micros, events))) = apart {
            if micros.unsigned_abs() > eideryard_event_analysis::skew::MIN_SIGNIFICANT_SKEW {
                let way = if micros > 0 { "ahead of" } else { "behind" };
                let by = lasting(micros.unsigned_abs());
                said.push(format!(
                    "the clock of {name} is {by} {way} that of {other}, by {events} events of the bulletin; \
                     times are as each told them"
                ));
            }
        }
    }
    said
}
