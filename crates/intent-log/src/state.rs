//! The intents in memory, and the decisions on them: what of an arriving request may have run, and
//! whether a send may go at once, has to wait for a write, or has to be decided anew.

use std::collections::{BTreeSet, HashMap};

use eideryard::interface::{Class, Effect, Micros, PriorAttempt, Scope};

use crate::entry::{stored_key, Intent, Location};

/// Intents are retained for so much longer than the window of their class: for differences of
/// clocks, and for work that an engine still does after its last answer.
pub const RETENTION_MARGIN: Micros = 2_000_000;
/// A send that has waited so long for its write is refused, and no keyed request is accepted until
/// the store writes again.
pub const STALL_TIMEOUT: Micros = 1_000_000;
/// Earliest retry that is suggested to a client which is refused because of the store.
pub const RETRY_AFTER: Micros = 500_000;

/// A prior attempt of which neither time nor place is known.
const UNKNOWN_ATTEMPT: PriorAttempt = PriorAttempt {
    zone: 0,
    cell: 0,
    since: 0,
};

/// Bounds of an [`IntentLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys that are held at once.
    pub entries: usize,
}

/// Time of which intents may be missing, because the store was not whole or the clock stepped back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UncertainWindow {
    /// No intent is missing.
    None,
    /// Intents from before this time may be missing.
    Before(Micros),
}

/// A write that the store is to make durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentWrite {
    /// Key in the store.
    pub key: Vec<u8>,
    /// The intent; `None` to remove the key.
    pub intent: Option<Intent>,
}

/// Why a keyed request is not accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// All entries are in use.
    #[error("ledger full")]
    Full,
    /// The store has not written for [`STALL_TIMEOUT`], or fails.
    #[error("store stalled")]
    Stalled,
}

/// What a send needs before it may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Nothing: requests of its class are not tracked.
    Immediate,
    /// This write has to be durable.
    AfterWrite(IntentWrite),
    /// Another request of the key may have run since the balancer was told of prior attempts; it
    /// has to be told of this one first.
    PriorAttemptFound(PriorAttempt),
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Its class.
    pub class: usize,
    /// The client's key, if it has one.
    pub key: Option<&'a str>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Whether writes to the store fail or are held up.
    pub is_store_failing: bool,
}

/// An attempt that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct NextAttempt<'a> {
    /// Class of its request.
    pub class: usize,
    /// The client's key, if it has one.
    pub key: Option<&'a str>,
    /// Where it is sent.
    pub location: Location,
    /// Attempts of the key that the balancer was told of, the request's own among them.
    pub known_attempts: &'a [PriorAttempt],
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// Class of its request.
    pub class: usize,
    /// The client's key, if it has one.
    pub key: Option<&'a str>,
    /// Whether it is known that it did not run.
    pub never_ran: bool,
}

/// The intents of a gateway. It owns them in memory; the store has those that were written.
pub struct IntentLog {
    limits: Limits,
    classes: Vec<Class>,
    entries: HashMap<Vec<u8>, Intent>,
    /// All keys, by the time at which they may be dropped.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    uncertain: UncertainWindow,
}

/// Whether intents of a class are tracked.
pub fn is_tracked(class: &Class) -> bool {
    class.effect != Effect::Idempotent
}

/// Longest window of the tracked classes, with the margin.
fn longest_retention(classes: &[Class]) -> Micros {
    let longest_window = classes
        .iter()
        .filter(|class| is_tracked(class))
        .map(|class| class.window)
        .max();
    longest_window.unwrap_or(0) + RETENTION_MARGIN
}

/// Whether engines at `location` drop repeats of what ran at `other`.
fn is_same_scope(scope: Scope, location: Location, other: Location) -> bool {
    match scope {
        Scope::All => true,
        Scope::Zone => location.zone == other.zone,
        Scope::Cell => location.cell == other.cell,
    }
}

fn location_of(attempt: &PriorAttempt) -> Location {
    Location {
        zone: attempt.zone,
        cell: attempt.cell,
    }
}

fn prior_attempt(intent: &Intent) -> PriorAttempt {
    PriorAttempt {
        zone: intent.location.zone,
        cell: intent.location.cell,
        since: intent.since,
    }
}

impl IntentLog {
    /// The intents that a store held, at the start of a gateway. `complete_since` is the time since
    /// which the store holds all intents.
    pub fn restore(
        limits: Limits,
        classes: Vec<Class>,
        stored: impl Iterator<Item = (Vec<u8>, Intent)>,
        complete_since: Micros,
        now: Micros,
    ) -> Self {
        let retention = longest_retention(&classes);
        let complete_since = complete_since.min(now);
        let uncertain = if complete_since + retention > now {
            UncertainWindow::Before(complete_since)
        } else {
            UncertainWindow::None
        };
        let mut log = IntentLog {
            limits,
            classes,
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            uncertain,
        };
        for (key, mut intent) in stored {
            // Attempts in flight ended with the process that sent them, but may go on at an engine:
            // they are taken to end now.
            if std::mem::take(&mut intent.in_flight) > 0 {
                intent.may_have_run = true;
                intent.until = intent.until.max(now + retention);
            }
            // The clock stepped back: neither the intent's age is known nor when engines forget it.
            if intent.since > now {
                intent.since = 0;
                intent.until = now + retention;
            }
            log.expiry.insert((intent.until, key.clone()));
            log.entries.insert(key, intent);
        }
        log
    }

    /// Number of keys that are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether intents of this class are tracked.
    pub fn is_tracked_class(&self, class: usize) -> bool {
        self.tracked_class(class).is_some()
    }

    fn tracked_class(&self, class: usize) -> Option<&Class> {
        self.classes.get(class).filter(|class| is_tracked(class))
    }

