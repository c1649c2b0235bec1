//! The operator's file: what an operator may set beside the platform's configuration. All
//! directives stand in [`TABLE`], from which the reference page is made. Without a file nothing
//! changes.

#![expect(missing_docs, reason = "public items are still to be described")]

use eideryard_config_syntax::{table, Fault, Kind, Setting, Spec, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

const MB: u64 = 1 << 20;
const SECOND: u64 = 1_000_000;
/// Characters of a secret at least.
const MIN_KEY: usize = 16;

const FLEET: &[Spec] = &[
    Spec::new(
        "listen",
        &[Kind::Address],
        "nowhere; keepers need one",
        "Where other gateways of the fleet reach this one. No sign-in: a network of the fleet's own.",
    ),
    Spec::new(
        "keeper",
        &[Kind::Name, Kind::Address],
        "none; a fleet needs 3, 5 or 7",
        "A gateway that holds copies and votes, by its name in the platform's configuration.",
    )
    .many(),
    Spec::new(
        "task",
        &[Kind::Choice(&["probe"])],
        "none: each for itself",
        "Work that one gateway does for all: `probe` asks each engine for its load once a second; all \
         hear it.",
    )
    .many(),
    Spec::new(
        "without-majority",
        &[Kind::Choice(&["refuse", "send"])],
        "refuse",
        "Keyed and unsafe requests while no majority of keepers can hold their intents: refused with advice, \
         or sent at the risk of a second effect.",
    ),
];

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
        "spool-memory",
        &[Kind::Size { least: MB, most: 1 << 40 }],
        "no spool",
        "Memory for results that clients take by pages. Turns the spool and its methods on.",
    ),
    Spec::new(
        "spool-dir",
        &[Kind::Path],
        "memory only",
        "Directory of the spool's files, which are removed with their results.",
    ),
    Spec::new(
        "spool-disk",
        &[Kind::Size { least: MB, most: 1 << 44 }],
        "1GB",
        "Bytes of these files at the most.",
    ),
    Spec::new(
        "spool-result",
        &[Kind::Size { least: 48 << 10, most: 1 << 40 }],
        "a quarter of memory and disk",
        "The largest single result; a larger one fails.",
    ),
    Spec::new(
        "spool-unclaimed",
        &[Kind::Time { least: SECOND, most: 86_400 * SECOND }],
        "60s",
        "How long a result waits for its client, from its last use.",
    ),
    Spec::new(
        "spool-delivered",
        &[Kind::Time { least: SECOND, most: 86_400 * SECOND }],
        "15s",
        "How long one that was delivered is kept for a client that comes again.",
    ),
    Spec::new(
        "spool-key",
        &[Kind::Text],
        "none; the spool needs one",
        "Secret that page tokens are made with, 16 characters at least.",
    ),
    Spec::new(
        "spool-previous-key",
        &[Kind::Text],
        "none",
        "The secret before it: its tokens are taken still.",
    ),
    Spec::new(
        "store-dir",
        &[Kind::Path],
        "no store",
        "Directory of this gateway's durable state, one for each; made where it is missing. Turns it on.",
    ),
    Spec::new(
        "store-budget",
        &[Kind::Size { least: MB, most: 1 << 40 }],
        "64MB",
        "Bytes of the store's files at the most; a third of them may be live.",
    ),
    Spec::new(
        "fleet",
        &[Kind::Name],
        "alone",
        "The fleet that this gateway shares its intents with, in a block. It needs store-dir.",
    )
    .block(FLEET),
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
pub struct EventLogConfig {
    pub directory: PathBuf,
    pub budget: u64,
    pub segment: u64,
    /// In microseconds.
    pub segment_time: u64,
}

/// Durable state: where, and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    pub directory: PathBuf,
    pub budget: u64,
}

/// The fleet that a gateway is of.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub name: String,
    pub listen: Option<SocketAddr>,
    /// Name and address, in the order of their names.
    pub keepers: Vec<(String, SocketAddr)>,
    /// Without a majority keyed requests are sent all the same.
    pub send_without: bool,
    /// One gateway probes each engine for all.
    pub probes: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogConfig {
    pub level: Option<String>,
    /// Other levels, by target.
    pub targets: Vec<(String, String)>,
    pub json: bool,
}

/// Times in microseconds.
#[derive(Clone, PartialEq)]
pub struct SpoolConfig {
    pub memory: u64,
    pub directory: Option<PathBuf>,
    pub disk: u64,
    pub result: u64,
    pub unclaimed: u64,
    pub delivered: u64,
    pub key: String,
    pub previous_key: Option<String>,
}

/// Without the secrets.
impl std::fmt::Debug for SpoolConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SpoolConfig {
            memory,
            directory,
            disk,
            result,
            ..
        } = self;
        write!(
            f,
            "SpoolPlan {{ memory: {memory}, directory: {directory:?}, disk: {disk}, result: {result}, .. }}"
        )
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub record: Option<EventLogConfig>,
    pub spool: Option<SpoolConfig>,
    pub store: Option<StoreConfig>,
    pub fleet: Option<FleetConfig>,
    pub log: LogConfig,
}

