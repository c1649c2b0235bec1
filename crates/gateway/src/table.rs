//! Tables of numbered slots. A key bears the generation of its slot's tenant, so that a late event
//! finds nothing where a new tenant has moved in.

use slab::Slab;

/// Slot and generation; as a number it is never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    pub fn number(self) -> u64 {
        self.0
    }

    pub fn from_number(number: u64) -> Self {
        Key(number)
    }

    fn slot(self) -> usize {
        self.0 as u32 as usize
    }
}

pub struct Table<T> {
    slots: Slab<(Key, T)>,
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
    pub fn new() -> Self {
        Self::default()
    }

    /// The key that the next insertion gets.
    pub fn next_key(&self) -> Key {
        let generation = self.generation.wrapping_add(1).max(1);
        Key((generation as u64) << 32 | self.slots.vacant_key() as u64)
    }

    pub fn insert(&mut self, tenant: T) -> Key {
        let key = self.next_key();
        self.generation = (key.0 >> 32) as u32;
        self.slots.insert((key, tenant));
        key
    }

    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots
            .get(key.slot())
            .filter(|(own, _)| *own == key)
            .map(|(_, tenant)| tenant)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot())
            .filter(|(own, _)| *own == key)
            .map(|(_, tenant)| tenant)
    }

    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.get(key)?;
        self.slots.try_remove(key.slot()).map(|(_, tenant)| tenant)
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().map(|(_, (key, tenant))| (*key, tenant))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_late_event_finds_nothing_where_a_new_tenant_has_moved_in() {
        let mut table = Table::new();
        let promised = table.next_key();
        let first = table.insert("first");
        assert_eq!((promised, table.get(first)), (first, Some(&"first")));
        assert_eq!(table.remove(first), Some("first"));
        let second = table.insert("second");
        assert_eq!(first.slot(), second.slot());
        assert_eq!(
            (table.remove(first), table.get(first), table.len()),
            (None, None, 1)
        );
        assert_eq!(
            table.get(Key::from_number(second.number())),
            Some(&"second")
        );
    }

    #[test]
    fn generations_go_round_without_the_number_0() {
        let mut table = Table {
            slots: Slab::new(),
            generation: u32::MAX,
        };
        assert_ne!(table.insert(()).number(), 0);
    }
}
