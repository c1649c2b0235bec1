//! Encodes the totals within [`HostEvent::Tally`](crate::HostEvent::Tally) and
//! [`HostEvent::Gap`](crate::HostEvent::Gap).

use super::primitives::{Decoder, Encoder};
use super::{Decoded, MAX_ITEMS};
use crate::totals::{GroupTotals, Tally, Totals, GROUP_VALUES, MAX_GROUPS};

impl Encoder<'_> {
    pub(super) fn put_tally(&mut self, tally: &Tally) {
        self.put_varint(tally.entries);
        self.put_varint(Totals::NAMES.len() as u64);
        for (_, value) in tally.totals.pairs() {
            self.put_varint(value);
        }
        self.put_groups(&tally.classes);
        self.put_groups(&tally.tenants);
    }

    fn put_groups(&mut self, groups: &[GroupTotals]) {
        self.put_varint(groups.len() as u64);
        for group in groups {
            for value in group.values() {
                self.put_varint(value);
            }
        }
    }
}

impl Decoder<'_> {
    pub(super) fn read_tally(&mut self) -> Decoded<Tally> {
        Ok(Tally {
            entries: self.read_varint()?,
            totals: self.read_totals()?,
            classes: self.read_groups()?,
            tenants: self.read_groups()?,
        })
    }

    /// Reads the totals. A newer version may append further totals, which are ignored.
    fn read_totals(&mut self) -> Decoded<Totals> {
        let mut totals = Totals::default();
        let mut known = totals.values_mut();
        for _ in 0..self.read_length(MAX_ITEMS)? {
            let value = self.read_varint()?;
            if let Some(total) = known.next() {
                *total = value;
            }
        }
        drop(known);
        Ok(totals)
    }

    fn read_groups(&mut self) -> Decoded<Vec<GroupTotals>> {
        self.read_list(MAX_GROUPS, Self::read_group)
    }

    fn read_group(&mut self) -> Decoded<GroupTotals> {
        let mut values = [0; GROUP_VALUES];
        for value in &mut values {
            *value = self.read_varint()?;
        }
        Ok(GroupTotals::from_values(values))
    }
}
