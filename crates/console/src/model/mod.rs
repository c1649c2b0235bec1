//! What the console shows, and how keys change it: no terminal, no files, no clock.

mod engine_rows;

use eideryard::interface::{EngineId, Micros};
use eideryard_event_analysis::notable::NotableRequest;
use eideryard_event_analysis::View;

pub use engine_rows::{answers_per_bucket, EngineRow, SPARKLINE_BUCKETS};

/// How far one step goes.
pub const STEP: Micros = 1_000_000;
/// How far one leap goes.
pub const LEAP: Micros = 10_000_000;
/// Pages that [`Key::Back`] remembers.
const MAX_PAGES_BEFORE: usize = 16;

/// What is shown below the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// The table of engines.
    Engines,
    /// The table of classes.
    Classes,
    /// The table of tenants.
    Tenants,
    /// The table of episodes.
    Episodes,
    /// The table of requests that were not simply served.
    Requests,
    /// One engine.
    Engine(EngineId),
    /// One request, by the id that its client gave it.
    Request(u64),
}

impl Page {
    /// The pages that [`Key::NextPage`] goes through.
    const TABLES: [Page; 5] = [
        Page::Engines,
        Page::Classes,
        Page::Tenants,
        Page::Episodes,
        Page::Requests,
    ];

    /// The table that is `distance` tables after this page.
    fn table_after(self, distance: usize) -> Page {
        let index = Page::TABLES.iter().position(|page| *page == self);
        Page::TABLES[(index.unwrap_or(0) + distance) % Page::TABLES.len()]
    }
}

/// What the table of engines is sorted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// Name.
    Name,
    /// Most attempts in flight first.
    InFlight,
    /// Most granted memory first.
    Memory,
    /// Most answers in the last second first.
    Rate,
    /// Most attempts that ended badly first.
    Failed,
}

impl Sort {
    const ALL: [Sort; 5] = [
        Sort::Name,
        Sort::InFlight,
        Sort::Memory,
        Sort::Rate,
        Sort::Failed,
    ];

    /// The order's name on the screen.
    pub fn name(self) -> &'static str {
        match self {
            Sort::Name => "name",
            Sort::InFlight => "in flight",
            Sort::Memory => "memory",
            Sort::Rate => "answers",
            Sort::Failed => "ended badly",
        }
    }

    fn next(self) -> Sort {
        let index = Sort::ALL.iter().position(|sort| *sort == self);
        Sort::ALL[(index.unwrap_or(0) + 1) % Sort::ALL.len()]
    }
}

/// What a key does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// The next table.
    NextPage,
    /// The previous table.
    PreviousPage,
    /// The row above.
    Up,
    /// The row below.
    Down,
    /// The page of the row, or for an episode its worst moment.
    Open,
    /// The page before.
    Back,
    /// The next order of the table of engines.
    Sort,
    /// Stops at the time that is shown, or follows the logs again.
    Pause,
    /// One [`STEP`] back.
    StepBack,
    /// One [`STEP`] forward.
    StepForward,
    /// One [`LEAP`] back.
    LeapBack,
    /// One [`LEAP`] forward.
    LeapForward,
    /// Follows the logs.
    Live,
    /// Ends the console.
    Quit,
    /// The worst moment of the episode under the cursor.
    JumpToPeak,
}

/// What the owner of the logs is to do after a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Nothing.
    Nothing,
    /// End the console.
    Quit,
    /// Show the state as it was at this time.
    ShowTime(Micros),
    /// Follow the logs.
    FollowLogs,
}

/// What the console shows.
pub struct Model {
    /// What is shown below the header.
    pub page: Page,
    /// Where [`Key::Back`] leads to, the last page at the end.
    pages_before: Vec<Page>,
    /// The selected row.
    pub cursor: usize,
    /// The order of the table of engines.
    pub sort: Sort,
    /// The time that is shown; `None` while the logs are followed.
    pub paused_at: Option<Micros>,
    /// For how long the logs have had no entry.
    pub silent_for: Micros,
}

