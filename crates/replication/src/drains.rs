//! Drains and removals of engines that any gateway has heard of: they bind all that are linked, and
//! never allow anything. Ordered by the list's own numbers; a list that is as new says for itself.
//! Pure.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Engines that are remembered; with one more the one of the oldest list goes.
pub const MOST: usize = 4096;

/// What a list said of an engine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Of the list's event.
    pub number: u64,
    pub engine: u32,
    /// Its process: another one under the name is not meant.
    pub booted_at: u64,
    /// It is gone, not only to take nothing new.
    pub gone: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drains {
    known: BTreeMap<u32, Drain>,
}

impl Drains {
    /// True: it is news, to be passed on.
    pub fn hears(&mut self, drain: Drain) -> bool {
        if self
            .known
            .get(&drain.engine)
            .is_some_and(|known| *known >= drain)
        {
            return false;
        }
        self.known.insert(drain.engine, drain);
        if self.known.len() > MOST {
            let oldest = self.known.values().min().map(|own| own.engine);
            for engine in oldest.into_iter() {
                _ = self.known.remove(&engine);
            }
        }
        true
    }

    /// What binds one who has the list up to a number, of an engine that its list calls usable.
    pub fn binds(&self, engine: u32, booted_at: u64, number: u64) -> Option<Drain> {
        let drain = self.known.get(&engine)?;
        (drain.number > number && drain.booted_at >= booted_at).then_some(*drain)
    }

    pub fn all(&self) -> impl Iterator<Item = Drain> + '_ {
        self.known.values().copied()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_binds_until_the_own_list_is_as_new_and_never_another_process() {
        let drain = Drain {
            number: 7,
            engine: 1,
            booted_at: 100,
            gone: false,
        };
        let mut drains = Drains::default();
        assert!(drains.hears(drain) && !drains.hears(drain));
        assert!(
            !drains.hears(Drain {
                number: 6,
                gone: true,
                ..drain
            }),
            "older news is none"
        );
        assert_eq!(drains.binds(1, 100, 6), Some(drain));
        assert_eq!(
            drains.binds(1, 100, 7),
            None,
            "a list that is as new says for itself"
        );
        assert_eq!(drains.binds(1, 101, 6), None, "it started anew since");
        assert_eq!(drains.binds(2, 100, 0), None);
        for engine in 0..2 * MOST as u32 {
            drains.hears(Drain {
                number: u64::from(engine),
                engine: 9 + engine,
                booted_at: 1,
                gone: true,
            });
        }
        assert_eq!(drains.len(), MOST);
    }
}
