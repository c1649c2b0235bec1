//! Encodes events of the decision module.

use eideryard::interface::{
    ClassEstimates, Endpoint, EngineEstimates, Event, LearnedState, Micros, Phase, PriorAttempt,
    Request,
};

use super::primitives::{Decoder, Encoder};
use super::{kind, DecodeError, Decoded, MAX_ITEMS};
use crate::totals::MAX_GROUPS;

/// Maximum number of engines in a restored checkpoint.
const MAX_LEARNED_ENGINES: usize = 4096;
/// Maximum number of prior attempts in one entry.
const MAX_PRIOR_ATTEMPTS: usize = 64;
/// All phases. The log stores a phase as its index in this array.
const PHASES: [Phase; 3] = [Phase::Ready, Phase::Draining, Phase::Removed];

/// Appends an event's content and returns its kind.
pub(super) fn encode(encoder: &mut Encoder<'_>, event: &Event) -> u8 {
    match event {
        Event::EndpointSnapshot(endpoints) => {
            encoder.put_endpoints(endpoints);
            kind::ENDPOINT_SNAPSHOT
        }
        Event::EndpointChanges(endpoints) => {
            encoder.put_endpoints(endpoints);
            kind::ENDPOINT_CHANGES
        }
        Event::DiscoveryFailed => kind::DISCOVERY_FAILED,
        Event::CheckpointRestored { learned, age } => {
            encoder.put_checkpoint_restored(learned, *age)
        }
        Event::PriorAttempts {
            request,
            prior_attempts,
        } => {
            encoder.put_request(*request);
            encoder.put_prior_attempts(prior_attempts);
            kind::PRIOR_ATTEMPTS
        }
        Event::Arrived(request) => encoder.put_arrived(request),
        Event::StreamBegan { request } => {
            encoder.put_request(*request);
            kind::STREAM_BEGAN
        }
        Event::ProgressReported {
            request,
            attempt,
            progress,
        } => {
            encoder.put_request(*request);
            encoder.put_index(*attempt);
            encoder.put_progress(progress);
            kind::PROGRESS_REPORTED
        }
        Event::AttemptEnded(ended) => encoder.put_attempt_ended(ended),
        Event::ProbeEnded(probed) => encoder.put_probed(probed),
        Event::ClientLeft { request } => {
            encoder.put_request(*request);
            kind::CLIENT_LEFT
        }
        Event::Timer { tag } => {
            encoder.put_timer_tag(*tag);
            kind::TIMER
        }
    }
}

/// Decodes the content of an event of this kind.
pub(super) fn decode(decoder: &mut Decoder<'_>, kind: u8) -> Decoded<Event> {
    Ok(match kind {
        kind::ENDPOINT_SNAPSHOT => Event::EndpointSnapshot(decoder.read_endpoints()?),
        kind::ENDPOINT_CHANGES => Event::EndpointChanges(decoder.read_endpoints()?),
        kind::DISCOVERY_FAILED => Event::DiscoveryFailed,
        kind::CHECKPOINT_RESTORED => decoder.read_checkpoint_restored()?,
        kind::ARRIVED => Event::Arrived(decoder.read_arrived()?),
        kind::ARRIVED_WITH_PRIOR_ATTEMPTS => {
            let mut request = decoder.read_arrived()?;
            request.prior_attempts = decoder.read_prior_attempts()?;
            Event::Arrived(request)
        }
        kind::PRIOR_ATTEMPTS => Event::PriorAttempts {
            request: decoder.read_request()?,
            prior_attempts: decoder.read_prior_attempts()?,
        },
        kind::STREAM_BEGAN => Event::StreamBegan {
            request: decoder.read_request()?,
        },
        kind::PROGRESS_REPORTED => Event::ProgressReported {
            request: decoder.read_request()?,
            attempt: decoder.read_index()?,
            progress: decoder.read_progress()?,
        },
        kind::ATTEMPT_ENDED => Event::AttemptEnded(decoder.read_attempt_ended()?),
        kind::PROBED => Event::ProbeEnded(decoder.read_probed()?),
        kind::CLIENT_LEFT => Event::ClientLeft {
            request: decoder.read_request()?,
        },
        kind::TIMER => Event::Timer {
            tag: decoder.read_timer_tag()?,
        },
        kind => return Err(DecodeError::UnknownKind(kind)),
    })
}

// ---- Endpoints ----

impl Encoder<'_> {
    fn put_endpoints(&mut self, endpoints: &[Endpoint]) {
        self.put_varint(endpoints.len() as u64);
        for endpoint in endpoints {
            self.put_engine(endpoint.engine);
            self.put_varint(u64::from(endpoint.zone));
            self.put_varint(u64::from(endpoint.kind));
            self.put_varint(u64::from(endpoint.cell));
            self.put_phase(endpoint.phase);
            self.put_varint(endpoint.booted_at);
        }
    }

    pub(super) fn put_phase(&mut self, phase: Phase) {
        self.put_byte(match phase {
            Phase::Ready => 0,
            Phase::Draining => 1,
            Phase::Removed => 2,
        });
    }
}

