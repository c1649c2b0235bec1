//! A hierarchical timing wheel. Each level has 64 slots; a slot of the next level is as long as all
//! of this one. A deadline goes to the level that its distance asks for and moves down as its time
//! comes near, six times at the most.
//!
//! Deadlines fire no earlier than asked and at most a tick later; those of one tick fire in the
//! order set.

use slab::Slab;

pub type Micros = u64;

/// A tick is 1,024 µs: what waits for seconds needs no finer one.
const TICK_BITS: u32 = 10;
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// With six levels the wheel spans 2^36 ticks, over two years; what is later waits at the far end
/// and is looked at again there.
const LEVELS: usize = 6;
const SPAN: u64 = 1 << (SLOT_BITS * LEVELS as u32);
const NONE: u32 = u32::MAX;

/// A deadline that was set, to take it back by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timer {
    slot: u32,
    generation: u32,
}

struct Entry<T> {
    generation: u32,
    tick: u64,
    /// The order in which deadlines of one tick were set.
    order: u64,
    level: u8,
    place: u8,
    before: u32,
    after: u32,
    what: T,
}

#[derive(Clone, Copy)]
struct List {
    first: u32,
    last: u32,
}

const EMPTY: List = List {
    first: NONE,
    last: NONE,
};

pub struct Wheel<T> {
    entries: Slab<Entry<T>>,
    levels: [[List; SLOTS]; LEVELS],
    /// Which slots of a level hold something.
    used: [u64; LEVELS],
    /// The tick up to which all has fired.
    now: u64,
    set: u64,
    generation: u32,
    /// Fired at the last advance and not yet taken, in order.
    due: std::collections::VecDeque<T>,
}

impl<T> Wheel<T> {
    pub fn new(now: Micros) -> Self {
        Wheel {
            entries: Slab::new(),
            levels: [[EMPTY; SLOTS]; LEVELS],
            used: [0; LEVELS],
            now: now >> TICK_BITS,
            set: 0,
            generation: 0,
            due: Default::default(),
        }
    }

    /// Deadlines that are set, those included that have fired and were not taken yet.
    pub fn len(&self) -> usize {
        self.entries.len() + self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn set(&mut self, at: Micros, what: T) -> Timer {
        // Never early: the tick that begins at the time or after it.
        let tick = at.div_ceil(1 << TICK_BITS).max(self.now + 1);
        self.generation = self.generation.wrapping_add(1);
        self.set += 1;
        let (generation, order) = (self.generation, self.set);
        let entry = Entry {
            generation,
            tick,
            order,
            level: 0,
            place: 0,
            before: NONE,
            after: NONE,
            what,
        };
        let slot = self.entries.insert(entry) as u32;
        self.link(slot);
        Timer { slot, generation }
    }

    /// Nothing where it has fired or was taken back before.
    pub fn take_back(&mut self, timer: Timer) -> Option<T> {
        let entry = self.entries.get(timer.slot as usize)?;
        if entry.generation != timer.generation {
            return None;
        }
        self.unlink(timer.slot);
        Some(self.entries.remove(timer.slot as usize).what)
    }

    /// Links an entry where its distance from now belongs.
    fn link(&mut self, slot: u32) {
        let entry = &mut self.entries[slot as usize];
        let tick = entry.tick.min(self.now + SPAN - 1);
        // The highest bit in which it differs from now tells the level.
        let differs = (tick ^ self.now) | 1;
        let level = ((63 - differs.leading_zeros()) / SLOT_BITS).min(LEVELS as u32 - 1);
        let place = (tick >> (SLOT_BITS * level)) as usize % SLOTS;
        (entry.level, entry.place) = (level as u8, place as u8);
        let list = &mut self.levels[level as usize][place];
        (entry.before, entry.after) = (list.last, NONE);
        let last = std::mem::replace(&mut list.last, slot);
        match last {
            NONE => list.first = slot,
            last => self.entries[last as usize].after = slot,
        }
        self.used[level as usize] |= 1 << place;
    }

    fn unlink(&mut self, slot: u32) {
        let entry = &self.entries[slot as usize];
        let (level, place, before, after) = (
            entry.level as usize,
            entry.place as usize,
            entry.before,
            entry.after,
        );
        match before {
            NONE => self.levels[level][place].first = after,
            before => self.entries[before as usize].after = after,
        }
        match after {
            NONE => self.levels[level][place].last = before,
            after => self.entries[after as usize].before = before,
        }
        if self.levels[level][place].first == NONE {
            self.used[level] &= !(1 << place);
        }
    }

    /// The tick at which the next slot that holds something begins, and its level and place.
    fn next_slot(&self) -> Option<(u64, usize, usize)> {
        let slots = (0..LEVELS).filter_map(|level| {
            let shift = SLOT_BITS * level as u32;
            let here = (self.now >> shift) % SLOTS as u64;
            // Slots ahead of the one that now is in; that one itself was emptied when now came
            // there, but for the highest level, whose slots come round again.
            let turned = self.used[level].rotate_right(here as u32);
            let ahead = if turned & !1 != 0 {
                (turned & !1).trailing_zeros() as u64
            } else if turned & 1 != 0 {
                SLOTS as u64
            } else {
                return None;
            };
            let begins = ((self.now >> shift) + ahead) << shift;
            Some((begins, level, ((here + ahead) % SLOTS as u64) as usize))
        });
        // Where two begin at once, the higher first: what it holds may belong into the lower.
        slots.min_by_key(|(begins, level, _)| (*begins, std::cmp::Reverse(*level)))
    }

    /// A time before which nothing fires; nothing where none is set. It may be earlier than the
    /// next deadline.
    pub fn next(&self) -> Option<Micros> {
        if !self.due.is_empty() {
            return Some(self.now << TICK_BITS);
        }
        self.next_slot().map(|(begins, _, _)| begins << TICK_BITS)
    }

    /// The next deadline that is due at a time, if one is.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        let to = now >> TICK_BITS;
        while self.due.is_empty() {
            let next = self.next_slot().filter(|(begins, _, _)| *begins <= to);
            let Some((begins, level, place)) = next else {
                // Nothing lies between, so no slot is passed over.
                self.now = self.now.max(to);
                return None;
            };
            self.now = begins;
            self.empty(level, place);
        }
        self.due.pop_front()
    }

    /// Fires what a slot holds for now, and links the rest nearer.
    fn empty(&mut self, level: usize, place: usize) {
        let mut fired = Vec::new();
        let mut slot = std::mem::replace(&mut self.levels[level][place], EMPTY).first;
        self.used[level] &= !(1 << place);
        while slot != NONE {
            let after = self.entries[slot as usize].after;
            if self.entries[slot as usize].tick <= self.now {
                fired.push(slot);
            } else {
                self.link(slot);
            }
            slot = after;
        }
        // Some came from higher levels, behind others that were set later.
        fired.sort_unstable_by_key(|slot| self.entries[*slot as usize].order);
        for slot in fired {
            let what = self.entries.remove(slot as usize).what;
            self.due.push_back(what);
        }
    }
}
