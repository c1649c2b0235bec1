//! The operators' settings: a tree of names, whatever form it came in, read to
//! `interface::Settings` and to what a host needs beside them. One reader for all hosts; nothing
//! here decides anything.

#![expect(missing_docs, reason = "public items are still to be described")]

use eideryard::interface::*;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// A tree of names, flat: each leaf under its dotted path. A list of trees has its length under
/// `.count` and its items under `.0`, `.1` and so on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tree {
    leaves: BTreeMap<String, Leaf>,
}

#[derive(Clone, Debug, PartialEq)]
enum Leaf {
    /// A value as text, or a list of values joined with commas.
    Text(String),
    List(Vec<String>),
}

/// A setting that is missing or has a value that can't be used.
#[derive(Debug, PartialEq)]
pub struct SettingsError {
    pub key: String,
    pub value: Option<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(
                f,
                "setting '{}' has the value '{value}', which is not valid",
                self.key
            ),
            None => write!(f, "setting '{}' is missing", self.key),
        }
    }
}

impl std::error::Error for SettingsError {}

/// What a host needs beside the module's own settings: the names that its protocol uses, in the
/// order in which the module numbers them, and the limits of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The longest that a client of any class waits.
    pub longest_wait: Micros,
    /// A connection that isn't up by then counts as refused.
    pub dial_timeout: Micros,
    /// Idle connections are closed after this time; 0: never.
    pub idle: Micros,
    /// Attempts that one connection carries at once.
    pub streams: usize,
}

impl Tree {
    /// From pairs of a dotted path and a value, where lists of plain values are joined with commas.
    pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let leaf = |(path, value): (&str, &str)| (path.to_string(), Leaf::Text(value.to_string()));
        Tree {
            leaves: pairs.into_iter().map(leaf).collect(),
        }
    }

    /// From nested JSON with native lists and numbers.
    pub fn from_json(value: &serde_json::Value) -> Self {
        let mut tree = Tree::default();
        tree.graft("", value);
        tree
    }

    fn graft(&mut self, path: &str, value: &serde_json::Value) {
        use serde_json::Value;
        let below = |name: &str| {
            if path.is_empty() {
                name.to_string()
            } else {
                format!("{path}.{name}")
            }
        };
        let leaf = match value {
            Value::Null => return,
            Value::Object(members) => {
                members
                    .iter()
                    .for_each(|(name, member)| self.graft(&below(name), member));
                return;
            }
            Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
                self.leaves
                    .insert(below("count"), Leaf::Text(items.len().to_string()));
                items
                    .iter()
                    .enumerate()
                    .for_each(|(at, item)| self.graft(&below(&at.to_string()), item));
                return;
            }
            Value::Array(items) => Leaf::List(items.iter().map(plain).collect()),
            value => Leaf::Text(plain(value)),
        };
        self.leaves.insert(path.to_string(), leaf);
    }

    fn text(&self, path: &str) -> Option<&str> {
        match self.leaves.get(path)? {
            Leaf::Text(text) => Some(text),
            Leaf::List(_) => None,
        }
    }

    fn optional<T: Number>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        match self.leaves.get(path) {
            None => Ok(None),
            Some(Leaf::Text(text)) => number(path, text).map(Some),
            Some(Leaf::List(items)) => Err(SettingsError {
                key: path.to_string(),
                value: Some(format!("[{}]", items.join(", "))),
            }),
        }
    }

    fn or<T: Number>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            None => Ok(false),
            Some(text) => truth(path, text),
        }
    }

    fn list(&self, path: &str) -> Vec<&str> {
        match self.leaves.get(path) {
            None => Vec::new(),
            Some(Leaf::Text(text)) => text.split(',').filter(|item| !item.is_empty()).collect(),
            Some(Leaf::List(items)) => items.iter().map(String::as_str).collect(),
        }
    }

    fn names(&self, path: &str) -> Vec<String> {
        self.list(path).into_iter().map(str::to_string).collect()
    }

    fn item<T: Number>(&self, path: &str, index: usize) -> Result<Option<T>, SettingsError> {
        self.list(path)
            .get(index)
            .map(|text| number(path, text))
            .transpose()
    }

    fn item_flag(&self, path: &str, index: usize) -> Result<bool, SettingsError> {
        self.list(path)
            .get(index)
            .map_or(Ok(false), |text| truth(path, text))
    }

    /// Places named by position, or by their name in the list at `names`.
    fn places(&self, path: &str, names: &str) -> Result<Option<Vec<u32>>, SettingsError> {
        if !self.leaves.contains_key(path) {
            return Ok(None);
        }
        let names = self.list(names);
        let position = |item: &str| match names.iter().position(|name| *name == item) {
            Some(index) => Ok(index as u32),
            None => number(path, item),
        };
        self.list(path)
            .into_iter()
            .map(position)
            .collect::<Result<_, _>>()
            .map(Some)
    }
}

