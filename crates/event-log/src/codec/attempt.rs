//! Encodes progress reports from attempts, ends of attempts, probes and load reports within events
//! of the decision module.

use eideryard::interface::{
    AttemptEnded, LoadReport, Outcome, ProbeEnded, Progress, ResourceUsage,
};

use super::primitives::{value_at, Decoder, Encoder};
use super::{kind, DecodeError, Decoded};

/// All outcomes. The log stores an outcome as its index in this array.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Answered,
    Outcome::Error,
    Outcome::AtCapacity,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Broken,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The byte of an ended attempt consists of the outcome in the low four bits and flags above them.
const OUTCOME_MASK: u8 = 15;
const COMPLETE_FLAG: u8 = 1 << 4;
const ALREADY_REPORTED_FLAG: u8 = 1 << 5;
const USAGE_FLAG: u8 = 1 << 6;

/// Values of the byte that precedes a progress report and states its kind.
const PROGRESS_SHARE: u8 = 0;
const PROGRESS_SPILLING: u8 = 1;
const PROGRESS_WAITS_FOR_MEMORY: u8 = 2;
const PROGRESS_WAITS_FOR_LOAD: u8 = 3;

impl Encoder<'_> {
    pub(super) fn put_progress(&mut self, progress: &Progress) {
        match progress {
            Progress::Share(share) => {
                self.put_byte(PROGRESS_SHARE);
                self.put_float(*share);
            }
            Progress::Spilling(missing_mb) => {
                self.put_byte(PROGRESS_SPILLING);
                self.put_float(*missing_mb);
            }
            Progress::WaitsForMemory => self.put_byte(PROGRESS_WAITS_FOR_MEMORY),
            Progress::WaitsForLoad => self.put_byte(PROGRESS_WAITS_FOR_LOAD),
        }
    }

    pub(super) fn put_attempt_ended(&mut self, ended: &AttemptEnded) -> u8 {
        let mut flags = outcome_number(ended.outcome);
        if ended.is_request_complete {
            flags |= COMPLETE_FLAG;
        }
        if ended.is_already_reported {
            flags |= ALREADY_REPORTED_FLAG;
        }
        if ended.usage.is_some() {
            flags |= USAGE_FLAG;
        }
        self.put_request(ended.request);
        self.put_index(ended.attempt);
        self.put_byte(flags);
        self.put_varint(ended.spent);
        if let Some(usage) = &ended.usage {
            self.put_float(usage.work);
            self.put_float(usage.memory_mb);
        }
        self.put_load_report(ended.report.as_ref());
        kind::ATTEMPT_ENDED
    }

    pub(super) fn put_probed(&mut self, probed: &ProbeEnded) -> u8 {
        self.put_engine(probed.engine);
        self.put_byte(outcome_number(probed.outcome));
        self.put_load_report(probed.report.as_ref());
        kind::PROBED
    }

    fn put_load_report(&mut self, report: Option<&LoadReport>) {
        self.put_flag(report.is_some());
        if let Some(report) = report {
            self.put_optional_floats(&[
                report.in_flight,
                report.waiting_for_memory,
                report.cores_busy,
                report.memory_granted,
                report.disks_busy,
            ]);
        }
    }
}

fn outcome_number(outcome: Outcome) -> u8 {
    let position = OUTCOMES.iter().position(|known| *known == outcome);
    position.unwrap_or_default() as u8
}

impl Decoder<'_> {
    pub(super) fn read_progress(&mut self) -> Decoded<Progress> {
        match self.read_byte()? {
            PROGRESS_SHARE => Ok(Progress::Share(self.read_float()?)),
            PROGRESS_SPILLING => Ok(Progress::Spilling(self.read_float()?)),
            PROGRESS_WAITS_FOR_MEMORY => Ok(Progress::WaitsForMemory),
            PROGRESS_WAITS_FOR_LOAD => Ok(Progress::WaitsForLoad),
            _ => Err(DecodeError::ValueOutOfRange),
        }
    }

    pub(super) fn read_attempt_ended(&mut self) -> Decoded<AttemptEnded> {
        let request = self.read_request()?;
        let attempt = self.read_index()?;
        let flags = self.read_byte()?;
        let outcome = value_at(&OUTCOMES, flags & OUTCOME_MASK)?;
        let spent = self.read_varint()?;
        let usage = if flags & USAGE_FLAG != 0 {
            Some(self.read_resource_usage()?)
        } else {
            None
        };
        Ok(AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete: flags & COMPLETE_FLAG != 0,
            is_already_reported: flags & ALREADY_REPORTED_FLAG != 0,
            usage,
            report: self.read_load_report()?,
        })
    }

    fn read_resource_usage(&mut self) -> Decoded<ResourceUsage> {
        Ok(ResourceUsage {
            work: self.read_float()?,
            memory_mb: self.read_float()?,
        })
    }

    pub(super) fn read_probed(&mut self) -> Decoded<ProbeEnded> {
        Ok(ProbeEnded {
            engine: self.read_engine()?,
            outcome: self.read_one_of(&OUTCOMES)?,
            report: self.read_load_report()?,
        })
    }

    fn read_load_report(&mut self) -> Decoded<Option<LoadReport>> {
        if !self.read_flag()? {
            return Ok(None);
        }
        let [in_flight, waiting_for_memory, cores_busy, memory_granted, disks_busy] =
            self.read_optional_floats()?;
        Ok(Some(LoadReport {
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        }))
    }
}
