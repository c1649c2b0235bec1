//! Reads the fields and pages of engines' answers. The names of the fields are those of the wire.

use eideryard::interface::{LoadReport, Progress, ResourceUsage};
use eideryard_engine_protocol::{Answer, Fields};

use super::answers::AnswerError;

/// Pages of one result that goes to the client as a whole.
const MAX_PAGES: usize = 256;
/// Pages of a result that is spooled: the spool's budget for one result ends it sooner.
const MAX_SPOOLED_PAGES: usize = 1 << 20;
/// Column separators in each row: results have three columns.
const TABS_IN_ROW: usize = 2;
const MICROS_PER_MS: f64 = 1e3;
/// The level of the progress `held` by which an engine waits for load, not for memory.
const HELD_BY_LOAD: f64 = 2.0;

/// How many pages a successful answer says that its result has, if that is possible.
pub(super) fn page_count(answer: &Answer<'_>) -> Option<usize> {
    let count = answer.fields.number("count")?;
    (1..=MAX_PAGES).contains(&count).then_some(count)
}

/// The same of a result that is spooled.
pub(super) fn spooled_page_count(answer: &Answer<'_>) -> Option<usize> {
    let count = answer.fields.number("count")?;
    (1..=MAX_SPOOLED_PAGES).contains(&count).then_some(count)
}

/// The index of the page that an answer holds.
pub(super) fn page_index(answer: &Answer<'_>) -> Option<usize> {
    answer.fields.number("pos")
}

/// A page holds whole rows of three columns as text. Where it doesn't, it was corrupted, and so may
/// be everything that follows.
pub(super) fn check_page(page: &[u8]) -> Result<(), AnswerError> {
    let text = std::str::from_utf8(page).map_err(|_| AnswerError::PageNotUtf8)?;
    let is_row = |line: &str| {
        let tabs = line.bytes().filter(|&byte| byte == b'\t').count();
        line.ends_with('\n') && tabs == TABS_IN_ROW
    };
    if text.split_inclusive('\n').all(is_row) {
        Ok(())
    } else {
        Err(AnswerError::IncompleteRows)
    }
}

/// The resources that a successful attempt used: `ticks` is work in milliseconds, `footprint`
/// memory in MB.
pub(super) fn resource_usage(fields: &Fields<'_>) -> Option<ResourceUsage> {
    let work_ms: f64 = fields.number("ticks").filter(|work| *work > 0.0)?;
    Some(ResourceUsage {
        work: work_ms * MICROS_PER_MS,
        memory_mb: fields.number("footprint").unwrap_or(0.0),
    })
}

/// The progress that an engine reports of a running attempt.
pub(super) fn progress(fields: &Fields<'_>) -> Option<Progress> {
    let level: f64 = fields.number("reading").unwrap_or(0.0);
    match fields.get("remark")? {
        "share" => Some(Progress::Share(level)),
        "short" => Some(Progress::Spilling(level)),
        "held" if level == HELD_BY_LOAD => Some(Progress::WaitsForLoad),
        "held" => Some(Progress::WaitsForMemory),
        _ => None,
    }
}

/// A load report, by the names of the settings or by those of the engines.
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
