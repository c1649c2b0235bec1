//! Settings as pairs and as nested JSON, and errors that name the key.

use eideryard::interface::Effect;
use eideryard_settings::{read_host_settings, read_settings, SettingsError, SettingsTree};
use serde_json::json;

const PAIRS: &str = "az=1 discovery=push extra.bills=true extra.class-waits=false,true extra.is-load=true,false \
    extra.kind-cores=12,8 extra.kind-memory-mb=24576.0,16384.0 extra.largest-share=0.4 \
    extra.note-period-us=500000 extra.threads-by-class=1,2 grades.count=2 grades.0.aim-stretch=1.5 \
    grades.0.aim-us=800000 grades.0.deadline-us=4000000 grades.0.group=all grades.0.name=lookup \
    grades.0.repeat=token grades.0.window-us=5000000 grades.0.kinds-only=0 grades.1.aim-us=1500000 \
    grades.1.deadline-us=15000000 grades.1.name=report grades.1.repeat=pure grades.1.value=7.5 \
    kinds=node-12,node-8 limits.conn-idle-us=30000000 limits.dial-timeout-us=250000 limits.max-attempts=4 \
    limits.may-cancel=false limits.probes=true limits.streams-per-conn=100 orgs.count=1 orgs.0.name=reefer \
    orgs.0.quota-rps=99.0 peers-total=3 rules.fall-multiple=2.0 rules.further-ratio=0.1 rules.spare-attempts=5 \
    rules.ratio-span-us=1000000 tick-us=5000 zones=hall-1,hall-2";

fn pairs() -> SettingsTree {
    SettingsTree::from_pairs(
        PAIRS
            .split_whitespace()
            .map(|pair| pair.split_once('=').unwrap()),
    )
}

fn nested() -> serde_json::Value {
    json!({
        "az": 1, "discovery": "push", "kinds": ["node-12", "node-8"], "zones": ["hall-1", "hall-2"],
        "peers-total": 3, "tick-us": 5000,
        "extra": {"bills": true, "class-waits": [false, true], "is-load": [true, false], "kind-cores": [12, 8],
                  "kind-memory-mb": [24576.0, 16384.0], "largest-share": 0.4, "note-period-us": 500000,
                  "threads-by-class": [1, 2]},
        "grades": [
            {"aim-stretch": 1.5, "aim-us": 800000, "deadline-us": 4000000, "group": "all", "name": "lookup",
             "repeat": "token", "window-us": 5000000.0, "kinds-only": [0]},
            {"aim-us": 1500000, "deadline-us": 15000000, "name": "report", "repeat": "pure", "value": 7.5}
        ],
        "limits": {"conn-idle-us": 30000000, "dial-timeout-us": 250000, "max-attempts": 4, "may-cancel": false,
                   "probes": true, "streams-per-conn": 100},
        "orgs": [{"name": "reefer", "quota-rps": 99.0}],
        "rules": {"fall-multiple": 2.0, "further-ratio": 0.1, "spare-attempts": 5, "ratio-span-us": 1000000}
    })
}

#[test]
fn pairs_and_nested_json_give_the_same_settings() {
    let (flat, nested) = (pairs(), SettingsTree::from_json(&nested()));
    assert_eq!(
        format!("{:?}", read_settings(&flat).unwrap()),
        format!("{:?}", read_settings(&nested).unwrap())
    );
    assert_eq!(
        read_host_settings(&flat).unwrap(),
        read_host_settings(&nested).unwrap()
    );
}

#[test]
fn keys_set_their_fields() {
    let settings = read_settings(&pairs()).unwrap();
    assert_eq!(
        (
            settings.zone,
            settings.peers,
            settings.tick,
            settings.max_attempts
        ),
        (1, 3.0, 5000, 4)
    );
    assert!(
        settings.classes[0].is_load
            && settings.classes[0].effect == Effect::IdempotentWithKey
            && settings.classes[1].waits_for_load
    );
    assert_eq!(
        (
            settings.classes[0].kinds_only.as_deref(),
            settings.classes[1].threads
        ),
        (Some(&[0][..]), 2.0)
    );
    assert_eq!(
        (settings.kinds[1].cores, settings.kinds[1].memory_mb),
        (8.0, 16384.0)
    );
    let host = read_host_settings(&pairs()).unwrap();
    assert_eq!(
        (host.longest_wait, host.dial_timeout, host.max_streams),
        (15_000_000, 250_000, 100)
    );
    assert_eq!(
        (host.classes[1].as_str(), host.tenants[0].as_str()),
        ("report", "reefer")
    );
}

#[test]
fn machine_kinds_may_be_given_by_name() {
    let mut named = nested();
    named["grades"][0]["kinds-only"] = json!(["node-8"]);
    assert_eq!(
        read_settings(&SettingsTree::from_json(&named))
            .unwrap()
            .classes[0]
            .kinds_only,
        Some(vec![1])
    );
}

#[test]
fn errors_name_the_key_that_is_invalid_or_missing() {
    let error_with = |path: &str, value: serde_json::Value| {
        let mut tree = nested();
        *tree.pointer_mut(path).unwrap() = value;
        read_settings(&SettingsTree::from_json(&tree))
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        error_with("/tick-us", json!("soon")),
        "setting 'tick-us' has the value 'soon', which is not valid"
    );
    assert_eq!(
        error_with("/tick-us", json!(1.5)),
        "setting 'tick-us' has the value '1.5', which is not valid"
    );
    assert!(error_with("/az", json!(-1)).contains("'az'"));
    assert!(error_with("/limits/may-cancel", json!("maybe")).contains("'limits.may-cancel'"));
    assert!(error_with("/grades/0/kinds-only", json!(["node-9"])).contains("'grades.0.kinds-only'"));
    assert!(error_with("/extra/kind-cores", json!(["many", 8])).contains("'extra.kind-cores'"));
    let error = read_host_settings(&SettingsTree::default()).unwrap_err();
    assert_eq!(
        error,
        SettingsError::Missing {
            key: "grades".into()
        }
    );
    let mut without_limits = nested();
    without_limits["limits"] = json!({});
    let error = read_host_settings(&SettingsTree::from_json(&without_limits))
        .unwrap_err()
        .to_string();
    assert_eq!(error, "setting 'limits.dial-timeout-us' is missing");
    let mut without_tenant_name = nested();
    without_tenant_name["orgs"][0] = json!({"quota-rps": 5});
    assert_eq!(
        read_host_settings(&SettingsTree::from_json(&without_tenant_name))
            .unwrap_err()
            .to_string(),
        "setting 'orgs.0.name' is missing"
    );
}
