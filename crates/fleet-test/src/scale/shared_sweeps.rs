//! Sweeps over the state that gateways share: claims, heartbeats and leases, measured with the
//! production protocol code in simulated fleets.

use std::io;
use std::panic::resume_unwind;
use std::thread::ScopedJoinHandle;

use eideryard_leases::MAX_TASKS;

use super::measure::{Axis, Figure, Size, Source};
use super::replication;
use super::run::{sweep_points, Run, SweepPoint};
use super::sizes::ENGINES_A_GATEWAY;

/// Numbers of voters.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];
/// Numbers of keyed requests of the simulated fleet, sent within 20 s.
const KEYED: [usize; 3] = [200, 400, 800];
/// Numbers of tasks of the simulated fleets with leases: one per engine, with the target's ratio of
/// engines to gateways. Each gateway checks every task every few milliseconds, so the run time
/// grows with the square of the fleet's size.
const TASKS: [u32; 5] = [24, 48, 96, 192, 384];
/// Every run measures up to [`TASKS_ALWAYS`] tasks. It measures more only up to the largest number
/// of its gateways divided by [`TASKS_PART`].
const TASKS_ALWAYS: u32 = 96;
const TASKS_PART: f64 = 4.0;
/// Number of tasks while the number of gateways varies.
const FEW_TASKS: u32 = 64;
/// Numbers of tasks of a single voter; the last is the maximum.
const CORE_TASKS: [u32; 4] = [64, 512, 2_048, MAX_TASKS as u32];
/// One in so many gateways is lost in the simulated fleet with leases.
const LOST_ONE_OF: usize = 7;
/// Heartbeat intervals per measurement.
const HEARTBEATS: u64 = 20;
/// Numbers of entries that a voter stores. The last is that of the target with 1% keyed requests. A
/// run measures more than [`ENTRIES_ALWAYS`] only if its largest fleet has at least [`NEAR_TARGET`]
/// gateways.
const ENTRY_COUNTS: [usize; 4] = [1_000, 10_000, 40_000, 84_000];
const ENTRIES_ALWAYS: usize = 40_000;
const NEAR_TARGET: usize = 1_000;

const fn figure(source: Source, name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source }
}

