//! Reads the engines' answers and matches them to the open attempts and probes.

use eideryard::interface::Outcome;
use eideryard_engine_protocol::{self as engine_protocol, decode, Answer, AnswerKind};

use super::answer_fields::{load_report, page_count};
use super::answers::{handle_answer, AnswerError};
use super::engine_connection::EngineConnection;
use super::{EngineContext, EngineEvent, Engines};
use crate::connection::{ReadOutcome, MAX_READS_PER_TURN};
use crate::deadlines::Deadline;
use crate::table::Key;

impl Engines {
    /// Reads the available input. Returns true if there may be more after [`MAX_READS_PER_TURN`]
    /// reads; the caller reads other connections first.
    pub fn read(&mut self, key: Key, context: &mut EngineContext<'_>) -> bool {
        if !self.check_established(key, context) {
            return false;
        }
        self.unflushed.push(key);
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.table.get_mut(key) else {
                return false;
            };
            match connection.stream.read_available() {
                Ok(ReadOutcome::Data) => {
                    connection.last_received_at = context.now;
                    if let Err(reason) = decode_answers(connection, context) {
                        let engine = connection.engine;
                        tracing::warn!("closing the connection to engine {engine}: {reason}");
                        self.close(key, Outcome::Broken, context);
                        return false;
                    }
                }
                Ok(ReadOutcome::WouldBlock) => {
                    self.update_message_deadline(key, context);
                    self.close_if_idle(key, context);
                    return false;
                }
                Ok(ReadOutcome::Closed) | Err(_) => {
                    self.close(key, Outcome::Broken, context);
                    return false;
                }
            }
        }
        true
    }

    /// Returns whether the connection is established. Closes the connection if establishing it has
    /// failed.
    fn check_established(&mut self, key: Key, context: &mut EngineContext<'_>) -> bool {
        let Some(connection) = self.table.get_mut(key) else {
            return false;
        };
        let was_established = connection.stream.is_established();
        match connection.stream.check_established() {
            Ok(is_established) => {
                if is_established && !was_established {
                    context.deadlines.cancel(connection.deadline.take());
                }
                is_established
            }
            Err(_) => {
                context.counters.dials_failed += 1;
                self.close(key, Outcome::NoConnection, context);
                false
            }
        }
    }

    /// Sets a deadline for the rest of a partly received answer. The engine has no more work to do
    /// for that answer, so the time limit is the dial timeout. The deadline guards against answers
    /// that stop short, arrive in small pieces, or are shorter than stated.
    fn update_message_deadline(&mut self, key: Key, context: &mut EngineContext<'_>) {
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        if connection.stream.input.is_empty() {
            context.deadlines.cancel(connection.message_deadline.take());
        } else if connection.message_deadline.is_none() {
            let timeout_at = context.now + self.limits.dial_timeout;
            let deadline = Deadline::EngineConnection(key);
            connection.message_deadline = Some(context.deadlines.set(timeout_at, deadline));
        }
    }
}

/// Handles all complete answers in a connection's input buffer.
fn decode_answers(
    connection: &mut EngineConnection,
    context: &mut EngineContext<'_>,
) -> Result<(), AnswerError> {
    // The input is moved out while its answers borrow it.
    let mut input = std::mem::take(&mut connection.stream.input);
    let mut consumed = 0;
    let result = loop {
        let (answer, length) = match decode(&input.filled()[consumed..]) {
            Ok(Some(decoded)) => decoded,
            Ok(None) => break Ok(()),
            Err(_) => break Err(AnswerError::Malformed),
        };
        consumed += length;
        context.deadlines.cancel(connection.message_deadline.take());
        if let Err(error) = dispatch_answer(connection, &answer, context) {
            break Err(error);
        }
    };
    input.consume(consumed);
    connection.stream.input = input;
    result
}

fn dispatch_answer(
    connection: &mut EngineConnection,
    answer: &Answer<'_>,
    context: &mut EngineContext<'_>,
) -> Result<(), AnswerError> {
    if let Some(deadline) = connection.probes.remove(answer.id) {
        context.deadlines.cancel(Some(deadline));
        context.events.push(probe_end(connection, answer));
        return Ok(());
    }
    let output = connection.stream.output.tail();
    let Some(attempt) = connection.open_attempts.get_mut(answer.id) else {
        // The answer belongs to a cancelled attempt, is a duplicate, or matches no request; all of
        // these are harmless. If a success was sent before the cancel arrived, the engine may still
        // store pages of the result, so they are released.
        let has_pages = answer.kind == AnswerKind::Ok && page_count(answer) > Some(1);
        if has_pages && connection.ended_ids.contains(answer.id) {
            engine_protocol::write_release(output, answer.id);
        }
        return Ok(());
    };
    context.counters.progress_reports += u64::from(answer.kind == AnswerKind::Note);
    context.counters.result_pages += u64::from(answer.kind == AnswerKind::Rows);
    let Some(event) = handle_answer(attempt, answer, output, context.events)? else {
        return Ok(());
    };
    if matches!(event, EngineEvent::AttemptEnded(_)) {
        connection.ended_ids.insert(answer.id.into());
    }
    if !matches!(event, EngineEvent::Progress { .. }) {
        connection.open_attempts.remove(answer.id);
    }
    context.events.push(event);
    Ok(())
}

fn probe_end(connection: &EngineConnection, answer: &Answer<'_>) -> EngineEvent {
    let outcome = if answer.kind == AnswerKind::Up {
        Outcome::Answered
    } else {
        Outcome::AtCapacity
    };
    EngineEvent::ProbeEnded {
        engine: connection.engine,
        outcome,
        report: load_report(&answer.fields),
    }
}