fn plain(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}

fn truth(path: &str, text: &str) -> Result<bool, SettingsError> {
    match text {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        other => Err(SettingsError {
            key: path.to_string(),
            value: Some(other.to_string()),
        }),
    }
}

/// A number as the settings may write it: a whole one also with a fraction of zero.
trait Number: Sized {
    fn read(text: &str) -> Option<Self>;
}

impl Number for f64 {
    fn read(text: &str) -> Option<Self> {
        f64::from_str(text).ok().filter(|value| !value.is_nan())
    }
}

impl Number for u64 {
    fn read(text: &str) -> Option<Self> {
        let whole = |value: &f64| value.fract() == 0.0 && (0.0..=u64::MAX as f64).contains(value);
        text.parse()
            .ok()
            .or_else(|| f64::read(text).filter(whole).map(|value| value as u64))
    }
}

impl Number for usize {
    fn read(text: &str) -> Option<Self> {
        u64::read(text)?.try_into().ok()
    }
}

impl Number for u32 {
    fn read(text: &str) -> Option<Self> {
        u64::read(text)?.try_into().ok()
    }
}

fn number<T: Number>(path: &str, text: &str) -> Result<T, SettingsError> {
    T::read(text).ok_or_else(|| SettingsError {
        key: path.to_string(),
        value: Some(text.to_string()),
    })
}

/// The module's settings; a key that is absent leaves what it names unlimited or off.
pub fn settings(tree: &Tree) -> Result<Settings, SettingsError> {
    let budget = match tree.optional::<f64>("rules.further-ratio")? {
        None => None,
        Some(ratio) => Some(AttemptBudget {
            span: tree.or("rules.ratio-span-us", 0)?,
            ratio,
            spare: tree.or("rules.spare-attempts", 0.0)?,
        }),
    };
    Ok(Settings {
        classes: classes(tree)?,
        tenants: tenants(tree)?,
        kinds: kinds(tree)?,
        peers: tree.or("peers-total", 1.0)?,
        index: tree.optional("self-index")?,
        zone: tree.or("az", 0)?,
        tick: tree.or("tick-us", 1_000)?,
        discovery: match tree.text("discovery") {
            Some("ask") => Discovery::Ask,
            _ => Discovery::Push,
        },
        note_period: tree.or("extra.note-period-us", 0)?,
        largest_share: tree.or("extra.largest-share", 1.0)?,
        max_attempts: tree.or("limits.max-attempts", usize::MAX)?,
        may_cancel: tree.flag("limits.may-cancel")?,
        hedging_allowed: tree.flag("limits.may-duplicate")?,
        may_probe: tree.flag("limits.probes")?,
        counts_by_probe: tree.text("report.source") == Some("on_probe")
            && tree.list("report.fields").contains(&"concurrent"),
        retry_after_allowed: tree.flag("limits.retry-after")?,
        max_retry_after: tree.or("limits.max-retry-after-us", 0)?,
        overload_multiple: tree.or("rules.fall-multiple", f64::INFINITY)?,
        overload_window: tree.or("rules.fall-us", 0)?,
        start_capacity: tree.or("rules.start-capacity", 1.0)?,
        warm_up_duration: tree.or("rules.warm-within-us", 0)?,
        ordering_delay: tree.or("rules.order-pause-us", 0)?,
        attempt_budget: budget,
        poll_interval: tree.or("rules.ask-every-us", 0)?,
        over_quota_weight: tree.or("over-share-worth", 1.0)?,
        cross_zone_tariff: tree.or("tariffs.cross-zone", 0.0)?,
        probe_tariff: tree.or("tariffs.probe", 0.0)?,
    })
}

