//! The state of the console and its changes by keys, without access to the terminal, to files or to
//! the clock.

mod engine_rows;

use eideryard::interface::{EngineId, Micros};
use eideryard_event_analysis::notable::NotableRequest;
use eideryard_event_analysis::View;

pub use engine_rows::{answers_per_bucket, EngineRow, SPARKLINE_BUCKETS};

/// How far in time [`Key::StepBack`] and [`Key::StepForward`] move.
pub const STEP: Micros = 1_000_000;
/// How far in time [`Key::LeapBack`] and [`Key::LeapForward`] move.
pub const LEAP: Micros = 10_000_000;
/// Maximum number of pages that [`Key::Back`] can return to.
const MAX_PREVIOUS_PAGES: usize = 16;

/// The page that is shown below the header.
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
    /// The table of requests that were not served in time at the first attempt.
    Requests,
    /// The details of one engine.
    Engine(EngineId),
    /// The details of the request with this ID, which the client chose.
    Request(u64),
}

impl Page {
    /// The pages that [`Key::NextPage`] cycles through.
    const TABLES: [Page; 5] = [
        Page::Engines,
        Page::Classes,
        Page::Tenants,
        Page::Episodes,
        Page::Requests,
    ];

    /// Returns the table that is `distance` tables after this page. Other pages count as the first
    /// table.
    fn table_after(self, distance: usize) -> Page {
        let index = Page::TABLES.iter().position(|page| *page == self);
        Page::TABLES[(index.unwrap_or(0) + distance) % Page::TABLES.len()]
    }
}

/// The order of the table of engines. Engines with equal values are sorted by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// Alphabetically by the engine's name.
    Name,
    /// Most attempts in flight first.
    InFlight,
    /// Most granted memory first.
    Memory,
    /// Most answers in the last time bucket first.
    Rate,
    /// Most failed attempts first.
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

    /// Returns the name of the order on the screen.
    pub fn name(self) -> &'static str {
        match self {
            Sort::Name => "name",
            Sort::InFlight => "in flight",
            Sort::Memory => "memory",
            Sort::Rate => "answers",
            Sort::Failed => "failed attempts",
        }
    }

    fn next(self) -> Sort {
        let index = Sort::ALL.iter().position(|sort| *sort == self);
        Sort::ALL[(index.unwrap_or(0) + 1) % Sort::ALL.len()]
    }
}

/// The function of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Shows the next table.
    NextPage,
    /// Shows the previous table.
    PreviousPage,
    /// Moves the cursor up by one row.
    Up,
    /// Moves the cursor down by one row.
    Down,
    /// Opens the page of the selected row; for an episode, shows the time of its peak.
    Open,
    /// Returns to the page from which the current one was opened.
    Back,
    /// Sorts the table of engines by the next [`Sort`].
    Sort,
    /// Pauses at the shown time, or follows the logs again.
    Pause,
    /// Goes back by one [`STEP`].
    StepBack,
    /// Goes forward by one [`STEP`].
    StepForward,
    /// Goes back by one [`LEAP`].
    LeapBack,
    /// Goes forward by one [`LEAP`].
    LeapForward,
    /// Follows the logs.
    Live,
    /// Ends the console.
    Quit,
    /// Shows the time of the peak of the selected episode.
    JumpToPeak,
}

/// What the caller of [`Model::on_key`] must do after a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Only draw the model again.
    Nothing,
    /// End the console.
    Quit,
    /// Show the state at this time, which may require reading the logs again.
    ShowTime(Micros),
    /// Show each new entry as it is logged.
    FollowLogs,
}

/// The state of the console.
pub struct Model {
    /// Page that is shown below the header.
    pub page: Page,
    /// Pages that [`Key::Back`] returns to, the most recent one at the end.
    previous_pages: Vec<Page>,
    /// Index of the selected row.
    pub cursor: usize,
    /// Order of the table of engines.
    pub sort: Sort,
    /// Time at which the display is paused; `None` while the logs are followed.
    pub paused_at: Option<Micros>,
    /// Time since the last entry of all logs, by the local clock; set by the caller before drawing.
    pub silent_for: Micros,
}

impl Default for Model {
    fn default() -> Self {
        Self::new()
    }
}

impl Model {
    /// Creates a model that shows the table of engines and follows the logs.
    pub fn new() -> Self {
        Model {
            page: Page::Engines,
            previous_pages: Vec::new(),
            cursor: 0,
            sort: Sort::Name,
            paused_at: None,
            silent_for: 0,
        }
    }

    /// Handles a key and returns what the caller must do.
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

    /// Returns the number of rows that the cursor can select on the page; 0 if it has no cursor.
    pub fn row_count(&self, view: &View) -> usize {
        match self.page {
            Page::Engines => self.engines(view).len(),
            Page::Episodes => view.detector.episodes().len(),
            Page::Requests => view.notables.iter().count(),
            _ => 0,
        }
    }

    /// Returns the rows of the table of engines.
    pub fn engines(&self, view: &View) -> Vec<EngineRow> {
        engine_rows::engine_rows(view, self.sort)
    }

    /// Returns the requests that were not served in time at the first attempt, the latest first.
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
        self.previous_pages.push(self.page);
        if self.previous_pages.len() > MAX_PREVIOUS_PAGES {
            self.previous_pages.remove(0);
        }
        self.show(page);
    }

    fn go_back(&mut self) {
        if let Some(page) = self.previous_pages.pop() {
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
