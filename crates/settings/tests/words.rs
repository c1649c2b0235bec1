//! An invalid value of any key is reported under that key.

use eideryard_settings::{read_host_settings, read_settings, SettingsTree};

/// Keys of the balancer's settings whose values are numbers, Booleans or names of zones or kinds.
const BALANCER_KEYS: [&str; 39] = [
    "peers-total",
    "self-index",
    "az",
    "tick-us",
    "over-share-worth",
    "extra.note-period-us",
    "extra.largest-share",
    "extra.kind-cores",
    "extra.kind-memory-mb",
    "extra.threads-by-class",
    "extra.is-load",
    "extra.class-waits",
    "grades.count",
    "grades.0.aim-us",
    "grades.0.aim-stretch",
    "grades.0.deadline-us",
    "grades.0.value",
    "grades.0.window-us",
    "grades.0.sequential",
    "grades.0.zones-only",
    "grades.0.kinds-only",
    "limits.max-attempts",
    "limits.may-cancel",
    "limits.may-duplicate",
    "limits.probes",
    "limits.retry-after",
    "limits.max-retry-after-us",
    "orgs.count",
    "orgs.0.quota-rps",
    "rules.fall-multiple",
    "rules.fall-us",
    "rules.start-capacity",
    "rules.warm-within-us",
    "rules.order-pause-us",
    "rules.further-ratio",
    "rules.ratio-span-us",
    "rules.spare-attempts",
    "rules.ask-every-us",
    "tariffs.cross-zone",
];

/// Keys of settings that only a host with network connections needs. All values are numbers.
const HOST_KEYS: [&str; 3] = [
    "limits.dial-timeout-us",
    "limits.conn-idle-us",
    "limits.streams-per-conn",
];

/// A value that is neither a number nor a Boolean nor the name of a zone or kind.
const INVALID_VALUE: &str = "unusable";

/// Settings with one class, one tenant and a retry budget, in which `key` is set to `value`.
fn tree_with<'a>(key: &'a str, value: &'a str) -> SettingsTree {
    let plain = [
        ("grades.count", "1"),
        ("grades.0.name", "report"),
        ("orgs.count", "1"),
        ("orgs.0.name", "acme"),
        ("rules.further-ratio", "0.1"),
        ("limits.dial-timeout-us", "250000"),
    ];
    SettingsTree::from_pairs(plain.into_iter().chain([(key, value)]))
}

#[test]
fn invalid_value_is_reported_under_its_key() {
    let expected =
        |key: &str| format!("setting '{key}' has the value '{INVALID_VALUE}', which is not valid");
    for key in BALANCER_KEYS.into_iter().chain(["tariffs.probe"]) {
        let error = read_settings(&tree_with(key, INVALID_VALUE)).expect_err(key);
        assert_eq!(error.to_string(), expected(key));
    }
    for key in HOST_KEYS {
        let error = read_host_settings(&tree_with(key, INVALID_VALUE)).expect_err(key);
        assert_eq!(error.to_string(), expected(key));
    }
}
