//! Reads the fields and pages of engines' answers. The field names are those of the wire protocol.

use eideryard::interface::{LoadReport, Progress, ResourceUsage};
use eideryard_engine_protocol::{Answer, Fields};

use super::answers::AnswerError;

/// The maximum number of pages in a result that is sent to the client as a whole.
const MAX_PAGES: usize = 256;
/// The maximum number of pages in a spooled result. The spool's limit on the bytes of one result is
/// reached first.
const MAX_SPOOLED_PAGES: usize = 1 << 20;
/// Number of column separators in a row: results have three columns.
const TABS_PER_ROW: usize = 2;
const MICROS_PER_MS: f64 = 1e3;
/// The level of the progress report `held` that means that the attempt is waiting for a load of
/// data to end. With any other level, the attempt is waiting for memory.
const HELD_BY_LOAD: f64 = 2.0;

/// Returns the number of pages that a successful answer states; `None` if that number is missing or
/// outside 1 to [`MAX_PAGES`].
pub(super) fn page_count(answer: &Answer<'_>) -> Option<usize> {
    let count = answer.fields.number("count")?;
    (1..=MAX_PAGES).contains(&count).then_some(count)
}

/// Returns the number of pages that a successful answer with a spooled result states; `None` if
/// that number is missing or outside 1 to [`MAX_SPOOLED_PAGES`].
pub(super) fn spooled_page_count(answer: &Answer<'_>) -> Option<usize> {
    let count = answer.fields.number("count")?;
    (1..=MAX_SPOOLED_PAGES).contains(&count).then_some(count)
}

/// Returns the index, from 0, of the page that an answer contains within its result.
pub(super) fn page_index(answer: &Answer<'_>) -> Option<usize> {
    answer.fields.number("pos")
}

/// Checks that a page consists of whole rows of three columns of UTF-8 text. Otherwise the page is
/// corrupted, and so may be everything that follows on the connection.
pub(super) fn check_page(page: &[u8]) -> Result<(), AnswerError> {
    let text = std::str::from_utf8(page).map_err(|_| AnswerError::PageNotUtf8)?;
    let is_row = |line: &str| {
        let tabs = line.bytes().filter(|&byte| byte == b'\t').count();
        line.ends_with('\n') && tabs == TABS_PER_ROW
    };
    if text.split_inclusive('\n').all(is_row) {
        Ok(())
    } else {
        Err(AnswerError::IncompleteRows)
    }
}

/// Returns the resources that a successful attempt has used: `ticks` is work in milliseconds,
/// `footprint` is memory in MB. Returns `None` if a figure is not a number or the work is missing.
/// The balancer checks whether the figures are plausible.
pub(super) fn resource_usage(fields: &Fields<'_>) -> Option<ResourceUsage> {
    let work_ms: f64 = fields.number("ticks").filter(|work| *work > 0.0)?;
    Some(ResourceUsage {
        work: work_ms * MICROS_PER_MS,
        memory_mb: number_or_zero(fields, "footprint")?,
    })
}

/// Returns the progress of a running attempt that an engine reports; `None` for an unknown kind or
/// a level that is not a number.
pub(super) fn progress(fields: &Fields<'_>) -> Option<Progress> {
    let level = number_or_zero(fields, "reading")?;
    match fields.get("remark")? {
        "share" => Some(Progress::Share(level)),
        "short" => Some(Progress::Spilling(level)),
        "held" if level == HELD_BY_LOAD => Some(Progress::WaitsForLoad),
        "held" => Some(Progress::WaitsForMemory),
        _ => None,
    }
}

/// Returns the number in a field, 0 if the field is missing, or `None` if it is not a number.
fn number_or_zero(fields: &Fields<'_>, name: &str) -> Option<f64> {
    match fields.get(name) {
        Some(text) => text.parse().ok(),
        None => Some(0.0),
    }
}

/// Returns the report of the engine's system load. The values in the answer have the names from the
/// settings or the names of the engine protocol.
pub(super) fn load_report(fields: &Fields<'_>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in fields.report()? {
        let setting_name = match name {
            "inflight" => "concurrent",
            "queue" => "depth",
            "util" => "load_share",
            name => name,
        };
        eideryard_settings::set_reported_value(&mut report, setting_name, value);
    }
    Some(report)
}
