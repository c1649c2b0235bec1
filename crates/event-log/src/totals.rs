//! Totals of entries, as plain data: what is counted, by class and tenant, and differences between
//! states of it. How entries count stands in [`crate::tally`].

/// More classes or tenants than this are counted in the totals only; it bounds a record that was
/// tampered with.
pub const MAX_LANES: usize = 256;

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
    evicted,
    ledger_full,
    store_stalled,
    no_majority
);

/// How a request that was taken ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerKind {
    Served,
    Refused,
    Failed,
    Forgotten,
    Lost,
}

impl AnswerKind {
    pub const ALL: [AnswerKind; 5] = [
        AnswerKind::Served,
        AnswerKind::Refused,
        AnswerKind::Failed,
        AnswerKind::Forgotten,
        AnswerKind::Lost,
    ];

    pub fn name(self) -> &'static str {
        match self {
            AnswerKind::Served => "served",
            AnswerKind::Refused => "refused",
            AnswerKind::Failed => "failed",
            AnswerKind::Forgotten => "forgotten",
            AnswerKind::Lost => "lost",
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
        Lane {
            taken,
            ended: [a, b, c, d, e],
            late,
        }
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

pub(crate) fn lane(lanes: &mut Vec<Lane>, at: usize) -> Option<&mut Lane> {
    if at >= lanes.len() && at < MAX_LANES {
        lanes.resize(at + 1, Lane::default());
    }
    lanes.get_mut(at)
}

impl Tally {
    /// Room for so many classes and tenants, so that counting allocates nothing.
    pub fn sized(classes: usize, tenants: usize) -> Self {
        let lanes = |count: usize| vec![Lane::default(); count.min(MAX_LANES)];
        Tally {
            classes: lanes(classes),
            tenants: lanes(tenants),
            ..Tally::default()
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
                let (mut values, old) = (
                    lane.values(),
                    old.get(at).copied().unwrap_or_default().values(),
                );
                values
                    .iter_mut()
                    .zip(old)
                    .for_each(|(value, old)| *value = value.saturating_sub(old));
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
        t.taken
            .saturating_sub(t.served + t.refused + t.failed + t.invalid + t.forgotten + t.lost)
    }
}
