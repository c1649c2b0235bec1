//! A scale run: sweeps over one quantity at a time, then over engines and gateways in proportion, each with
//! the greatest point predicted before it is measured.

use std::io;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use super::decisions::{self, Cost};
use super::fit::{self, Prediction};
use super::measure::{Axis, Collected, Figure, Series, Size, Source};
use super::processes::{Fleet, Sample};
use super::sizes::Sizes;
use super::{checks, discovery, replication};

/// Engines for each gateway, as the target has them.
pub const ENGINES_A_GATEWAY: f64 = 2.4;
/// Probed decisions are dear: one in so many hollow gateways plays them.
const PROBED_PART: usize = 4;
const KEEPERS: [usize; 3] = [3, 5, 7];
/// Keyed requests of the simulated fleet within its 20 s.
const KEYED: [usize; 3] = [200, 400, 800];
/// Gateways of the simulated fleets with leases. They look at every task every few milliseconds, so the time
/// that they take grows with the square of their size.
const LEASED: [usize; 4] = [10, 20, 40, 80];
/// One of so many gateways is lost in the simulated fleet with leases.
const LOST_ONE_OF: usize = 7;
const HEARTBEATS: u64 = 20;

/// Something that was counted and must not be.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// What was counted.
    pub what: String,
}

/// A prediction of one figure.
#[derive(Clone, Debug, Serialize)]
pub struct Predicted {
    /// The figure.
    pub name: &'static str,
    /// What varies.
    pub axis: Axis,
    /// The prediction and what came of it.
    #[serde(flatten)]
    pub prediction: Prediction,
}

/// All that a run measured.
#[derive(Default)]
pub struct Outcome {
    /// Figures.
    pub collected: Collected,
    /// Predictions, each made before its point was measured.
    pub predictions: Vec<Predicted>,
    /// What must not be.
    pub broken: Vec<Broken>,
    /// Requests of all gateways.
    pub requests: u64,
    /// Those without an end.
    pub unanswered: u64,
}

type Place = (f64, Size);

const fn figure(source: Source, name: &'static str, unit: &'static str) -> Figure {
    Figure { name, unit, source }
}

/// Plays everything; `predicted` is handed each prediction before its point is measured.
pub struct Run<'a> {
    /// What is played.
    pub sizes: &'a Sizes,
    /// The program for real gateways; without it there are none.
    pub program: Option<&'a Path>,
    /// Is handed name, axis, size and value of a prediction.
    pub predicted: &'a mut dyn FnMut(&str, Axis, f64, f64),
    /// What was measured so far.
    pub outcome: Outcome,
}

fn ascending<T: Copy + PartialOrd>(values: &[T]) -> Vec<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    sorted.dedup_by(|a, b| a == b);
    sorted
}

fn places(counts: &[usize], size: impl Fn(usize) -> Size) -> Vec<Place> {
    ascending(counts).into_iter().map(|count| (count as f64, size(count))).collect()
}

fn in_proportion(engines: usize) -> usize {
    ((engines as f64 / ENGINES_A_GATEWAY).round() as usize).max(1)
}

