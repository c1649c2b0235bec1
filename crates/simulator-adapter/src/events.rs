//! Parses lines of the protocol into events of the balancer.

use eideryard::interface::{
    AttemptEnded, Event, LoadReport, Outcome, ProbeEnded, Progress, Request, RequestId,
    ResourceUsage,
};
use eideryard_settings::set_reported_value;

use crate::error::AdapterError;
use crate::line::Line;
use crate::lists::EndpointLists;

/// Bit of the field `options` that marks the work estimate of a request as valid.
const HAS_WORK_ESTIMATE: u64 = 1;
/// Value of the field `level` in a progress report from a query that is waiting for a load of its
/// table group.
const WAITS_FOR_LOAD_LEVEL: f64 = 2.0;
/// The field `stats` is the work in milliseconds multiplied by this, plus the memory in units of
/// `USAGE_MEMORY_UNIT_MB`.
const USAGE_WORK_UNIT: u64 = 4096;
/// Unit of the memory in `stats`, in megabytes.
const USAGE_MEMORY_UNIT_MB: f64 = 4.0;

/// Returns whether lines with this verb report an event to one gateway.
pub fn is_event(verb: &str) -> bool {
    matches!(
        verb,
        "MEMBERS"
            | "CALL"
            | "ACK_FIRST"
            | "HINT_UPDATE"
            | "FINISHED"
            | "TIMED_OUT_CLIENT"
            | "ELAPSED"
            | "PROBE_DONE"
            | "PEER"
    )
}

/// Returns the event that a line reports; `None` if the balancer doesn't use it.
pub fn parse_event(line: &Line<'_>, lists: &EndpointLists) -> Result<Option<Event>, AdapterError> {
    let event = match line.verb {
        "MEMBERS" => parse_endpoints(line, lists)?,
        "CALL" => Event::Arrived(parse_request(line)?),
        "ACK_FIRST" => Event::StreamBegan {
            request: line.required("call")?,
        },
        "HINT_UPDATE" => return parse_progress(line),
        "FINISHED" => Event::AttemptEnded(parse_attempt_ended(line)?),
        "PROBE_DONE" => Event::ProbeEnded(ProbeEnded {
            engine: line.required("engine")?,
            outcome: parse_outcome(line)?,
            report: parse_load_report(line)?,
        }),
        "TIMED_OUT_CLIENT" => Event::ClientLeft {
            request: line.required("call")?,
        },
        "ELAPSED" => Event::Timer {
            tag: line.required("tag")?,
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn parse_endpoints(line: &Line<'_>, lists: &EndpointLists) -> Result<Event, AdapterError> {
    let mode = line.required::<u32>("mode")?;
    match mode {
        3 => return Ok(Event::DiscoveryFailed),
        0..=2 => {}
        _ => return Err(line.unknown_value("mode", &mode)),
    }
    let endpoints = lists.get(line.required("ref")?)?.to_vec();
    if mode == 2 {
        Ok(Event::EndpointChanges(endpoints))
    } else {
        Ok(Event::EndpointSnapshot(endpoints))
    }
}

fn parse_request(line: &Line<'_>) -> Result<Request, AdapterError> {
    let options: u64 = line.value_or("options", 0)?;
    let work: f64 = line.value_or("cost-us", 0.0)?;
    let memory_mb: f64 = line.value_or("ram-mb", 0.0)?;
    let has_work = options & HAS_WORK_ESTIMATE != 0 && work > 0.0;
    Ok(Request {
        id: line.required("call")?,
        class: line.required("kind")?,
        tenant: line.value_or("org", 0)?,
        key: line.text("key").map(str::to_string),
        deadline: line.required("client-deadline-us")?,
        work: has_work.then_some(work),
        memory_mb: (memory_mb > 0.0).then_some(memory_mb),
        group: line.value_or("schema-no", 0.0)? as u64,
        prior_attempts: Vec::new(),
    })
}

fn parse_progress(line: &Line<'_>) -> Result<Option<Event>, AdapterError> {
    let level: f64 = line.value_or("level", 0.0)?;
    let progress = match line.required::<u32>("what")? {
        1 => Progress::Share(level),
        2 => Progress::Spilling(level),
        3 if level == WAITS_FOR_LOAD_LEVEL => Progress::WaitsForLoad,
        3 => Progress::WaitsForMemory,
        _ => return Ok(None),
    };
    Ok(Some(Event::ProgressReported {
        request: line.required::<RequestId>("call")?,
        attempt: line.required("send-no")?,
        progress,
    }))
}

fn parse_attempt_ended(line: &Line<'_>) -> Result<AttemptEnded, AdapterError> {
    Ok(AttemptEnded {
        request: line.required("call")?,
        attempt: line.required("send-no")?,
        outcome: parse_outcome(line)?,
        spent: line.value_or("spent-us", 0)?,
        is_request_complete: line.value_or("complete", 0u8)? != 0,
        is_already_reported: false,
        usage: line.optional("stats")?.and_then(parse_usage),
        report: parse_load_report(line)?,
    })
}

fn parse_outcome(line: &Line<'_>) -> Result<Outcome, AdapterError> {
    match line.required_text("rc")? {
        "delivered" => Ok(Outcome::Answered),
        "app_error" => Ok(Outcome::Error),
        "shed" => Ok(Outcome::AtCapacity),
        "expired" => Ok(Outcome::TimedOut),
        "dial_failed" => Ok(Outcome::NoConnection),
        "dropped" => Ok(Outcome::Broken),
        "revoked" => Ok(Outcome::Cancelled),
        "unused" => Ok(Outcome::NotSent),
        other => Err(line.unknown_value("outcome", &format!("'{other}'"))),
    }
}

/// Returns the resources that a query used; `None` if the field is 0, which means that the answer
/// doesn't report them.
fn parse_usage(field: u64) -> Option<ResourceUsage> {
    (field > 0).then_some(ResourceUsage {
        work: (field / USAGE_WORK_UNIT) as f64 * 1e3,
        memory_mb: (field % USAGE_WORK_UNIT) as f64 * USAGE_MEMORY_UNIT_MB,
    })
}

fn parse_load_report(line: &Line<'_>) -> Result<Option<LoadReport>, AdapterError> {
    let Some(text) = line.text("report") else {
        return Ok(None);
    };
    let mut report = LoadReport::default();
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let Some((name, value)) = part.split_once(':') else {
            return Err(AdapterError::MalformedReportValue {
                verb: line.verb.to_string(),
                part: part.to_string(),
            });
        };
        set_reported_value(&mut report, name, line.parse_value(name, value)?);
    }
    Ok(Some(report))
}
