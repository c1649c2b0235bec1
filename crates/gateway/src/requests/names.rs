//! Names of the settings that requests and endpoints refer to, and the bounds on what a request may
//! state.

use eideryard::interface::{Effect, MachineKind, Settings};
use eideryard_settings::HostSettings;

/// Estimates that exceed by this factor what the largest engine could do or hold are rejected.
const MAX_ESTIMATE_FACTOR: f64 = 100.0;
/// Waits that exceed by this factor the longest one that the settings know are rejected.
const MAX_WAIT_FACTOR: f64 = 2.0;
/// The longest wait, in microseconds, where the settings state none: a day.
const DEFAULT_WAIT_US: f64 = 86_400e6;
/// The largest memory of an engine where the settings state none: a terabyte.
const DEFAULT_MEMORY_MB: f64 = 1e6;

/// The names of the settings, each at the index by which the balancer knows it.
pub struct Names {
    pub classes: Vec<String>,
    /// Whether requests of each class must have an idempotency key.
    pub(super) requires_key: Vec<bool>,
    pub(super) tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub(super) threads: Vec<f64>,
    /// In microseconds.
    pub(super) max_wait: f64,
    /// In microseconds of work.
    pub(super) max_work: f64,
    pub(super) max_memory_mb: f64,
}

impl Names {
    /// The names in the settings of the balancer and of the process around it.
    pub fn new(settings: &Settings, host: &HostSettings) -> Self {
        let largest =
            |of: fn(&MachineKind) -> f64| settings.kinds.iter().map(of).fold(1.0, f64::max);
        let longest_wait = positive_or(host.longest_wait as f64, DEFAULT_WAIT_US);
        let largest_memory = positive_or(largest(|kind| kind.memory_mb), DEFAULT_MEMORY_MB);
        let classes = settings.classes.iter();
        let requires_key = classes.map(|class| class.effect == Effect::IdempotentWithKey);
        Names {
            max_wait: MAX_WAIT_FACTOR * longest_wait,
            max_work: MAX_ESTIMATE_FACTOR * longest_wait * largest(|kind| kind.cores),
            max_memory_mb: MAX_ESTIMATE_FACTOR * largest_memory,
            classes: host.classes.clone(),
            requires_key: requires_key.collect(),
            tenants: host.tenants.clone(),
            zones: host.zones.clone(),
            kinds: host.kinds.clone(),
            threads: settings.classes.iter().map(|class| class.threads).collect(),
        }
    }

    /// The same names for the event log.
    pub fn for_event_log(&self) -> eideryard_event_log::Names {
        eideryard_event_log::Names {
            classes: self.classes.clone(),
            tenants: self.tenants.clone(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            threads: self.threads.clone(),
        }
    }
}

/// A setting, or its default where the setting is no positive finite number.
fn positive_or(value: f64, default: f64) -> f64 {
    if value > 0.0 && value.is_finite() {
        value
    } else {
        default
    }
}

/// The index of a name in a list of them.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}
