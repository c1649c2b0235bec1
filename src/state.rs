//! What a gateway remembers of requests, engines and traffic, and the hash that all gateways share.
//! Nothing here decides anything: `src/balancer` does.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Off its best by less, an engine's stretch counts as settled.
const SETTLED: f64 = 1e-9;
/// A queue in front of an engine is never held to be shorter than at this stretch.
const MIN_STRETCH: f64 = 0.5;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) entry: Endpoint, // The engine as it was listed then
    pub(crate) sent_at: Micros, // When its first byte went out, as far as the host has told
    pub(crate) state: State,
    pub(crate) cancelled: bool,
    pub(crate) erred: bool,
}

#[derive(Default)]
pub(crate) struct Held {
    pub(crate) req: Request,
    pub(crate) work: f64, // Corrected estimates: work of all threads, time on an idle engine, memory
    pub(crate) ideal: f64,
    pub(crate) memory: f64,
    pub(crate) due: Micros, // The aim, from arrival on; the order in which held requests leave
    pub(crate) end_by: Micros, // Before this time it must be ended
    pub(crate) priority_weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
    pub(crate) grant: f64, // What it was last granted and ranked
    pub(crate) rank: Option<u8>,
    pub(crate) asked: Vec<EngineId>, // Engines asked for a report on its behalf, and when
    pub(crate) asked_at: Micros,
}

impl Held {
    /// The engines that made an error of it.
    pub(crate) fn erred_at(&self) -> impl Iterator<Item = EngineId> + use<'_> {
        self.attempts
            .iter()
            .filter(|a| a.erred)
            .map(|a| a.entry.engine)
    }

    /// What may have run: scope and since when, of its attempts and of those before it came here.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = PriorAttempt> + use<'_> {
        let own = self.attempts.iter().filter(|a| a.state != State::NeverRan);
        let own = own.map(|a| PriorAttempt {
            zone: a.entry.zone,
            cell: a.entry.cell,
            since: a.sent_at,
        });
        own.chain(self.req.prior_attempts.iter().copied())
    }

    pub(crate) fn erred_at_several(&self) -> bool {
        self.erred_at()
            .any(|engine| Some(engine) != self.erred_at().next())
    }
}

/// What an attempt that is out is charged with on its engine.
pub(crate) struct Charge {
    pub(crate) class: usize,
    pub(crate) group: u64,
    pub(crate) memory: f64,
    pub(crate) threads: f64,
    pub(crate) ideal: f64,
    pub(crate) sent_at: Micros,
    pub(crate) waited: bool,
    /// At the last note: time since it was sent, and how much of its ideal time that brought it
    /// forward.
    pub(crate) noted: Option<(f64, f64)>,
}

#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: Endpoint,
    pub(crate) listed: bool,
    pub(crate) cold_until: Micros,
    pub(crate) cold_sends: VecDeque<(Micros, f64, RequestId)>,
    pub(crate) out: BTreeMap<(RequestId, usize), Charge>,
    pub(crate) threads: f64,
    pub(crate) memory: f64,
    pub(crate) width: f64, // Factor on the starting room and thread bound
    pub(crate) spent: f64, // Decaying sums of time spent and of ideal time: their ratio is the stretch
    pub(crate) ideal: f64,
    pub(crate) stretch_at: Micros,
    pub(crate) slowdown: f64,
    pub(crate) best_slowdown: f64,
    pub(crate) pressed_until: Micros,
    pub(crate) vouched_until: Micros, // A report counted so few threads that latency shows no pressure
    /// Threads of others' queries by the last report, when that came, and when a probe was last
    /// sent.
    pub(crate) foreign_load: f64,
    pub(crate) reported_at: Micros,
    pub(crate) asked_at: Micros,
    pub(crate) bad: f64,
    pub(crate) doubts: i32, // Errors there of requests that are not over: whose fault they are is open
    pub(crate) quarantined_until: Micros,
    pub(crate) strikes: i32,
    pub(crate) probation: u32,
    pub(crate) silent: bool,
    pub(crate) lost_connection: bool,
    /// Groups that somebody's load was last told to hold there, and when.
    pub(crate) loading: BTreeMap<u64, Micros>,
    pub(crate) last_heard: Micros,
}

