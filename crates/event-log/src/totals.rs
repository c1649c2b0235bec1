//! Totals of entries as plain data: over all requests, by class and by tenant, and the difference
//! between two sets of totals. [`crate::tally`] does the counting.

use std::fmt::{self, Debug, Formatter};

/// Classes and tenants with an index of this or more count in the overall totals only. Bounds the
/// memory that a damaged log can claim.
pub const MAX_GROUPS: usize = 256;
/// Number of values in one [`GroupTotals`].
pub const GROUP_VALUES: usize = 7;

/// Defines [`Totals`]: the fields in the order in which the log stores them, each with its name in
/// counters, in the output of commands and in JSON.
macro_rules! define_totals {
    ($($(#[$documentation:meta])* $field:ident = $name:literal),* $(,)?) => {
        /// Totals over all requests, connections and events of one gateway.
        #[derive(Clone, Copy, Default, PartialEq, Eq)]
        pub struct Totals {
            $($(#[$documentation])* pub $field: u64),*
        }

        impl Totals {
            /// The names of all totals, in the order in which the log stores them.
            pub const NAMES: &'static [&'static str] = &[$($name),*];

            /// Returns all totals with their names, in the order of [`Totals::NAMES`].
            pub fn pairs(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$(($name, self.$field)),*].into_iter()
            }

            /// Returns mutable references to all totals, in the order of [`Totals::NAMES`].
            pub fn values_mut(&mut self) -> impl Iterator<Item = &mut u64> {
                [$(&mut self.$field),*].into_iter()
            }
        }
    };
}

define_totals!(
    /// Requests that clients sent, rejected ones included.
    received = "taken",
    /// Requests answered with a result.
    served = "served",
    /// Requests refused; the client may retry later.
    refused = "refused",
    /// Requests answered with an error.
    failed = "failed",
    /// Messages from clients that are not valid requests.
    invalid = "invalid",
    /// Requests that their clients cancelled.
    abandoned = "forgotten",
    /// Requests whose clients disconnected before the answer.
    undelivered = "lost",
    /// Requests answered after their deadline.
    late = "late",
    /// Requests refused because the statements of open requests filled the memory reserved for
    /// them.
    statement_memory_full = "no_room",
    /// Attempts sent to engines.
    sent = "sent",
    /// Attempts that engines answered.
    answered = "answered",
    /// Attempts that ended with an error of the engine.
    error = "error",
    /// Attempts that an engine rejected because it was full.
    at_capacity = "full",
    /// Attempts that were not answered by their deadline.
    timed_out = "timed_out",
    /// Attempts for which no connection could be made.
    no_connection = "no_connection",
    /// Attempts whose connection broke.
    broken = "broken",
    /// Attempts that the gateway cancelled.
    cancelled = "cancelled",
    /// Attempts that were withdrawn before they were sent.
    not_sent = "unsent",
    /// Numbered events received from the discovery service.
    discovery_events = "list_events",
    /// Connections that clients opened.
    connections = "connections",
    /// Configurations that were reloaded and applied while the gateway ran.
    reloads = "reloads",
    /// Configurations that were reloaded and rejected as invalid while the gateway ran.
    reloads_failed = "reloads_failed",
    /// Connections closed because of malformed messages.
    malformed = "malformed",
    /// Connections closed because the client was idle for too long.
    idle_timeout = "silent",
    /// Connections closed because of too many unread bytes.
    too_much_unread = "hoarding",
    /// Connections closed because the client didn't read its answers.
    not_reading = "deaf",
    /// Connections closed in favour of new ones.
    evicted = "evicted",
    /// Requests refused because the intent log was full.
    intent_log_full = "ledger_full",
    /// Requests refused because the store had not written for too long.
    store_stalled = "store_stalled",
    /// Requests refused because no majority of voters confirmed the intent.
    no_majority = "no_majority",
);

/// Prints the names of [`Totals::NAMES`], because `records dump` shows this text.
impl Debug for Totals {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut text = f.debug_struct("Totals");
        for (name, value) in self.pairs() {
            text.field(name, &value);
        }
        text.finish()
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerKind {
    /// The client got a result.
    Served,
    /// The gateway refused the request; the client may retry later.
    Refused,
    /// The client got an error.
    Failed,
    /// The client cancelled the request.
    Abandoned,
    /// The client disconnected before the answer.
    Undelivered,
}

impl AnswerKind {
    /// All kinds. The log stores a kind as its index in this array.
    pub const ALL: [AnswerKind; 5] = [
        AnswerKind::Served,
        AnswerKind::Refused,
        AnswerKind::Failed,
        AnswerKind::Abandoned,
        AnswerKind::Undelivered,
    ];

    /// Returns the name of the kind in logs and on report pages.
    pub fn name(self) -> &'static str {
        match self {
            AnswerKind::Served => "served",
            AnswerKind::Refused => "refused",
            AnswerKind::Failed => "failed",
            AnswerKind::Abandoned => "forgotten",
            AnswerKind::Undelivered => "lost",
        }
    }
}

/// Totals of one class or tenant.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupTotals {
    /// Requests of this class or tenant that clients sent, rejected ones included.
    pub received: u64,
    /// Requests that ended, indexed by [`AnswerKind`].
    pub ended: [u64; AnswerKind::ALL.len()],
    /// Requests answered after their deadline.
    pub late: u64,
}

impl GroupTotals {
    /// Returns the number of requests that ended with this kind of answer.
    pub fn ended(&self, kind: AnswerKind) -> u64 {
        self.ended[kind as usize]
    }

    /// Returns all values in the order in which the log stores them: received, ended by
    /// [`AnswerKind`], late.
    pub fn values(&self) -> [u64; GROUP_VALUES] {
        let [served, refused, failed, abandoned, undelivered] = self.ended;
        [
            self.received,
            served,
            refused,
            failed,
            abandoned,
            undelivered,
            self.late,
        ]
    }

    pub(crate) fn from_values(values: [u64; GROUP_VALUES]) -> Self {
        let [received, ended @ .., late] = values;
        GroupTotals {
            received,
            ended,
            late,
        }
    }

    fn since(&self, before: &GroupTotals) -> GroupTotals {
        let mut values = self.values();
        for (value, earlier) in values.iter_mut().zip(before.values()) {
            *value = value.saturating_sub(earlier);
        }
        GroupTotals::from_values(values)
    }
}

/// Prints the outer names of the fields, because `records dump` shows this text.
impl Debug for GroupTotals {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lane")
            .field("taken", &self.received)
            .field("ended", &self.ended)
            .field("late", &self.late)
            .finish()
    }
}

