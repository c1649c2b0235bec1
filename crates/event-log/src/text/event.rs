//! Events of the decision module as text.

use std::fmt::{self, Debug, Formatter};

use eideryard::interface::{
    AttemptEnded, ClassEstimates, Endpoint, EngineEstimates, Event, LearnedState, LoadReport,
    PriorAttempt, ProbeEnded, Progress, Request, ResourceUsage,
};

use super::names::{outcome_name, phase_name};
use super::{write_struct, write_tuple, Bare};

pub(super) struct EventText<'a>(pub &'a Event);

impl Debug for EventText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Event::CheckpointRestored { learned, age } => {
                let learned = LearnedStateText(learned);
                write_struct(f, "Remembered", &[("lessons", &learned), ("age", age)])
            }
            Event::EndpointSnapshot(endpoints) => {
                write_tuple(f, "FullList", &EndpointsText(endpoints))
            }
            Event::EndpointChanges(endpoints) => {
                write_tuple(f, "ListChanges", &EndpointsText(endpoints))
            }
            Event::DiscoveryFailed => f.write_str("ListFailed"),
            Event::Arrived(request) => write_tuple(f, "Arrived", &RequestText(request)),
            Event::PriorAttempts {
                request,
                prior_attempts,
            } => {
                let attempts = PriorAttemptsText(prior_attempts);
                write_struct(
                    f,
                    "RanBefore",
                    &[("request", request), ("earlier", &attempts)],
                )
            }
            Event::StreamBegan { request } => {
                write_struct(f, "StreamBegan", &[("request", request)])
            }
            Event::ProgressReported {
                request,
                attempt,
                progress,
            } => {
                let note = ProgressText(progress);
                let fields: [(&str, &dyn Debug); 3] =
                    [("request", request), ("attempt", attempt), ("note", &note)];
                write_struct(f, "Noted", &fields)
            }
            Event::AttemptEnded(ended) => write_tuple(f, "Ended", &AttemptEndedText(ended)),
            Event::ProbeEnded(probed) => write_tuple(f, "Probed", &ProbeEndedText(probed)),
            Event::ClientLeft { request } => write_struct(f, "ClientLeft", &[("request", request)]),
            Event::Timer { tag } => write_struct(f, "Timer", &[("tag", tag)]),
        }
    }
}

// ---- Endpoints ----

struct EndpointsText<'a>(&'a [Endpoint]);

impl Debug for EndpointsText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let endpoints = self.0.iter().map(EndpointText);
        f.debug_list().entries(endpoints).finish()
    }
}

struct EndpointText<'a>(&'a Endpoint);

impl Debug for EndpointText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let endpoint = self.0;
        f.debug_struct("Entry")
            .field("engine", &endpoint.engine)
            .field("zone", &endpoint.zone)
            .field("kind", &endpoint.kind)
            .field("cell", &endpoint.cell)
            .field("phase", &Bare(phase_name(endpoint.phase)))
            .field("booted_at", &endpoint.booted_at)
            .finish()
    }
}

// ---- Restored checkpoints ----

struct LearnedStateText<'a>(&'a LearnedState);

impl Debug for LearnedStateText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let classes: Vec<ClassText<'_>> = self.0.classes.iter().map(ClassText).collect();
        let engines: Vec<EngineText<'_>> = self.0.engines.iter().map(EngineText).collect();
        f.debug_struct("Lessons")
            .field("classes", &classes)
            .field("engines", &engines)
            .field("level", &self.0.baseline_load)
            .finish()
    }
}

struct ClassText<'a>(&'a ClassEstimates);

impl Debug for ClassText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let class = self.0;
        f.debug_struct("ClassLesson")
            .field("work_ratio", &class.work_ratio)
            .field("memory_ratio", &class.memory_ratio)
            .field("work", &class.work)
            .field("memory_mb", &class.memory_mb)
            .finish()
    }
}

struct EngineText<'a>(&'a EngineEstimates);

impl Debug for EngineText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let engine = self.0;
        f.debug_struct("EngineLesson")
            .field("engine", &engine.engine)
            .field("booted_at", &engine.booted_at)
            .field("stretch", &engine.slowdown)
            .field("best", &engine.best_slowdown)
            .field("bad", &engine.bad_outcome_share)
            .field("others", &engine.foreign_load)
            .finish()
    }
}

// ---- Requests ----

struct RequestText<'a>(&'a Request);

impl Debug for RequestText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let request = self.0;
        f.debug_struct("Request")
            .field("id", &request.id)
            .field("class", &request.class)
            .field("tenant", &request.tenant)
            .field("key", &request.key)
            .field("deadline", &request.deadline)
            .field("work", &request.work)
            .field("memory_mb", &request.memory_mb)
            .field("group", &request.group)
            .field("earlier", &PriorAttemptsText(&request.prior_attempts))
            .finish()
    }
}

struct PriorAttemptsText<'a>(&'a [PriorAttempt]);

impl Debug for PriorAttemptsText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let attempts = self.0.iter().map(PriorAttemptText);
        f.debug_list().entries(attempts).finish()
    }
}

struct PriorAttemptText<'a>(&'a PriorAttempt);

impl Debug for PriorAttemptText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let attempt = self.0;
        f.debug_struct("Earlier")
            .field("zone", &attempt.zone)
            .field("cell", &attempt.cell)
            .field("since", &attempt.since)
            .finish()
    }
}

// ---- Attempts and probes ----

struct ProgressText<'a>(&'a Progress);

impl Debug for ProgressText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Progress::Share(share) => write_tuple(f, "Progress", share),
            Progress::Spilling(missing_mb) => write_tuple(f, "Spilling", missing_mb),
            Progress::WaitsForMemory => f.write_str("WaitsForMemory"),
            Progress::WaitsForLoad => f.write_str("WaitsForLoad"),
        }
    }
}

struct AttemptEndedText<'a>(&'a AttemptEnded);

impl Debug for AttemptEndedText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ended = self.0;
        f.debug_struct("Ended")
            .field("request", &ended.request)
            .field("attempt", &ended.attempt)
            .field("outcome", &Bare(outcome_name(ended.outcome)))
            .field("spent", &ended.spent)
            .field("complete", &ended.is_request_complete)
            .field("told", &ended.is_already_reported)
            .field("bill", &ended.usage.as_ref().map(ResourceUsageText))
            .field("report", &ended.report.as_ref().map(LoadReportText))
            .finish()
    }
}

struct ResourceUsageText<'a>(&'a ResourceUsage);

impl Debug for ResourceUsageText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let usage = self.0;
        f.debug_struct("Bill")
            .field("work", &usage.work)
            .field("memory_mb", &usage.memory_mb)
            .finish()
    }
}

struct LoadReportText<'a>(&'a LoadReport);

impl Debug for LoadReportText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        f.debug_struct("LoadReport")
            .field("in_flight", &report.in_flight)
            .field("waiting_for_memory", &report.waiting_for_memory)
            .field("cores_busy", &report.cores_busy)
            .field("memory_granted", &report.memory_granted)
            .field("disks_busy", &report.disks_busy)
            .finish()
    }
}

struct ProbeEndedText<'a>(&'a ProbeEnded);

impl Debug for ProbeEndedText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let probed = self.0;
        f.debug_struct("Probed")
            .field("engine", &probed.engine)
            .field("outcome", &Bare(outcome_name(probed.outcome)))
            .field("report", &probed.report.as_ref().map(LoadReportText))
            .finish()
    }
}