fn classes(tree: &Tree) -> Result<Vec<Class>, SettingsError> {
    let mut classes = Vec::new();
    for index in 0..tree.or("grades.count", 0usize)? {
        let at = |name: &str| format!("grades.{index}.{name}");
        classes.push(Class {
            latency_objective: tree.or(&at("aim-us"), tree.or(&at("deadline-us"), 0)?)?,
            latency_objective_per_work: tree.or(&at("aim-stretch"), 0.0)?,
            priority_weight: tree.or(&at("value"), 1.0)?,
            effect: match tree.text(&at("repeat")) {
                Some("pure") => Effect::Idempotent,
                Some("token") => Effect::IdempotentWithKey,
                _ => Effect::NonIdempotent,
            },
            scope: match tree.text(&at("group")) {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                _ => Scope::Cell,
            },
            window: tree.or(&at("window-us"), 0)?,
            ordered: tree.flag(&at("sequential"))?,
            zones_only: tree.places(&at("zones-only"), "zones")?,
            kinds_only: tree.places(&at("kinds-only"), "kinds")?,
            threads: tree.item("extra.threads-by-class", index)?.unwrap_or(1.0),
            is_load: tree.item_flag("extra.is-load", index)?,
            waits_for_load: tree.item_flag("extra.class-waits", index)?,
        });
    }
    Ok(classes)
}

fn tenants(tree: &Tree) -> Result<Vec<Tenant>, SettingsError> {
    let quota = |index| tree.or(&format!("orgs.{index}.quota-rps"), f64::INFINITY);
    (0..tree.or("orgs.count", 0usize)?)
        .map(|index| {
            Ok(Tenant {
                quota_per_s: quota(index)?,
            })
        })
        .collect()
}

fn kinds(tree: &Tree) -> Result<Vec<Kind>, SettingsError> {
    let kind = |index| {
        Ok(Kind {
            cores: tree.item("extra.kind-cores", index)?.unwrap_or(1.0),
            memory_mb: tree
                .item("extra.kind-memory-mb", index)?
                .unwrap_or(f64::INFINITY),
        })
    };
    (0..tree.list("kinds").len().max(1)).map(kind).collect()
}

/// Puts a value of a load report where it belongs, by the names of `report.fields`; others are
/// passed over.
pub fn set_reported(report: &mut LoadReport, name: &str, value: f64) {
    let place = match name {
        "concurrent" => &mut report.in_flight,
        "depth" => &mut report.waiting_for_memory,
        "load_share" => &mut report.cores_busy,
        "x0" => &mut report.memory_granted,
        "x1" => &mut report.disks_busy,
        _ => return,
    };
    *place = Some(value);
}

/// What a host on sockets needs. There is no serving without classes and a
/// limit on dials, so these must be there.
pub fn host(tree: &Tree) -> Result<HostSettings, SettingsError> {
    let missing = |key: &str| SettingsError {
        key: key.to_string(),
        value: None,
    };
    let count = tree
        .optional::<usize>("grades.count")?
        .filter(|&count| count > 0);
    let count = count.ok_or_else(|| missing("grades"))?;
    let dial = "limits.dial-timeout-us";
    let class = |index| format!("grades.{index}.name");
    let name = |path: String| {
        tree.text(&path)
            .map(str::to_string)
            .ok_or_else(|| missing(&path))
    };
    let tenants = 0..tree.or("orgs.count", 0usize)?;
    let waits = (0..count).map(|index| tree.or(&format!("grades.{index}.deadline-us"), 0));
    Ok(HostSettings {
        classes: (0..count)
            .map(|index| name(class(index)))
            .collect::<Result<_, _>>()?,
        tenants: tenants
            .map(|index| name(format!("orgs.{index}.name")))
            .collect::<Result<_, _>>()?,
        zones: tree.names("zones"),
        kinds: tree.names("kinds"),
        longest_wait: waits
            .collect::<Result<Vec<_>, _>>()?
            .into_iter()
            .max()
            .unwrap_or(0),
        dial_timeout: tree
            .optional(dial)?
            .filter(|&limit| limit > 0)
            .ok_or_else(|| missing(dial))?,
        idle: tree.or("limits.conn-idle-us", 0)?,
        streams: tree.or("limits.streams-per-conn", usize::MAX)?.max(1),
    })
}