    /// Time of which intents may be missing.
    pub fn uncertain_window(&self) -> UncertainWindow {
        self.uncertain
    }

    /// Attempts of an arriving request's key that may have run before, for the balancer; or why the
    /// request is not accepted now.
    pub fn on_request(
        &mut self,
        now: Micros,
        request: IncomingRequest<'_>,
    ) -> Result<Vec<PriorAttempt>, IntentError> {
        let (Some(class), Some(key)) = (self.tracked_class(request.class), request.key) else {
            return Ok(Vec::new());
        };
        if request.is_store_failing {
            return Err(IntentError::Stalled);
        }
        if let Some(intent) = self.entries.get(&stored_key(request.class, key)) {
            return Ok(vec![prior_attempt(intent)]);
        }
        if self.entries.len() >= self.limits.entries {
            return Err(IntentError::Full);
        }
        // An unknown retry may have run anywhere, where its intent may be missing. That does no
        // harm if all engines drop repeats.
        let all_engines_drop_repeats =
            class.effect == Effect::IdempotentWithKey && class.scope == Scope::All;
        if request.is_retry && self.may_be_missing(now, class) && !all_engines_drop_repeats {
            return Ok(vec![UNKNOWN_ATTEMPT]);
        }
        Ok(Vec::new())
    }

    /// Whether an intent of a class that is still in its window may be missing.
    fn may_be_missing(&self, now: Micros, class: &Class) -> bool {
        match self.uncertain {
            UncertainWindow::Before(time) => now < time + class.window + RETENTION_MARGIN,
            UncertainWindow::None => false,
        }
    }

    /// Decides what an attempt needs before it may be sent, and counts it as in flight if that is a
    /// write. An attempt of a key that is durable already waits as well: it may take effect later
    /// than the first one, so the intent has to be retained for longer.
    pub fn on_send(&mut self, now: Micros, attempt: NextAttempt<'_>) -> SendDecision {
        let (Some(class), Some(key)) = (self.tracked_class(attempt.class), attempt.key) else {
            return SendDecision::Immediate;
        };
        let scope = class.scope;
        let until = now + class.window + RETENTION_MARGIN;
        let key = stored_key(attempt.class, key);
        if let Some(intent) = self.entries.get(&key) {
            let is_known = attempt.known_attempts.iter().any(|known| {
                known.since <= intent.since
                    && is_same_scope(scope, intent.location, location_of(known))
            });
            if !is_known {
                return SendDecision::PriorAttemptFound(prior_attempt(intent));
            }
        }
        let new_intent = Intent {
            since: now,
            location: attempt.location,
            in_flight: 0,
            may_have_run: false,
            until: 0,
        };
        let intent = self.entries.entry(key.clone()).or_insert(new_intent);
        let previous = *intent;
        intent.since = first_start(scope, &previous, attempt);
        intent.in_flight += 1;
        intent.until = previous.until.max(until);
        let intent = *intent;
        self.move_expiry(previous.until, intent.until, &key);
        SendDecision::AfterWrite(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    fn move_expiry(&mut self, previous: Micros, until: Micros, key: &[u8]) {
        if previous != until {
            self.expiry.remove(&(previous, key.to_vec()));
            self.expiry.insert((until, key.to_vec()));
        }
    }

    /// An attempt has ended. An intent of which no attempt ran is removed. The send does not wait
    /// for the returned write.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        attempt: EndedAttempt<'_>,
    ) -> Option<IntentWrite> {
        let window = self.tracked_class(attempt.class)?.window;
        let key = stored_key(attempt.class, attempt.key?);
        let intent = self.entries.get_mut(&key)?;
        let previous = *intent;
        intent.in_flight = intent.in_flight.saturating_sub(1);
        intent.may_have_run |= !attempt.never_ran;
        if intent.in_flight == 0 && !intent.may_have_run {
            self.expiry.remove(&(previous.until, key.clone()));
            self.entries.remove(&key);
            return Some(IntentWrite { key, intent: None });
        }
        intent.until = previous.until.max(now + window + RETENTION_MARGIN);
        let intent = *intent;
        self.move_expiry(previous.until, intent.until, &key);
        Some(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    /// Drops intents that have expired, and returns the removals for the store.
    pub fn expire(&mut self, now: Micros) -> Vec<IntentWrite> {
        let mut removals = Vec::new();
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((until, key)) = self.expiry.pop_first() else {
                break;
            };
            match self.entries.get_mut(&key) {
                // With an attempt in flight it is examined again later.
                Some(intent) if intent.in_flight > 0 => {
                    intent.until = until + RETENTION_MARGIN;
                    self.expiry.insert((intent.until, key));
                }
                _ => {
                    self.entries.remove(&key);
                    removals.push(IntentWrite { key, intent: None });
                }
            }
        }
        if let UncertainWindow::Before(time) = self.uncertain {
            if now >= time + longest_retention(&self.classes) {
                self.uncertain = UncertainWindow::None;
            }
        }
        removals
    }

    /// When [`IntentLog::expire`] has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }
}

/// Start of the first attempt at a key, or 0 if attempts go to places that do not drop each other's
/// repeats.
fn first_start(scope: Scope, intent: &Intent, attempt: NextAttempt<'_>) -> Micros {
    let is_elsewhere = attempt.known_attempts.iter().any(|known| {
        known.since == 0 || !is_same_scope(scope, attempt.location, location_of(known))
    });
    if is_elsewhere || !is_same_scope(scope, attempt.location, intent.location) {
        return 0;
    }
    attempt
        .known_attempts
        .iter()
        .map(|known| known.since)
        .fold(intent.since, u64::min)
}
