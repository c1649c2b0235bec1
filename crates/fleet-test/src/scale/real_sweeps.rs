//! Sweeps over real gateways: requests, clients, lists, changes of the configuration, and beside
//! hollow ones.

use std::io;
use std::time::Duration;

use super::control::IN_FORCE_WITHIN;
use super::measure::{Axis, Figure, Size, Source};
use super::processes::{Fleet, Sample};
use super::run::{Place, Run};
use super::sizes::Machine;
use super::together::{self, Counted, Together};
use super::{checks, decisions};

/// Events of the list beside single changes: a zone gone and back, and the whole list.
const LIST_EVENTS_BESIDE: usize = 3;
/// Changes of the configuration at each point of a sweep over engines.
const RELOADS: usize = 10;

const fn real(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Real,
    }
}

const fn hollow(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Hollow,
    }
}

impl Run<'_> {
    fn start(&mut self, size: Size) -> io::Result<Option<Fleet>> {
        let Some(program) = self.program else {
            return Ok(None);
        };
        Fleet::start(program, self.sizes.real.min(size.gateways).max(1), size).map(Some)
    }

    pub(super) fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.sizes.seconds)
    }

    fn samples(&mut self, axis: Axis, place: Place, samples: &[Sample]) {
        for sample in samples {
            self.add(
                real("process.request", "us a request"),
                axis,
                place,
                sample.micros_a_request,
            );
            self.add(
                real("process.memory", "bytes"),
                axis,
                place,
                sample.resident_bytes,
            );
            checks::answers(&mut self.outcome, sample.answers);
        }
    }

    /// Ends a fleet that got so many list events and changes of its configuration.
    fn end(&mut self, fleet: Fleet, list_events: usize, reloads: usize) -> io::Result<()> {
        let wanted = [
            ("list_events", list_events as u64),
            ("reloads", reloads as u64),
            ("reloads_failed", 0),
        ];
        checks::ended(&mut self.outcome, &fleet.end()?, &wanted);
        Ok(())
    }

    pub(super) fn real_requests(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.start(place.1)? else {
            return Ok(());
        };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        self.end(fleet, 0, 0)
    }

    pub(super) fn real_clients(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.start(place.1)? else {
            return Ok(());
        };
        let gateways = self.sizes.gateways_with_clients();
        let at_once = self.sizes.resting_at_once(Machine::own()?, place.1.clients);
        for first in (0..gateways).step_by(at_once) {
            let round = first..gateways.min(first + at_once);
            let resting = fleet.rest(round.clone(), place.1.clients)?;
            for &micros in resting
                .micros_a_client
                .iter()
                .filter(|_| place.1.clients > 0)
            {
                self.add(real("process.client", "us a client"), axis, place, micros);
            }
            let samples = fleet.ask(place.1.rate, self.lasts())?;
            self.samples(axis, place, &samples[round]);
        }
        self.end(fleet, 0, 0)
    }

    pub(super) fn real_lists(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(mut fleet) = self.start(place.1)? else {
            return Ok(());
        };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        let changes = self.sizes.changes;
        for control in fleet.control(changes, self.lasts())? {
            for (figure, value) in [
                (real("process.idle", "part of a core"), control.idle_share),
                (real("process.change", "us"), control.micros_a_change),
                (real("process.list", "us"), control.micros_a_whole_list),
                (
                    real("process.zone.gone", "us"),
                    control.micros_for_a_zone_gone,
                ),
                (
                    real("process.zone.back", "us"),
                    control.micros_for_a_zone_back,
                ),
                (real("process.start", "us"), control.micros_to_start),
            ] {
                self.add(figure, axis, place, value);
            }
        }
        self.reload(&mut fleet, RELOADS, axis, place)?;
        self.end(fleet, changes + LIST_EVENTS_BESIDE, RELOADS)
    }

    pub(super) fn real_reloads(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(mut fleet) = self.start(place.1)? else {
            return Ok(());
        };
        let reloads = place.0 as usize;
        self.reload(&mut fleet, reloads, axis, place)?;
        self.end(fleet, 0, reloads)
    }

    fn reload(
        &mut self,
        fleet: &mut Fleet,
        reloads: usize,
        axis: Axis,
        place: Place,
    ) -> io::Result<()> {
        let outcome = fleet.reload(reloads, self.lasts(), IN_FORCE_WITHIN)?;
        checks::reloads(&mut self.outcome, &outcome);
        for micros in outcome.micros_a_reload {
            self.add(real("process.reload", "us a change"), axis, place, micros);
        }
        for after in outcome.in_force_after {
            self.add(
                real("reload.in_force", "ms"),
                axis,
                place,
                after.as_secs_f64() * 1e3,
            );
        }
        Ok(())
    }

    /// Real gateways with hollow ones beside them, all before one list that changes.
    pub(super) fn together(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = place.1;
        let places = together::places(
            size.gateways,
            self.sizes.real.min(size.gateways),
            self.sizes.beside,
        );
        if places.is_empty() {
            return Ok(());
        }
        let Some(mut fleet) = self.start(size)? else {
            return Ok(());
        };
        let events = fleet.discovery.watch();
        let hollow_fleet = decisions::Fleet {
            hollow: places.len(),
            ..self.fleet(size, self.sizes.seed)
        };
        let beside = Together::start(hollow_fleet, places, events)?;
        let samples = fleet.ask(size.rate, self.lasts())?;
        for sample in &samples {
            self.add(
                real("together.request", "us a request"),
                axis,
                place,
                sample.micros_a_request,
            );
            checks::answers(&mut self.outcome, sample.answers);
        }
        let changes = self.sizes.changes;
        for control in fleet.control(changes, self.lasts())? {
            self.add(
                real("together.change", "us"),
                axis,
                place,
                control.micros_a_change,
            );
        }
        let counted = beside.end()?;
        let list_events = changes + LIST_EVENTS_BESIDE;
        self.add_beside(axis, place, counted, list_events as u64);
        self.end(fleet, list_events, 0)
    }

    fn add_beside(&mut self, axis: Axis, place: Place, counted: Counted, list_events: u64) {
        checks::beside(&mut self.outcome, &counted, list_events);
        let has_subsets = place.1.gateways > decisions::MAX_WITHOUT_SUBSETS;
        for visits in counted.visits_a_request.into_iter().filter(|_| has_subsets) {
            self.add(
                hollow("together.visits", "engines a request"),
                axis,
                place,
                visits,
            );
        }
        for micros in counted.micros_a_change {
            self.add(hollow("together.list.change", "us"), axis, place, micros);
        }
        for micros in counted.micros_a_whole_list {
            self.add(hollow("together.list.whole", "us"), axis, place, micros);
        }
    }
}
