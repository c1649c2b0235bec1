//! Sweeps over what gateways share: claims, heartbeats and leases, in simulated fleets of the
//! shipped cores.

use std::io;
use std::panic::resume_unwind;
use std::thread::ScopedJoinHandle;

use eideryard_leases::MAX_TASKS;

use super::measure::{Axis, Figure, Size, Source};
use super::replication;
use super::run::{places, Place, Run};
use super::sizes::ENGINES_A_GATEWAY;

const KEEPERS: [usize; 3] = [3, 5, 7];
/// Keyed requests of the simulated fleet within its 20 s.
const KEYED: [usize; 3] = [200, 400, 800];
/// Tasks of the simulated fleets with leases, as many as the target has engines for so many
/// gateways. They look at every task every few milliseconds, so the time they take grows with the
/// square of their size.
const TASKS: [u32; 5] = [24, 48, 96, 192, 384];
/// So many tasks are played in any run, more only where its fleet has so many times as many
/// gateways.
const TASKS_ALWAYS: u32 = 96;
const TASKS_PART: f64 = 4.0;
/// Tasks where the gateways of a fleet with leases vary.
const FEW_TASKS: u32 = 64;
/// Tasks at the core of one gateway; the last are all that it may know.
const CORE_TASKS: [u32; 4] = [64, 512, 2_048, MAX_TASKS as u32];
/// One of so many gateways is lost in the simulated fleet with leases.
const LOST_ONE_OF: usize = 7;
const HEARTBEATS: u64 = 20;
/// Entries that a voter holds; the last are those of 1% keyed requests at the target, and are
/// played where the run's fleet is near to it in size.
const HELD: [usize; 4] = [1_000, 10_000, 40_000, 84_000];
const HELD_ALWAYS: usize = 40_000;
const NEAR_TARGET: usize = 1_000;

const fn figure(source: Source, name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source }
}

