//! The page itself.

use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Micros};
use eideryard_event_analysis::{EpisodeKind, View};
use eideryard_event_log::{AnswerKind, GroupTotals};
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::plot::{self, Band, Bar, Line, Span};
use crate::story::{self, clock, clock_ms, lasting, plural};

const STYLE: &str = include_str!("page.css");
/// Finds a request in the table; without it the browser's own search does.
const SCRIPT: &str = include_str!("page.js");
/// Lines and rows of one plot.
const MAX_LINES: usize = 8;
const MAX_ROWS: usize = 40;
/// Open requests of one gateway that broke off.
const MAX_OPEN: usize = 500;

#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn page(view: &View) -> String {
    let span = span(view);
    let bands = bands(view);
    let title = if view.detector.episodes().is_empty() {
        format!("Fleet report, {}", story::date(span.from))
    } else {
        format!("Incident report, {}", story::date(span.from))
    };
    let overlaps = story::overlaps(view);
    let caveats = story::caveats(view);
    let fleet = story::fleet(view);
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                header {
                    h1 { (title) }
                    p class="head" { (story::headline(view)) "." }
                    p class="small" {
                        "All times are UTC, as the gateways' clocks told them; " (story::date(span.from)) ", "
                        (clock(span.from)) " to " (clock(span.to)) "."
                    }
                }
                main {
                    @if !caveats.is_empty() {
                        section aria-labelledby="known" {
                            h2 id="known" { "What is not known" }
                            ul { @for line in &caveats { li { (line) "." } } }
                        }
                    }
                    @if !fleet.is_empty() {
                        section aria-labelledby="fleet" {
                            h2 id="fleet" { "The gateways among themselves, at the end" }
                            ul { @for line in &fleet { li { (line) "." } } }
                        }
                    }
                    section aria-labelledby="episodes" {
                        h2 id="episodes" { "Episodes" }
                        @if view.detector.episodes().is_empty() {
                            p { "No trouble was found by its symptoms." }
                        } @else {
                            (timeline(view, span))
                            @if !overlaps.is_empty() {
                                ul { @for line in &overlaps { li { (line) "." } } }
                            }
                            (episodes(view))
                        }
                    }
                    section aria-labelledby="gateways" {
                        h2 id="gateways" { "Gateways" }
                        (gateways(view))
                    }
                    section aria-labelledby="service" {
                        h2 id="service" { "Service" }
                        (outcomes(view, span, &bands))
                        (latency(view, span, &bands))
                        (lanes(view, "Service by class", "class", &|start| start.tally().classes, &|at| {
                            view.fleet.class(at)
                        }))
                        (lanes(view, "Service by tenant", "tenant", &|start| start.tally().tenants, &|at| {
                            view.fleet.tenant(at)
                        }))
                        (tenants(view, span, &bands))
                    }
                    section aria-labelledby="engines" {
                        h2 id="engines" { "Engines" }
                        (engine_rows(view, span))
                        (engines(view))
                    }
                    section aria-labelledby="requests" {
                        h2 id="requests" { "Requests that were not simply served" }
                        (requests(view))
                    }
                }
                footer class="small" {
                    "Made from the gateways' own records. Totals are their tallies; "
                    "one request's whole life: " code { "eideryard records find ID DIR..." }
                }
                script { (PreEscaped(SCRIPT)) }
            }
        }
    };
    markup.into_string()
}

fn span(view: &View) -> Span {
    let from = view
        .fleet
        .runs()
        .map(|(_, start)| start.first_at)
        .min()
        .unwrap_or(0)
        .max(view.from);
    let to = view.fleet.now.max(from + 1_000_000);
    Span { from, to }
}

fn bands(view: &View) -> Vec<Band> {
    let now = view.detector.now();
    let shown = view.detector.episodes().iter().filter(|episode| {
        !matches!(
            episode.kind,
            EpisodeKind::Refusals
                | EpisodeKind::Retries
                | EpisodeKind::Latency(_)
                | EpisodeKind::Quarantine(_)
        )
    });
    let band = |episode: &eideryard_event_analysis::Episode| {
        let (from, to) = episode.span(now);
        let name = format!(
            "{} ({})",
            episode.kind.name(),
            story::subject(view, &episode.kind)
        );
        Band {
            from,
            to,
            name,
            gap: matches!(episode.kind, EpisodeKind::LogGap(_)),
        }
    };
    shown.map(band).collect()
}

