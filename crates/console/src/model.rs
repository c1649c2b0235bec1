//! What the console shows, and how it changes: no terminal, no files, no clock.

use eideryard::interface::{EngineId, Micros, Phase};
use eideryard_event_analysis::View;

/// How far a step goes.
pub const STEP: Micros = 1_000_000;
pub const LEAP: Micros = 10_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    Engines,
    Classes,
    Tenants,
    Episodes,
    Requests,
    Engine(EngineId),
    Request(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    Name,
    InFlight,
    Memory,
    Rate,
    Bad,
}

impl Sort {
    const ALL: [Sort; 5] = [
        Sort::Name,
        Sort::InFlight,
        Sort::Memory,
        Sort::Rate,
        Sort::Bad,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Sort::Name => "name",
            Sort::InFlight => "in flight",
            Sort::Memory => "memory",
            Sort::Rate => "answers",
            Sort::Bad => "ended badly",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    Next,
    Previous,
    Up,
    Down,
    Open,
    Back,
    Sort,
    Pause,
    StepBack,
    StepOn,
    LeapBack,
    LeapOn,
    Live,
    Quit,
    Jump,
}

/// What the owner of the records is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Nothing,
    Quit,
    /// Show the state as it was then.
    Go(Micros),
    /// Follow what is written.
    Follow,
}

pub struct Model {
    pub page: Page,
    /// Where Back leads to.
    before: Vec<Page>,
    pub cursor: usize,
    pub sort: Sort,
    /// Nothing while what is written is followed.
    pub paused_at: Option<Micros>,
    /// How long the records have told nothing.
    pub silent_for: Micros,
}

/// One row of the table of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRow {
    pub engine: EngineId,
    pub name: String,
    pub phase: &'static str,
    pub in_flight: usize,
    pub granted_mb: f64,
    pub ranks: [u32; 4],
    /// Answers in the last seconds, oldest first.
    pub rates: Vec<u64>,
    pub answered: u64,
    pub bad: u64,
}

/// Seconds of a sparkline.
pub const SPARKS: usize = 20;
/// Pages that Back remembers.
const MAX_BEFORE: usize = 16;

impl Default for Model {
    fn default() -> Self {
        Self::new()
    }
}

impl Model {
    pub fn new() -> Self {
        Model {
            page: Page::Engines,
            before: Vec::new(),
            cursor: 0,
            sort: Sort::Name,
            paused_at: None,
            silent_for: 0,
        }
    }

