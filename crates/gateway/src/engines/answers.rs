//! Applies engines' answers to the attempts that they belong to.

use std::collections::BTreeMap;

use eideryard::interface::Outcome;
use eideryard_engine_protocol::{self as engine_protocol, Answer, AnswerKind};

use super::answer_fields::{
    check_page, load_report, page_count, page_index, progress, resource_usage, spooled_page_count,
};
use super::engine_connection::{
    AttemptStage, OpenAttempt, ReportedEnd, ResultReader, SpooledResultReader,
};
use super::{AttemptEnd, EngineEvent};

/// The protocol's limit on the bytes of a result that is sent to the client as a whole.
const MAX_RESULT_BYTES: usize = 48_000;

/// Why an engine's answer is invalid. An invalid answer closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("the engine sent bytes that are not a valid answer")]
    Malformed,
    #[error("an answer states no valid number of pages of its result")]
    PageCount,
    #[error("the engine sent a page that was not requested")]
    UnexpectedPage,
    #[error("a result exceeds the {MAX_RESULT_BYTES} bytes that the protocol allows")]
    ResultTooLong,
    #[error("an answer does not match the state of its attempt")]
    UnexpectedAnswer,
    #[error("a page is not valid UTF-8")]
    PageNotUtf8,
    #[error("a page does not consist of whole rows of three columns")]
    IncompleteRows,
}

/// Applies an answer to its attempt: appends requests for further pages to `output` and pages for
/// the result spool to `events`, and returns the event that the answer completes, if any.
pub(super) fn handle_answer(
    attempt: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    match (&mut attempt.stage, answer.kind) {
        (AttemptStage::Running, AnswerKind::Ok) if attempt.is_spooled => {
            start_spooling(attempt, answer, events)
        }
        (AttemptStage::Running, AnswerKind::Ok) => start_reading(attempt, answer, output),
        (AttemptStage::Running, AnswerKind::Busy | AnswerKind::Void) => {
            Ok(Some(attempt_ended(attempt, answer, Outcome::AtCapacity)))
        }
        (AttemptStage::SpoolingPages(_), AnswerKind::Rows) => {
            spool_page(attempt, answer, output, events)
        }
        (AttemptStage::ReadingPages(_), AnswerKind::Rows) => read_page(attempt, answer, output),
        // A duplicate of the first page.
        (AttemptStage::ReadingPages(_) | AttemptStage::SpoolingPages(_), AnswerKind::Ok) => {
            Ok(None)
        }
        (_, AnswerKind::Note) => {
            let progress = progress(&answer.fields);
            Ok(progress.map(|progress| EngineEvent::Progress {
                request: attempt.request,
                attempt: attempt.index,
                progress,
            }))
        }
        (_, AnswerKind::Err) => Ok(Some(attempt_ended(attempt, answer, Outcome::Error))),
        _ => Err(AnswerError::UnexpectedAnswer),
    }
}

/// Returns the event for an attempt that ended without a result.
fn attempt_ended(attempt: &OpenAttempt, answer: &Answer<'_>, outcome: Outcome) -> EngineEvent {
    let mut end = AttemptEnd::new(attempt.request, attempt.index, outcome);
    end.report = load_report(&answer.fields);
    EngineEvent::AttemptEnded(end)
}

/// Returns the end of an attempt with a result.
fn succeeded(attempt: &OpenAttempt, end: ReportedEnd) -> AttemptEnd {
    AttemptEnd {
        usage: end.usage,
        report: end.report,
        ..AttemptEnd::new(attempt.request, attempt.index, Outcome::Answered)
    }
}

fn reported_end(answer: &Answer<'_>) -> ReportedEnd {
    ReportedEnd {
        usage: resource_usage(&answer.fields),
        report: load_report(&answer.fields),
    }
}

/// Handles the first page of a result that is sent to the client as a whole; requests all other
/// pages.
fn start_reading(
    attempt: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let count = page_count(answer).ok_or(AnswerError::PageCount)?;
    check_page(answer.payload)?;
    let end = reported_end(answer);
    let first_page = answer.payload.to_vec();
    if count <= 1 {
        return Ok(Some(EngineEvent::ResultComplete {
            pages: vec![first_page],
            end: succeeded(attempt, end),
        }));
    }
    let bytes = first_page.len();
    let mut pages = vec![Some(first_page)];
    for page in 1..count {
        engine_protocol::write_read(output, answer.id, page);
        pages.push(None);
    }
    attempt.stage = AttemptStage::ReadingPages(ResultReader { pages, bytes, end });
    Ok(None)
}

/// Handles a further page of a result that is sent to the client as a whole.
fn read_page(
    attempt: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let AttemptStage::ReadingPages(reader) = &mut attempt.stage else {
        return Err(AnswerError::UnexpectedAnswer);
    };
    let slot = page_index(answer)
        .and_then(|index| reader.pages.get_mut(index))
        .ok_or(AnswerError::UnexpectedPage)?;
    if slot.is_some() {
        return Ok(None);
    }
    check_page(answer.payload)?;
    *slot = Some(answer.payload.to_vec());
    reader.bytes += answer.payload.len();
    if reader.bytes > MAX_RESULT_BYTES {
        return Err(AnswerError::ResultTooLong);
    }
    if reader.pages.iter().any(Option::is_none) {
        return Ok(None);
    }
    engine_protocol::write_release(output, answer.id);
    let pages = std::mem::take(&mut reader.pages);
    let end = reader.end;
    Ok(Some(EngineEvent::ResultComplete {
        pages: pages.into_iter().flatten().collect(),
        end: succeeded(attempt, end),
    }))
}

/// Handles the first page of a result for the result spool.
fn start_spooling(
    attempt: &mut OpenAttempt,
    answer: &Answer<'_>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let count = spooled_page_count(answer).ok_or(AnswerError::PageCount)?;
    check_page(answer.payload)?;
    let end = reported_end(answer);
    events.push(EngineEvent::ResultPage {
        request: attempt.request,
        rows: answer.payload.to_vec(),
    });
    if count == 1 {
        let end = succeeded(attempt, end);
        return Ok(Some(EngineEvent::SpooledResultComplete(end)));
    }
    attempt.stage = AttemptStage::SpoolingPages(SpooledResultReader {
        count,
        next: 1,
        next_requested: 1,
        early: BTreeMap::new(),
        bytes: answer.payload.len(),
        end,
    });
    Ok(None)
}

/// Handles a further page of a result for the result spool. Pages may arrive in any order; they are
/// appended to `events` in the order of the result.
fn spool_page(
    attempt: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let AttemptStage::SpoolingPages(reader) = &mut attempt.stage else {
        return Err(AnswerError::UnexpectedAnswer);
    };
    let index = page_index(answer)
        .filter(|index| *index < reader.next_requested)
        .ok_or(AnswerError::UnexpectedPage)?;
    let is_duplicate = index < reader.next || reader.early.contains_key(&index);
    if is_duplicate {
        return Ok(None);
    }
    check_page(answer.payload)?;
    reader.early.insert(index, answer.payload.to_vec());
    while let Some(rows) = reader.early.remove(&reader.next) {
        reader.next += 1;
        reader.bytes += rows.len();
        events.push(EngineEvent::ResultPage {
            request: attempt.request,
            rows,
        });
    }
    if reader.next < reader.count {
        return Ok(None);
    }
    engine_protocol::write_release(output, answer.id);
    let end = reader.end;
    let end = succeeded(attempt, end);
    Ok(Some(EngineEvent::SpooledResultComplete(end)))
}
