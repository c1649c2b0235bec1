//! The names in the settings to which requests and endpoints refer, and the limits on the fields of
//! a request.

use eideryard::interface::{Effect, MachineKind, Settings};
use eideryard_settings::HostSettings;

/// A request is rejected if its work estimate exceeds the work that the largest engine can do in
/// the longest wait by more than this factor, or its memory estimate exceeds that engine's memory
/// by more than this factor.
const MAX_ESTIMATE_FACTOR: f64 = 100.0;
/// A request is rejected if its wait exceeds the longest wait in the settings by more than this
/// factor.
const MAX_WAIT_FACTOR: f64 = 2.0;
/// The longest wait, in microseconds, if the settings contain none: a day.
const DEFAULT_WAIT_US: f64 = 86_400e6;
/// The memory of the largest engine, in MB, if the settings contain none: a terabyte.
const DEFAULT_MEMORY_MB: f64 = 1e6;

/// The names in the settings, each at the index by which the balancer refers to it, and limits that
/// are derived from the settings.
pub struct Names {
    pub classes: Vec<String>,
    /// Whether requests of a class must have an idempotency key, by the class's index.
    pub(super) requires_key: Vec<bool>,
    pub(super) tenants: Vec<String>,
    pub zones: Vec<String>,
    /// Machine kinds of engines.
    pub kinds: Vec<String>,
    /// The number of threads that a query runs on, by the class's index.
    pub(super) threads: Vec<f64>,
    /// The maximum wait of a request, in microseconds.
    pub(super) max_wait: f64,
    /// The maximum work estimate of a request, in core-microseconds.
    pub(super) max_work: f64,
    /// The maximum memory estimate of a request, in MB.
    pub(super) max_memory_mb: f64,
}

impl Names {
    /// Collects the names from the settings of the balancer and of the gateway process.
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

    /// Returns the names as the event log stores them.
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

/// Returns a setting, or `default` if the setting is not a positive finite number.
fn positive_or(value: f64, default: f64) -> f64 {
    if value > 0.0 && value.is_finite() {
        value
    } else {
        default
    }
}

/// Returns the index of a name in a list; `None` if the list doesn't contain it.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}