impl Default for Model {
    fn default() -> Self {
        Self::new()
    }
}

impl Model {
    /// The table of engines, following the logs.
    pub fn new() -> Self {
        Model {
            page: Page::Engines,
            pages_before: Vec::new(),
            cursor: 0,
            sort: Sort::Name,
            paused_at: None,
            silent_for: 0,
        }
    }

    /// Handles a key.
    pub fn on_key(&mut self, key: Key, view: &View) -> Command {
        let now = self.paused_at.unwrap_or(view.fleet.now);
        match key {
            Key::Quit => return Command::Quit,
            Key::NextPage => self.show(self.page.table_after(1)),
            Key::PreviousPage => self.show(self.page.table_after(Page::TABLES.len() - 1)),
            Key::Up => self.cursor = self.cursor.saturating_sub(1),
            Key::Down => self.move_down(view),
            Key::Back => self.go_back(),
            Key::Sort => self.sort = self.sort.next(),
            Key::Open => return self.open_row(view),
            Key::JumpToPeak => return self.jump_to_peak(view),
            Key::Pause if self.paused_at.is_some() => return self.follow_logs(),
            Key::Pause => self.paused_at = Some(now),
            Key::Live => return self.follow_logs(),
            Key::StepBack => return self.show_time(now.saturating_sub(STEP)),
            Key::StepForward => return self.show_time(now + STEP),
            Key::LeapBack => return self.show_time(now.saturating_sub(LEAP)),
            Key::LeapForward => return self.show_time(now + LEAP),
        }
        Command::Nothing
    }

    /// How many rows the table of the page has.
    pub fn row_count(&self, view: &View) -> usize {
        match self.page {
            Page::Engines => self.engines(view).len(),
            Page::Episodes => view.detector.episodes().len(),
            Page::Requests => view.notables.iter().count(),
            _ => 0,
        }
    }

    /// The rows of the table of engines.
    pub fn engines(&self, view: &View) -> Vec<EngineRow> {
        engine_rows::engine_rows(view, self.sort)
    }

    /// Requests that were not simply served, the latest first.
    pub fn requests<'a>(&self, view: &'a View) -> Vec<&'a NotableRequest> {
        let mut requests: Vec<_> = view.notables.iter().collect();
        requests.reverse();
        requests
    }

    // ---- Pages ----

    fn show(&mut self, page: Page) {
        self.page = page;
        self.cursor = 0;
    }

    fn open(&mut self, page: Page) {
        self.pages_before.push(self.page);
        if self.pages_before.len() > MAX_PAGES_BEFORE {
            self.pages_before.remove(0);
        }
        self.show(page);
    }

    fn go_back(&mut self) {
        if let Some(page) = self.pages_before.pop() {
            self.show(page);
        }
    }

    fn move_down(&mut self, view: &View) {
        let last_row = self.row_count(view).saturating_sub(1);
        self.cursor = (self.cursor + 1).min(last_row);
    }

    fn open_row(&mut self, view: &View) -> Command {
        match self.page {
            Page::Engines => {
                if let Some(row) = self.engines(view).get(self.cursor) {
                    self.open(Page::Engine(row.engine));
                }
            }
            Page::Requests => {
                let request = self.requests(view).get(self.cursor).copied();
                if let Some(id) = request.and_then(|request| request.id) {
                    self.open(Page::Request(id));
                }
            }
            Page::Episodes => return self.jump_to_peak(view),
            _ => {}
        }
        Command::Nothing
    }

    // ---- Time ----

    fn show_time(&mut self, time: Micros) -> Command {
        self.paused_at = Some(time);
        Command::ShowTime(time)
    }

    fn follow_logs(&mut self) -> Command {
        self.paused_at = None;
        Command::FollowLogs
    }

    fn jump_to_peak(&mut self, view: &View) -> Command {
        if self.page != Page::Episodes {
            return Command::Nothing;
        }
        match view.detector.episodes().get(self.cursor) {
            Some(episode) => self.show_time(episode.peak_at.max(episode.started_at) + STEP),
            None => Command::Nothing,
        }
    }
}
