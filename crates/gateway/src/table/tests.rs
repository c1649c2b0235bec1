//! A key must never find the entry that reuses its slot, and its value must never be 0.

use super::*;

#[test]
fn key_of_a_removed_entry_finds_nothing_after_its_slot_is_reused() {
    let mut table = Table::new();
    let announced_key = table.next_key();
    let first = table.insert("first");
    assert_eq!((announced_key, table.get(first)), (first, Some(&"first")));
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
fn generations_wrap_around_without_the_number_0() {
    let mut table = Table {
        slots: Slab::new(),
        generation: u32::MAX,
    };
    assert_ne!(table.insert(()).number(), 0);
}
