//! Which copies differ, and how: of what keepers hold, read from their stores.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{self, Origin, ReplicaRecord};
use crate::replica_set::FADES;

/// One keeper's copies, by the ledger's keys.
pub type Held = BTreeMap<Vec<u8>, ReplicaRecord>;

/// A key of which keepers hold different records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    pub key: Vec<u8>,
    /// Of each keeper, in their order: what it lacks of all that any holds, with the version that
    /// it has.
    pub lacks: Vec<Vec<(Origin, Option<u32>)>>,
}

/// Copies as a store's keys and values hold them.
pub fn held<'a>(keys: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Held {
    let copies = keys.filter_map(|(key, value)| {
        let key = key.strip_prefix(entry::PREFIX)?;
        Some((key.to_vec(), entry::from_bytes(value)?))
    });
    copies.collect()
}

/// Keys that were compared, and those that differ, at a time in Unix milliseconds.
pub fn compare(keepers: &[Held], now_ms: u64) -> (u64, Vec<Difference>) {
    let keys: BTreeSet<&Vec<u8>> = keepers.iter().flat_map(|held| held.keys()).collect();
    let (mut compared, mut differ) = (0, Vec::new());
    for key in keys {
        let lasting = |held: &Held| -> BTreeMap<Origin, (u64, u32)> {
            let records = held.get(key).into_iter().flatten();
            let lasting = records.filter(|(_, record)| record.nominal_ms > now_ms + FADES / 1000);
            lasting
                .map(|(of, record)| (*of, (entry::print_of(of, record), record.version)))
                .collect()
        };
        let all: Vec<_> = keepers.iter().map(lasting).collect();
        compared += u64::from(all.iter().any(|own| !own.is_empty()));
        let mut newest: BTreeMap<Origin, (u32, u64)> = BTreeMap::new();
        for (of, (print, version)) in all.iter().flatten() {
            let known = newest.entry(*of).or_default();
            *known = (*known).max((*version, *print));
        }
        let lacks = all.iter().map(|own| {
            let lacking = newest
                .iter()
                .filter(|(of, (_, print))| own.get(*of).map(|had| had.0) != Some(*print));
            lacking
                .map(|(of, _)| (*of, own.get(of).map(|had| had.1)))
                .collect()
        });
        let lacks: Vec<Vec<_>> = lacks.collect();
        if lacks.iter().any(|own| !own.is_empty()) {
            differ.push(Difference {
                key: key.clone(),
                lacks,
            });
        }
    }
    (compared, differ)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::{Phase, Record};

    fn of(version: u32, nominal_ms: u64) -> Held {
        let record = Record {
            version,
            phase: Phase::Ran,
            place: None,
            since: 1,
            until: 2,
            nominal_ms,
        };
        [(
            b"key".to_vec(),
            [(
                Origin {
                    identity: 1,
                    start: 1,
                },
                record,
            )]
            .into(),
        )]
        .into()
    }

    #[test]
    fn a_copy_that_lags_or_lacks_is_told_until_its_origin_lets_go_of_it() {
        let origin = Origin {
            identity: 1,
            start: 1,
        };
        let told = |a: Held, b: Held| compare(&[a, b], 10_000);
        assert_eq!(told(of(2, 20_000), of(2, 20_000)), (1, Vec::new()));
        let lags = told(of(2, 20_000), of(1, 20_000)).1;
        assert_eq!(lags[0].lacks, [vec![], vec![(origin, Some(1))]]);
        let lacks = told(of(2, 20_000), Held::new()).1;
        assert_eq!(lacks[0].lacks, [vec![], vec![(origin, None)]]);
        assert_eq!(
            told(of(2, 10_500), Held::new()).1,
            Vec::new(),
            "it is about to be dropped"
        );
    }
}
