//! What an engine's answers mean for the attempts that they answer.

use std::collections::BTreeMap;

use eideryard::interface::{LoadReport, Outcome, Progress, ResourceUsage};
use eideryard_engine_protocol::{self as line, Answer, Fields, Word};

use super::conn::{Open, Stage};
use super::Heard;

/// Pages of one result, and its bytes: the protocol allows 48,000, in pages of whole rows.
const MAX_PAGES: usize = 256;
const MAX_RESULT: usize = 48_000;
/// Pages of a result that is spooled: the spool's budget for one result ends it sooner.
const MAX_SPOOLED_PAGES: usize = 1 << 20;

/// What an answer means for the attempt that it answers; asks for what is still to come.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub(super) fn take(
    open: &mut Open,
    answer: &Answer<'_>,
    out: &mut Vec<u8>,
    heard: &mut Vec<Heard>,
) -> Result<Option<Heard>, &'static str> {
    let (request, attempt) = (open.request, open.attempt);
    let over = |outcome| {
        let report = report(&answer.fields);
        Ok(Some(Heard::Over {
            request,
            attempt,
            outcome,
            report,
            told: false,
        }))
    };
    match (&mut open.stage, answer.word) {
        (Stage::Running, Word::Ok) if open.spooled => {
            let count = answer
                .fields
                .number("count")
                .filter(|count| (1..=MAX_SPOOLED_PAGES).contains(count));
            let count = count.ok_or("a result with no readable number of pages")?;
            check_page(answer.payload)?;
            let (bill, report) = (bill(&answer.fields), report(&answer.fields));
            heard.push(Heard::Page {
                request,
                rows: answer.payload.to_vec(),
            });
            if count == 1 {
                return Ok(Some(Heard::Spooled {
                    request,
                    attempt,
                    bill,
                    report,
                }));
            }
            let (bytes, early) = (answer.payload.len(), BTreeMap::new());
            open.stage = Stage::ResultSpoolDriver {
                count,
                next: 1,
                asked: 1,
                early,
                bytes,
                bill,
                report,
            };
            Ok(None)
        }
        (
            Stage::ResultSpoolDriver {
                count,
                next,
                asked,
                early,
                bytes,
                bill,
                report,
            },
            Word::Rows,
        ) => {
            let at = answer.fields.number("pos").filter(|at: &usize| at < asked);
            let at = at.ok_or("a page that was not asked for")?;
            if at < *next || early.contains_key(&at) {
                // A second copy.
                return Ok(None);
            }
            check_page(answer.payload)?;
            early.insert(at, answer.payload.to_vec());
            while let Some(rows) = early.remove(next) {
                *next += 1;
                *bytes += rows.len();
                heard.push(Heard::Page { request, rows });
            }
            if *next < *count {
                return Ok(None);
            }
            line::write_release(out, answer.id);
            Ok(Some(Heard::Spooled {
                request,
                attempt,
                bill: *bill,
                report: report.take(),
            }))
        }
        (Stage::Running, Word::Ok) => {
            let count = pages(answer).ok_or("a result with no readable number of pages")?;
            check_page(answer.payload)?;
            let (bill, report) = (bill(&answer.fields), report(&answer.fields));
            let first = answer.payload.to_vec();
            if count <= 1 {
                return Ok(Some(Heard::Served {
                    request,
                    attempt,
                    pages: vec![first],
                    bill,
                    report,
                }));
            }
            (1..count).for_each(|page| line::write_read(out, answer.id, page));
            let bytes = first.len();
            let pages = std::iter::once(Some(first))
                .chain((1..count).map(|_| None))
                .collect();
            open.stage = Stage::Reading {
                pages,
                bytes,
                bill,
                report,
            };
            Ok(None)
        }
        (
            Stage::Reading {
                pages,
                bytes,
                bill,
                report,
            },
            Word::Rows,
        ) => {
            let place = answer
                .fields
                .number("pos")
                .and_then(|at: usize| pages.get_mut(at));
            let place = place.ok_or("a page that was not asked for")?;
            if place.is_some() {
                return Ok(None);
            }
            check_page(answer.payload)?;
            *place = Some(answer.payload.to_vec());
            *bytes += answer.payload.len();
            if *bytes > MAX_RESULT {
                return Err("a result is too long");
            }
            if pages.iter().any(Option::is_none) {
                return Ok(None);
            }
            line::write_release(out, answer.id);
            let pages = pages.iter_mut().filter_map(Option::take).collect();
            Ok(Some(Heard::Served {
                request,
                attempt,
                pages,
                bill: *bill,
                report: report.take(),
            }))
        }
        (_, Word::Note) => Ok(note(&answer.fields).map(|note| Heard::Noted {
            request,
            attempt,
            note,
        })),
        (Stage::Running, Word::Busy | Word::Void) => over(Outcome::AtCapacity),
        (_, Word::Err) => over(Outcome::Error),
        // A second copy of the first page.
        (Stage::Reading { .. } | Stage::ResultSpoolDriver { .. }, Word::Ok) => Ok(None),
        _ => Err("an answer that fits nothing asked for"),
    }
}

/// How many pages a good end says that it has, if that can be.
pub(super) fn pages(answer: &Answer<'_>) -> Option<usize> {
    answer
        .fields
        .number("count")
        .filter(|count| (1..=MAX_PAGES).contains(count))
}

/// A page holds whole rows of three columns as text: what doesn't came spoilt, and so may all that
/// follows.
fn check_page(page: &[u8]) -> Result<(), &'static str> {
    let row =
        |row: &str| row.ends_with('\n') && row.bytes().filter(|&byte| byte == b'\t').count() == 2;
    let text = std::str::from_utf8(page).map_err(|_| "a page is not UTF-8")?;
    if text.split_inclusive('\n').all(row) {
        Ok(())
    } else {
        Err("a page doesn't hold whole rows")
    }
}

/// What a good end says it cost: `ticks` is work in milliseconds, `footprint` memory in MB.
fn bill(fields: &Fields<'_>) -> Option<ResourceUsage> {
    let work: f64 = fields.number("ticks").filter(|work| *work > 0.0)?;
    Some(ResourceUsage {
        work: work * 1e3,
        memory_mb: fields.number("footprint").unwrap_or(0.0),
    })
}

fn note(fields: &Fields<'_>) -> Option<Progress> {
    let level: f64 = fields.number("reading").unwrap_or(0.0);
    match fields.get("remark")? {
        "share" => Some(Progress::Share(level)),
        "short" => Some(Progress::Spilling(level)),
        "held" if level == 2.0 => Some(Progress::WaitsForLoad),
        "held" => Some(Progress::WaitsForMemory),
        _ => None,
    }
}

/// A load report, by the names of the settings or by those of the engines.
pub(super) fn report(fields: &Fields<'_>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in fields.report()? {
        let named = match name {
            "inflight" => "concurrent",
            "queue" => "depth",
            "util" => "load_share",
            name => name,
        };
        eideryard_settings::set_reported_value(&mut report, named, value);
    }
    Some(report)
}
