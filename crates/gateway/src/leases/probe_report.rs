//! The encoding of an engine's load report, which the holder of the engine's probing lease sends to
//! all gateways.

use eideryard::interface::{LoadReport, Micros};
use serde::{Deserialize, Serialize};

/// The payload of a lease holder's work message. The order of fields is the format on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct ProbeReport {
    /// Sequence number, which increases with each report under one token. Since each voter forwards
    /// the report, receivers use this number to drop further copies.
    pub(super) number: u64,
    /// Microseconds between the engine's answer and the sending of the report.
    pub(super) age: Micros,
    /// The fields of [`LoadReport`] in the order of their declaration; `None` if the engine did not
    /// report the value.
    load: [Option<f64>; 5],
}

impl ProbeReport {
    /// Creates a report from an answer that an engine has just sent.
    pub(super) fn new(number: u64, report: &LoadReport) -> Self {
        ProbeReport {
            number,
            age: 0,
            load: [
                report.in_flight,
                report.waiting_for_memory,
                report.cores_busy,
                report.memory_granted,
                report.disks_busy,
            ],
        }
    }

    pub(super) fn load_report(&self) -> LoadReport {
        let [in_flight, waiting_for_memory, cores_busy, memory_granted, disks_busy] = self.load;
        LoadReport {
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        }
    }

    pub(super) fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; `None` if the bytes can't be decoded.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
