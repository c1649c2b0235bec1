//! Sweeps over hollow gateways: decisions, memory, and the list.

use std::io;

use super::decisions::{self, Cost};
use super::discovery;
use super::measure::{Axis, Figure, Size, Source};
use super::run::{Place, Run};

/// Probed decisions are dear: one in so many hollow gateways plays them.
const PROBED_PART: usize = 4;

const fn figure(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Hollow,
    }
}

impl Run<'_> {
    pub(super) fn fleet(&self, size: Size, seed: u64) -> decisions::Fleet {
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

    /// Gateways share the same requests, however many there are.
    pub(super) fn hollow_by_gateways(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let middle = self.middle();
        let rate = middle.rate * middle.gateways as f64 / place.1.gateways as f64;
        self.hollow(
            axis,
            (
                place.0,
                Size {
                    rate: rate.min(middle.rate),
                    ..place.1
                },
            ),
        )
    }

    pub(super) fn hollow(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for seed in self.seeds() {
            let cost = self.decisions(self.fleet(place.1, seed));
            self.add_decisions(["decision.visits", "decision.time"], axis, place, cost);
        }
        Ok(())
    }

    /// Fleets without subsets are no part of the others' slopes.
    pub(super) fn add_decisions(
        &mut self,
        [visits, time]: [&'static str; 2],
        axis: Axis,
        place: Place,
        cost: Cost,
    ) {
        if place.1.gateways <= decisions::MAX_WITHOUT_SUBSETS {
            return;
        }
        let visited = figure(visits, "engines a request");
        self.add(visited, axis, place, cost.visits_a_request());
        self.add(
            figure(time, "us a request"),
            axis,
            place,
            cost.micros_a_request(),
        );
    }

    pub(super) fn decisions(&mut self, fleet: decisions::Fleet) -> Cost {
        let cost = decisions::play(fleet);
        self.outcome.requests += cost.requests;
        self.outcome.unanswered += cost.unanswered;
        cost
    }

    /// Decisions of fleets in the target's proportions, by what holds them.
    pub(super) fn hollow_in_proportion(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        self.hollow(axis, place)?;
        for seed in self.seeds() {
            let fleet = self.fleet(place.1, seed);
            let memory = figure("module.memory", "bytes a gateway");
            self.add(
                memory,
                axis,
                place,
                decisions::idle(fleet).bytes_a_gateway(),
            );
            if place.1.gateways <= decisions::MAX_WITHOUT_SUBSETS {
                continue;
            }
            let held = self.decisions(decisions::Fleet {
                overloaded: true,
                ..fleet
            });
            self.add_decisions(["held.visits", "held.time"], axis, place, held);
            let hollow = (fleet.hollow / PROBED_PART).max(1);
            let probed = self.decisions(decisions::Fleet {
                probed: true,
                hollow,
                ..fleet
            });
            self.add_decisions(["probed.visits", "probed.time"], axis, place, probed);
        }
        Ok(())
    }

    pub(super) fn lists(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for seed in self.seeds() {
            let (whole, change) = discovery::play(self.fleet(place.1, seed), self.sizes.changes);
            let micros = |cost: discovery::Cost| (cost.read + cost.handled).as_secs_f64() * 1e6;
            for (figure, value) in [
                (figure("list.whole.bytes", "bytes"), whole.bytes as f64),
                (figure("list.whole.time", "us"), micros(whole)),
                (figure("list.change.bytes", "bytes"), change.bytes as f64),
                (figure("list.change.time", "us"), micros(change)),
            ] {
                self.add(figure, axis, place, value);
            }
        }
        Ok(())
    }
}