impl Run<'_> {
    /// Runs all sweeps over shared state.
    pub(super) fn shared_sweeps(&mut self) -> io::Result<()> {
        let middle = self.middle();
        let by_gateways =
            sweep_points(&self.sizes.gateways, |gateways| Size { gateways, ..middle });
        let most_gateways = by_gateways.last().map_or(0, |point| point.1.gateways);
        let most_tasks = TASKS_ALWAYS.max((most_gateways as f64 / TASKS_PART) as u32);
        let by_tasks = |tasks: &[u32]| -> Vec<SweepPoint> {
            tasks
                .iter()
                .map(|&tasks| (f64::from(tasks), middle))
                .collect()
        };
        let lease_tasks: Vec<u32> = TASKS
            .into_iter()
            .filter(|tasks| *tasks <= most_tasks)
            .collect();
        self.sweep(Axis::Gateways, &by_gateways, Self::measure_shared)?;
        self.sweep(Axis::Gateways, &by_gateways, Self::leases_by_gateways)?;
        self.sweep(Axis::Tasks, &by_tasks(&lease_tasks), Self::leases_by_tasks)?;
        self.sweep(
            Axis::Tasks,
            &by_tasks(&CORE_TASKS),
            Self::measure_lease_core,
        )?;
        self.sweep(
            Axis::Keepers,
            &VOTER_COUNTS.map(|voters| (voters as f64, middle)),
            Self::claims_by_voters,
        )?;
        self.sweep(
            Axis::Keyed,
            &KEYED.map(|keyed| (keyed as f64, middle)),
            Self::claims_by_requests,
        )?;
        let is_measured =
            |entries: &usize| *entries <= ENTRIES_ALWAYS || most_gateways >= NEAR_TARGET;
        let entry_counts: Vec<usize> = ENTRY_COUNTS.into_iter().filter(is_measured).collect();
        let entry_counts = sweep_points(&entry_counts, |_| middle);
        self.sweep(Axis::Held, &entry_counts, Self::measure_votes)?;
        self.sweep(Axis::Held, &entry_counts, Self::measure_transfers)
    }

    fn measure_transfers(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        for _ in self.seeds() {
            let transfer = replication::transfer(point.0 as u64);
            for (figure, value) in [
                (
                    figure(Source::Hollow, "transfer.bytes", "bytes"),
                    transfer.bytes as f64,
                ),
                (
                    figure(Source::Hollow, "transfer.lasts", "ms"),
                    transfer.lasts as f64 / 1e3,
                ),
                (
                    figure(Source::Hollow, "transfer.time", "ms"),
                    transfer.time.as_secs_f64() * 1e3,
                ),
            ] {
                self.add(figure, axis, point, value);
            }
            if transfer.entries != point.0 as u64 {
                self.outcome.add_violation(
                    "replicas agree",
                    format!("{transfer:?}, expected {} entries", point.0),
                );
            }
        }
        Ok(())
    }

    fn measure_lease_core(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        for _ in self.seeds() {
            let core = replication::measure_lease_core(point.0 as u32);
            let renewal = figure(Source::Hollow, "lease.renewal.time", "us");
            self.add(renewal, axis, point, core.micros_per_renewal);
            self.add(
                figure(Source::Hollow, "lease.look.time", "us"),
                axis,
                point,
                core.micros_per_timer_call,
            );
        }
        Ok(())
    }

    fn leases_by_gateways(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        self.measure_leases(axis, point, (point.1.gateways, FEW_TASKS))
    }

    fn leases_by_tasks(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let gateways = (point.0 / ENGINES_A_GATEWAY).round() as usize;
        self.measure_leases(axis, point, (gateways, point.0 as u32))
    }

    fn measure_votes(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        for _ in self.seeds() {
            let micros = replication::micros_per_vote(point.0 as u64);
            self.add(
                figure(Source::Hollow, "keeper.vote.time", "us a claim"),
                axis,
                point,
                micros,
            );
        }
        Ok(())
    }

    fn measure_shared(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let gateways = point.1.gateways;
        self.measure_claims(axis, point, (gateways, VOTER_COUNTS[0], KEYED[0]));
        for _ in self.seeds() {
            let beats = replication::heartbeats(gateways, HEARTBEATS);
            let links = gateways as f64;
            for (figure, value) in [
                (
                    figure(Source::Hollow, "keeper.heartbeat.bytes", "bytes/s"),
                    links * beats.bytes_per_second,
                ),
                (
                    figure(Source::Hollow, "keeper.heartbeat.messages", "1/s"),
                    links * beats.messages_per_second,
                ),
                (
                    figure(Source::Hollow, "keeper.heartbeat.time", "us/s"),
                    links * beats.time_per_second.as_secs_f64() * 1e6,
                ),
            ] {
                self.add(figure, axis, point, value);
            }
        }
        Ok(())
    }

    /// Runs the repeats in parallel. Each depends on its seed only, so the results are the same as
    /// one after the other.
    fn run_in_parallel<T: Send>(&self, simulate: impl Fn(u64) -> T + Sync) -> Vec<T> {
        std::thread::scope(|scope| {
            let simulate = &simulate;
            let threads: Vec<_> = self
                .seeds()
                .map(|seed| scope.spawn(move || simulate(seed)))
                .collect();
            let join = |thread: ScopedJoinHandle<'_, T>| {
                thread.join().unwrap_or_else(|panic| resume_unwind(panic))
            };
            threads.into_iter().map(join).collect()
        })
    }

    fn measure_leases(
        &mut self,
        axis: Axis,
        point: SweepPoint,
        (gateways, tasks): (usize, u32),
    ) -> io::Result<()> {
        let simulate =
            |seed| replication::leases(gateways, VOTER_COUNTS[0], tasks, LOST_ONE_OF, seed);
        for leases in self.run_in_parallel(simulate) {
            for (name, unit, value) in [
                ("lease.messages", "1/s", leases.messages_a_second),
                ("lease.lost_for", "ms", leases.lost_for_ms as f64),
                ("lease.noticed", "ms", leases.noticed_ms as f64),
                ("lease.vote", "ms", leases.vote_ms as f64),
                ("lease.first_work", "ms", leases.first_work_ms as f64),
                (
                    "lease.lapsed",
                    "a hundred tasks a second",
                    leases.lapsed_rate,
                ),
                (
                    "lease.voted_again",
                    "part of lost tasks",
                    leases.voted_again_share,
                ),
                ("lease.late", "tasks over 6 s", leases.owned_late as f64),
            ] {
                self.add(figure(Source::Simulated, name, unit), axis, point, value);
            }
            if leases.stale_applied + leases.two_owners > 0 {
                self.outcome
                    .add_violation("one owner", format!("{leases:?} with {gateways} gateways"));
            }
        }
        Ok(())
    }

    fn claims_by_voters(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let size = (self.gateways_of_claims(), point.0 as usize, KEYED[0]);
        self.measure_claims(axis, point, size);
        Ok(())
    }

    fn claims_by_requests(&mut self, axis: Axis, point: SweepPoint) -> io::Result<()> {
        let size = (self.gateways_of_claims(), VOTER_COUNTS[0], point.0 as usize);
        self.measure_claims(axis, point, size);
        Ok(())
    }

    /// Number of gateways for sweeps over claims: more than the voters, whatever sizes are given.
    fn gateways_of_claims(&self) -> usize {
        self.sizes.gateways[0].max(VOTER_COUNTS[VOTER_COUNTS.len() - 1] + 1)
    }

    fn measure_claims(
        &mut self,
        axis: Axis,
        point: SweepPoint,
        (gateways, voters, keyed): (usize, usize, usize),
    ) {
        let gateways = gateways.max(voters + 1);
        let simulate = |seed| replication::claims(gateways, voters, keyed, seed);
        for claims in self.run_in_parallel(simulate) {
            for (figure, value) in [
                (
                    figure(Source::Simulated, "claim.messages", "a request"),
                    claims.messages_a_request,
                ),
                (
                    figure(Source::Simulated, "claim.bytes", "bytes a request"),
                    claims.bytes_a_request,
                ),
                (
                    figure(Source::Simulated, "claim.held", "entries a request/s"),
                    claims.held_a_rate,
                ),
            ] {
                self.add(figure, axis, point, value);
            }
            if claims.effects_twice + claims.differ + claims.unanswered > 0 {
                self.outcome.add_violation(
                    "replicas agree",
                    format!("{claims:?} with {gateways} gateways"),
                );
            }
        }
    }
}
