//! Sweeps that measure real voters (`keeper` in an operator's file) under links of hollow gateways
//! and under claims of keyed requests.

use std::io;

use eideryard_peer_transport::limits::MAX_LINKS;

use super::checks;
use super::measure::{Axis, Figure, Source};
use super::run::{Run, SweepPoint};
use super::voters::{IdleCost, VoterFleet, SPARE_LINKS, VOTERS};

/// Numbers of hollow gateways that hold links to each voter.
const LINKS: [usize; 6] = [0, 25, 50, 100, 200, MAX_LINKS - SPARE_LINKS];
/// Keyed requests per second of all gateways together.
const CLAIMS: [usize; 4] = [50, 100, 200, 400];

const fn real_figure(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Real,
    }
}

impl Run<'_> {
    /// Starts the processes that all voter sweeps share. They vote only after a waiting time, in
    /// which other sweeps run.
    pub(super) fn start_voters(&mut self) -> io::Result<()> {
        let Some(program) = self.program else {
            return Ok(());
        };
        self.voters = Some(VoterFleet::start(program, self.middle())?);
        Ok(())
    }

    /// Runs all voter sweeps with the same processes.
    pub(super) fn voter_sweeps(&mut self) -> io::Result<()> {
        let Some(voters) = &self.voters else {
            return Ok(());
        };
        voters.wait_until_served()?;
        let middle = self.middle();
        let most_gateways = self.sizes.gateways.iter().copied().max().unwrap_or(0);
        let links = LINKS
            .iter()
            .filter(|links| **links <= most_gateways)
            .map(|&links| (links as f64, middle));
        let claims = CLAIMS.map(|claims| (claims as f64, middle));
        // Links are measured first: the entries of claims cost a voter processor time until they
        // expire.
        self.sweep(
            Axis::Links,
            &links.collect::<Vec<_>>(),
            Self::measure_voter_links,
        )?;
        self.voters.iter_mut().for_each(VoterFleet::close_links);
        self.sweep(Axis::Claims, &claims, Self::measure_voter_claims)?;
        let Some(voters) = self.voters.take() else {
            return Ok(());
        };
        checks::check_exit(&mut self.outcome, &voters.end()?, &[]);
        Ok(())
    }

    /// Number of intervals to measure. Each interval gives one repeat per voter.
    fn interval_count(&self) -> usize {
        self.sizes.repeats.div_ceil(VOTERS)
    }

    fn measure_voter_links(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let (interval_count, duration) = (self.interval_count(), self.point_duration());
        let Some(mut voters) = self.voters.take() else {
            return Ok(());
        };
        voters.open_links(point.0 as usize)?;
        for _ in 0..interval_count {
            let IdleCost {
                micros_per_second,
                resident_bytes,
            } = voters.measure_idle(duration)?;
            for micros in micros_per_second {
                self.add(
                    real_figure("keeper.links.time", "us/s"),
                    axis,
                    point,
                    micros,
                );
            }
            for bytes in resident_bytes {
                self.add(
                    real_figure("keeper.links.memory", "bytes"),
                    axis,
                    point,
                    bytes,
                );
            }
        }
        self.voters = Some(voters);
        Ok(())
    }

    fn measure_voter_claims(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        // The work of a voter per flush varies, so more intervals are measured than the number of
        // repeats requires.
        let (interval_count, duration) = (self.sizes.repeats.div_ceil(2), self.point_duration());
        let Some(mut voters) = self.voters.take() else {
            return Ok(());
        };
        let idle = voters.measure_idle(duration)?;
        for _ in 0..interval_count {
            let cost = voters.measure_claims(&idle, point.0, duration)?;
            for &micros in &cost.micros_per_claim {
                self.add(
                    real_figure("keeper.claim.time", "us a keyed request"),
                    axis,
                    point,
                    micros,
                );
            }
            for &micros in &cost.micros_per_request {
                self.add(
                    real_figure("process.keyed", "us a request"),
                    axis,
                    point,
                    micros,
                );
            }
            checks::count_answers(&mut self.outcome, cost.answers);
        }
        self.voters = Some(voters);
        Ok(())
    }
}
