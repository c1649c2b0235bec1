//! Counting entries. Writer and reader count by the same code, so that what was left out of a record can be
//! told exactly.

use crate::entry::{AnswerKind, EntryRef, Host, NotTaken, Why};
use eideryard::interface::{Action, Event, Outcome};

/// More classes or tenants than this are counted in the totals only; it bounds a record that was tampered
/// with.
pub const MOST_LANES: usize = 256;

macro_rules! counts {
    ($($name:ident),*) => {
        /// Totals, named as in the gateway's counters.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Totals {
            $(pub $name: u64),*
        }

        impl Totals {
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            pub fn pairs(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name)),*].into_iter()
            }

            pub fn values_mut(&mut self) -> impl Iterator<Item = &mut u64> {
                [$(&mut self.$name),*].into_iter()
            }
        }
    };
}

counts!(
    taken,
    served,
    refused,
    failed,
    invalid,
    forgotten,
    lost,
    late,
    no_room,
    sent,
    answered,
    error,
    full,
    timed_out,
    no_connection,
    broken,
    cancelled,
    unsent,
    list_events,
    connections,
    reloads,
    reloads_failed,
    malformed,
    silent,
    hoarding,
    deaf,
    evicted
);

/// Counts what is read. A segment opens with the state that it begins in, which tells again what was told
/// before and so counts nothing, and with the tally up to then.
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

    pub fn read(&mut self, entry: EntryRef) {
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

/// What was counted of one class or tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lane {
    pub taken: u64,
    /// By [`AnswerKind`], in its order.
    pub ended: [u64; 5],
    pub late: u64,
}

impl Lane {
    pub fn ended(&self, how: AnswerKind) -> u64 {
        self.ended[how as usize]
    }

    pub fn values(&self) -> [u64; 7] {
        let [a, b, c, d, e] = self.ended;
        [self.taken, a, b, c, d, e, self.late]
    }

    pub fn from_values(values: [u64; 7]) -> Self {
        let [taken, a, b, c, d, e, late] = values;
        Lane { taken, ended: [a, b, c, d, e], late }
    }
}

#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Entries that count: all but those of a segment's opening state.
    pub entries: u64,
    pub totals: Totals,
    pub classes: Vec<Lane>,
    pub tenants: Vec<Lane>,
}

/// By hand, so that a tally is copied over another without allocation.
impl Clone for Tally {
    fn clone(&self) -> Self {
        let mut copy = Tally::default();
        copy.clone_from(self);
        copy
    }

    fn clone_from(&mut self, other: &Self) {
        (self.entries, self.totals) = (other.entries, other.totals);
        self.classes.clone_from(&other.classes);
        self.tenants.clone_from(&other.tenants);
    }
}

fn lane(lanes: &mut Vec<Lane>, at: usize) -> Option<&mut Lane> {
    if at >= lanes.len() && at < MOST_LANES {
        lanes.resize(at + 1, Lane::default());
    }
    lanes.get_mut(at)
}

impl Tally {
    /// Room for so many classes and tenants, so that counting allocates nothing.
    pub fn sized(classes: usize, tenants: usize) -> Self {
        let lanes = |count: usize| vec![Lane::default(); count.min(MOST_LANES)];
        Tally { classes: lanes(classes), tenants: lanes(tenants), ..Tally::default() }
    }

