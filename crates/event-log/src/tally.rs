//! Counts entries. Recorder and reader use the same code, so that the totals of entries that were
//! dropped are exact.

use eideryard::interface::{Action, Event, Outcome};

use crate::entry::{AnswerKind, CloseReason, EntryRef, HostEvent, RejectReason};
use crate::totals::{group_mut, GroupTotals, Tally, Totals};

/// Totals of a log while it is read. A segment starts with a state, which repeats earlier entries
/// and isn't counted, and with the totals before that segment.
#[derive(Clone, Debug, Default)]
pub struct RunningTally {
    /// The totals up to the last entry that was added.
    pub tally: Tally,
    is_in_state: bool,
}

impl RunningTally {
    /// Returns whether the next entry belongs to the state at the start of a segment.
    pub fn is_in_state(&self) -> bool {
        self.is_in_state
    }

    /// Counts an entry that was read, unless it belongs to a state. A recorded tally replaces the
    /// totals.
    pub fn add(&mut self, entry: EntryRef<'_>) {
        match entry {
            EntryRef::Host(HostEvent::SegmentStarted { .. }) => self.is_in_state = true,
            EntryRef::Host(HostEvent::StateComplete) => self.is_in_state = false,
            EntryRef::Host(HostEvent::Tally(tally)) => self.tally.clone_from(tally),
            EntryRef::Host(HostEvent::Gap { .. }) => {}
            entry if !self.is_in_state => self.tally.count(entry),
            _ => {}
        }
    }
}

impl Tally {
    /// Counts an entry in all totals that it affects.
    pub fn count(&mut self, entry: EntryRef<'_>) {
        self.entries += 1;
        match entry {
            EntryRef::Event(Event::Arrived(request)) => {
                self.count_received(request.class, request.tenant);
            }
            EntryRef::Event(Event::AttemptEnded(ended)) => {
                *self.totals.outcome_mut(ended.outcome) += 1;
            }
            EntryRef::Action(Action::Send { .. }) => self.totals.sent += 1,
            EntryRef::Host(event) => self.count_host_event(event),
            _ => {}
        }
    }

    fn count_host_event(&mut self, event: &HostEvent) {
        match event {
            HostEvent::Answered {
                class,
                tenant,
                kind,
                is_late,
                ..
            } => self.count_answered(*class, *tenant, *kind, *is_late),
            HostEvent::RetryAttached { class, tenant } => self.count_received(*class, *tenant),
            HostEvent::RequestRejected {
                reason,
                class,
                tenant,
            } => self.count_rejected(*reason, *class, *tenant),
            HostEvent::RefusalExplained { reason, .. } => self.totals.count_refusal(*reason),
            HostEvent::DiscoveryEvent { .. } => self.totals.discovery_events += 1,
            HostEvent::Connected { .. } => self.totals.connections += 1,
            HostEvent::ConnectionClosing { reason, .. } => {
                *self.totals.close_reason_mut(*reason) += 1;
            }
            HostEvent::ConfigReloaded { succeeded: true } => self.totals.reloads += 1,
            HostEvent::ConfigReloaded { succeeded: false } => self.totals.reloads_failed += 1,
            _ => {}
        }
    }

    fn count_received(&mut self, class: usize, tenant: usize) {
        self.totals.received += 1;
        self.update_groups(Some(class), Some(tenant), |group| group.received += 1);
    }

    fn count_answered(&mut self, class: usize, tenant: usize, kind: AnswerKind, is_late: bool) {
        let late = u64::from(is_late);
        *self.totals.answer_mut(kind) += 1;
        self.totals.late += late;
        self.update_groups(Some(class), Some(tenant), |group| {
            group.ended[kind as usize] += 1;
            group.late += late;
        });
    }

    fn count_rejected(
        &mut self,
        reason: RejectReason,
        class: Option<usize>,
        tenant: Option<usize>,
    ) {
        self.totals.received += 1;
        let kind = match reason {
            RejectReason::Invalid => {
                // An invalid message has no known class or tenant.
                self.totals.invalid += 1;
                return;
            }
            RejectReason::ClientDisconnected => AnswerKind::Undelivered,
            RejectReason::StatementMemoryFull => {
                self.totals.statement_memory_full += 1;
                AnswerKind::Refused
            }
            RejectReason::IntentLogFull | RejectReason::StoreStalled | RejectReason::NoMajority => {
                self.totals.count_refusal(reason);
                AnswerKind::Refused
            }
        };
        *self.totals.answer_mut(kind) += 1;
        self.update_groups(class, tenant, |group| {
            group.received += 1;
            group.ended[kind as usize] += 1;
        });
    }

    /// Applies a change to the totals of a class and of a tenant, if they are known.
    fn update_groups(
        &mut self,
        class: Option<usize>,
        tenant: Option<usize>,
        change: impl Fn(&mut GroupTotals),
    ) {
        if let Some(group) = class.and_then(|class| group_mut(&mut self.classes, class)) {
            change(group);
        }
        if let Some(group) = tenant.and_then(|tenant| group_mut(&mut self.tenants, tenant)) {
            change(group);
        }
    }
}

impl Totals {
    /// Counts a refusal because the request's intent could not be made durable. Other reasons are
    /// counted elsewhere.
    fn count_refusal(&mut self, reason: RejectReason) {
        match reason {
            RejectReason::IntentLogFull => self.intent_log_full += 1,
            RejectReason::StoreStalled => self.store_stalled += 1,
            RejectReason::NoMajority => self.no_majority += 1,
            RejectReason::Invalid
            | RejectReason::StatementMemoryFull
            | RejectReason::ClientDisconnected => {}
        }
    }

    fn outcome_mut(&mut self, outcome: Outcome) -> &mut u64 {
        match outcome {
            Outcome::Answered => &mut self.answered,
            Outcome::Error => &mut self.error,
            Outcome::AtCapacity => &mut self.at_capacity,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::NoConnection => &mut self.no_connection,
            Outcome::Broken => &mut self.broken,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        }
    }

    fn answer_mut(&mut self, kind: AnswerKind) -> &mut u64 {
        match kind {
            AnswerKind::Served => &mut self.served,
            AnswerKind::Refused => &mut self.refused,
            AnswerKind::Failed => &mut self.failed,
            AnswerKind::Abandoned => &mut self.abandoned,
            AnswerKind::Undelivered => &mut self.undelivered,
        }
    }

    fn close_reason_mut(&mut self, reason: CloseReason) -> &mut u64 {
        match reason {
            CloseReason::Malformed => &mut self.malformed,
            CloseReason::IdleTimeout => &mut self.idle_timeout,
            CloseReason::TooMuchUnread => &mut self.too_much_unread,
            CloseReason::NotReading => &mut self.not_reading,
            CloseReason::Evicted => &mut self.evicted,
        }
    }
}