impl Decoder<'_> {
    fn read_endpoints(&mut self) -> Decoded<Vec<Endpoint>> {
        self.read_list(MAX_ITEMS, Self::read_endpoint)
    }

    fn read_endpoint(&mut self) -> Decoded<Endpoint> {
        Ok(Endpoint {
            engine: self.read_engine()?,
            zone: self.read_u32()?,
            kind: self.read_u32()?,
            cell: self.read_u32()?,
            phase: self.read_phase()?,
            booted_at: self.read_varint()?,
        })
    }

    pub(super) fn read_phase(&mut self) -> Decoded<Phase> {
        self.read_one_of(&PHASES)
    }
}

// ---- Restored checkpoints ----

impl Encoder<'_> {
    fn put_checkpoint_restored(&mut self, learned: &LearnedState, age: Micros) -> u8 {
        self.put_varint(age);
        self.put_varint(learned.classes.len() as u64);
        for class in &learned.classes {
            self.put_optional_floats(&[Some(class.work_ratio), Some(class.memory_ratio)]);
            self.put_optional_floats(&[Some(class.work), class.memory_mb]);
        }
        self.put_varint(learned.engines.len() as u64);
        for engine in &learned.engines {
            self.put_varint(u64::from(engine.engine));
            self.put_varint(engine.booted_at);
            self.put_optional_floats(&[Some(engine.slowdown), Some(engine.best_slowdown)]);
            self.put_optional_floats(&[Some(engine.bad_outcome_share), Some(engine.foreign_load)]);
        }
        self.put_float(learned.baseline_load);
        kind::CHECKPOINT_RESTORED
    }
}

impl Decoder<'_> {
    fn read_checkpoint_restored(&mut self) -> Decoded<Event> {
        let age = self.read_varint()?;
        let learned = LearnedState {
            classes: self.read_list(MAX_GROUPS, Self::read_class_estimates)?,
            engines: self.read_list(MAX_LEARNED_ENGINES, Self::read_engine_estimates)?,
            baseline_load: self.read_float()?,
        };
        Ok(Event::CheckpointRestored { learned, age })
    }

    fn read_class_estimates(&mut self) -> Decoded<ClassEstimates> {
        let [work_ratio, memory_ratio] = self.read_floats_or_zero()?;
        let [work, memory_mb] = self.read_optional_floats()?;
        Ok(ClassEstimates {
            work_ratio,
            memory_ratio,
            work: work.unwrap_or_default(),
            memory_mb,
        })
    }

    fn read_engine_estimates(&mut self) -> Decoded<EngineEstimates> {
        let engine = self.read_u32_truncated()?;
        let booted_at = self.read_varint()?;
        let [slowdown, best_slowdown] = self.read_floats_or_zero()?;
        let [bad_outcome_share, foreign_load] = self.read_floats_or_zero()?;
        Ok(EngineEstimates {
            engine,
            booted_at,
            slowdown,
            best_slowdown,
            bad_outcome_share,
            foreign_load,
        })
    }
}

// ---- Requests ----

impl Encoder<'_> {
    fn put_arrived(&mut self, request: &Request) -> u8 {
        self.put_request(request.id);
        self.put_index(request.class);
        self.put_index(request.tenant);
        self.put_time_after(request.deadline);
        self.put_optional_floats(&[request.work, request.memory_mb]);
        self.put_varint(request.group);
        self.put_text(request.key.as_deref().unwrap_or(""));
        if request.prior_attempts.is_empty() {
            return kind::ARRIVED;
        }
        self.put_prior_attempts(&request.prior_attempts);
        kind::ARRIVED_WITH_PRIOR_ATTEMPTS
    }

    fn put_prior_attempts(&mut self, attempts: &[PriorAttempt]) {
        self.put_varint(attempts.len() as u64);
        for attempt in attempts {
            self.put_varint(u64::from(attempt.zone));
            self.put_varint(u64::from(attempt.cell));
            self.put_varint(attempt.since);
        }
    }
}

impl Decoder<'_> {
    /// Reads a request without its prior attempts.
    fn read_arrived(&mut self) -> Decoded<Request> {
        let id = self.read_request()?;
        let class = self.read_index()?;
        let tenant = self.read_index()?;
        let deadline = self.read_time_after()?;
        let [work, memory_mb] = self.read_optional_floats()?;
        let group = self.read_varint()?;
        let key = Some(self.read_text()?).filter(|key| !key.is_empty());
        Ok(Request {
            id,
            class,
            tenant,
            key,
            deadline,
            work,
            memory_mb,
            group,
            prior_attempts: Vec::new(),
        })
    }

    fn read_prior_attempts(&mut self) -> Decoded<Vec<PriorAttempt>> {
        self.read_list(MAX_PRIOR_ATTEMPTS, Self::read_prior_attempt)
    }

    fn read_prior_attempt(&mut self) -> Decoded<PriorAttempt> {
        Ok(PriorAttempt {
            zone: self.read_u32_truncated()?,
            cell: self.read_u32_truncated()?,
            since: self.read_varint()?,
        })
    }
}