impl Run<'_> {
    /// Plays all sweeps and checks the counts.
    pub fn play(mut self) -> io::Result<Outcome> {
        let middle = self.middle();
        let sizes = self.sizes;
        let by_engines =
            places(&sizes.engines, |engines| Size { engines, gateways: in_proportion(engines), ..middle });
        let by_gateways = places(&sizes.gateways, |gateways| Size { gateways, ..middle });
        let by_clients = places(&sizes.clients, |clients| Size { clients, ..middle });
        let by_rate: Vec<Place> =
            ascending(&sizes.rate).into_iter().map(|rate| (rate, Size { rate, ..middle })).collect();
        self.sweep(Axis::Gateways, &by_gateways, Self::hollow_by_gateways)?;
        self.sweep(Axis::Rate, &by_rate, Self::hollow)?;
        self.sweep(Axis::Gateways, &by_gateways, Self::shared)?;
        let most = by_gateways.last().map_or(0, |place| place.1.gateways);
        let leased: Vec<usize> = LEASED.into_iter().filter(|gateways| *gateways <= most).collect();
        let leased = places(&leased, |gateways| Size { gateways, ..middle });
        self.sweep(Axis::Gateways, &leased, Self::leases)?;
        self.sweep(Axis::Keepers, &KEEPERS.map(|keepers| (keepers as f64, middle)), Self::keepers)?;
        self.sweep(Axis::Keyed, &KEYED.map(|keyed| (keyed as f64, middle)), Self::keyed)?;
        if self.program.is_some() {
            self.sweep(Axis::Rate, &by_rate, Self::real_requests)?;
            self.sweep(Axis::Clients, &by_clients, Self::real_clients)?;
            self.sweep(Axis::Engines, &by_engines, Self::real_lists)?;
        }
        self.sweep(Axis::Engines, &by_engines, Self::lists)?;
        self.sweep(Axis::Engines, &by_engines, Self::hollow_in_proportion)?;
        checks::counts(&mut self.outcome);
        Ok(self.outcome)
    }

    /// The size from which one quantity at a time is varied.
    fn middle(&self) -> Size {
        let engines = ascending(&self.sizes.engines);
        let engines = engines[engines.len() / 2];
        let rate = self.sizes.rate.iter().copied().fold(0.0, f64::max);
        Size { gateways: in_proportion(engines), engines, clients: 0, rate }
    }

    /// Measures places from the least to the greatest, and predicts the last from the others first.
    fn sweep(
        &mut self,
        axis: Axis,
        places: &[Place],
        measure: fn(&mut Self, Axis, Place) -> io::Result<()>,
    ) -> io::Result<()> {
        let Some((last, first)) = places.split_last() else { return Ok(()) };
        for place in first {
            measure(self, axis, *place)?;
        }
        let before_last = first.last().map(|place| place.0);
        let ended_there =
            |own: &&Series| own.axis == axis && own.points.last().map(|point| point.at) == before_last;
        let series: Vec<Series> = self.outcome.collected.series.iter().filter(ended_there).cloned().collect();
        for own in series.iter().filter(|own| own.points.len() > 1) {
            if let Some(slope) = fit::slope(&own.points) {
                (self.predicted)(own.name, axis, last.0, slope.value(last.0));
            }
        }
        measure(self, axis, *last)?;
        let names: Vec<&'static str> = series.iter().map(|own| own.name).collect();
        for name in names {
            let series = self.outcome.collected.find(name, axis);
            let prediction = series.and_then(fit::prediction);
            self.outcome.predictions.extend(prediction.map(|prediction| Predicted {
                name,
                axis,
                prediction,
            }));
        }
        Ok(())
    }

    fn add(&mut self, figure: Figure, axis: Axis, place: Place, value: f64) {
        self.outcome.collected.add(figure, axis, place, value);
    }

    fn seeds(&self) -> impl Iterator<Item = u64> {
        let first = self.sizes.seed;
        (0..self.sizes.repeats as u64).map(move |repeat| first.wrapping_add(repeat << 20))
    }

    fn fleet(&self, size: Size, seed: u64) -> decisions::Fleet {
        let hollow = self.sizes.hollow.min(size.gateways);
        let Size { gateways, engines, rate, .. } = size;
        decisions::Fleet { gateways, engines, hollow, rate, overloaded: false, probed: false, seed }
    }

    /// Gateways share the same requests, however many there are.
    fn hollow_by_gateways(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let middle = self.middle();
        let rate = middle.rate * middle.gateways as f64 / place.1.gateways as f64;
        self.hollow(axis, (place.0, Size { rate: rate.min(middle.rate), ..place.1 }))
    }

    fn hollow(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for seed in self.seeds() {
            let cost = self.decisions(self.fleet(place.1, seed));
            self.add_decisions(["decision.visits", "decision.time"], axis, place, cost);
        }
        Ok(())
    }

    /// Fleets without subsets are no part of the others' slopes.
    fn add_decisions(&mut self, [visits, time]: [&'static str; 2], axis: Axis, place: Place, cost: Cost) {
        if place.1.gateways <= decisions::MOST_WITHOUT_SUBSETS {
            return;
        }
        let visited = figure(Source::Hollow, visits, "engines a request");
        self.add(visited, axis, place, cost.visits_a_request());
        self.add(figure(Source::Hollow, time, "us a request"), axis, place, cost.micros_a_request());
    }

    fn decisions(&mut self, fleet: decisions::Fleet) -> Cost {
        let cost = decisions::play(fleet);
        self.outcome.requests += cost.requests;
        self.outcome.unanswered += cost.unanswered;
        cost
    }

    fn hollow_in_proportion(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        self.hollow(axis, place)?;
        for seed in self.seeds() {
            let fleet = self.fleet(place.1, seed);
            let memory = figure(Source::Hollow, "module.memory", "bytes a gateway");
            self.add(memory, axis, place, decisions::idle(fleet).bytes_a_gateway());
            if place.1.gateways <= decisions::MOST_WITHOUT_SUBSETS {
                continue;
            }
            let held = self.decisions(decisions::Fleet { overloaded: true, ..fleet });
            self.add_decisions(["held.visits", "held.time"], axis, place, held);
            let hollow = (fleet.hollow / PROBED_PART).max(1);
            let probed = self.decisions(decisions::Fleet { probed: true, hollow, ..fleet });
            self.add_decisions(["probed.visits", "probed.time"], axis, place, probed);
        }
        Ok(())
    }

    fn lists(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        for seed in self.seeds() {
            let (whole, change) = discovery::play(self.fleet(place.1, seed), self.sizes.changes);
            let micros = |cost: discovery::Cost| (cost.read + cost.handled).as_secs_f64() * 1e6;
            for (figure, value) in [
                (figure(Source::Hollow, "list.whole.bytes", "bytes"), whole.bytes as f64),
                (figure(Source::Hollow, "list.whole.time", "us"), micros(whole)),
                (figure(Source::Hollow, "list.change.bytes", "bytes"), change.bytes as f64),
                (figure(Source::Hollow, "list.change.time", "us"), micros(change)),
            ] {
                self.add(figure, axis, place, value);
            }
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
                (figure(Source::Hollow, "keeper.heartbeat.bytes", "bytes/s"), links * beats.bytes_a_second),
                (figure(Source::Hollow, "keeper.heartbeat.messages", "1/s"), links * beats.messages_a_second),
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

    /// Counts of simulated fleets come of their seeds alone, so the repeats are played side by side.
    fn side_by_side<T: Send>(&self, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
        std::thread::scope(|scope| {
            let play = &play;
            let threads: Vec<_> = self.seeds().map(|seed| scope.spawn(move || play(seed))).collect();
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        })
    }

    fn leases(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let gateways = place.1.gateways;
        let tasks = (gateways as f64 * ENGINES_A_GATEWAY) as u32;
        let play = |seed| replication::leases(gateways, KEEPERS[0], tasks, LOST_ONE_OF, seed);
        for leases in self.side_by_side(play) {
            let messages = figure(Source::Simulated, "lease.messages", "1/s");
            self.add(messages, axis, place, leases.messages_a_second);
            let again = figure(Source::Simulated, "lease.again", "ms");
            self.add(again, axis, place, leases.owned_again_ms as f64);
            if leases.stale_applied + leases.two_owners > 0 {
                self.outcome.broken("one owner", format!("{leases:?} with {gateways} gateways"));
            }
        }
        Ok(())
    }

    fn keepers(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = (self.gateways_of_claims(), place.0 as usize, KEYED[0]);
        self.claims(axis, place, size);
        Ok(())
    }

    fn keyed(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let size = (self.gateways_of_claims(), KEEPERS[0], place.0 as usize);
        self.claims(axis, place, size);
        Ok(())
    }

    /// Enough to hold more than the keepers, whatever sizes are asked for.
    fn gateways_of_claims(&self) -> usize {
        self.sizes.gateways[0].max(KEEPERS[KEEPERS.len() - 1] + 1)
    }

    fn claims(&mut self, axis: Axis, place: Place, (gateways, keepers, keyed): (usize, usize, usize)) {
        let gateways = gateways.max(keepers + 1);
        let play = |seed| replication::claims(gateways, keepers, keyed, seed);
        for claims in self.side_by_side(play) {
            for (figure, value) in [
                (figure(Source::Simulated, "claim.messages", "a request"), claims.messages_a_request),
                (figure(Source::Simulated, "claim.bytes", "bytes a request"), claims.bytes_a_request),
                (figure(Source::Simulated, "claim.held", "entries a request/s"), claims.held_a_rate),
            ] {
                self.add(figure, axis, place, value);
            }
            if claims.effects_twice + claims.differ + claims.unanswered > 0 {
                self.outcome.broken("replicas agree", format!("{claims:?} with {gateways} gateways"));
            }
        }
    }

    fn real(&mut self, size: Size) -> io::Result<Option<Fleet>> {
        let Some(program) = self.program else { return Ok(None) };
        Fleet::start(program, self.sizes.real.min(size.gateways).max(1), size).map(Some)
    }

    fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.sizes.seconds)
    }

    fn samples(&mut self, axis: Axis, place: Place, samples: &[Sample]) {
        for sample in samples {
            let micros = figure(Source::Real, "process.request", "us a request");
            self.add(micros, axis, place, sample.micros_a_request);
            let bytes = figure(Source::Real, "process.memory", "bytes");
            self.add(bytes, axis, place, sample.resident_bytes);
            self.outcome.requests += sample.answers.asked;
            self.outcome.unanswered += sample.answers.unanswered;
            if sample.answers.refused > 0 {
                self.outcome.broken("served", format!("{:?} at {:?}", sample.answers, place.1));
            }
        }
    }

    fn end(&mut self, fleet: Fleet) -> io::Result<()> {
        for name in fleet.end()? {
            self.outcome.broken("no crash", format!("gateway {name} ended by itself or had to be killed"));
        }
        Ok(())
    }

    fn real_requests(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.real(place.1)? else { return Ok(()) };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        self.end(fleet)
    }

    fn real_clients(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(fleet) = self.real(place.1)? else { return Ok(()) };
        let gateways = self.sizes.gateways_with_clients();
        let resting = fleet.rest(gateways, place.1.clients)?;
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples[..gateways.min(samples.len())]);
        drop(resting);
        self.end(fleet)
    }

    fn real_lists(&mut self, axis: Axis, place: Place) -> io::Result<()> {
        let Some(mut fleet) = self.real(place.1)? else { return Ok(()) };
        let samples = fleet.ask(place.1.rate, self.lasts())?;
        self.samples(axis, place, &samples);
        for control in fleet.control(self.sizes.changes, self.lasts())? {
            for (figure, value) in [
                (figure(Source::Real, "process.idle", "part of a core"), control.idle_share),
                (figure(Source::Real, "process.change", "us"), control.micros_a_change),
                (figure(Source::Real, "process.list", "us"), control.micros_a_whole_list),
                (figure(Source::Real, "process.start", "us"), control.micros_to_start),
            ] {
                self.add(figure, axis, place, value);
            }
        }
        self.end(fleet)
    }
}