impl Engine {
    pub(crate) fn new(entry: Endpoint) -> Self {
        Engine {
            entry,
            listed: true,
            width: 1.0,
            best_slowdown: 1.0,
            slowdown: 1.0,
            ..Default::default()
        }
    }

    pub(crate) fn lesson(&self) -> EngineEstimates {
        EngineEstimates {
            engine: self.entry.engine,
            booted_at: self.entry.booted_at,
            slowdown: self.slowdown,
            best_slowdown: self.best_slowdown,
            bad: self.bad,
            foreign_load: self.foreign_load,
        }
    }

    /// A send that never came about.
    pub(crate) fn uncount(&mut self, id: RequestId, sent_at: Micros) {
        self.cold_sends
            .retain(|sent| (sent.0, sent.2) != (sent_at, id));
    }

    pub(crate) fn open(&self) -> bool {
        self.listed && self.entry.phase == Phase::Ready
    }

    /// Times longer than alone that work takes there.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowdown.max(MIN_STRETCH)
    }

    /// Time alone changes nothing of it: it holds no work, is warm and well, and what it showed has
    /// faded.
    pub(crate) fn rests(&self, now: Micros) -> bool {
        let idle = self.out.is_empty() && self.cold_sends.is_empty() && self.loading.is_empty();
        let well = self.listed && self.probation == 0 && now >= self.cold_until;
        idle && well && self.ideal <= 1.0 && (self.slowdown - self.best_slowdown).abs() < SETTLED
    }

    pub(crate) fn tally(&mut self) {
        self.threads = self.out.values().map(|charge| charge.threads).sum();
        self.memory = self.out.values().map(|charge| charge.memory).sum();
    }
}

/// What outcomes taught about a class.
#[derive(Clone, Copy)]
pub(crate) struct Learned {
    pub(crate) work_ratio: f64,
    pub(crate) memory_ratio: f64,
    pub(crate) work: f64, // Mean corrected work of requests taken, 0 before the first
    pub(crate) memory: Option<f64>,
}

impl Learned {
    pub(crate) fn lesson(&self) -> ClassEstimates {
        let Learned {
            work_ratio,
            memory_ratio,
            work,
            memory,
        } = *self;
        ClassEstimates {
            work_ratio,
            memory_ratio,
            work,
            memory_mb: memory,
        }
    }
}

/// What was taken: decayed means of work, time on an idle engine, that times memory, time between
/// arrivals, and each group's decayed count, with the arrivals at which it was last counted.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) arrivals: f64,
    pub(crate) last: Micros,
    pub(crate) gap: f64,
    pub(crate) work: f64,
    pub(crate) ideal: f64,
    pub(crate) hold: f64,
    pub(crate) groups: BTreeMap<u64, (f64, f64)>,
    /// Threads a core that engines hold by what reports say, and whether reports count queries.
    pub(crate) baseline_load: f64,
    pub(crate) counted: bool,
    pub(crate) heard: bool,
    /// Share of bad outcomes among all.
    pub(crate) fleet_bad: f64,
    /// Probes and further draws that may still be made.
    pub(crate) probes: f64,
    pub(crate) redraws: f64,
    /// When requests were taken and further attempts sent, as far back as the budget looks.
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) further: VecDeque<Micros>,
}

impl Traffic {
    /// A further attempt that never came about.
    pub(crate) fn uncount_further(&mut self, attempt: usize, sent_at: Micros) {
        let place = self
            .further
            .iter()
            .rposition(|own| *own == sent_at)
            .filter(|_| attempt > 0);
        place.map(|place| self.further.remove(place));
    }

    /// What lies so far back that no budget looks at it.
    pub(crate) fn forget(&mut self, since: Micros) {
        self.taken.retain(|&at| at >= since);
        self.further.retain(|&at| at >= since);
    }
}

/// A number from 0 to 1 that looks drawn by chance.
pub(crate) fn chance(value: u64) -> f64 {
    (mix(value) >> 11) as f64 / (1u64 << 53) as f64
}

/// A fixed mixing of bits, the same on every gateway.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
