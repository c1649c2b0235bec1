//! A hierarchical timing wheel. Each level has 64 slots; a slot of the next level is as long as all
//! of this one. A deadline goes to the level that its distance asks for and moves down as its time
//! comes near, six times at the most.
//!
//! Deadlines expire no earlier than asked and at most a tick later; those of one tick expire in the
//! order in which they were set.

use std::cmp::Reverse;
use std::collections::VecDeque;

use slab::Slab;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// A tick is 1,024 microseconds.
const TICK_BITS: u32 = 10;
/// Bits of a slot's number.
const SLOT_BITS: u32 = 6;
/// Slots of a level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Levels of the wheel.
const LEVELS: usize = 6;
/// Ticks that the wheel spans: over two years. A later deadline waits at the far end and is placed
/// again there.
const SPAN_TICKS: u64 = 1 << (SLOT_BITS * LEVELS as u32);
/// The end of a list.
const NONE: u32 = u32::MAX;

/// A deadline that was set, by which it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timer {
    entry: u32,
    generation: u32,
}

/// A slot of a level.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Slot {
    level: usize,
    index: usize,
}

struct Entry<T> {
    generation: u32,
    /// When it expires.
    tick: u64,
    /// The order in which deadlines of one tick were set.
    order: u64,
    slot: Slot,
    previous: u32,
    next: u32,
    payload: T,
}

/// A doubly linked list of entries.
#[derive(Clone, Copy)]
struct List {
    first: u32,
    last: u32,
}

const EMPTY: List = List {
    first: NONE,
    last: NONE,
};

/// Deadlines with a payload each.
pub struct Wheel<T> {
    entries: Slab<Entry<T>>,
    levels: [[List; SLOTS]; LEVELS],
    /// A bit for each slot of a level that holds something.
    occupied: [u64; LEVELS],
    /// The tick up to which all has expired.
    now: u64,
    set_count: u64,
    generation: u32,
    /// Payloads that expired and were not taken yet, in order.
    expired: VecDeque<T>,
}

impl<T> Wheel<T> {
    /// A wheel without deadlines.
    pub fn new(now: Micros) -> Self {
        Wheel {
            entries: Slab::new(),
            levels: [[EMPTY; SLOTS]; LEVELS],
            occupied: [0; LEVELS],
            now: now >> TICK_BITS,
            set_count: 0,
            generation: 0,
            expired: VecDeque::new(),
        }
    }

    /// Deadlines that are set, with those that expired and were not taken yet.
    pub fn len(&self) -> usize {
        self.entries.len() + self.expired.len()
    }

    /// Whether no deadline is set.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets a deadline.
    pub fn set(&mut self, at: Micros, payload: T) -> Timer {
        // Never early: the tick that begins at the time or after it.
        let tick = at.div_ceil(1 << TICK_BITS).max(self.now + 1);
        self.generation = self.generation.wrapping_add(1);
        self.set_count += 1;
        let generation = self.generation;
        let entry = self.entries.insert(Entry {
            generation,
            tick,
            order: self.set_count,
            slot: Slot { level: 0, index: 0 },
            previous: NONE,
            next: NONE,
            payload,
        }) as u32;
        self.link(entry);
        Timer { entry, generation }
    }

    /// Cancels a deadline and returns its payload; `None` where it expired or was cancelled before.
    pub fn cancel(&mut self, timer: Timer) -> Option<T> {
        let entry = self.entries.get(timer.entry as usize)?;
        if entry.generation != timer.generation {
            return None;
        }
        self.unlink(timer.entry);
        Some(self.entries.remove(timer.entry as usize).payload)
    }

    /// A time before which nothing expires, which may be earlier than the next deadline; `None`
    /// where none is set.
    pub fn next_expiry(&self) -> Option<Micros> {
        if !self.expired.is_empty() {
            return Some(self.now << TICK_BITS);
        }
        let (begin, _) = self.next_occupied()?;
        Some(begin << TICK_BITS)
    }

