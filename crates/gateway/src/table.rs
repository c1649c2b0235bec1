//! Tables of reusable slots. A key contains a generation besides the slot's index, so that a late
//! event for a removed entry finds nothing even if the slot is in use again.

use slab::Slab;

#[cfg(test)]
mod tests;

/// The low bits of a key that are the slot's index; the bits above are the generation.
const SLOT_BITS: u32 = 32;

/// The slot and generation of an entry. The key's value as a number is never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// Returns the key as a number, which is the entry's ID in the interface to the balancer.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Turns a number from [`Key::number`] back into the key.
    pub fn from_number(number: u64) -> Self {
        Key(number)
    }

    fn slot(self) -> usize {
        self.0 as u32 as usize
    }
}

struct Entry<T> {
    key: Key,
    value: T,
}

/// A table whose entries are found by their keys. Slots of removed entries are reused.
pub struct Table<T> {
    slots: Slab<Entry<T>>,
    /// The generation of the last key; the generation wraps around and skips 0.
    generation: u32,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table {
            slots: Slab::new(),
            generation: 0,
        }
    }
}

impl<T> Table<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key that the next [`Table::insert`] will return.
    pub fn next_key(&self) -> Key {
        let generation = self.generation.wrapping_add(1).max(1);
        let slot = self.slots.vacant_key() as u64;
        Key(u64::from(generation) << SLOT_BITS | slot)
    }

    /// Adds an entry and returns its key.
    pub fn insert(&mut self, value: T) -> Key {
        let key = self.next_key();
        self.generation = (key.0 >> SLOT_BITS) as u32;
        self.slots.insert(Entry { key, value });
        key
    }

    /// Returns the entry with this key; `None` if it was removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let entry = self.slots.get(key.slot())?;
        (entry.key == key).then_some(&entry.value)
    }

    /// Returns mutable access to the entry with this key; `None` if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let entry = self.slots.get_mut(key.slot())?;
        (entry.key == key).then_some(&mut entry.value)
    }

    /// Removes the entry with this key and returns it; `None` if it was already removed.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.get(key)?;
        let entry = self.slots.try_remove(key.slot())?;
        Some(entry.value)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns all entries with their keys, ordered by slot.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots
            .iter()
            .map(|(_, entry)| (entry.key, &entry.value))
    }
}
