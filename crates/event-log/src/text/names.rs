//! Names of outcomes, phases, answers and reasons in the text of entries.

use eideryard::interface::{Outcome, Phase};

use crate::entry::{AnswerKind, CloseReason, RejectReason};

/// Returns the name of an outcome in the text of entries.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "Answered",
        Outcome::Error => "Error",
        Outcome::AtCapacity => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::NoConnection => "NoConnection",
        Outcome::Broken => "Broken",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "Unsent",
    }
}

/// Returns the name of a phase in the text of entries.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "Ready",
        Phase::Draining => "Draining",
        Phase::Removed => "Gone",
    }
}

pub(super) fn reject_reason_name(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::Invalid => "Invalid",
        RejectReason::StatementMemoryFull => "NoRoom",
        RejectReason::ClientDisconnected => "Gone",
        RejectReason::IntentLogFull => "LedgerFull",
        RejectReason::StoreStalled => "StoreStalled",
        RejectReason::NoMajority => "NoMajority",
    }
}

pub(super) fn answer_name(kind: AnswerKind) -> &'static str {
    match kind {
        AnswerKind::Served => "Served",
        AnswerKind::Refused => "Refused",
        AnswerKind::Failed => "Failed",
        AnswerKind::Abandoned => "Forgotten",
        AnswerKind::Undelivered => "Lost",
    }
}

pub(super) fn close_reason_name(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::Malformed => "Malformed",
        CloseReason::IdleTimeout => "Silent",
        CloseReason::TooMuchUnread => "Hoarding",
        CloseReason::NotReading => "Deaf",
        CloseReason::Evicted => "Evicted",
    }
}
