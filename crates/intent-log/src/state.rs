//! The intents in memory and the decisions made on them: which earlier attempts with the key of an
//! arriving request may have run, and whether an attempt may be sent at once, must wait until its
//! intent is durable, or must go back to the balancer.

use std::collections::{BTreeSet, HashMap};

use eideryard::interface::{Class, Effect, Micros, PriorAttempt, Scope};

use crate::entry::{stored_key, Intent, Location};

mod messages;

pub use messages::{
    EndedAttempt, IncomingRequest, IntentError, IntentWrite, NextAttempt, SendDecision,
};

/// Time in microseconds for which an intent is retained beyond the window of its class. It covers
/// clock differences and work that an engine still does after its last answer.
pub const RETENTION_MARGIN: Micros = 2_000_000;
/// Time in microseconds after which a send that is still waiting for its write is refused. From
/// then on, no request with an idempotency key is accepted until the store writes again.
pub const STALL_TIMEOUT: Micros = 1_000_000;
/// Retry-after hint in microseconds for a request that was refused because of the store.
pub const RETRY_AFTER: Micros = 500_000;

/// Stands for a prior attempt with unknown start and location; `since` 0 means unknown.
const UNKNOWN_ATTEMPT: PriorAttempt = PriorAttempt {
    zone: 0,
    cell: 0,
    since: 0,
};

/// Bounds on the memory of an [`IntentLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of keys in the log. Requests with further keys are rejected.
    pub entries: usize,
}

/// The time span from which intents may be missing, because the store was incomplete or the clock
/// stepped back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UncertainWindow {
    /// No intent is missing.
    None,
    /// Intents from before this time may be missing, in Unix microseconds.
    Before(Micros),
}

/// All intents of a gateway, in memory. The caller keeps a copy of them in the store.
pub struct IntentLog {
    limits: Limits,
    classes: Vec<Class>,
    entries: HashMap<Vec<u8>, Intent>,
    /// All keys, ordered by the time at which they may be dropped.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    uncertain_window: UncertainWindow,
    /// Intents that [`IntentLog::restore`] retains for longer than the store knows.
    prolonged: Vec<IntentWrite>,
}

/// Returns whether attempts in a class are recorded as intents. Idempotent requests may be repeated
/// without harm, so their attempts are not recorded.
pub fn is_tracked(class: &Class) -> bool {
    class.effect != Effect::Idempotent
}

/// Returns the longest time for which any tracked class retains an intent.
fn longest_retention(classes: &[Class]) -> Micros {
    let longest_window = classes
        .iter()
        .filter(|class| is_tracked(class))
        .map(|class| class.window)
        .max();
    longest_window.unwrap_or(0) + RETENTION_MARGIN
}

