//! Names of the figures in an engine's load report.

use eideryard::interface::LoadReport;

/// Sets the figure of a load report that engines report under `name`, which is one of the names
/// listed in the setting `report.fields`. Unknown names are ignored.
pub fn set_reported_value(report: &mut LoadReport, name: &str, value: f64) {
    let figure = match name {
        "concurrent" => &mut report.in_flight,
        "depth" => &mut report.waiting_for_memory,
        "load_share" => &mut report.cores_busy,
        "x0" => &mut report.memory_granted,
        "x1" => &mut report.disks_busy,
        _ => return,
    };
    *figure = Some(value);
}
