//! Sweeps that measure real gateways: requests, clients, list events, configuration changes, and
//! real gateways together with hollow ones.

use std::io;
use std::time::Duration;

use super::control::IN_FORCE_WITHIN;
use super::measure::{Axis, Figure, Size, Source};
use super::mixed::{self, HollowCounts, HollowGateways};
use super::processes::{Fleet, Sample};
use super::run::{Run, SweepPoint};
use super::sizes::Machine;
use super::{checks, decisions};

/// List events in addition to single changes: a zone removed, the zone added, and the whole list.
const OTHER_LIST_EVENTS: usize = 3;
/// Configuration changes at each point of the sweep over engines.
const RELOADS: usize = 10;

const fn real_figure(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Real,
    }
}

const fn hollow_figure(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        name,
        unit,
        source: Source::Hollow,
    }
}

impl Run<'_> {
    fn start_fleet(&mut self, size: Size) -> io::Result<Option<Fleet>> {
        let Some(program) = self.program else {
            return Ok(None);
        };
        Fleet::start(program, self.sizes.real.min(size.gateways).max(1), size).map(Some)
    }

    pub(super) fn point_duration(&self) -> Duration {
        Duration::from_secs_f64(self.sizes.seconds)
    }

    fn add_samples(&mut self, axis: Axis, point: SweepPoint, samples: &[Sample]) {
        for sample in samples {
            self.add(
                real_figure("process.request", "us a request"),
                axis,
                point,
                sample.micros_per_request,
            );
            self.add(
                real_figure("process.memory", "bytes"),
                axis,
                point,
                sample.resident_bytes,
            );
            checks::count_answers(&mut self.outcome, sample.answers);
        }
    }

    /// Stops a fleet and checks that each gateway counted these list events and configuration
    /// changes.
    fn end_fleet(&mut self, fleet: Fleet, list_events: usize, reloads: usize) -> io::Result<()> {
        let expected = [
            ("list_events", list_events as u64),
            ("reloads", reloads as u64),
            ("reloads_failed", 0),
        ];
        checks::check_exit(&mut self.outcome, &fleet.end()?, &expected);
        Ok(())
    }

    pub(super) fn measure_real_requests(
        &mut self,
        axis: Axis,
        point: SweepPoint,
    ) -> io::Result<()> {
        let Some(fleet) = self.start_fleet(point.1)? else {
            return Ok(());
        };
        let samples = fleet.send_requests(point.1.rate, self.point_duration())?;
        self.add_samples(axis, point, &samples);
        self.end_fleet(fleet, 0, 0)
    }

    pub(super) fn measure_real_clients(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let Some(fleet) = self.start_fleet(point.1)? else {
            return Ok(());
        };
        let gateways = self.sizes.gateways_with_clients();
        let at_once = self
            .sizes
            .gateways_with_clients_at_once(Machine::read_limits()?, point.1.clients);
        for first in (0..gateways).step_by(at_once) {
            let round = first..gateways.min(first + at_once);
            let idle_clients = fleet.connect_idle_clients(round.clone(), point.1.clients)?;
            for &micros in idle_clients
                .micros_per_client
                .iter()
                .filter(|_| point.1.clients > 0)
            {
                self.add(
                    real_figure("process.client", "us a client"),
                    axis,
                    point,
                    micros,
                );
            }
            let samples = fleet.send_requests(point.1.rate, self.point_duration())?;
            self.add_samples(axis, point, &samples[round]);
        }
        self.end_fleet(fleet, 0, 0)
    }

    pub(super) fn measure_real_lists(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let Some(mut fleet) = self.start_fleet(point.1)? else {
            return Ok(());
        };
        let samples = fleet.send_requests(point.1.rate, self.point_duration())?;
        self.add_samples(axis, point, &samples);
        let changes = self.sizes.changes;
        for control in fleet.measure_control(changes, self.point_duration())? {
            for (figure, value) in [
                (
                    real_figure("process.idle", "part of a core"),
                    control.idle_share,
                ),
                (
                    real_figure("process.change", "us"),
                    control.micros_per_change,
                ),
                (
                    real_figure("process.list", "us"),
                    control.micros_per_whole_list,
                ),
                (
                    real_figure("process.zone.gone", "us"),
                    control.micros_per_zone_removed,
                ),
                (
                    real_figure("process.zone.back", "us"),
                    control.micros_per_zone_added,
                ),
                (real_figure("process.start", "us"), control.micros_to_start),
            ] {
                self.add(figure, axis, point, value);
            }
        }
        self.measure_reloads(&mut fleet, RELOADS, axis, point)?;
        self.end_fleet(fleet, changes + OTHER_LIST_EVENTS, RELOADS)
    }

    pub(super) fn measure_real_reloads(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let Some(mut fleet) = self.start_fleet(point.1)? else {
            return Ok(());
        };
        let reloads = point.0 as usize;
        self.measure_reloads(&mut fleet, reloads, axis, point)?;
        self.end_fleet(fleet, 0, reloads)
    }

    fn measure_reloads(
        &mut self,
        fleet: &mut Fleet,
        reloads: usize,
        axis: Axis,
        point: SweepPoint,
    ) -> io::Result<()> {
        let outcome = fleet.reload(reloads, self.point_duration(), IN_FORCE_WITHIN)?;
        checks::check_reloads(&mut self.outcome, &outcome);
        for micros in outcome.micros_per_reload {
            self.add(
                real_figure("process.reload", "us a change"),
                axis,
                point,
                micros,
            );
        }
        for after in outcome.in_force_after {
            self.add(
                real_figure("reload.in_force", "ms"),
                axis,
                point,
                after.as_secs_f64() * 1e3,
            );
        }
        Ok(())
    }

    /// Measures real and hollow gateways at the same time, while their common endpoint list
    /// changes.
    pub(super) fn measure_real_and_hollow(
        &mut self,
        axis: Axis,
        point: SweepPoint,
    ) -> io::Result<()> {
        let size = point.1;
        let indexes = mixed::free_indexes(
            size.gateways,
            self.sizes.real.min(size.gateways),
            self.sizes.beside,
        );
        if indexes.is_empty() {
            return Ok(());
        }
        let Some(mut fleet) = self.start_fleet(size)? else {
            return Ok(());
        };
        let events = fleet.discovery.watch();
        let hollow_fleet = decisions::Fleet {
            hollow: indexes.len(),
            ..self.hollow_fleet(size, self.sizes.seed)
        };
        let hollow_gateways = HollowGateways::start(hollow_fleet, indexes, events)?;
        let samples = fleet.send_requests(size.rate, self.point_duration())?;
        for sample in &samples {
            self.add(
                real_figure("together.request", "us a request"),
                axis,
                point,
                sample.micros_per_request,
            );
            checks::count_answers(&mut self.outcome, sample.answers);
        }
        let changes = self.sizes.changes;
        for control in fleet.measure_control(changes, self.point_duration())? {
            self.add(
                real_figure("together.change", "us"),
                axis,
                point,
                control.micros_per_change,
            );
        }
        let counted = hollow_gateways.end()?;
        let list_events = changes + OTHER_LIST_EVENTS;
        self.add_hollow_counts(axis, point, counted, list_events as u64);
        self.end_fleet(fleet, list_events, 0)
    }

    fn add_hollow_counts(
        &mut self,
        axis: Axis,
        point: SweepPoint,
        counted: HollowCounts,
        list_events: u64,
    ) {
        checks::check_hollow_gateways(&mut self.outcome, &counted, list_events);
        let has_subsets = point.1.gateways > decisions::MAX_WITHOUT_SUBSETS;
        for visits in counted
            .visits_per_request
            .into_iter()
            .filter(|_| has_subsets)
        {
            self.add(
                hollow_figure("together.visits", "engines a request"),
                axis,
                point,
                visits,
            );
        }
        for micros in counted.micros_per_change {
            self.add(
                hollow_figure("together.list.change", "us"),
                axis,
                point,
                micros,
            );
        }
        for micros in counted.micros_per_whole_list {
            self.add(
                hollow_figure("together.list.whole", "us"),
                axis,
                point,
                micros,
            );
        }
    }
}