fn fleet(own: &Setting, has_store: bool) -> Result<FleetConfig, Fault> {
    let wrong = |place: &eideryard_config_syntax::Place, what: &str, hint: &str| {
        Fault::new(place.clone(), what, hint)
    };
    if !has_store {
        let what = "a fleet without a store: intents could not be made durable";
        return Err(wrong(&own.place, what, "add store-dir PATH"));
    }
    let address = |value: &Value| match value {
        Value::Address(address) => Some(*address),
        _ => None,
    };
    let listen =
        table::find(&own.block, "listen").and_then(|setting| address(setting.values.first()?));
    let mut keepers: Vec<(String, SocketAddr)> = Vec::new();
    for keeper in own.block.iter().filter(|setting| setting.name == "keeper") {
        let (name, address) = (keeper.values[0].text(), address(&keeper.values[1]));
        let Some(address) = address else {
            return Err(wrong(
                &keeper.place,
                "a keeper's address can't be used",
                "write ADDRESS:PORT",
            ));
        };
        if keepers.iter().any(|(known, _)| known == name) {
            let what = format!("keeper '{name}' stands there twice");
            return Err(wrong(&keeper.place, &what, "each keeper has one line"));
        }
        keepers.push((name.to_string(), address));
    }
    if ![3, 5, 7].contains(&keepers.len()) {
        let what = format!("a fleet with {} keepers", keepers.len());
        return Err(wrong(
            &own.place,
            &what,
            "name 3, 5 or 7: keeper NAME ADDRESS",
        ));
    }
    keepers.sort();
    let send = table::find(&own.block, "without-majority")
        .is_some_and(|own| own.values[0].text() == "send");
    let name = own.values[0].text().to_string();
    let probes = own
        .block
        .iter()
        .any(|own| own.name == "task" && own.values[0].text() == "probe");
    Ok(FleetConfig {
        name,
        listen,
        keepers,
        send_without: send,
        probes,
    })
}

impl OperatorConfig {
    /// From the file at a path and what it includes.
    pub fn from_file(path: &str) -> Result<Self, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("operator's file {path}: {e}"))?;
        Self::read(path, &text).map_err(|e| e.to_string())
    }

    pub fn read(file: &str, text: &str) -> Result<Self, Fault> {
        let settings =
            eideryard_config_syntax::read(file, text, TABLE, &eideryard_config_syntax::from_files)?;
        Self::from_settings(&settings)
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn from_settings(settings: &[Setting]) -> Result<Self, Fault> {
        let setting = |name: &str| table::find(settings, name);
        let value = |name: &str| setting(name).and_then(|setting| setting.values.first());
        let number = |name: &str, usual| value(name).map_or(usual, Value::number);
        let text = |name: &str| value(name).map(|value| value.text().to_string());
        let budget = number("record-budget", 256 * MB);
        let segment = number("record-segment", (8 * MB).min(budget / 4));
        if segment > budget / 2 {
            let place = setting("record-segment")
                .or(setting("record-budget"))
                .map(|s| s.place.clone());
            if let Some(place) = place {
                let what = "a segment takes more than half of the budget";
                return Err(Fault::new(
                    place,
                    what,
                    "raise record-budget or lower record-segment",
                ));
            }
        }
        let directory = text("record-dir").map(PathBuf::from);
        if directory.is_none() {
            let useless = settings
                .iter()
                .find(|setting| setting.name.starts_with("record-"));
            if let Some(setting) = useless {
                let what = format!("'{}' without a record", setting.name);
                return Err(Fault::new(
                    setting.place.clone(),
                    &what,
                    "add record-dir PATH, which turns it on",
                ));
            }
        }
        let spool = match setting("spool-memory") {
            None => {
                if let Some(setting) = settings
                    .iter()
                    .find(|setting| setting.name.starts_with("spool-"))
                {
                    let what = format!("'{}' without a spool", setting.name);
                    return Err(Fault::new(
                        setting.place.clone(),
                        &what,
                        "add spool-memory SIZE, which turns it on",
                    ));
                }
                None
            }
            Some(turns_on) => {
                let directory = text("spool-dir").map(PathBuf::from);
                let memory = number("spool-memory", 0);
                let disk = if directory.is_some() {
                    number("spool-disk", 1 << 30)
                } else {
                    0
                };
                let key = text("spool-key").filter(|key| key.len() >= MIN_KEY);
                let place = setting("spool-key").unwrap_or(turns_on).place.clone();
                let wrong = || {
                    Fault::new(
                        place,
                        "the spool has no secret of 16 characters",
                        "add spool-key SECRET",
                    )
                };
                Some(SpoolConfig {
                    memory,
                    directory,
                    disk,
                    result: number("spool-result", (memory + disk) / 4),
                    unclaimed: number("spool-unclaimed", 60 * SECOND),
                    delivered: number("spool-delivered", 15 * SECOND),
                    key: key.ok_or_else(wrong)?,
                    previous_key: text("spool-previous-key"),
                })
            }
        };
        let store = text("store-dir").map(PathBuf::from);
        if let Some(setting) = setting("store-budget").filter(|_| store.is_none()) {
            let hint = "add store-dir PATH, which turns it on";
            return Err(Fault::new(
                setting.place.clone(),
                "'store-budget' without a store",
                hint,
            ));
        }
        let fleet = setting("fleet")
            .map(|own| fleet(own, store.is_some()))
            .transpose()?;
        let targets = settings
            .iter()
            .filter(|setting| setting.name == "log-target");
        let target = |s: &Setting| {
            (
                s.values[0].text().to_string(),
                s.values[1].text().to_string(),
            )
        };
        Ok(OperatorConfig {
            spool,
            fleet,
            store: store.map(|directory| StoreConfig {
                directory,
                budget: number("store-budget", 64 * MB),
            }),
            record: directory.map(|directory| EventLogConfig {
                directory,
                budget,
                segment,
                segment_time: number("record-segment-time", 600 * SECOND),
            }),
            log: LogConfig {
                level: text("log-level"),
                targets: targets.map(target).collect(),
                json: text("log-format").as_deref() == Some("json"),
            },
        })
    }
}