fn timeline(view: &View, span: Span) -> Markup {
    let now = view.detector.now();
    let mut rows: BTreeMap<(u8, String), Vec<Bar>> = BTreeMap::new();
    for episode in view.detector.episodes() {
        let (order, style) = match episode.kind {
            EpisodeKind::EnginesDown(_) => (0, "bad"),
            EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => (1, "s2"),
            EpisodeKind::DiscoveryDown(_) => (2, "s5"),
            EpisodeKind::Drain(_) => (3, "s4"),
            EpisodeKind::Quarantine(_) => (4, "s4"),
            EpisodeKind::Refusals => (5, "refused"),
            EpisodeKind::Retries => (6, "s3"),
            EpisodeKind::Latency(_) => (7, "s1"),
            EpisodeKind::LogGap(_) => (8, "unknown"),
        };
        let subject = match &episode.kind {
            EpisodeKind::EnginesDown(_) | EpisodeKind::Refusals | EpisodeKind::Retries => {
                String::new()
            }
            kind => format!(": {}", story::subject(view, kind)),
        };
        let row = rows
            .entry((order, format!("{}{subject}", episode.kind.name())))
            .or_default();
        let (from, to) = episode.span(now);
        let text = format!(
            "{} to {}: {}",
            clock(from),
            clock(to),
            story::clause(view, episode)
        );
        row.push(Bar {
            from,
            to,
            style,
            text,
            strength: 1.0,
        });
        for (from, to) in &episode.unknown {
            row.push(Bar {
                from: *from,
                to: *to,
                style: "unknown",
                text: "not known".into(),
                strength: 1.0,
            });
        }
    }
    let rows: Vec<(String, Vec<Bar>)> = rows
        .into_iter()
        .take(MAX_ROWS)
        .map(|((_, name), bars)| (name, bars))
        .collect();
    let text = format!(
        "{} in {} rows; the table below says the same.",
        plural(view.detector.episodes().len() as u64, "episode"),
        rows.len()
    );
    plot::rows("Timeline of episodes", &text, span, &rows)
}

fn episodes(view: &View) -> Markup {
    html! {
        table id="episode-list" {
            caption { "Each episode, by its beginning" }
            thead { tr {
                th scope="col" { "from" } th scope="col" { "to" } th scope="col" { "lasted" }
                th scope="col" { "kind" } th scope="col" { "what" } th scope="col" { "worst at" }
            } }
            tbody {
                @for episode in view.detector.episodes() {
                    @let (from, to) = episode.span(view.detector.now());
                    tr {
                        td { (clock_ms(from)) }
                        td { @if episode.ended_at.is_some() { (clock_ms(to)) } @else { "lasts" } }
                        td class="n" { (lasting(to - from)) }
                        td { (episode.kind.name()) }
                        td {
                            (story::clause(view, episode))
                            @if !episode.unknown.is_empty() { " " (story::MARK) }
                        }
                        td { (clock(episode.peak_at)) }
                    }
                }
            }
        }
        @if view.detector.episodes().iter().any(|episode| !episode.unknown.is_empty()) {
            p { (story::MARK) " " (story::PARTLY) }
        }
    }
}

fn gateways(view: &View) -> Markup {
    let columns = [
        "taken",
        "served",
        "refused",
        "failed",
        "invalid",
        "forgotten",
        "lost",
        "late",
        "sent",
    ];
    html! {
        table {
            caption { "What each start of each gateway counted" }
            thead { tr {
                th scope="col" { "gateway" } th scope="col" { "started" } th scope="col" { "last told" }
                th scope="col" { "end" }
                @for column in columns { th scope="col" class="n" { (column) } }
                th scope="col" class="n" { "open" }
                th scope="col" class="n" { "left out" }
            } }
            tbody {
                @for (_, start) in view.fleet.runs() {
                    tr {
                        th scope="row" { (start.name) }
                        td { (clock(start.epoch)) }
                        td { (clock_ms(start.last_at)) }
                        td {
                            @if start.has_ended() { "stopped" }
                            @else if start.is_broken_off { "broke off" }
                            @else { "runs" }
                        }
                        @let totals = start.tally().totals;
                        @for (_, value) in totals.pairs().filter(|(name, _)| columns.contains(name)) {
                            td class="n" { (value) }
                        }
                        td class="n" { (start.running_tally.tally.open()) }
                        td class="n" { (start.missing_entries) }
                    }
                }
                @let sums = story::totals(view);
                tr class="sum" {
                    th scope="row" colspan="4" { "together" }
                    @for (_, value) in sums.pairs().filter(|(name, _)| columns.contains(name)) {
                        td class="n" { (value) }
                    }
                    @let open = view.fleet.runs().map(|(_, start)| start.running_tally.tally.open());
                    td class="n" { (open.sum::<u64>()) }
                    td class="n" { (view.fleet.runs().map(|(_, start)| start.missing_entries).sum::<u64>()) }
                }
            }
        }
    }
}

