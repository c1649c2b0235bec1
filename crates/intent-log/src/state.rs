//! What is decided of intents: whether a send may go, has to wait for the disk, or is refused; what
//! of a request that comes may have run.

use std::collections::{BTreeSet, HashMap};

use eideryard::interface::{Class, Effect, Micros, PriorAttempt, Scope};

use crate::entry::{stored_key, Intent, Place};

/// Kept so much longer than a window says: clocks, and what an engine still does after its last
/// answer.
pub const RETENTION_MARGIN: Micros = 2_000_000;
/// A send that has waited so long for the disk is refused, and nothing keyed is taken until it
/// writes again.
pub const STALL_TIMEOUT: Micros = 1_000_000;
/// Who is refused for the disk's sake comes again after this, at the earliest.
pub const RETRY_AFTER: Micros = 500_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys that are known at once.
    pub entries: usize,
}

/// What a gateway may not know, since its store was not whole or its clock stepped back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UncertainWindow {
    None,
    /// Whatever came before this time.
    Before(Micros),
}

/// A write that the store is to make durable; nothing removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentWrite {
    pub key: Vec<u8>,
    pub intent: Option<Intent>,
}

/// Why a keyed request is not taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentError {
    /// All entries are in use.
    Full,
    /// The disk has not written for [`STALL_TIMEOUT`], or fails.
    Stalled,
}

impl IntentError {
    pub fn name(self) -> &'static str {
        match self {
            IntentError::Full => "ledger full",
            IntentError::Stalled => "store stalled",
        }
    }
}

/// What a send needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Nothing: its class leaves no trace.
    Immediate,
    /// It waits until this is durable.
    AfterWrite(IntentWrite),
    /// Another request of this key may have run since the module was told: it has to be told first.
    PriorAttemptFound(PriorAttempt),
}

/// What is known of keys, by class.
pub struct IntentLog {
    limits: Limits,
    classes: Vec<Class>,
    entries: HashMap<Vec<u8>, Intent>,
    /// All keys, by when they may be dropped.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    doubt: UncertainWindow,
}

/// Whether requests of a class are known by what they may have done.
pub fn is_kept(class: &Class) -> bool {
    class.effect != Effect::Idempotent
}

