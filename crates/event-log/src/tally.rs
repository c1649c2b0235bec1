//! Counting entries. Writer and reader count by the same code, so that what was left out of a
//! record can be told exactly.

use crate::entry::{AnswerKind, CloseReason, EntryRef, Host, RejectReason};
use crate::totals::lane;
pub use crate::totals::{Lane, Tally, Totals, MAX_LANES};
use eideryard::interface::{Action, Event, Outcome};

/// Counts what is read. A segment opens with the state that it begins in, which tells again what
/// was told before and so counts nothing, and with the tally up to then.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    pub tally: Tally,
    in_state: bool,
}

impl Counted {
    /// Whether what comes now is told again.
    pub fn is_state(&self) -> bool {
        self.in_state
    }

    pub fn read(&mut self, entry: EntryRef<'_>) {
        match entry {
            EntryRef::Host(Host::Begin { .. }) => self.in_state = true,
            EntryRef::Host(Host::StateWhole) => self.in_state = false,
            EntryRef::Host(Host::Tally(told)) => self.tally.clone_from(told),
            EntryRef::Host(Host::Gap { .. }) => {}
            entry if !self.in_state => self.tally.count(entry),
            _ => {}
        }
    }
}

impl Totals {
    /// Something that intents need was wanting.
    fn wants(&mut self, why: RejectReason) {
        match why {
            RejectReason::LedgerFull => self.ledger_full += 1,
            RejectReason::StoreStalled => self.store_stalled += 1,
            RejectReason::NoMajority => self.no_majority += 1,
            _ => {}
        }
    }
}

impl Tally {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn count(&mut self, entry: EntryRef<'_>) {
        self.entries += 1;
        let totals = &mut self.totals;
        match entry {
            EntryRef::In(Event::Arrived(request)) => {
                totals.taken += 1;
                for lane in lane(&mut self.classes, request.class).into_iter() {
                    lane.taken += 1;
                }
                for lane in lane(&mut self.tenants, request.tenant).into_iter() {
                    lane.taken += 1;
                }
            }
            EntryRef::In(Event::AttemptEnded(ended)) => {
                *match ended.outcome {
                    Outcome::Answered => &mut totals.answered,
                    Outcome::Error => &mut totals.error,
                    Outcome::AtCapacity => &mut totals.full,
                    Outcome::TimedOut => &mut totals.timed_out,
                    Outcome::NoConnection => &mut totals.no_connection,
                    Outcome::Broken => &mut totals.broken,
                    Outcome::Cancelled => &mut totals.cancelled,
                    Outcome::NotSent => &mut totals.unsent,
                } += 1;
            }
            EntryRef::Out(Action::Send { .. }) => totals.sent += 1,
            EntryRef::Host(Host::Answered {
                class,
                tenant,
                how,
                late,
                ..
            }) => {
                *match how {
                    AnswerKind::Served => &mut totals.served,
                    AnswerKind::Refused => &mut totals.refused,
                    AnswerKind::Failed => &mut totals.failed,
                    AnswerKind::Forgotten => &mut totals.forgotten,
                    AnswerKind::Lost => &mut totals.lost,
                } += 1;
                totals.late += *late as u64;
                let lanes = [
                    lane(&mut self.classes, *class),
                    lane(&mut self.tenants, *tenant),
                ];
                for lane in lanes.into_iter().flatten() {
                    lane.ended[*how as usize] += 1;
                    lane.late += *late as u64;
                }
            }
            EntryRef::Host(Host::Attached { class, tenant }) => {
                totals.taken += 1;
                for lane in lane(&mut self.classes, *class).into_iter() {
                    lane.taken += 1;
                }
                for lane in lane(&mut self.tenants, *tenant).into_iter() {
                    lane.taken += 1;
                }
            }
            EntryRef::Host(Host::NotTaken { how, class, tenant }) => {
                totals.taken += 1;
                let ended = match how {
                    RejectReason::Invalid => {
                        totals.invalid += 1;
                        return;
                    }
                    RejectReason::NoRoom => {
                        totals.no_room += 1;
                        totals.refused += 1;
                        AnswerKind::Refused
                    }
                    RejectReason::Gone => {
                        totals.lost += 1;
                        AnswerKind::Lost
                    }
                    why => {
                        totals.refused += 1;
                        totals.wants(*why);
                        AnswerKind::Refused
                    }
                };
                let lanes = [
                    class.and_then(|at| lane(&mut self.classes, at)),
                    tenant.and_then(|at| lane(&mut self.tenants, at)),
                ];
                for lane in lanes.into_iter().flatten() {
                    lane.taken += 1;
                    lane.ended[ended as usize] += 1;
                }
            }
            EntryRef::Host(Host::Because { why, .. }) => totals.wants(*why),
            EntryRef::Host(Host::ListEvent { .. }) => totals.list_events += 1,
            EntryRef::Host(Host::Connected { .. }) => totals.connections += 1,
            EntryRef::Host(Host::Ending { why, .. }) => {
                *match why {
                    CloseReason::Malformed => &mut totals.malformed,
                    CloseReason::Silent => &mut totals.silent,
                    CloseReason::Hoarding => &mut totals.hoarding,
                    CloseReason::Deaf => &mut totals.deaf,
                    CloseReason::Evicted => &mut totals.evicted,
                } += 1;
            }
            EntryRef::Host(Host::Reloaded { done: true }) => totals.reloads += 1,
            EntryRef::Host(Host::Reloaded { done: false }) => totals.reloads_failed += 1,
            _ => {}
        }
    }
}