/// All totals of one gateway since its start.
#[derive(Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of entries, without those that repeat the state at the start of a segment.
    pub entries: u64,
    /// Totals over all classes and tenants.
    pub totals: Totals,
    /// Totals by index of the class.
    pub classes: Vec<GroupTotals>,
    /// Totals by index of the tenant.
    pub tenants: Vec<GroupTotals>,
}

/// Prints the outer names of the fields, because `records dump` shows this text.
impl Debug for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tally")
            .field("entries", &self.entries)
            .field("totals", &self.totals)
            .field("classes", &self.classes)
            .field("tenants", &self.tenants)
            .finish()
    }
}

/// Implemented by hand so that `clone_from` reuses the vectors, because the recorder must not
/// allocate.
impl Clone for Tally {
    fn clone(&self) -> Self {
        let mut copy = Tally::default();
        copy.clone_from(self);
        copy
    }

    fn clone_from(&mut self, other: &Self) {
        self.entries = other.entries;
        self.totals = other.totals;
        self.classes.clone_from(&other.classes);
        self.tenants.clone_from(&other.tenants);
    }
}

impl Tally {
    /// Returns totals of zero for this number of classes and tenants, so that counting allocates
    /// nothing.
    pub fn with_groups(classes: usize, tenants: usize) -> Self {
        let zeros = |count: usize| vec![GroupTotals::default(); count.min(MAX_GROUPS)];
        Tally {
            classes: zeros(classes),
            tenants: zeros(tenants),
            ..Tally::default()
        }
    }

    /// Returns the difference between these totals and earlier ones.
    pub fn since(&self, before: &Tally) -> Tally {
        let mut totals = self.totals;
        for (value, (_, earlier)) in totals.values_mut().zip(before.totals.pairs()) {
            *value = value.saturating_sub(earlier);
        }
        Tally {
            entries: self.entries.saturating_sub(before.entries),
            totals,
            classes: groups_since(&self.classes, &before.classes),
            tenants: groups_since(&self.tenants, &before.tenants),
        }
    }

    /// Returns the number of requests that were received and have not ended.
    pub fn open_requests(&self) -> u64 {
        let totals = &self.totals;
        let ended = totals.served
            + totals.refused
            + totals.failed
            + totals.invalid
            + totals.abandoned
            + totals.undelivered;
        totals.received.saturating_sub(ended)
    }
}

fn groups_since(groups: &[GroupTotals], before: &[GroupTotals]) -> Vec<GroupTotals> {
    let mut differences = Vec::with_capacity(groups.len());
    for (index, group) in groups.iter().enumerate() {
        let earlier = before.get(index).copied().unwrap_or_default();
        differences.push(group.since(&earlier));
    }
    differences
}

/// Returns the totals of the class or tenant with this index, added if missing; `None` from
/// [`MAX_GROUPS`] on.
pub(crate) fn group_mut(groups: &mut Vec<GroupTotals>, index: usize) -> Option<&mut GroupTotals> {
    if index >= groups.len() && index < MAX_GROUPS {
        groups.resize(index + 1, GroupTotals::default());
    }
    groups.get_mut(index)
}