    pub fn count(&mut self, entry: EntryRef) {
        self.entries += 1;
        let totals = &mut self.totals;
        match entry {
            EntryRef::In(Event::Arrived(request)) => {
                totals.taken += 1;
                lane(&mut self.classes, request.class).into_iter().for_each(|lane| lane.taken += 1);
                lane(&mut self.tenants, request.tenant).into_iter().for_each(|lane| lane.taken += 1);
            }
            EntryRef::In(Event::Ended(ended)) => {
                *match ended.outcome {
                    Outcome::Answered => &mut totals.answered,
                    Outcome::Error => &mut totals.error,
                    Outcome::Full => &mut totals.full,
                    Outcome::TimedOut => &mut totals.timed_out,
                    Outcome::NoConnection => &mut totals.no_connection,
                    Outcome::Broken => &mut totals.broken,
                    Outcome::Cancelled => &mut totals.cancelled,
                    Outcome::Unsent => &mut totals.unsent,
                } += 1
            }
            EntryRef::Out(Action::Send { .. }) => totals.sent += 1,
            EntryRef::Host(Host::Answered { class, tenant, how, late, .. }) => {
                *match how {
                    AnswerKind::Served => &mut totals.served,
                    AnswerKind::Refused => &mut totals.refused,
                    AnswerKind::Failed => &mut totals.failed,
                    AnswerKind::Forgotten => &mut totals.forgotten,
                    AnswerKind::Lost => &mut totals.lost,
                } += 1;
                totals.late += *late as u64;
                let lanes = [lane(&mut self.classes, *class), lane(&mut self.tenants, *tenant)];
                for lane in lanes.into_iter().flatten() {
                    lane.ended[*how as usize] += 1;
                    lane.late += *late as u64;
                }
            }
            EntryRef::Host(Host::Attached { class, tenant }) => {
                totals.taken += 1;
                lane(&mut self.classes, *class).into_iter().for_each(|lane| lane.taken += 1);
                lane(&mut self.tenants, *tenant).into_iter().for_each(|lane| lane.taken += 1);
            }
            EntryRef::Host(Host::NotTaken { how, class, tenant }) => {
                totals.taken += 1;
                let ended = match how {
                    NotTaken::Invalid => {
                        totals.invalid += 1;
                        return;
                    }
                    NotTaken::NoRoom => {
                        totals.no_room += 1;
                        totals.refused += 1;
                        AnswerKind::Refused
                    }
                    NotTaken::Gone => {
                        totals.lost += 1;
                        AnswerKind::Lost
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
            EntryRef::Host(Host::ListEvent { .. }) => totals.list_events += 1,
            EntryRef::Host(Host::Connected { .. }) => totals.connections += 1,
            EntryRef::Host(Host::Ending { why, .. }) => {
                *match why {
                    Why::Malformed => &mut totals.malformed,
                    Why::Silent => &mut totals.silent,
                    Why::Hoarding => &mut totals.hoarding,
                    Why::Deaf => &mut totals.deaf,
                    Why::Evicted => &mut totals.evicted,
                } += 1
            }
            EntryRef::Host(Host::Reloaded { done: true }) => totals.reloads += 1,
            EntryRef::Host(Host::Reloaded { done: false }) => totals.reloads_failed += 1,
            _ => {}
        }
    }

    /// What was counted between an earlier state and this.
    pub fn since(&self, before: &Tally) -> Tally {
        let mut totals = self.totals;
        for (value, (_, old)) in totals.values_mut().zip(before.totals.pairs()) {
            *value = value.saturating_sub(old);
        }
        let lanes = |now: &[Lane], old: &[Lane]| {
            let less = |(at, lane): (usize, &Lane)| {
                let (mut values, old) = (lane.values(), old.get(at).copied().unwrap_or_default().values());
                values.iter_mut().zip(old).for_each(|(value, old)| *value = value.saturating_sub(old));
                Lane::from_values(values)
            };
            now.iter().enumerate().map(less).collect()
        };
        Tally {
            entries: self.entries.saturating_sub(before.entries),
            totals,
            classes: lanes(&self.classes, &before.classes),
            tenants: lanes(&self.tenants, &before.tenants),
        }
    }

    /// Requests taken that have no end yet.
    pub fn open(&self) -> u64 {
        let t = &self.totals;
        t.taken.saturating_sub(t.served + t.refused + t.failed + t.invalid + t.forgotten + t.lost)
    }
}
