//! Connects a model to a terminal and to event logs.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use eideryard::interface::Micros;
use eideryard_event_analysis::View;
use eideryard_event_log::reader::ReadError;
use eideryard_event_log::{MergedReader, ReadEntry};

use crate::draw::{draw, DisplayOptions};
use crate::model::{Command, Key, Model};

/// Interval at which keys and logs are read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of entries that are added before keys are read again.
const MAX_ENTRIES_PER_POLL: usize = 200_000;
/// How long before the shown time reading of the logs begins, to build the state and the baselines.
const READ_BEFORE: Micros = 600_000_000;

/// Why the console can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// A log can't be read.
    #[error(transparent)]
    Log(#[from] ReadError),
    /// The program doesn't run in a terminal, or the terminal can't be set up.
    #[error("the console needs a terminal, but it can't be set up: {0}")]
    NoTerminal(io::Error),
    /// Reading from or writing to the terminal failed.
    #[error(transparent)]
    Terminal(#[from] io::Error),
}

/// Reads event logs up to the shown time.
struct LogPlayer {
    directories: Vec<PathBuf>,
    reader: MergedReader,
    view: View,
    /// Entry that was read but is later than the shown time; it is added once that time is reached.
    pending: Option<ReadEntry>,
}

impl LogPlayer {
    fn open(directories: &[PathBuf], from: Option<Micros>) -> Result<Self, ReadError> {
        let reader = match from {
            Some(from) => MergedReader::follow_from(directories, from)?,
            None => MergedReader::follow(directories)?,
        };
        Ok(LogPlayer {
            directories: directories.to_vec(),
            reader,
            view: View::new(),
            pending: None,
        })
    }

    /// Reads entries up to a time, at most [`MAX_ENTRIES_PER_POLL`]. Returns whether there may be
    /// more to read immediately.
    fn play_until(&mut self, until: Micros) -> Result<bool, ReadError> {
        for _ in 0..MAX_ENTRIES_PER_POLL {
            let next = match self.pending.take() {
                Some(entry) => Some(entry),
                None => self.reader.next_entry()?,
            };
            let Some(entry) = next else { return Ok(false) };
            if entry.at > until {
                self.pending = Some(entry);
                return Ok(false);
            }
            let sources = self.reader.sources();
            self.view
                .add(sources, entry.source, entry.at, &entry.content);
        }
        Ok(true)
    }

    /// Goes back to an earlier time: reopens the logs at [`READ_BEFORE`] before that time.
    fn rewind(&mut self, time: Micros) -> Result<(), ReadError> {
        *self = LogPlayer::open(&self.directories, Some(time.saturating_sub(READ_BEFORE)))?;
        Ok(())
    }
}

/// Shows event logs until the user quits. Follows them live, or starts paused at the time `at`.
///
/// # Errors
/// Returns an error if there is no terminal, if the terminal fails, or if a log can't be read.
pub fn run(directories: &[PathBuf], at: Option<Micros>) -> Result<(), ConsoleError> {
    let from = at.map(|at| at.saturating_sub(READ_BEFORE));
    let mut player = LogPlayer::open(directories, from)?;
    let options = display_options();
    let mut terminal = ratatui::try_init().map_err(ConsoleError::NoTerminal)?;
    let mut model = Model::new();
    model.paused_at = at;
    let result = show(&mut terminal, &mut player, &mut model, options);
    ratatui::restore();
    result
}

/// Determines from the environment what the terminal can display.
fn display_options() -> DisplayOptions {
    let locale = ["LC_ALL", "LC_CTYPE", "LANG"]
        .iter()
        .filter_map(|name| std::env::var(name).ok())
        .find(|value| !value.is_empty());
    DisplayOptions {
        has_colours: std::env::var_os("NO_COLOR").is_none(),
        has_blocks: locale.is_some_and(|value| value.to_lowercase().contains("utf")),
    }
}

fn show(
    terminal: &mut ratatui::DefaultTerminal,
    player: &mut LogPlayer,
    model: &mut Model,
    options: DisplayOptions,
) -> Result<(), ConsoleError> {
    loop {
        let started_at = Instant::now();
        let has_more = player.play_until(model.paused_at.unwrap_or(Micros::MAX))?;
        model.silent_for = wall_clock().saturating_sub(player.view.fleet.now);
        terminal.draw(|frame| draw(frame, model, &player.view, options))?;
        let timeout = if has_more {
            Duration::ZERO
        } else {
            POLL_INTERVAL.saturating_sub(started_at.elapsed())
        };
        let Some(key) = read_key(timeout)? else {
            continue;
        };
        match model.on_key(key, &player.view) {
            Command::Quit => return Ok(()),
            Command::ShowTime(time) if time < player.view.fleet.now => player.rewind(time)?,
            Command::ShowTime(_) | Command::FollowLogs | Command::Nothing => {}
        }
    }
}

fn wall_clock() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_micros() as Micros
}

/// Waits up to `timeout` for a key press that is bound to a command. Returns `None` if there was
/// none in that time.
fn read_key(timeout: Duration) -> io::Result<Option<Key>> {
    if !event::poll(timeout)? {
        return Ok(None);
    }
    let Event::Key(pressed) = event::read()? else {
        return Ok(None);
    };
    if pressed.kind == KeyEventKind::Release {
        return Ok(None);
    }
    Ok(key_of(pressed.code, pressed.modifiers))
}

fn key_of(code: KeyCode, modifiers: KeyModifiers) -> Option<Key> {
    Some(match code {
        KeyCode::Char('c') if modifiers.contains(KeyModifiers::CONTROL) => Key::Quit,
        KeyCode::Char('q') => Key::Quit,
        KeyCode::Tab => Key::NextPage,
        KeyCode::BackTab => Key::PreviousPage,
        KeyCode::Up | KeyCode::Char('k') => Key::Up,
        KeyCode::Down | KeyCode::Char('j') => Key::Down,
        KeyCode::Enter => Key::Open,
        KeyCode::Esc | KeyCode::Backspace => Key::Back,
        KeyCode::Char('s') => Key::Sort,
        KeyCode::Char(' ') => Key::Pause,
        KeyCode::Left | KeyCode::Char('h') => Key::StepBack,
        KeyCode::Right => Key::StepForward,
        KeyCode::PageUp => Key::LeapBack,
        KeyCode::PageDown => Key::LeapForward,
        KeyCode::Char('l') | KeyCode::End => Key::Live,
        KeyCode::Char('g') => Key::JumpToPeak,
        _ => return None,
    })
}
