//! Sweeps over real keepers: links of hollow gateways, and claims of keyed requests.

use std::io;

use eideryard_peers::hub::MOST_LINKS;

use super::keepers::{Idle, KeeperFleet, KEEPERS, SPARE_LINKS};
use super::measure::{Axis, Figure, Source};
use super::run::{Place, Run};

/// Links of hollow gateways to each keeper.
const LINKS: [usize; 6] = [0, 25, 50, 100, 200, MOST_LINKS - SPARE_LINKS];
/// Keyed requests a second of all gateways.
const CLAIMS: [usize; 4] = [50, 100, 200, 400];

const fn real(name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source: Source::Real }
}

impl Run<'_> {
    /// Starts the processes that all of these sweeps share. Other sweeps go on until they vote.
    pub(super) fn start_keepers(&mut self) -> io::Result<()> {
        let Some(program) = self.program else { return Ok(()) };
        self.keepers = Some(KeeperFleet::start(program, self.middle())?);
        Ok(())
    }

    /// All of them, with the same processes.
    pub(super) fn keeper_sweeps(&mut self) -> io::Result<()> {
        let Some(keepers) = &self.keepers else { return Ok(()) };
        keepers.until_served()?;
        let middle = self.middle();
        let most = self.sizes.gateways.iter().copied().max().unwrap_or(0);
        let links = LINKS.iter().filter(|links| **links <= most).map(|&links| (links as f64, middle));
        let claims = CLAIMS.map(|claims| (claims as f64, middle));
        // Links first, and none later: entries that claims leave behind cost a keeper until they are over.
        self.sweep(Axis::Links, &links.collect::<Vec<_>>(), Self::links_of_keepers)?;
        self.keepers.iter_mut().for_each(KeeperFleet::unlink);
        self.sweep(Axis::Claims, &claims, Self::claims_of_keepers)?;
        let Some(keepers) = self.keepers.take() else { return Ok(()) };
        let ended = keepers.end()?;
        self.none_crashed(&ended);
        Ok(())
    }

    /// Each keeper is a repeat.
    fn intervals(&self) -> usize {
        self.sizes.repeats.div_ceil(KEEPERS)
    }

    fn links_of_keepers(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let (intervals, lasts) = (self.intervals(), self.lasts());
        let Some(mut keepers) = self.keepers.take() else { return Ok(()) };
        keepers.link(place.0 as usize)?;
        for _ in 0..intervals {
            let Idle { micros_a_second, resident_bytes } = keepers.idle(lasts)?;
            for micros in micros_a_second {
                self.add(real("keeper.links.time", "us/s"), axis, place, micros);
            }
            for bytes in resident_bytes {
                self.add(real("keeper.links.memory", "bytes"), axis, place, bytes);
            }
        }
        self.keepers = Some(keepers);
        Ok(())
    }

    fn claims_of_keepers(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        // What a keeper does in one flush varies, so there are more intervals than repeats are wanted.
        let (intervals, lasts) = (self.sizes.repeats.div_ceil(2), self.lasts());
        let Some(mut keepers) = self.keepers.take() else { return Ok(()) };
        let idle = keepers.idle(lasts)?;
        for _ in 0..intervals {
            let claimed = keepers.claims(&idle, place.0, lasts)?;
            for &micros in &claimed.micros_a_claim {
                self.add(real("keeper.claim.time", "us a keyed request"), axis, place, micros);
            }
            for &micros in &claimed.micros_a_request {
                self.add(real("process.keyed", "us a request"), axis, place, micros);
            }
            self.count_answers(place.1, claimed.answers);
        }
        self.keepers = Some(keepers);
        Ok(())
    }
}