fn per_second(
    view: &View,
    of: impl Fn(&eideryard_event_analysis::series::Bucket) -> f64,
) -> Vec<(Micros, Option<f64>)> {
    let seconds = view.series.width as f64 / 1e6;
    let buckets = view.series.buckets.iter().enumerate();
    buckets
        .map(|(at, bucket)| (view.series.start_of(at), Some(of(bucket) / seconds)))
        .collect()
}

fn outcomes(view: &View, span: Span, bands: &[Band]) -> Markup {
    let style = |how| match how {
        AnswerKind::Served => "served",
        AnswerKind::Refused => "refused",
        AnswerKind::Failed => "failed",
        AnswerKind::Forgotten => "forgotten",
        AnswerKind::Lost => "lost",
    };
    let areas: Vec<Line> = AnswerKind::ALL
        .into_iter()
        .map(|how| Line {
            name: how.name().into(),
            style: style(how).into(),
            points: per_second(view, |bucket| bucket.total(|class| class.ended(how)) as f64),
        })
        .collect();
    plot::stacked(
        "Answers by outcome",
        "a second",
        span,
        bands,
        &areas,
        view.series.width,
    )
}

/// The places of classes that had most requests.
fn busiest(view: &View) -> Vec<usize> {
    let mut taken: BTreeMap<usize, u64> = BTreeMap::new();
    for (class, bucket) in view
        .series
        .buckets
        .iter()
        .flat_map(|bucket| &bucket.classes)
    {
        *taken.entry(*class).or_default() += bucket.received as u64;
    }
    let mut classes: Vec<(u64, usize)> = taken
        .into_iter()
        .map(|(class, taken)| (taken, class))
        .collect();
    classes.sort_by(|a, b| b.cmp(a));
    classes
        .into_iter()
        .take(MAX_LINES)
        .map(|(_, class)| class)
        .collect()
}

fn latency(view: &View, span: Span, bands: &[Band]) -> Markup {
    let classes = busiest(view);
    let line = |(number, class): (usize, &usize)| Line {
        name: view.fleet.class(*class),
        style: format!("s{number}"),
        points: (0..view.series.buckets.len())
            .map(|at| {
                let own = view.series.buckets[at].classes.get(class);
                (
                    view.series.start_of(at),
                    own.and_then(|own| own.latency.percentile(0.9)),
                )
            })
            .collect(),
    };
    let lines: Vec<Line> = classes.iter().enumerate().map(line).collect();
    plot::lines(
        "Nine in ten answers came within, by class",
        "ms",
        span,
        bands,
        &lines,
    )
}

fn tenants(view: &View, span: Span, bands: &[Band]) -> Markup {
    let mut taken: BTreeMap<usize, u64> = BTreeMap::new();
    for (tenant, count) in view
        .series
        .buckets
        .iter()
        .flat_map(|bucket| &bucket.tenants)
    {
        *taken.entry(*tenant).or_default() += *count as u64;
    }
    let mut busiest: Vec<(u64, usize)> = taken
        .into_iter()
        .map(|(tenant, taken)| (taken, tenant))
        .collect();
    busiest.sort_by(|a, b| b.cmp(a));
    let line = |(number, (_, tenant)): (usize, &(u64, usize))| Line {
        name: view.fleet.tenant(*tenant),
        style: format!("s{number}"),
        points: per_second(view, |bucket| {
            bucket.tenants.get(tenant).copied().unwrap_or(0) as f64
        }),
    };
    let lines: Vec<Line> = busiest
        .iter()
        .take(MAX_LINES)
        .enumerate()
        .map(line)
        .collect();
    plot::lines("Requests by tenant", "a second", span, bands, &lines)
}

