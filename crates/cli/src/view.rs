//! Folds event logs into the view that the report shows, and resolves times for the console.

use std::path::PathBuf;

use eideryard_event_analysis::View;
use eideryard_event_log::reader::ReadError;
use eideryard_event_log::MergedReader;

use crate::arguments::Span;
use crate::error::CliError;
use crate::moment::Moment;

/// Returns the Unix time of a moment, in microseconds. A time of day refers to the last day of the
/// logs.
///
/// # Errors
///
/// The logs can't be read.
pub fn resolve_moment(
    directories: &[PathBuf],
    at: Option<Moment>,
) -> Result<Option<u64>, ReadError> {
    let Some(at) = at else {
        return Ok(None);
    };
    let last = MergedReader::open(directories)?.last_at()?;
    Ok(Some(at.on_day_of(last)))
}

/// Folds the entries of a span of time into a view. Each log is read from the last segment that
/// begins before the span, as its first entries contain the state at that time.
///
/// # Errors
///
/// The logs can't be read, or the span is empty.
pub fn fold(directories: &[PathBuf], span: Span) -> Result<View, CliError> {
    let mut reader = MergedReader::open(directories)?;
    let last = reader.last_at()?;
    let from = span.from.map(|from| from.on_day_of(last));
    let to = span.to.map_or(u64::MAX, |to| to.on_day_of(last));
    if from.is_some_and(|from| from >= to) {
        return Err(CliError::EmptySpan);
    }
    if let Some(from) = from {
        reader = MergedReader::open_from(directories, from)?;
    }
    let mut view = View::since(from.unwrap_or(0));
    let mut is_cut = false;
    while let Some(entry) = reader.next_entry()? {
        if entry.at > to {
            is_cut = true;
            break;
        }
        view.add(reader.sources(), entry.source, entry.at, &entry.content);
    }
    view.finish(is_cut);
    Ok(view)
}
