//! Reads what engines have sent and matches answers to the attempts and probes that are open.

use eideryard::interface::Outcome;
use eideryard_engine_protocol::{self as engine_protocol, decode, Answer, Word};

use super::answer_fields::{load_report, page_count};
use super::answers::{handle_answer, AnswerError};
use super::engine_connection::EngineConnection;
use super::{EngineContext, EngineEvent, Engines};
use crate::connection::{ReadOutcome, MAX_READS_PER_TURN};
use crate::deadlines::Deadline;
use crate::table::Key;

impl Engines {
    /// Reads what has arrived. True: there may be more, others get their turn first.
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
                        tracing::warn!("the connection to engine {engine} is closed: {reason}");
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

    /// Whether the connection is up; it is closed if it never will be.
    fn check_established(&mut self, key: Key, context: &mut EngineContext<'_>) -> bool {
        let Some(connection) = self.table.get_mut(key) else {
            return false;
        };
        let was_up = connection.stream.was_up();
        match connection.stream.is_up() {
            Ok(is_up) => {
                if is_up && !was_up {
                    context.deadlines.cancel(connection.deadline.take());
                }
                is_up
            }
            Err(_) => {
                context.counters.dials_failed += 1;
                self.close(key, Outcome::NoConnection, context);
                false
            }
        }
    }

    /// The rest of an answer waits for no work of the engine, so it gets as long as a dial. This
    /// guards against answers that stop short, arrive in drips, or are shorter than stated.
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

/// Handles all complete answers in a connection's buffer.
fn decode_answers(
    connection: &mut EngineConnection,
    context: &mut EngineContext<'_>,
) -> Result<(), AnswerError> {
    // The input is moved out while its answers borrow it.
    let mut input = std::mem::take(&mut connection.stream.input);
    let mut used = 0;
    let result = loop {
        let (answer, length) = match decode(&input.filled()[used..]) {
            Ok(Some(decoded)) => decoded,
            Ok(None) => break Ok(()),
            Err(_) => break Err(AnswerError::Malformed),
        };
        used += length;
        context.deadlines.cancel(connection.message_deadline.take());
        if let Err(error) = dispatch_answer(connection, &answer, context) {
            break Err(error);
        }
    };
    input.consume(used);
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
    let Some(open) = connection.open.get_mut(answer.id) else {
        // It belongs to an attempt that was cancelled, is a second copy, or answers nothing that
        // was asked; none of these does harm. A success that crossed the cancel may have left pages
        // at the engine.
        let has_pages = answer.word == Word::Ok && page_count(answer) > Some(1);
        if has_pages && connection.ended_ids.contains(answer.id) {
            engine_protocol::write_release(output, answer.id);
        }
        return Ok(());
    };
    context.counters.progress_reports += u64::from(answer.word == Word::Note);
    context.counters.result_pages += u64::from(answer.word == Word::Rows);
    let Some(event) = handle_answer(open, answer, output, context.events)? else {
        return Ok(());
    };
    if matches!(event, EngineEvent::AttemptEnded(_)) {
        connection.ended_ids.insert(answer.id.into());
    }
    if !matches!(event, EngineEvent::Progress { .. }) {
        connection.open.remove(answer.id);
    }
    context.events.push(event);
    Ok(())
}

fn probe_end(connection: &EngineConnection, answer: &Answer<'_>) -> EngineEvent {
    let outcome = if answer.word == Word::Up {
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