impl Run<'_> {
    /// All of them.
    pub(super) fn shared_sweeps(&mut self) -> io::Result<()> {
        let middle = self.middle();
        let by_gateways = places(&self.sizes.gateways, |gateways| Size { gateways, ..middle });
        let most = by_gateways.last().map_or(0, |place| place.1.gateways);
        let most_tasks = TASKS_ALWAYS.max((most as f64 / TASKS_PART) as u32);
        let by_tasks = |tasks: &[u32]| -> Vec<Place> {
            tasks
                .iter()
                .map(|&tasks| (f64::from(tasks), middle))
                .collect()
        };
        let leased: Vec<u32> = TASKS.into_iter().filter(|own| *own <= most_tasks).collect();
        self.sweep(Axis::Gateways, &by_gateways, Self::shared)?;
        self.sweep(Axis::Gateways, &by_gateways, Self::leases_by_gateways)?;
        self.sweep(Axis::Tasks, &by_tasks(&leased), Self::leases_by_tasks)?;
        self.sweep(Axis::Tasks, &by_tasks(&CORE_TASKS), Self::lease_core)?;
        self.sweep(
            Axis::Keepers,
            &KEEPERS.map(|keepers| (keepers as f64, middle)),
            Self::claims_by_keepers,
        )?;
        self.sweep(
            Axis::Keyed,
            &KEYED.map(|keyed| (keyed as f64, middle)),
            Self::claims_by_requests,
        )?;
        let played = |held: &usize| *held <= HELD_ALWAYS || most >= NEAR_TARGET;
        let held: Vec<usize> = HELD.into_iter().filter(played).collect();
        let held = places(&held, |_| middle);
        self.sweep(Axis::Held, &held, Self::votes)?;
        self.sweep(Axis::Held, &held, Self::transfers)
    }

    fn transfers(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for _ in self.seeds() {
            let transfer = replication::transfer(place.0 as u64);
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
                self.add(figure, axis, place, value);
            }
            if transfer.entries != place.0 as u64 {
                self.outcome.add_violation(
                    "replicas agree",
                    format!("{transfer:?} of {} entries", place.0),
                );
            }
        }
        Ok(())
    }

    fn lease_core(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for _ in self.seeds() {
            let core = replication::lease_core(place.0 as u32);
            let renewal = figure(Source::Hollow, "lease.renewal.time", "us");
            self.add(renewal, axis, place, core.micros_a_renewal);
            self.add(
                figure(Source::Hollow, "lease.look.time", "us"),
                axis,
                place,
                core.micros_a_look,
            );
        }
        Ok(())
    }

    fn leases_by_gateways(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        self.leases(axis, place, (place.1.gateways, FEW_TASKS))
    }

    fn leases_by_tasks(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let gateways = (place.0 / ENGINES_A_GATEWAY).round() as usize;
        self.leases(axis, place, (gateways, place.0 as u32))
    }

    fn votes(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for _ in self.seeds() {
            let micros = replication::micros_a_vote(place.0 as u64);
            self.add(
                figure(Source::Hollow, "keeper.vote.time", "us a claim"),
                axis,
                place,
                micros,
            );
        }
        Ok(())
    }

    fn shared(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let gateways = place.1.gateways;
        self.claims(axis, place, (gateways, KEEPERS[0], KEYED[0]));
        for _ in self.seeds() {
            let beats = replication::heartbeats(gateways, HEARTBEATS);
            let links = gateways as f64;
            for (figure, value) in [
                (
                    figure(Source::Hollow, "keeper.heartbeat.bytes", "bytes/s"),
                    links * beats.bytes_a_second,
                ),
                (
                    figure(Source::Hollow, "keeper.heartbeat.messages", "1/s"),
                    links * beats.messages_a_second,
                ),
                (
                    figure(Source::Hollow, "keeper.heartbeat.time", "us/s"),
                    links * beats.time_a_second.as_secs_f64() * 1e6,
                ),
            ] {
                self.add(figure, axis, place, value);
            }
        }
        Ok(())
    }

    /// Counts of simulated fleets come of their seeds alone, so the repeats are played side by
    /// side.
    fn side_by_side<T: Send>(&self, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
        std::thread::scope(|scope| {
            let play = &play;
            let threads: Vec<_> = self
                .seeds()
                .map(|seed| scope.spawn(move || play(seed)))
                .collect();
            let joined = |thread: ScopedJoinHandle<'_, T>| {
                thread.join().unwrap_or_else(|panic| resume_unwind(panic))
            };
            threads.into_iter().map(joined).collect()
        })
    }

    fn leases(
        &mut self,
        axis: Axis,
        place: Place,
        (gateways, tasks): (usize, u32),
    ) -> io::Result<()> {
        let play = |seed| replication::leases(gateways, KEEPERS[0], tasks, LOST_ONE_OF, seed);
        for leases in self.side_by_side(play) {
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
                self.add(figure(Source::Simulated, name, unit), axis, place, value);
            }
            if leases.stale_applied + leases.two_owners > 0 {
                self.outcome
                    .add_violation("one owner", format!("{leases:?} with {gateways} gateways"));
            }
        }
        Ok(())
    }

    fn claims_by_keepers(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = (self.gateways_of_claims(), place.0 as usize, KEYED[0]);
        self.claims(axis, place, size);
        Ok(())
    }

    fn claims_by_requests(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = (self.gateways_of_claims(), KEEPERS[0], place.0 as usize);
        self.claims(axis, place, size);
        Ok(())
    }

    /// Enough to hold more than the keepers, whatever sizes are asked for.
    fn gateways_of_claims(&self) -> usize {
        self.sizes.gateways[0].max(KEEPERS[KEEPERS.len() - 1] + 1)
    }

    fn claims(
        &mut self,
        axis: Axis,
        place: Place,
        (gateways, keepers, keyed): (usize, usize, usize),
    ) {
        let gateways = gateways.max(keepers + 1);
        let play = |seed| replication::claims(gateways, keepers, keyed, seed);
        for claims in self.side_by_side(play) {
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
                self.add(figure, axis, place, value);
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
