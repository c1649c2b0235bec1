//! Sweeps over real gateways: requests, clients, lists, changes of the configuration, and beside hollow ones.

use std::io;
use std::time::Duration;

use super::clients::Answers;
use super::measure::{Axis, Figure, Size, Source};
use super::processes::{Ended, Fleet, Sample};
use super::run::{Place, Run};
use super::together::{self, Counted, Together};

/// Changes of the configuration at each point of a sweep over engines.
const RELOADS: usize = 10;

const fn real(name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source: Source::Real }
}

const fn hollow(name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source: Source::Hollow }
}

impl Run<'_> {
    fn start(&mut self, size: Size) -> io::Result<Option<Fleet>> {
        let Some(program) = self.program else { return Ok(None) };
        Fleet::start(program, self.sizes.real.min(size.gateways).max(1), size).map(Some)
    }

    pub(super) fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.sizes.seconds)
    }

    fn samples(&mut self, axis: Axis, place: Place, samples: &[Sample]) {
        for sample in samples {
            self.add(real("process.request", "us a request"), axis, place, sample.micros_a_request);
            self.add(real("process.memory", "bytes"), axis, place, sample.resident_bytes);
            self.count_answers(place.1, sample.answers);
        }
    }

    pub(super) fn count_answers(&mut self, size: Size, answers: Answers) {
        self.outcome.requests += answers.asked;
        self.outcome.unanswered += answers.unanswered;
        if answers.refused > 0 {
            self.outcome.broken("served", format!("{answers:?} at {size:?}"));
        }
    }

    /// Ends a fleet that got so many list events and changes of its configuration.
    fn end(&mut self, fleet: Fleet, list_events: usize, reloads: usize) -> io::Result<()> {
        let ended = fleet.end()?;
        self.none_crashed(&ended);
        let wanted = [("list_events", list_events), ("reloads", reloads), ("reloads_failed", 0)];
        for (name, wanted) in wanted {
            let counted = ended.counted(name);
            if counted.iter().any(|&own| own != wanted as u64) {
                self.outcome
                    .broken("list and settings in force", format!("{name}: {counted:?}, {wanted} wanted"));
            }
        }
        Ok(())
    }

    pub(super) fn none_crashed(&mut self, ended: &Ended) {
        for name in &ended.crashed {
            self.outcome.broken("no crash", format!("gateway {name} ended by itself or had to be killed"));
        }
    }

    pub(super) fn real_requests(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.start(place.1)? else { return Ok(()) };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        self.end(fleet, 0, 0)
    }

    pub(super) fn real_clients(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.start(place.1)? else { return Ok(()) };
        let gateways = self.sizes.gateways_with_clients();
        let resting = fleet.rest(gateways, place.1.clients)?;
        if place.1.clients > 0 {
            for &micros in &resting.micros_a_client {
                self.add(real("process.client", "us a client"), axis, place, micros);
            }
        }
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples[..gateways.min(samples.len())]);
        drop(resting);
        self.end(fleet, 0, 0)
    }

    pub(super) fn real_lists(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(mut fleet) = self.start(place.1)? else { return Ok(()) };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        let changes = self.sizes.changes;
        for control in fleet.control(changes, self.lasts())? {
            for (figure, value) in [
                (real("process.idle", "part of a core"), control.idle_share),
                (real("process.change", "us"), control.micros_a_change),
                (real("process.list", "us"), control.micros_a_whole_list),
                (real("process.start", "us"), control.micros_to_start),
            ] {
                self.add(figure, axis, place, value);
            }
        }
        self.reload(&mut fleet, RELOADS, axis, place)?;
        self.end(fleet, changes + 1, RELOADS)
    }

    pub(super) fn real_reloads(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(mut fleet) = self.start(place.1)? else { return Ok(()) };
        let reloads = place.0 as usize;
        self.reload(&mut fleet, reloads, axis, place)?;
        self.end(fleet, 0, reloads)
    }

    fn reload(&mut self, fleet: &mut Fleet, reloads: usize, axis: Axis, place: Place) -> io::Result<()> {
        let outcome = fleet.reload(reloads, self.lasts())?;
        for micros in outcome.micros_a_reload {
            self.add(real("process.reload", "us a change"), axis, place, micros);
        }
        for after in outcome.in_force_after {
            self.add(real("reload.in_force", "ms"), axis, place, after.as_secs_f64() * 1e3);
        }
        if outcome.missed > 0 {
            let what =
                format!("{} of {reloads} changes of the configuration at {:?}", outcome.missed, place.1);
            self.outcome.broken("in force in time", what);
        }
        Ok(())
    }

    /// Real gateways with hollow ones beside them, all before one list that changes.
    pub(super) fn together(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = place.1;
        let places = together::places(size.gateways, self.sizes.real.min(size.gateways), self.sizes.beside);
        if places.is_empty() {
            return Ok(());
        }
        let Some(mut fleet) = self.start(size)? else { return Ok(()) };
        let events = fleet.discovery.watch();
        let hollow_fleet =
            super::decisions::Fleet { hollow: places.len(), ..self.fleet(size, self.sizes.seed) };
        let beside = Together::start(hollow_fleet, places, events)?;
        let samples = fleet.ask(size.rate, self.lasts())?;
        for sample in &samples {
            self.add(real("together.request", "us a request"), axis, place, sample.micros_a_request);
            self.count_answers(size, sample.answers);
        }
        let changes = self.sizes.changes;
        for control in fleet.control(changes, self.lasts())? {
            self.add(real("together.change", "us"), axis, place, control.micros_a_change);
        }
        let counted = beside.end()?;
        self.add_beside(axis, place, counted, changes as u64 + 1);
        self.end(fleet, changes + 1, 0)
    }

    fn add_beside(&mut self, axis: Axis, place: Place, counted: Counted, list_events: u64) {
        self.outcome.requests += counted.requests;
        self.outcome.unanswered += counted.unanswered;
        if place.1.gateways > super::decisions::MOST_WITHOUT_SUBSETS {
            let visits = hollow("together.visits", "engines a request");
            self.add(visits, axis, place, counted.visits_a_request());
        }
        let event = hollow("together.list", "us an event");
        self.add(event, axis, place, counted.micros_a_list_event());
        if counted.list_events != list_events * counted.gateways || counted.wrong_lists > 0 {
            let what = format!("{counted:?}, {list_events} events each wanted, at {:?}", place.1);
            self.outcome.broken("one list", what);
        }
    }
}
