//! Records to views: what the report and the console show.

use crate::arguments::Span;
use crate::moment::Moment;
use eideryard_event_analysis::View;
use eideryard_event_log::MergedReader;
use std::path::PathBuf;

/// A time on the last day that records tell of.
pub fn moment(directories: &[PathBuf], at: Option<Moment>) -> Result<Option<u64>, String> {
    let Some(at) = at else { return Ok(None) };
    let last = MergedReader::open(directories)
        .and_then(|merged| merged.last_at())
        .map_err(|e| e.to_string())?;
    Ok(Some(at.on_day_of(last)))
}

/// Folds what records hold of a span of time, each from the last segment that begins before it.
pub fn fold(directories: &[PathBuf], span: Span) -> Result<View, String> {
    let mut merged = MergedReader::open(directories).map_err(|e| e.to_string())?;
    let last = merged.last_at().map_err(|e| e.to_string())?;
    let from = span.from.map(|from| from.on_day_of(last));
    let to = span.to.map_or(u64::MAX, |to| to.on_day_of(last));
    if from.is_some_and(|from| from >= to) {
        return Err("--from is not before --to".into());
    }
    if let Some(from) = from {
        merged = MergedReader::open_from(directories, from).map_err(|e| e.to_string())?;
    }
    let mut view = View::since(from.unwrap_or(0));
    let mut cut = false;
    while let Some(told) = merged.next_entry().map_err(|e| e.to_string())? {
        if told.at > to {
            cut = true;
            break;
        }
        view.take(merged.sources(), told.source, told.at, &told.content);
    }
    view.finish(cut);
    Ok(view)
}