/// Sums over all starts of what each counted of its classes or tenants.
fn lanes(
    view: &View,
    caption: &str,
    what: &str,
    of: &dyn Fn(&eideryard_event_analysis::GatewayRun) -> Vec<GroupTotals>,
    name: &dyn Fn(usize) -> String,
) -> Markup {
    let mut sums: Vec<[u64; 7]> = Vec::new();
    for (_, start) in view.fleet.runs() {
        for (at, lane) in of(start).iter().enumerate() {
            if sums.len() <= at {
                sums.resize(at + 1, [0; 7]);
            }
            sums[at]
                .iter_mut()
                .zip(lane.values())
                .for_each(|(sum, value)| *sum += value);
        }
    }
    let latency = |class: usize, share: f64| {
        let mut all = view
            .fleet
            .runs()
            .filter_map(|(_, start)| start.latency.get(class));
        let mut sum = all.next()?.clone();
        // All have the same bounds.
        all.for_each(|other| _ = sum.add(other));
        (!sum.is_empty()).then(|| sum.value_at_quantile(share))
    };
    let is_class = what == "class";
    html! {
        table {
            caption { (caption) }
            thead { tr {
                th scope="col" { (what) }
                @for column in ["taken", "served", "refused", "failed", "forgotten", "lost", "late"] {
                    th scope="col" class="n" { (column) }
                }
                @if is_class {
                    @for column in ["median ms", "90% ms", "99% ms"] { th scope="col" class="n" { (column) } }
                }
            } }
            tbody {
                @for (at, values) in sums.iter().enumerate().filter(|(_, values)| values[0] > 0) {
                    tr {
                        th scope="row" { (name(at)) }
                        @for value in values { td class="n" { (value) } }
                        @if is_class {
                            @for share in [0.5, 0.9, 0.99] {
                                td class="n" {
                                    @if let Some(ms) = latency(at, share) { (ms) } @else { "–" }
                                }
                            }
                        }
                    }
                }
            }
        }
    }
}

fn all_engines(view: &View) -> Vec<EngineId> {
    let mut engines: Vec<EngineId> = view
        .fleet
        .runs()
        .flat_map(|(_, start)| start.engines.keys().copied())
        .collect();
    engines.sort_by_key(|engine| (view.fleet.engine(*engine), *engine));
    engines.dedup();
    engines
}

fn engine_rows(view: &View, span: Span) -> Markup {
    let engines = all_engines(view);
    let most = view
        .series
        .buckets
        .iter()
        .flat_map(|bucket| bucket.engines.values())
        .map(|own| own.answered);
    let most = most.max().unwrap_or(0).max(1) as f64;
    let row = |engine: &EngineId| {
        let mut bars = Vec::new();
        for (at, bucket) in view.series.buckets.iter().enumerate() {
            let Some(own) = bucket.engines.get(engine) else {
                continue;
            };
            let (from, to) = (view.series.start_of(at), view.series.start_of(at + 1));
            let text = format!(
                "{}: {} sent, {} answered, {} ended badly",
                clock(from),
                own.sent,
                own.answered,
                own.bad
            );
            let style = if own.bad > 0 { "bad" } else { "served" };
            let strength = if own.bad > 0 {
                1.0
            } else {
                0.15 + 0.85 * own.answered as f64 / most
            };
            if own.answered + own.bad > 0 {
                bars.push(Bar {
                    from,
                    to,
                    style,
                    text,
                    strength,
                });
            }
        }
        (view.fleet.engine(*engine), bars)
    };
    let rows: Vec<(String, Vec<Bar>)> = engines.iter().take(MAX_ROWS).map(row).collect();
    let left = engines.len().saturating_sub(MAX_ROWS);
    html! {
        (plot::rows(
            "Answers by engine: the darker the more; marked where attempts ended badly",
            "One row an engine; the table below holds the sums.", span, &rows
        ))
        @if left > 0 { p { (plural(left as u64, "further engine")) " in the table only." } }
    }
}

