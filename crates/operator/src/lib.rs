//! The operator's file: what an operator may set beside the platform's configuration. All directives stand in
//! [`TABLE`], from which the reference page is made. Without a file nothing changes.

use eideryard_lines::{table, Fault, Kind, Setting, Spec, Value};
use std::path::PathBuf;

const MB: u64 = 1 << 20;
const SECOND: u64 = 1_000_000;

pub const TABLE: &[Spec] = &[
    Spec::new(
        "record-dir",
        &[Kind::Path],
        "no record",
        "Directory of the event record; it is made where it is missing. Turns the record on.",
    ),
    Spec::new(
        "record-budget",
        &[Kind::Size { least: MB, most: 1 << 40 }],
        "256MB",
        "Bytes of all segments of this gateway together; the oldest go first.",
    ),
    Spec::new(
        "record-segment",
        &[Kind::Size { least: 64 << 10, most: 1 << 30 }],
        "8MB, a quarter of the budget at most",
        "A segment ends at this size. Reading can begin at each segment's start.",
    ),
    Spec::new(
        "record-segment-time",
        &[Kind::Time { least: SECOND, most: 86_400 * SECOND }],
        "10m",
        "A segment ends after this time, however small it is.",
    ),
    Spec::new(
        "log-level",
        &[Kind::Choice(&["error", "warn", "info", "debug", "trace"])],
        "info",
        "The least serious lines that are logged. `EIDERYARD_LOG` goes before it.",
    ),
    Spec::new(
        "log-target",
        &[Kind::Text, Kind::Choice(&["off", "error", "warn", "info", "debug", "trace"])],
        "as log-level",
        "Another level for one part of the program, by the target that its lines name.",
    )
    .many(),
    Spec::new(
        "log-format",
        &[Kind::Choice(&["text", "json"])],
        "text",
        "Lines of text, or one JSON object a line.",
    ),
];

#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub directory: PathBuf,
    pub budget: u64,
    pub segment: u64,
    /// In microseconds.
    pub segment_time: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    pub level: Option<String>,
    /// Other levels, by target.
    pub targets: Vec<(String, String)>,
    pub json: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub record: Option<Record>,
    pub log: Log,
}

impl Operator {
    /// From the file at a path and what it includes.
    pub fn from_file(path: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("operator's file {path}: {e}"))?;
        Self::read(path, &text).map_err(|e| e.to_string())
    }

    pub fn read(file: &str, text: &str) -> Result<Self, Fault> {
        let settings = eideryard_lines::read(file, text, TABLE, &eideryard_lines::from_files)?;
        Self::from_settings(&settings)
    }

    fn from_settings(settings: &[Setting]) -> Result<Self, Fault> {
        let setting = |name: &str| table::find(settings, name);
        let value = |name: &str| setting(name).and_then(|setting| setting.values.first());
        let number = |name: &str, usual| value(name).map_or(usual, Value::number);
        let text = |name: &str| value(name).map(|value| value.text().to_string());
        let budget = number("record-budget", 256 * MB);
        let segment = number("record-segment", (8 * MB).min(budget / 4));
        if segment > budget / 2 {
            let place = setting("record-segment").or(setting("record-budget")).map(|s| s.place.clone());
            if let Some(place) = place {
                let what = "a segment takes more than half of the budget";
                return Err(Fault::new(place, what, "raise record-budget or lower record-segment"));
            }
        }
        let directory = text("record-dir").map(PathBuf::from);
        if directory.is_none() {
            let useless = settings.iter().find(|setting| setting.name.starts_with("record-"));
            if let Some(setting) = useless {
                let what = format!("'{}' without a record", setting.name);
                return Err(Fault::new(
                    setting.place.clone(),
                    &what,
                    "add record-dir PATH, which turns it on",
                ));
            }
        }
        let targets = settings.iter().filter(|setting| setting.name == "log-target");
        let target = |s: &Setting| (s.values[0].text().to_string(), s.values[1].text().to_string());
        Ok(Operator {
            record: directory.map(|directory| Record {
                directory,
                budget,
                segment,
                segment_time: number("record-segment-time", 600 * SECOND),
            }),
            log: Log {
                level: text("log-level"),
                targets: targets.map(target).collect(),
                json: text("log-format").as_deref() == Some("json"),
            },
        })
    }
}
