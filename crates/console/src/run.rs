//! Joins a model to a terminal and to records.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use eideryard::interface::Micros;
use eideryard_event_analysis::View;
use eideryard_event_log::MergedReader;

use crate::draw::{draw, Look};
use crate::model::{Key, Model, Wish};

/// Between two looks at keys and records.
const TICK: Duration = Duration::from_millis(100);
/// Entries that are folded at once, so that keys are heard while a long record is read.
const MAX_AT_ONCE: usize = 200_000;

/// The records, folded up to a time.
struct Records {
    directories: Vec<PathBuf>,
    merged: MergedReader,
    view: View,
    /// What was read beyond the time that is shown.
    ahead: Option<eideryard_event_log::ReadEntry>,
}

impl Records {
    fn open(directories: &[PathBuf], from: Option<Micros>) -> Result<Self, String> {
        let merged = match from {
            // Some past before it makes what is usual known.
            Some(from) => MergedReader::follow_from(directories, from),
            None => MergedReader::follow(directories),
        };
        let merged = merged.map_err(|e| e.to_string())?;
        Ok(Records {
            directories: directories.to_vec(),
            merged,
            view: View::new(),
            ahead: None,
        })
    }

    /// Folds on, up to a time. True: there may be more at once.
    fn fold(&mut self, to: Micros) -> Result<bool, String> {
        for _ in 0..MAX_AT_ONCE {
            let told = match self.ahead.take() {
                Some(told) => Some(told),
                None => self.merged.next_entry().map_err(|e| e.to_string())?,
            };
            let Some(told) = told else { return Ok(false) };
            if told.at > to {
                self.ahead = Some(told);
                return Ok(false);
            }
            self.view
                .take(self.merged.sources(), told.source, told.at, &told.content);
        }
        Ok(true)
    }

    /// Back to a time before what is shown: from the beginning, or from a segment's state where
    /// that is far.
    fn rewind(&mut self, to: Micros) -> Result<(), String> {
        *self = Records::open(&self.directories, Some(to.saturating_sub(PAST)))?;
        Ok(())
    }
}

/// How much of the past before a time is folded for it.
const PAST: Micros = 600_000_000;

fn key(code: KeyCode, modifiers: KeyModifiers) -> Option<Key> {
    Some(match code {
        KeyCode::Char('c') if modifiers.contains(KeyModifiers::CONTROL) => Key::Quit,
        KeyCode::Char('q') => Key::Quit,
        KeyCode::Tab => Key::Next,
        KeyCode::BackTab => Key::Previous,
        KeyCode::Up | KeyCode::Char('k') => Key::Up,
        KeyCode::Down | KeyCode::Char('j') => Key::Down,
        KeyCode::Enter => Key::Open,
        KeyCode::Esc | KeyCode::Backspace => Key::Back,
        KeyCode::Char('s') => Key::Sort,
        KeyCode::Char(' ') => Key::Pause,
        KeyCode::Left | KeyCode::Char('h') => Key::StepBack,
        KeyCode::Right => Key::StepOn,
        KeyCode::PageUp => Key::LeapBack,
        KeyCode::PageDown => Key::LeapOn,
        KeyCode::Char('l') | KeyCode::End => Key::Live,
        KeyCode::Char('g') => Key::Jump,
        _ => return None,
    })
}

/// Shows records until it is ended.
pub fn run(directories: &[PathBuf], at: Option<Micros>) -> Result<(), String> {
    let mut records = Records::open(directories, at.map(|at| at.saturating_sub(PAST)))?;
    let look = Look {
        colours: std::env::var_os("NO_COLOR").is_none(),
        blocks: ["LC_ALL", "LC_CTYPE", "LANG"]
            .iter()
            .find_map(|name| std::env::var(name).ok().filter(|value| !value.is_empty()))
            .is_some_and(|value| value.to_lowercase().contains("utf")),
    };
    let mut terminal = ratatui::try_init().map_err(|e| format!("no terminal: {e}"))?;
    let mut model = Model::new();
    model.paused_at = at;
    let done = show(&mut terminal, &mut records, &mut model, look);
    ratatui::restore();
    done
}

fn show(
    terminal: &mut ratatui::DefaultTerminal,
    records: &mut Records,
    model: &mut Model,
    look: Look,
) -> Result<(), String> {
    let failed = |e: io::Error| e.to_string();
    loop {
        let began = Instant::now();
        let more = records.fold(model.paused_at.unwrap_or(Micros::MAX))?;
        let clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        model.silent_for = (clock.as_micros() as Micros).saturating_sub(records.view.fleet.now);
        terminal
            .draw(|frame| draw(frame, model, &records.view, look))
            .map_err(failed)?;
        let patience = if more {
            Duration::ZERO
        } else {
            TICK.saturating_sub(began.elapsed())
        };
        if !event::poll(patience).map_err(failed)? {
            continue;
        }
        let Event::Key(pressed) = event::read().map_err(failed)? else {
            continue;
        };
        if pressed.kind == KeyEventKind::Release {
            continue;
        }
        let Some(key) = key(pressed.code, pressed.modifiers) else {
            continue;
        };
        match model.key(key, &records.view) {
            Wish::Quit => return Ok(()),
            Wish::Go(at) if at < records.view.fleet.now => records.rewind(at)?,
            Wish::Go(_) | Wish::Follow | Wish::Nothing => {}
        }
    }
}