    /// Takes the payload of the next deadline that has expired by a time.
    pub fn pop_expired(&mut self, now: Micros) -> Option<T> {
        let end = now >> TICK_BITS;
        while self.expired.is_empty() {
            match self.next_occupied() {
                Some((begin, slot)) if begin <= end => {
                    self.now = begin;
                    self.drain(slot);
                }
                _ => {
                    // Nothing lies between, so no slot is skipped.
                    self.now = self.now.max(end);
                    return None;
                }
            }
        }
        self.expired.pop_front()
    }

    /// Links an entry into the slot that its distance from now asks for.
    fn link(&mut self, id: u32) {
        let slot = self.slot_of(self.entries[id as usize].tick);
        let list = &mut self.levels[slot.level][slot.index];
        let previous = std::mem::replace(&mut list.last, id);
        if previous == NONE {
            list.first = id;
        } else {
            self.entries[previous as usize].next = id;
        }
        let entry = &mut self.entries[id as usize];
        entry.slot = slot;
        entry.previous = previous;
        entry.next = NONE;
        self.occupied[slot.level] |= 1 << slot.index;
    }

    /// The slot of a tick: the highest bit in which it differs from now gives the level.
    fn slot_of(&self, tick: u64) -> Slot {
        let tick = tick.min(self.now + SPAN_TICKS - 1);
        let difference = (tick ^ self.now) | 1;
        let highest_bit = 63 - difference.leading_zeros();
        let level = (highest_bit / SLOT_BITS).min(LEVELS as u32 - 1);
        let index = (tick >> (SLOT_BITS * level)) as usize % SLOTS;
        Slot {
            level: level as usize,
            index,
        }
    }

    fn unlink(&mut self, id: u32) {
        let entry = &self.entries[id as usize];
        let (slot, previous, next) = (entry.slot, entry.previous, entry.next);
        let list = &mut self.levels[slot.level][slot.index];
        if previous == NONE {
            list.first = next;
        } else {
            self.entries[previous as usize].next = next;
        }
        if next == NONE {
            list.last = previous;
        } else {
            self.entries[next as usize].previous = previous;
        }
        if list.first == NONE {
            self.occupied[slot.level] &= !(1 << slot.index);
        }
    }

    /// The next slot that holds something, with the tick at which it begins.
    fn next_occupied(&self) -> Option<(u64, Slot)> {
        let slots = (0..LEVELS).filter_map(|level| self.next_occupied_of(level));
        // Where two begin at once, the higher first: what it holds may belong into the lower.
        slots.min_by_key(|(begin, slot)| (*begin, Reverse(slot.level)))
    }

    fn next_occupied_of(&self, level: usize) -> Option<(u64, Slot)> {
        let now = self.now >> (SLOT_BITS * level as u32);
        let current = now % SLOTS as u64;
        // Bit 0 is the slot that now is in. It was emptied when now came there, but for the
        // highest level, whose slots come round again.
        let from_current = self.occupied[level].rotate_right(current as u32);
        let ahead = match (from_current & !1, from_current & 1) {
            (0, 0) => return None,
            (0, _) => SLOTS as u64,
            (later, _) => u64::from(later.trailing_zeros()),
        };
        let begin = (now + ahead) << (SLOT_BITS * level as u32);
        let index = ((current + ahead) % SLOTS as u64) as usize;
        Some((begin, Slot { level, index }))
    }

    /// Empties a slot: what expires now goes to `expired`, the rest to nearer slots.
    fn drain(&mut self, slot: Slot) {
        let mut expired = Vec::new();
        let list = std::mem::replace(&mut self.levels[slot.level][slot.index], EMPTY);
        self.occupied[slot.level] &= !(1 << slot.index);
        let mut id = list.first;
        while id != NONE {
            let next = self.entries[id as usize].next;
            if self.entries[id as usize].tick <= self.now {
                expired.push(id);
            } else {
                self.link(id);
            }
            id = next;
        }
        // Some came from higher levels, behind others that were set later.
        expired.sort_unstable_by_key(|id| self.entries[*id as usize].order);
        for id in expired {
            let payload = self.entries.remove(id as usize).payload;
            self.expired.push_back(payload);
        }
    }
}
