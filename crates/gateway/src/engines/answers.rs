//! What an engine's answers mean for the attempts that they belong to.

use std::collections::BTreeMap;

use eideryard::interface::Outcome;
use eideryard_engine_protocol::{self as engine_protocol, Answer, Word};

use super::answer_fields::{
    check_page, load_report, page_count, page_index, progress, resource_usage, spooled_page_count,
};
use super::engine_connection::{
    AttemptStage, OpenAttempt, ReportedEnd, ResultReader, SpooledResultReader,
};
use super::{AttemptEnd, EngineEvent};

/// Bytes of a result that goes to the client as a whole, as the protocol allows.
const MAX_RESULT_BYTES: usize = 48_000;

/// Why an engine's answer can't be used, which ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("what it says is no answer")]
    Malformed,
    #[error("a result with no readable number of pages")]
    PageCount,
    #[error("a page that was not asked for")]
    UnexpectedPage,
    #[error("a result is too long")]
    ResultTooLong,
    #[error("an answer that fits nothing asked for")]
    UnexpectedAnswer,
    #[error("a page is not UTF-8")]
    PageNotUtf8,
    #[error("a page doesn't hold whole rows")]
    IncompleteRows,
}

/// Applies an answer to its attempt: requests further pages in `output`, appends pages for the
/// result spool to `events`, and returns the event that the answer completes, if it does.
pub(super) fn handle_answer(
    open: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    match (&mut open.stage, answer.word) {
        (AttemptStage::Running, Word::Ok) if open.is_spooled => {
            start_spooling(open, answer, events)
        }
        (AttemptStage::Running, Word::Ok) => start_reading(open, answer, output),
        (AttemptStage::Running, Word::Busy | Word::Void) => {
            Ok(Some(ended(open, answer, Outcome::AtCapacity)))
        }
        (AttemptStage::SpoolingPages(_), Word::Rows) => spool_page(open, answer, output, events),
        (AttemptStage::ReadingPages(_), Word::Rows) => read_page(open, answer, output),
        // A second copy of the first page.
        (AttemptStage::ReadingPages(_) | AttemptStage::SpoolingPages(_), Word::Ok) => Ok(None),
        (_, Word::Note) => {
            let progress = progress(&answer.fields);
            Ok(progress.map(|progress| EngineEvent::Progress {
                request: open.request,
                attempt: open.attempt,
                progress,
            }))
        }
        (_, Word::Err) => Ok(Some(ended(open, answer, Outcome::Error))),
        _ => Err(AnswerError::UnexpectedAnswer),
    }
}

/// An attempt that ended without a result.
fn ended(open: &OpenAttempt, answer: &Answer<'_>, outcome: Outcome) -> EngineEvent {
    let mut end = AttemptEnd::new(open.request, open.attempt, outcome);
    end.report = load_report(&answer.fields);
    EngineEvent::AttemptEnded(end)
}

/// An attempt that ended with a result.
fn succeeded(open: &OpenAttempt, end: ReportedEnd) -> AttemptEnd {
    AttemptEnd {
        usage: end.usage,
        report: end.report,
        ..AttemptEnd::new(open.request, open.attempt, Outcome::Answered)
    }
}

fn reported_end(answer: &Answer<'_>) -> ReportedEnd {
    ReportedEnd {
        usage: resource_usage(&answer.fields),
        report: load_report(&answer.fields),
    }
}

/// The first page of a result that goes to the client as a whole; requests all others.
fn start_reading(
    open: &mut OpenAttempt,
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
            end: succeeded(open, end),
        }));
    }
    let bytes = first_page.len();
    let mut pages = vec![Some(first_page)];
    for page in 1..count {
        engine_protocol::write_read(output, answer.id, page);
        pages.push(None);
    }
    open.stage = AttemptStage::ReadingPages(ResultReader { pages, bytes, end });
    Ok(None)
}

/// A further page of a result that goes to the client as a whole.
fn read_page(
    open: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let AttemptStage::ReadingPages(reader) = &mut open.stage else {
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
        end: succeeded(open, end),
    }))
}

/// The first page of a result for the result spool.
fn start_spooling(
    open: &mut OpenAttempt,
    answer: &Answer<'_>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let count = spooled_page_count(answer).ok_or(AnswerError::PageCount)?;
    check_page(answer.payload)?;
    let end = reported_end(answer);
    events.push(EngineEvent::ResultPage {
        request: open.request,
        rows: answer.payload.to_vec(),
    });
    if count == 1 {
        let end = succeeded(open, end);
        return Ok(Some(EngineEvent::SpooledResultComplete(end)));
    }
    open.stage = AttemptStage::SpoolingPages(SpooledResultReader {
        count,
        next: 1,
        next_requested: 1,
        early: BTreeMap::new(),
        bytes: answer.payload.len(),
        end,
    });
    Ok(None)
}

/// A further page of a result for the result spool; hands on all pages whose turn it is.
fn spool_page(
    open: &mut OpenAttempt,
    answer: &Answer<'_>,
    output: &mut Vec<u8>,
    events: &mut Vec<EngineEvent>,
) -> Result<Option<EngineEvent>, AnswerError> {
    let AttemptStage::SpoolingPages(reader) = &mut open.stage else {
        return Err(AnswerError::UnexpectedAnswer);
    };
    let index = page_index(answer)
        .filter(|index| *index < reader.next_requested)
        .ok_or(AnswerError::UnexpectedPage)?;
    let is_second_copy = index < reader.next || reader.early.contains_key(&index);
    if is_second_copy {
        return Ok(None);
    }
    check_page(answer.payload)?;
    reader.early.insert(index, answer.payload.to_vec());
    while let Some(rows) = reader.early.remove(&reader.next) {
        reader.next += 1;
        reader.bytes += rows.len();
        events.push(EngineEvent::ResultPage {
            request: open.request,
            rows,
        });
    }
    if reader.next < reader.count {
        return Ok(None);
    }
    engine_protocol::write_release(output, answer.id);
    let end = reader.end;
    let end = succeeded(open, end);
    Ok(Some(EngineEvent::SpooledResultComplete(end)))
}
