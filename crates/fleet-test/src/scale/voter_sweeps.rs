//! Sweeps over real voters (`keeper` in an operator's file): links of hollow gateways, and claims
//! of keyed requests.

use std::io;

use eideryard_peer_transport::limits::MAX_LINKS;

use super::checks;
use super::measure::{Axis, Figure, Source};
use super::run::{Place, Run};
use super::voters::{Idle, VoterFleet, SPARE_LINKS, VOTERS};

/// Links of hollow gateways to each voter.
const LINKS: [usize; 6] = [0, 25, 50, 100, 200, MAX_LINKS - SPARE_LINKS];
/// Keyed requests a second of all gateways.
const CLAIMS: [usize; 4] = [50, 100, 200, 400];

const fn real(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Real,
    }
}

impl Run<'_> {
    /// Starts the processes that all of these sweeps share. Other sweeps go on until they vote.
    pub(super) fn start_voters(&mut self) -> io::Result<()> {
        let Some(program) = self.program else {
            return Ok(());
        };
        self.voters = Some(VoterFleet::start(program, self.middle())?);
        Ok(())
    }

    /// All of them, with the same processes.
    pub(super) fn voter_sweeps(&mut self) -> io::Result<()> {
        let Some(voters) = &self.voters else {
            return Ok(());
        };
        voters.until_served()?;
        let middle = self.middle();
        let most = self.sizes.gateways.iter().copied().max().unwrap_or(0);
        let links = LINKS
            .iter()
            .filter(|links| **links <= most)
            .map(|&links| (links as f64, middle));
        let claims = CLAIMS.map(|claims| (claims as f64, middle));
        // Links first, and none later: entries that claims leave behind cost a voter until they are
        // over.
        self.sweep(
            Axis::Links,
            &links.collect::<Vec<_>>(),
            Self::links_of_voters,
        )?;
        self.voters.iter_mut().for_each(VoterFleet::unlink);
        self.sweep(Axis::Claims, &claims, Self::claims_of_voters)?;
        let Some(voters) = self.voters.take() else {
            return Ok(());
        };
        checks::ended(&mut self.outcome, &voters.end()?, &[]);
        Ok(())
    }

    /// Each voter is a repeat.
    fn intervals(&self) -> usize {
        self.sizes.repeats.div_ceil(VOTERS)
    }

    fn links_of_voters(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let (intervals, lasts) = (self.intervals(), self.lasts());
        let Some(mut voters) = self.voters.take() else {
            return Ok(());
        };
        voters.link(place.0 as usize)?;
        for _ in 0..intervals {
            let Idle {
                micros_a_second,
                resident_bytes,
            } = voters.idle(lasts)?;
            for micros in micros_a_second {
                self.add(real("keeper.links.time", "us/s"), axis, place, micros);
            }
            for bytes in resident_bytes {
                self.add(real("keeper.links.memory", "bytes"), axis, place, bytes);
            }
        }
        self.voters = Some(voters);
        Ok(())
    }

    fn claims_of_voters(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        // What a voter does in one flush varies, so there are more intervals than repeats are
        // wanted.
        let (intervals, lasts) = (self.sizes.repeats.div_ceil(2), self.lasts());
        let Some(mut voters) = self.voters.take() else {
            return Ok(());
        };
        let idle = voters.idle(lasts)?;
        for _ in 0..intervals {
            let claimed = voters.claims(&idle, place.0, lasts)?;
            for &micros in &claimed.micros_a_claim {
                self.add(
                    real("keeper.claim.time", "us a keyed request"),
                    axis,
                    place,
                    micros,
                );
            }
            for &micros in &claimed.micros_a_request {
                self.add(real("process.keyed", "us a request"), axis, place, micros);
            }
            checks::answers(&mut self.outcome, claimed.answers);
        }
        self.voters = Some(voters);
        Ok(())
    }
}