/// Returns whether engines at `location` drop repeats of requests that ran at `other`.
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
    /// Restores the log when a gateway starts. `stored` are the intents found in the store, and
    /// `complete_since` is the Unix time in microseconds since which the store has lost no intent.
    pub fn restore(
        limits: Limits,
        classes: Vec<Class>,
        stored: impl Iterator<Item = (Vec<u8>, Intent)>,
        complete_since: Micros,
        now: Micros,
    ) -> Self {
        let retention = longest_retention(&classes);
        let complete_since = complete_since.min(now);
        let uncertain_window = if complete_since + retention > now {
            UncertainWindow::Before(complete_since)
        } else {
            UncertainWindow::None
        };
        let mut log = IntentLog {
            limits,
            classes,
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            uncertain_window,
            prolonged: Vec::new(),
        };
        for (key, mut intent) in stored {
            let stored_intent = intent;
            // Attempts that were in flight ended with the process that sent them, but an engine may
            // still work on them. They are treated as if they ended now.
            if std::mem::take(&mut intent.in_flight) > 0 {
                intent.may_have_run = true;
                intent.until = intent.until.max(now + retention);
            }
            // The clock stepped back, so neither the age of the intent is known nor the time at
            // which engines forget its key.
            if intent.since > now {
                intent.since = 0;
                intent.until = now + retention;
            }
            if intent != stored_intent {
                log.prolonged.push(IntentWrite {
                    key: key.clone(),
                    intent: Some(intent),
                });
            }
            log.expiry.insert((intent.until, key.clone()));
            log.entries.insert(key, intent);
        }
        log
    }

    /// Takes the writes of intents that [`IntentLog::restore`] has changed. The store has to write
    /// them, because it would drop their old values too early. Nothing has to wait for them.
    pub fn take_prolonged(&mut self) -> Vec<IntentWrite> {
        std::mem::take(&mut self.prolonged)
    }

    /// Returns the write that makes the stored value of a key equal to the one in memory.
    pub fn current_write(&self, key: &[u8]) -> IntentWrite {
        IntentWrite {
            key: key.to_vec(),
            intent: self.entries.get(key).copied(),
        }
    }

    /// Returns the number of keys in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log contains no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether attempts of this class are recorded as intents; `false` for an unknown
    /// class.
    pub fn is_tracked_class(&self, class: usize) -> bool {
        self.tracked_class(class).is_some()
    }

    fn tracked_class(&self, class: usize) -> Option<&Class> {
        self.classes.get(class).filter(|class| is_tracked(class))
    }

    /// Returns the time span from which intents may be missing.
    pub fn uncertain_window(&self) -> UncertainWindow {
        self.uncertain_window
    }

    /// Returns, for the balancer, the earlier attempts with the key of an arriving request that may
    /// have run.
    ///
    /// # Errors
    ///
    /// If the request can't be accepted now: the log is full, or the store does not write.
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
        // A retry without an intent may have run at any engine if its intent may be missing. That
        // does no harm if all engines drop repeats.
        let all_engines_drop_repeats =
            class.effect == Effect::IdempotentWithKey && class.scope == Scope::All;
        if request.is_retry && self.may_be_missing(now, class) && !all_engines_drop_repeats {
            return Ok(vec![UNKNOWN_ATTEMPT]);
        }
        Ok(Vec::new())
    }

    /// Returns whether an intent of this class may be missing although its window has not ended.
    fn may_be_missing(&self, now: Micros, class: &Class) -> bool {
        match self.uncertain_window {
            UncertainWindow::Before(time) => now < time + class.window + RETENTION_MARGIN,
            UncertainWindow::None => false,
        }
    }

    /// Decides what has to happen before an attempt may be sent. If the decision is
    /// [`SendDecision::AfterWrite`], the attempt counts as in flight from now on.
    ///
    /// An attempt waits for a write even if an intent for its key is already durable: this attempt
    /// may take effect later than the first one, so the intent must be retained longer.
    pub fn on_send(&mut self, now: Micros, attempt: NextAttempt<'_>) -> SendDecision {
        let (Some(class), Some(key)) = (self.tracked_class(attempt.class), attempt.key) else {
            return SendDecision::Immediate;
        };
        let scope = class.scope;
        let until = now + class.window + RETENTION_MARGIN;
        let key = stored_key(attempt.class, key);
        if let Some(intent) = self.entries.get(&key) {
            let is_known_to_balancer = attempt.known_attempts.iter().any(|known| {
                known.since <= intent.since
                    && is_same_scope(scope, intent.location, location_of(known))
            });
            if !is_known_to_balancer {
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
        intent.since = earliest_start(scope, &previous, attempt);
        intent.in_flight += 1;
        intent.until = previous.until.max(until);
        let intent = *intent;
        self.update_expiry(previous.until, intent.until, &key);
        SendDecision::AfterWrite(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    fn update_expiry(&mut self, previous: Micros, until: Micros, key: &[u8]) {
        if previous != until {
            self.expiry.remove(&(previous, key.to_vec()));
            self.expiry.insert((until, key.to_vec()));
        }
    }

    /// Records that an attempt has ended, and removes the intent if no attempt with its key can
    /// have run. Nothing has to wait for the returned write.
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
        self.update_expiry(previous.until, intent.until, &key);
        Some(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    /// Drops intents that have expired and returns their removals, which the store has to write.
    pub fn expire(&mut self, now: Micros) -> Vec<IntentWrite> {
        let mut removals = Vec::new();
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((until, key)) = self.expiry.pop_first() else {
                break;
            };
            match self.entries.get_mut(&key) {
                // The key can't be dropped while an attempt is in flight; check again later.
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
        if let UncertainWindow::Before(time) = self.uncertain_window {
            if now >= time + longest_retention(&self.classes) {
                self.uncertain_window = UncertainWindow::None;
            }
        }
        removals
    }

    /// Returns the Unix time in microseconds at which [`IntentLog::expire`] should be called next;
    /// `None` if the log is empty.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }
}

/// Returns the start of the earliest attempt with a key, or 0 if the attempts go to locations that
/// don't drop each other's repeats.
fn earliest_start(scope: Scope, intent: &Intent, attempt: NextAttempt<'_>) -> Micros {
    let may_run_in_other_scope = attempt.known_attempts.iter().any(|known| {
        known.since == 0 || !is_same_scope(scope, attempt.location, location_of(known))
    });
    if may_run_in_other_scope || !is_same_scope(scope, attempt.location, intent.location) {
        return 0;
    }
    attempt
        .known_attempts
        .iter()
        .map(|known| known.since)
        .fold(intent.since, u64::min)
}
