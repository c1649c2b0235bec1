//! An engine's load report as the owner of its probing sends it to all gateways.

use eideryard::interface::{LoadReport, Micros};
use serde::{Deserialize, Serialize};

/// The payload of an owner's work. The order of fields is the format on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct ProbeReport {
    /// Grows under one token: each voter passes the report on, and one copy counts.
    pub(super) number: u64,
    pub(super) age: Micros,
    /// The fields of [`LoadReport`], in order.
    load: [Option<f64>; 5],
}

impl ProbeReport {
    /// A report that an engine has just answered.
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

    /// Nothing if the bytes are no report.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
