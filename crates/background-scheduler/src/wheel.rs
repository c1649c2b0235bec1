//! A hierarchical timing wheel. Each level has 64 slots, and one slot spans as much time as all
//! slots of the level below. The time left until a deadline determines its first level. The
//! deadline moves down as its time approaches, at most six times.
//!
//! A deadline never expires early and at most one tick late. Deadlines of the same tick expire in
//! the order in which they were set.

use std::cmp::Reverse;
use std::collections::VecDeque;

use slab::Slab;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Binary logarithm of the length of a tick, which is 1,024 microseconds.
const TICK_BITS: u32 = 10;
/// Number of bits in the index of a slot.
const SLOT_BITS: u32 = 6;
/// Number of slots per level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Number of levels.
const LEVELS: usize = 6;
/// Number of ticks that the wheel spans, which is over two years. A later deadline is put into the
/// last slot and reinserted when that slot is reached.
const SPAN_TICKS: u64 = 1 << (SLOT_BITS * LEVELS as u32);
/// Marks the end of a list.
const NONE: u32 = u32::MAX;

/// Handle for cancelling a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timer {
    entry: u32,
    generation: u32,
}

/// The position of a slot.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Slot {
    level: usize,
    index: usize,
}

struct Entry<T> {
    generation: u32,
    /// The tick at which the deadline expires.
    tick: u64,
    /// Sequence number that orders deadlines of the same tick.
    order: u64,
    slot: Slot,
    previous: u32,
    next: u32,
    payload: T,
}

/// A doubly linked list of entries, by their indices in the slab.
#[derive(Clone, Copy)]
struct List {
    first: u32,
    last: u32,
}

const EMPTY: List = List {
    first: NONE,
    last: NONE,
};

/// A set of deadlines, each with a payload.
pub struct Wheel<T> {
    entries: Slab<Entry<T>>,
    levels: [[List; SLOTS]; LEVELS],
    /// A bit for each slot of a level, set if the slot contains an entry.
    occupied: [u64; LEVELS],
    /// The current tick. All deadlines up to this tick have expired.
    current_tick: u64,
    set_count: u64,
    generation: u32,
    /// Payloads of expired deadlines that the caller has not taken yet, in order.
    expired: VecDeque<T>,
}

impl<T> Wheel<T> {
    /// Creates a wheel without deadlines.
    pub fn new(now: Micros) -> Self {
        Wheel {
            entries: Slab::new(),
            levels: [[EMPTY; SLOTS]; LEVELS],
            occupied: [0; LEVELS],
            current_tick: now >> TICK_BITS,
            set_count: 0,
            generation: 0,
            expired: VecDeque::new(),
        }
    }

    /// Returns the number of deadlines, including expired ones that were not taken yet.
    pub fn len(&self) -> usize {
        self.entries.len() + self.expired.len()
    }

    /// Returns whether there is no deadline, not even an expired one that was not taken yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets a deadline. If `at` is in the past, the deadline expires with the next tick.
    pub fn set(&mut self, at: Micros, payload: T) -> Timer {
        // Rounds up so that the deadline never expires early.
        let tick = at.div_ceil(1 << TICK_BITS).max(self.current_tick + 1);
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

    /// Cancels a deadline and returns its payload, or `None` if it has expired or was cancelled.
    pub fn cancel(&mut self, timer: Timer) -> Option<T> {
        let entry = self.entries.get(timer.entry as usize)?;
        if entry.generation != timer.generation {
            return None;
        }
        self.unlink(timer.entry);
        Some(self.entries.remove(timer.entry as usize).payload)
    }

    /// Returns a time before which no deadline expires, or `None` if there is no deadline. The
    /// returned time may be earlier than the next deadline.
    pub fn next_expiry(&self) -> Option<Micros> {
        if !self.expired.is_empty() {
            return Some(self.current_tick << TICK_BITS);
        }
        let (begin, _) = self.next_occupied()?;
        Some(begin << TICK_BITS)
    }

    /// Removes the next deadline that has expired by `now` and returns its payload.
    pub fn pop_expired(&mut self, now: Micros) -> Option<T> {
        let end = now >> TICK_BITS;
        while self.expired.is_empty() {
            match self.next_occupied() {
                Some((begin, slot)) if begin <= end => {
                    self.current_tick = begin;
                    self.empty_slot(slot);
                }
                _ => {
                    // All slots up to `end` are empty.
                    self.current_tick = self.current_tick.max(end);
                    return None;
                }
            }
        }
        self.expired.pop_front()
    }

    /// Appends an entry to the list of the slot for its tick.
    fn link(&mut self, id: u32) {
        let slot = self.slot_for_tick(self.entries[id as usize].tick);
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

    /// Returns the slot for a tick. The level follows from the highest bit in which the tick
    /// differs from the current one.
    fn slot_for_tick(&self, tick: u64) -> Slot {
        let tick = tick.min(self.current_tick + SPAN_TICKS - 1);
        let difference = (tick ^ self.current_tick) | 1;
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

    /// Returns the next occupied slot, with the tick at which it begins.
    fn next_occupied(&self) -> Option<(u64, Slot)> {
        let slots = (0..LEVELS).filter_map(|level| self.next_occupied_in(level));
        // If two slots begin at the same tick, the higher level comes first, because its entries
        // may have to move to the slot of the lower level.
        slots.min_by_key(|(begin, slot)| (*begin, Reverse(slot.level)))
    }

    fn next_occupied_in(&self, level: usize) -> Option<(u64, Slot)> {
        let current_slot = self.current_tick >> (SLOT_BITS * level as u32);
        let current = current_slot % SLOTS as u64;
        // Bit 0 is the slot of the current tick. This slot was emptied when its first tick was
        // reached, so it can be occupied only in the highest level, whose slots are reused for the
        // next turn of the wheel.
        let from_current = self.occupied[level].rotate_right(current as u32);
        let ahead = match (from_current & !1, from_current & 1) {
            (0, 0) => return None,
            (0, _) => SLOTS as u64,
            (later, _) => u64::from(later.trailing_zeros()),
        };
        let begin = (current_slot + ahead) << (SLOT_BITS * level as u32);
        let index = ((current + ahead) % SLOTS as u64) as usize;
        Some((begin, Slot { level, index }))
    }

    /// Empties a slot. Entries that expire at the current tick are moved to `expired`, and all
    /// others to slots of a lower level.
    fn empty_slot(&mut self, slot: Slot) {
        let mut expired = Vec::new();
        let list = std::mem::replace(&mut self.levels[slot.level][slot.index], EMPTY);
        self.occupied[slot.level] &= !(1 << slot.index);
        let mut id = list.first;
        while id != NONE {
            let next = self.entries[id as usize].next;
            if self.entries[id as usize].tick <= self.current_tick {
                expired.push(id);
            } else {
                self.link(id);
            }
            id = next;
        }
        // An entry that moved down from a higher level may be behind one that was set later.
        expired.sort_unstable_by_key(|id| self.entries[*id as usize].order);
        for id in expired {
            let payload = self.entries.remove(id as usize).payload;
            self.expired.push_back(payload);
        }
    }
}