    fn go(&mut self, page: Page) {
        self.before.push(self.page);
        if self.before.len() > MAX_BEFORE {
            self.before.remove(0);
        }
        (self.page, self.cursor) = (page, 0);
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn key(&mut self, key: Key, view: &View) -> Wish {
        const PAGES: [Page; 5] = [
            Page::Engines,
            Page::Classes,
            Page::Tenants,
            Page::Episodes,
            Page::Requests,
        ];
        let now = self.paused_at.unwrap_or(view.fleet.now);
        let turned = |by: usize| {
            let at = PAGES
                .iter()
                .position(|page| *page == self.page)
                .unwrap_or(0);
            PAGES[(at + by) % PAGES.len()]
        };
        match key {
            Key::Quit => return Wish::Quit,
            Key::Next => (self.page, self.cursor) = (turned(1), 0),
            Key::Previous => (self.page, self.cursor) = (turned(PAGES.len() - 1), 0),
            Key::Up => self.cursor = self.cursor.saturating_sub(1),
            Key::Down => self.cursor = (self.cursor + 1).min(self.rows(view).saturating_sub(1)),
            Key::Back => {
                if let Some(page) = self.before.pop() {
                    (self.page, self.cursor) = (page, 0);
                }
            }
            Key::Sort => {
                let at = Sort::ALL
                    .iter()
                    .position(|sort| *sort == self.sort)
                    .unwrap_or(0);
                self.sort = Sort::ALL[(at + 1) % Sort::ALL.len()];
            }
            Key::Open => match self.page {
                Page::Engines => {
                    let row = self.engines(view).get(self.cursor).map(|row| row.engine);
                    for engine in row.into_iter() {
                        self.go(Page::Engine(engine));
                    }
                }
                Page::Requests => {
                    let id = self
                        .requests(view)
                        .get(self.cursor)
                        .and_then(|request| request.id);
                    for id in id.into_iter() {
                        self.go(Page::Request(id));
                    }
                }
                Page::Episodes => return self.jump(view),
                _ => {}
            },
            Key::Jump => return self.jump(view),
            Key::Pause => {
                self.paused_at = match self.paused_at {
                    Some(_) => return self.live(),
                    None => Some(now),
                };
            }
            Key::Live => return self.live(),
            Key::StepBack => return self.travel(now.saturating_sub(STEP)),
            Key::StepOn => return self.travel(now + STEP),
            Key::LeapBack => return self.travel(now.saturating_sub(LEAP)),
            Key::LeapOn => return self.travel(now + LEAP),
        }
        Wish::Nothing
    }

    fn travel(&mut self, to: Micros) -> Wish {
        self.paused_at = Some(to);
        Wish::Go(to)
    }

    fn live(&mut self) -> Wish {
        self.paused_at = None;
        Wish::Follow
    }

    /// To the worst moment of the episode under the cursor.
    fn jump(&mut self, view: &View) -> Wish {
        let episode = Some(self.page).filter(|page| *page == Page::Episodes);
        match episode.and_then(|_| view.detector.episodes().get(self.cursor)) {
            Some(episode) => self.travel(episode.peak_at.max(episode.started_at) + STEP),
            None => Wish::Nothing,
        }
    }

    pub fn rows(&self, view: &View) -> usize {
        match self.page {
            Page::Engines => self.engines(view).len(),
            Page::Episodes => view.detector.episodes().len(),
            Page::Requests => view.notables.iter().count(),
            _ => 0,
        }
    }

    /// Engines over the last start of each gateway.
    pub fn engines(&self, view: &View) -> Vec<EngineRow> {
        let mut rows: std::collections::BTreeMap<EngineId, EngineRow> = Default::default();
        for (_, start) in view.fleet.latest_runs() {
            for (engine, own) in &start.engines {
                let row = rows.entry(*engine).or_insert_with(|| EngineRow {
                    engine: *engine,
                    name: view.fleet.engine(*engine),
                    phase: "up",
                    in_flight: 0,
                    granted_mb: 0.0,
                    ranks: [0; 4],
                    rates: rates(view, *engine),
                    answered: 0,
                    bad: 0,
                });
                row.phase = match own.phase {
                    Phase::Draining => "draining",
                    Phase::Removed => "removed",
                    Phase::Ready if view.detector.is_down(*engine) => "missed",
                    Phase::Ready if own.is_quarantined => "quarantine",
                    Phase::Ready => row.phase,
                };
                row.in_flight += own.in_flight;
                row.granted_mb += own.granted_mb;
                row.ranks
                    .iter_mut()
                    .zip(own.in_flight_by_rank)
                    .for_each(|(sum, rank)| *sum += rank);
                let [answered, error, full, timed_out, no_connection, broken, ..] = own.outcomes;
                row.answered += answered;
                row.bad += error + full + timed_out + no_connection + broken;
            }
        }
        let mut rows: Vec<EngineRow> = rows.into_values().collect();
        rows.sort_by(|a, b| {
            let order = match self.sort {
                Sort::Name => std::cmp::Ordering::Equal,
                Sort::InFlight => b.in_flight.cmp(&a.in_flight),
                Sort::Memory => b.granted_mb.total_cmp(&a.granted_mb),
                Sort::Rate => b.rates.last().cmp(&a.rates.last()),
                Sort::Bad => b.bad.cmp(&a.bad),
            };
            order.then_with(|| a.name.cmp(&b.name))
        });
        rows
    }

    /// Requests that were not simply served, the latest first.
    pub fn requests<'a>(
        &self,
        view: &'a View,
    ) -> Vec<&'a eideryard_event_analysis::notable::NotableRequest> {
        let mut requests: Vec<_> = view.notables.iter().collect();
        requests.reverse();
        requests
    }
}

/// Answers of an engine in each of the last buckets of time.
pub fn rates(view: &View, engine: EngineId) -> Vec<u64> {
    let buckets = &view.series.buckets;
    let shown = &buckets[buckets.len().saturating_sub(SPARKS)..];
    shown
        .iter()
        .map(|bucket| {
            bucket
                .engines
                .get(&engine)
                .map_or(0, |own| own.answered as u64)
        })
        .collect()
}