fn engines(view: &View) -> Markup {
    html! {
        table {
            caption { "Attempts by engine, over all gateways" }
            thead { tr {
                th scope="col" { "engine" } th scope="col" { "address" } th scope="col" { "last listed" }
                @for column in [
                    "sent", "answered", "error", "full", "timed out", "no connection", "broken", "cancelled",
                    "unsent",
                ] {
                    th scope="col" class="n" { (column) }
                }
            } }
            tbody {
                @for engine in all_engines(view) {
                    @let starts = view.fleet.runs().map(|(_, start)| start);
                    @let own: Vec<_> = starts.filter_map(|start| start.engines.get(&engine)).collect();
                    tr {
                        th scope="row" { (view.fleet.engine(engine)) }
                        td { (own.last().map_or("", |own| own.address.as_str())) }
                        td { @match own.last().map(|own| own.phase) {
                            Some(eideryard::interface::Phase::Draining) => "draining",
                            Some(eideryard::interface::Phase::Removed) => "removed",
                            _ => "up",
                        } }
                        td class="n" { (own.iter().map(|own| own.sent).sum::<u64>()) }
                        @for outcome in 0..8 {
                            td class="n" { (own.iter().map(|own| own.outcomes[outcome]).sum::<u64>()) }
                        }
                    }
                }
            }
        }
        p class="small" {
            "Attempts are counted as recorded; those in a gap are in the gateways' totals only."
        }
    }
}

/// A row of the table of requests.
struct Asked {
    at: Micros,
    id: Option<u64>,
    source: usize,
    class: usize,
    tenant: usize,
    end: String,
    took: Option<Micros>,
    tries: usize,
}

/// Those that ended otherwise than served at once, and those that were open where a record breaks
/// off.
fn asked(view: &View) -> Vec<Asked> {
    let ended = view.notables.iter().map(|own| Asked {
        at: own.at,
        id: own.id,
        source: own.source,
        class: own.class,
        tenant: own.tenant,
        end: format!(
            "{}{}",
            own.kind.name(),
            if own.is_late { ", late" } else { "" }
        ),
        took: own.duration,
        tries: own.attempt_count,
    });
    let mut asked: Vec<Asked> = ended.collect();
    for (source, start) in view.fleet.runs().filter(|(_, start)| start.is_broken_off) {
        asked.extend(start.unanswered_requests().take(MAX_OPEN).map(|own| Asked {
            at: start.last_at,
            id: Some(own.id),
            source,
            class: own.class,
            tenant: own.tenant,
            end: "open when the record broke off".into(),
            took: None,
            tries: own.attempt_count(),
        }));
    }
    asked.sort_by_key(|own| own.at);
    asked
}

fn requests(view: &View) -> Markup {
    let left_out = view.notables.left_out;
    html! {
        p {
            "Refused, failed, lost, taken back, late, served at a further attempt, or open when a gateway "
            "broke off. "
            "A request that is not here and lies in no gap was served at its first attempt in time."
            @if left_out > 0 {
                " " (plural(left_out, "request")) " between the first and the last of these are left out."
            }
        }
        p class="find" {
            label for="find" { "Find an id: " }
            input id="find" type="search" placeholder="9b1f03aa" autocomplete="off";
            " " output id="found" for="find" {}
        }
        table id="asked" {
            caption { "By the time of their end" }
            thead { tr {
                th scope="col" { "ended" } th scope="col" { "id" } th scope="col" { "gateway" }
                th scope="col" { "class" } th scope="col" { "tenant" } th scope="col" { "end" }
                th scope="col" class="n" { "took ms" } th scope="col" class="n" { "attempts" }
            } }
            tbody {
                @for request in asked(view) {
                    tr {
                        td { (clock_ms(request.at)) }
                        td class="id" {
                            @if let Some(id) = request.id { (format!("{id:016x}")) } @else { "–" }
                        }
                        td { (view.fleet.run(request.source).map_or("", |start| start.name.as_str())) }
                        td { (view.fleet.class(request.class)) }
                        td { (view.fleet.tenant(request.tenant)) }
                        td { (request.end) }
                        td class="n" { @if let Some(took) = request.took { (took / 1000) } @else { "–" } }
                        td class="n" { (request.tries) }
                    }
                }
            }
        }
    }
}
