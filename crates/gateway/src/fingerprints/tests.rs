//! Fingerprints, checkpoints and logged counters must stay as previous versions wrote them, or else
//! stored checkpoints are discarded, gateways of different versions reject each other, and scripts
//! break.

use super::*;
use crate::checkpoint::{from_bytes, to_bytes};
use crate::counter_text;
use crate::counters::Counters;
use eideryard::interface::{ClassEstimates, EngineEstimates, LearnedState};
use eideryard_emulators::golden;
use eideryard_settings::{read_settings, SettingsTree};

/// A configuration with a value for every setting.
const SETTINGS: &str = r#"{
    "az": 1, "discovery": "ask", "kinds": ["node-12", "node-8"], "zones": ["hall-1", "hall-2"],
    "peers-total": 3, "self-index": 2, "tick-us": 5000, "over-share-worth": 0.25,
    "tariffs": {"cross-zone": 0.02, "probe": 0.001},
    "report": {"fields": ["concurrent"], "source": "on_probe"},
    "extra": {"class-waits": [false, true, false], "is-load": [true, false, false], "kind-cores": [12, 8],
              "kind-memory-mb": [24576.0, 16384.0], "largest-share": 0.4, "note-period-us": 500000,
              "threads-by-class": [1, 2, 2]},
    "grades": [
        {"aim-stretch": 1.5, "aim-us": 800000, "deadline-us": 4000000, "group": "all", "name": "lookup",
         "repeat": "token", "window-us": 5000000.0, "kinds-only": [0], "zones-only": [0, 1]},
        {"aim-us": 1500000, "deadline-us": 15000000, "name": "report", "repeat": "pure", "group": "zone",
         "value": 7.5},
        {"aim-us": 1500000, "deadline-us": 9000000, "name": "load", "repeat": "side_effect",
         "sequential": true}
    ],
    "limits": {"max-attempts": 4, "may-cancel": true, "may-duplicate": true, "probes": true,
               "retry-after": true, "max-retry-after-us": 500000},
    "orgs": [{"name": "reefer", "quota-rps": 99.0}],
    "rules": {"fall-multiple": 2.0, "fall-us": 1000000, "start-capacity": 0.4, "warm-within-us": 15000000,
              "order-pause-us": 20000, "ask-every-us": 8000000, "further-ratio": 0.1, "spare-attempts": 5,
              "ratio-span-us": 1000000}
}"#;

fn all_settings() -> Settings {
    read_settings(&SettingsTree::from_json(
        &serde_json::from_str(SETTINGS).unwrap(),
    ))
    .unwrap()
}

#[test]
fn fingerprints_match_earlier_versions() {
    let all = all_settings();
    let empty = read_settings(&SettingsTree::from_json(&serde_json::json!({}))).unwrap();
    let text = format!(
        "settings {:016x}\nsettings without anything {:016x}\nclasses {:016x}\n",
        settings_fingerprint(&all),
        settings_fingerprint(&empty),
        classes_fingerprint(&all.classes)
    );
    golden::check("fingerprints.txt", text.as_bytes());
}

#[test]
fn checkpoint_is_written_and_read_as_in_earlier_versions() {
    let class = |memory_mb| ClassEstimates {
        work_ratio: 1.5,
        memory_ratio: 0.7,
        work: 9.0,
        memory_mb,
    };
    let engine = EngineEstimates {
        engine: 7,
        booted_at: 5,
        slowdown: 1.2,
        best_slowdown: 0.9,
        bad_outcome_share: 0.1,
        foreign_load: 3.0,
    };
    let learned = LearnedState {
        classes: vec![class(Some(3.0)), class(None)],
        engines: vec![engine],
        baseline_load: 0.5,
    };
    let fingerprint = settings_fingerprint(&all_settings());
    golden::check("checkpoint.bin", &to_bytes(&learned, 100, fingerprint));
    let stored = std::fs::read(golden::path("checkpoint.bin")).unwrap();
    assert_eq!(from_bytes(&stored, 130, fingerprint), Ok((learned, 30)));
}

#[test]
fn counters_are_formatted_as_in_earlier_versions() {
    let text = format!(
        "{}\n{}\n{}\n{}\n{}\n",
        Counters::default(),
        counter_text::format_intents(&crate::intent_durability::IntentCounters::default()),
        counter_text::format_result_spool(&crate::result_spool::ResultSpoolCounters::default()),
        counter_text::format_replication(&eideryard_replication::core::Counters::default()),
        counter_text::format_leases(&eideryard_leases::Counters::default()),
    );
    golden::check("counters.txt", text.as_bytes());
}