impl IntentLog {
    /// From what a store held, at the start of a gateway. `life` is when the store's knowledge
    /// begins.
    pub fn restore(
        limits: Limits,
        classes: Vec<Class>,
        found: impl Iterator<Item = (Vec<u8>, Intent)>,
        life: Micros,
        now: Micros,
    ) -> Self {
        let longest = classes
            .iter()
            .filter(|class| is_kept(class))
            .map(|class| class.window)
            .max();
        let longest = longest.unwrap_or(0) + RETENTION_MARGIN;
        let doubt = if life.min(now) + longest > now {
            UncertainWindow::Before(life.min(now))
        } else {
            UncertainWindow::None
        };
        let (entries, expiry) = (HashMap::new(), BTreeSet::new());
        let mut ledger = IntentLog {
            limits,
            classes,
            entries,
            expiry,
            doubt,
        };
        let mut found: Vec<(Vec<u8>, Intent)> = found.collect();
        for (_, intent) in &mut found {
            // Its attempts went with the process that sent them, but may run on: as if they ended
            // now.
            if std::mem::take(&mut intent.out) > 0 {
                intent.ran = true;
                intent.until = intent.until.max(now + longest);
            }
            if intent.since > now {
                // The clock stepped back: how old it is can't be told, nor when an engine forgets
                // it.
                (intent.since, intent.until) = (0, now + longest);
            }
        }
        for (key, intent) in found {
            ledger.expiry.insert((intent.until, key.clone()));
            ledger.entries.insert(key, intent);
        }
        ledger
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether requests of this class are known by what they may have done.
    pub fn keeps(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(is_kept)
    }

    pub fn doubt(&self) -> UncertainWindow {
        self.doubt
    }

    /// What of a request that comes may have run before, for the module; or why it is not taken
    /// now.
    pub fn arrives(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        marked: bool,
        failing: bool,
    ) -> Result<Vec<PriorAttempt>, IntentError> {
        let Some(own) = self.classes.get(class).filter(|class| is_kept(class)) else {
            return Ok(Vec::new());
        };
        let Some(key) = key else {
            return Ok(Vec::new());
        };
        if failing {
            return Err(IntentError::Stalled);
        }
        let nowhere = PriorAttempt {
            zone: 0,
            cell: 0,
            since: 0,
        };
        if let Some(entry) = self.entries.get(&stored_key(class, key)) {
            let Intent { since, place, .. } = *entry;
            return Ok(vec![PriorAttempt {
                zone: place.zone,
                cell: place.cell,
                since,
            }]);
        }
        if self.entries.len() >= self.limits.entries {
            return Err(IntentError::Full);
        }
        // A retry that nothing is known of, at one who may have forgotten: it may have run
        // anywhere. Where all engines drop its repeats that does no harm.
        let may_be_forgotten = matches!(self.doubt, UncertainWindow::Before(life) if now < life + own.window + RETENTION_MARGIN);
        let harmless = own.effect == Effect::IdempotentWithKey && own.scope == Scope::All;
        Ok(if marked && may_be_forgotten && !harmless {
            vec![nowhere]
        } else {
            Vec::new()
        })
    }

    /// A request is to be sent: what the store has to know before it is. `known`: what the module
    /// was told of its key, the request's own attempts among it. Each send waits, also one of a key
    /// that is durable already: it may take effect later than the first, so it is remembered for
    /// longer.
    pub fn sends(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        place: Place,
        known: &[PriorAttempt],
    ) -> SendDecision {
        let Some(own) = self.classes.get(class).filter(|class| is_kept(class)) else {
            return SendDecision::Immediate;
        };
        let Some(key) = key else {
            return SendDecision::Immediate;
        };
        let key = stored_key(class, key);
        let (scope, until) = (own.scope, now + own.window + RETENTION_MARGIN);
        let fresh = Intent {
            since: now,
            place,
            out: 0,
            ran: false,
            until: 0,
        };
        let within = |at: Place, zone: u32, cell: u32| match scope {
            Scope::All => true,
            Scope::Zone => zone == at.zone,
            Scope::Cell => cell == at.cell,
        };
        let same = |zone: u32, cell: u32| within(place, zone, cell);
        if let Some(ran) = self.entries.get(&key) {
            let told = |own: &&PriorAttempt| {
                own.since <= ran.since && within(ran.place, own.zone, own.cell)
            };
            if !known.iter().any(|own| told(&own)) {
                let Intent {
                    since,
                    place: Place { zone, cell },
                    ..
                } = *ran;
                return SendDecision::PriorAttemptFound(PriorAttempt { zone, cell, since });
            }
        }
        let intent = self.entries.entry(key.clone()).or_insert(fresh);
        let before = *intent;
        let elsewhere = known
            .iter()
            .any(|ran| ran.since == 0 || !same(ran.zone, ran.cell));
        // At several places: no engine drops the repeats of both.
        intent.since = if elsewhere || !same(before.place.zone, before.place.cell) {
            0
        } else {
            known
                .iter()
                .map(|ran| ran.since)
                .fold(before.since, u64::min)
        };
        intent.out += 1;
        intent.until = before.until.max(until);
        let intent = *intent;
        self.dated(before.until, intent.until, &key);
        SendDecision::AfterWrite(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    fn dated(&mut self, before: Micros, until: Micros, key: &[u8]) {
        if before != until {
            self.expiry.remove(&(before, key.to_vec()));
            self.expiry.insert((until, key.to_vec()));
        }
    }

    /// An attempt has its end. One that never ran leaves nothing, if it was the only one; the write
    /// may wait.
    pub fn ended(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        never_ran: bool,
    ) -> Option<IntentWrite> {
        let own = self.classes.get(class).filter(|class| is_kept(class))?;
        let (key, window) = (stored_key(class, key?), own.window);
        let intent = self.entries.get_mut(&key)?;
        let before = *intent;
        intent.out = intent.out.saturating_sub(1);
        intent.ran |= !never_ran;
        if intent.out == 0 && !intent.ran {
            self.expiry.remove(&(before.until, key.clone()));
            self.entries.remove(&key);
            return Some(IntentWrite { key, intent: None });
        }
        intent.until = before.until.max(now + window + RETENTION_MARGIN);
        let intent = *intent;
        self.dated(before.until, intent.until, &key);
        Some(IntentWrite {
            key,
            intent: Some(intent),
        })
    }

    /// Forgets keys whose windows are over; gives those that the store may forget.
    pub fn expire(&mut self, now: Micros) -> Vec<IntentWrite> {
        let mut gone = Vec::new();
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((until, key)) = self.expiry.pop_first() else {
                break;
            };
            match self.entries.get_mut(&key) {
                // An attempt that is out is looked at again when it may be over.
                Some(intent) if intent.out > 0 => {
                    intent.until = until + RETENTION_MARGIN;
                    self.expiry.insert((until + RETENTION_MARGIN, key));
                }
                _ => {
                    self.entries.remove(&key);
                    gone.push(IntentWrite { key, intent: None });
                }
            }
        }
        let longest = self
            .classes
            .iter()
            .filter(|class| is_kept(class))
            .map(|class| class.window)
            .max();
        if matches!(self.doubt, UncertainWindow::Before(life) if now >= life + longest.unwrap_or(0) + RETENTION_MARGIN)
        {
            self.doubt = UncertainWindow::None;
        }
        gone
    }

    /// When [`IntentLog::expire`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }
}
