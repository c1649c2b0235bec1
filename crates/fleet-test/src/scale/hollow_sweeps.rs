//! Sweeps that measure hollow gateways: decisions, memory and the endpoint list.

use std::io;

use super::decisions::{self, Cost};
use super::discovery;
use super::measure::{Axis, Figure, Size, Source};
use super::run::{Run, SweepPoint};

/// Decisions with probed load are expensive, so only one in so many hollow gateways measures them.
const PROBED_ONE_IN: usize = 4;

const fn figure(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Hollow,
    }
}

impl Run<'_> {
    pub(super) fn hollow_fleet(&self, size: Size, seed: u64) -> decisions::Fleet {
        let hollow = self.sizes.hollow.min(size.gateways);
        let Size {
            gateways,
            engines,
            rate,
            ..
        } = size;
        decisions::Fleet {
            gateways,
            engines,
            hollow,
            rate,
            overloaded: false,
            probed: false,
            seed,
        }
    }

    /// Measures decisions while the number of gateways varies and the total rate of requests stays
    /// the same, except that no gateway has more than the usual rate.
    pub(super) fn measure_hollow_by_gateways(
        &mut self,
        axis: Axis,
        point: SweepPoint,
    ) -> io::Result<()> {
        let middle = self.middle();
        let rate = middle.rate * middle.gateways as f64 / point.1.gateways as f64;
        self.measure_hollow(
            axis,
            (
                point.0,
                Size {
                    rate: rate.min(middle.rate),
                    ..point.1
                },
            ),
        )
    }

    pub(super) fn measure_hollow(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        for seed in self.seeds() {
            let cost = self.measure_decisions(self.hollow_fleet(point.1, seed));
            self.add_decisions(["decision.visits", "decision.time"], axis, point, cost);
        }
        Ok(())
    }

    /// Adds the figures of decisions. Fleets in which each gateway uses all engines are left out,
    /// since they would distort the slopes of those with subsets.
    pub(super) fn add_decisions(
        &mut self,
        [visits, time]: [&'static str; 2],
        axis: Axis,
        point: SweepPoint,
        cost: Cost,
    ) {
        if point.1.gateways <= decisions::MAX_WITHOUT_SUBSETS {
            return;
        }
        let visits_figure = figure(visits, "engines a request");
        self.add(visits_figure, axis, point, cost.visits_per_request());
        self.add(
            figure(time, "us a request"),
            axis,
            point,
            cost.micros_per_request(),
        );
    }

    pub(super) fn measure_decisions(&mut self, fleet: decisions::Fleet) -> Cost {
        let cost = decisions::measure(fleet);
        self.outcome.requests += cost.requests;
        self.outcome.unanswered += cost.unanswered;
        cost
    }

    /// Measures memory and decisions of fleets with the target's proportions: with engines that
    /// keep up, with overloaded ones, and with load known from probes only.
    pub(super) fn measure_hollow_in_proportion(
        &mut self,
        axis: Axis,
        point: SweepPoint,
    ) -> io::Result<()> {
        self.measure_hollow(axis, point)?;
        for seed in self.seeds() {
            let fleet = self.hollow_fleet(point.1, seed);
            let memory = figure("module.memory", "bytes a gateway");
            self.add(
                memory,
                axis,
                point,
                decisions::measure_memory(fleet).bytes_per_gateway(),
            );
            if point.1.gateways <= decisions::MAX_WITHOUT_SUBSETS {
                continue;
            }
            let overloaded = self.measure_decisions(decisions::Fleet {
                overloaded: true,
                ..fleet
            });
            self.add_decisions(["held.visits", "held.time"], axis, point, overloaded);
            let hollow = (fleet.hollow / PROBED_ONE_IN).max(1);
            let probed = self.measure_decisions(decisions::Fleet {
                probed: true,
                hollow,
                ..fleet
            });
            self.add_decisions(["probed.visits", "probed.time"], axis, point, probed);
        }
        Ok(())
    }

    pub(super) fn measure_lists(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        for seed in self.seeds() {
            let (whole, change) =
                discovery::measure(self.hollow_fleet(point.1, seed), self.sizes.changes);
            let micros = |cost: discovery::Cost| (cost.read + cost.handled).as_secs_f64() * 1e6;
            for (figure, value) in [
                (figure("list.whole.bytes", "bytes"), whole.bytes as f64),
                (figure("list.whole.time", "us"), micros(whole)),
                (figure("list.change.bytes", "bytes"), change.bytes as f64),
                (figure("list.change.time", "us"), micros(change)),
            ] {
                self.add(figure, axis, point, value);
            }
        }
        Ok(())
    }
}
