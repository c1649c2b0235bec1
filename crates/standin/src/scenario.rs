//! Scenarios: a script in the line-based form says what there is and what goes wrong when.

use eideryard_lines::{Fault, Kind, Setting, Spec, Value};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const SECOND: u64 = 1_000_000;
const ANY_TIME: Kind = Kind::Time { least: 0, most: 3600 * SECOND };
const ANY_SIZE: Kind = Kind::Size { least: 0, most: 1 << 40 };
const ANY_RATE: Kind = Kind::Rate { most: 100_000.0 };
const FOR: (&str, Kind) = ("for", ANY_TIME);

const ENGINE: &[Spec] = &[
    Spec::new("listen", &[Kind::Address], "a port of the system", "Where it listens."),
    Spec::new("cores", &[Kind::Count { least: 1, most: 1024 }], "8", "Cores that its queries share."),
    Spec::new("memory", &[ANY_SIZE], "16GB", "Memory that queries hold together."),
    Spec::new(
        "sessions",
        &[Kind::Count { least: 1, most: 1 << 20 }],
        "512",
        "Queries at once; more are answered busy.",
    ),
    Spec::new(
        "warm-up",
        &[ANY_TIME],
        "0",
        "Time from a start until it has all its cores; 40% of them at first.",
    ),
    Spec::new("kind", &[Kind::Name], "std", "Machine kind."),
    Spec::new("zone", &[Kind::Name], "here", "Zone."),
    Spec::new(
        "cell",
        &[Kind::Count { least: 0, most: 1 << 20 }],
        "0",
        "Engines of one cell know each other's keys in classes of that scope.",
    ),
    Spec::new(
        "orphans",
        &[Kind::Choice(&["stop", "finish"])],
        "stop",
        "What becomes of a query whose connection ends.",
    ),
];

const LOAD: &[Spec] = &[
    Spec::new("gateway", &[Kind::Name], "each in turn", "The gateway that it asks."),
    Spec::new("class", &[Kind::Name], "report", "Class of its requests."),
    Spec::new("tenant", &[Kind::Name], "acme", "Tenant."),
    Spec::new("rate", &[ANY_RATE], "10/s", "Requests a second on average, at random times."),
    Spec::new("begin", &[ANY_TIME], "0", "When it begins."),
    Spec::new("end", &[ANY_TIME], "the scenario's", "When it ends."),
    Spec::new("wait", &[ANY_TIME], "5s", "How long its clients wait."),
    Spec::new("work", &[ANY_TIME], "80ms", "Median work on one core."),
    Spec::new("memory", &[ANY_SIZE], "64MB", "Median memory."),
    Spec::new(
        "spread",
        &[Kind::Count { least: 0, most: 300 }],
        "50",
        "Spread of both: sigma of their logarithm, in hundredths.",
    ),
    Spec::new("rows", &[Kind::Count { least: 0, most: 2_000_000 }], "4", "Rows of a result."),
    Spec::new(
        "connections",
        &[Kind::Count { least: 1, most: 4096 }],
        "2",
        "Connections that it spreads over.",
    ),
    Spec::new("forgets", &[Kind::Share], "0%", "Part of its requests that it takes back soon after."),
    Spec::new("from", &[Kind::Text], "127.0.0.1", "The address that it comes from."),
    Spec::new(
        "retries",
        &[Kind::Count { least: 0, most: 10 }],
        "0",
        "Tries more after a refusal, when its advice is over.",
    ),
    Spec::new(
        "returns",
        &[Kind::Count { least: 0, most: 10 }],
        "0",
        "Tries more after a connection that ended or an answer that never came; none in unsafe classes.",
    ),
    Spec::new("back", &[Kind::Choice(&["any", "same", "other"])], "any", "The gateway that these go to."),
    Spec::new("marked", &[Kind::Share], "100%", "Part of the tries more that say so (`r`)."),
    Spec::new("hasty", &[Kind::Share], "0%", "Part of the tries more that come before the advice is over."),
    Spec::new("late", &[Kind::Share], "0%", "Part of the tries more that come after the class's window."),
    Spec::new(
        "keys",
        &[Kind::Count { least: 1, most: 1 << 20 }],
        "a new one each",
        "Keys that it draws from.",
    ),
];

const CLASS: &[Spec] = &[
    Spec::new("effect", &[Kind::Choice(&["safe", "keyed", "unsafe"])], "safe", "What a repeat may do."),
    Spec::new("aim", &[ANY_TIME], "1s", "Answers within this earn the full worth."),
    Spec::new("threads", &[Kind::Count { least: 1, most: 64 }], "1", "Threads that a query runs on."),
    Spec::new("load", &[], "no", "It holds its table group while it runs."),
    Spec::new(
        "scope",
        &[Kind::Choice(&["all", "zone", "cell"])],
        "all",
        "Engines that drop a key's repeats.",
    ),
    Spec::new("window", &[ANY_TIME], "15s", "How long they remember it."),
    Spec::new("ordered", &[], "no", "Requests of one key run one at a time, in the order taken."),
];

const GATEWAY: &[Spec] = &[
    Spec::new("memory", &[ANY_SIZE], "192MB", "Limit on memory that it is told."),
    Spec::new(
        "sockets",
        &[Kind::Count { least: 32, most: 65_536 }],
        "1024",
        "Limit on descriptors that it is told.",
    ),
    Spec::new("start", &[ANY_TIME], "0", "When it starts."),
    Spec::new("operator", &[Kind::Text], "none", "A line of its operator's file; {directory} is its own.")
        .many(),
];

/// The ends of links: `clients`, gateways, engines, the `bulletin`; `any` stands for all, `gateways` and
/// `engines` for all of these.
const LINK: &[Kind] = &[Kind::Name, Kind::Name];
const WAY: (&str, Kind) = ("way", Kind::Choice(&["both", "there", "back"]));

const ACTIONS: &[Spec] = &[
    Spec::new("kill", &[], "", "Engines' processes end: connections are reset, new ones refused.")
        .rest(Kind::Name),
    Spec::new("start", &[], "", "Engines that were killed start again, cold, and the list says so.")
        .rest(Kind::Name),
    Spec::new("vanish", &[], "", "Engines say nothing more, and connections stay open.")
        .rest(Kind::Name)
        .options(&[FOR]),
    Spec::new("reset", &[], "", "Engines reset their connections and go on.").rest(Kind::Name),
    Spec::new("stall", &[], "", "Engines stand still for a while.").rest(Kind::Name).options(&[FOR]),
    Spec::new("errors", &[Kind::Share], "", "Engines answer a share of queries with errors.")
        .rest(Kind::Name)
        .options(&[FOR]),
    Spec::new("busy", &[], "", "Engines answer all new queries busy.").rest(Kind::Name).options(&[FOR]),
    Spec::new("drain", &[], "", "The list says that engines drain.").rest(Kind::Name),
    Spec::new("remove", &[], "", "The list drops engines.").rest(Kind::Name),
    Spec::new("list", &[], "", "The list says that engines are up.").rest(Kind::Name),
    Spec::new(
        "bulletin",
        &[Kind::Choice(&["up", "down", "silent"])],
        "",
        "The bulletin answers, is out of reach, or says nothing.",
    ),
    Spec::new("kill-gateway", &[], "", "Gateways are killed outright.").rest(Kind::Name),
    Spec::new("stop-gateway", &[], "", "Gateways get SIGTERM.").rest(Kind::Name),
    Spec::new("start-gateway", &[], "", "Gateways start again under their names.").rest(Kind::Name),
    Spec::new("pause-gateway", &[], "", "Gateways stand still (SIGSTOP), then go on.")
        .rest(Kind::Name)
        .options(&[FOR]),
    Spec::new(
        "stall-disk",
        &[],
        "",
        "The threads that write gateways' stores stand still, as on a disk that hangs.",
    )
    .rest(Kind::Name)
    .options(&[FOR]),
    Spec::new("save-directory", &[], "", "Gateways' directories are copied.").rest(Kind::Name),
    Spec::new("wipe-directory", &[], "", "Gateways' directories are emptied.").rest(Kind::Name),
    Spec::new("put-back-directory", &[], "", "The copies take the place of gateways' directories.")
        .rest(Kind::Name),
    Spec::new("link-cut", LINK, "", "Nothing passes a link, and new connections never come up.")
        .options(&[WAY, FOR]),
    Spec::new("link-stall", LINK, "", "Nothing passes a link, but new connections come up.")
        .options(&[WAY, FOR]),
    Spec::new("link-swallow", LINK, "", "A link takes bytes and delivers none; it resets when that is over.")
        .options(&[WAY, FOR]),
    Spec::new("link-delay", LINK, "", "What passes a link takes longer.").options(&[BY, WAY, FOR]),
    Spec::new("link-throttle", LINK, "", "Bytes a second that pass a link.").options(&[TO, WAY, FOR]),
    Spec::new("link-flap", LINK, "", "A link is cut and whole in turn.").options(&[EVERY, FOR]),
    Spec::new("link-reset", LINK, "", "Connections of a link end now."),
    Spec::new("power-loss", &[], "", "All gateways, engines and the bulletin end within a millisecond."),
    Spec::new("power-back", &[], "", "They start again (`all`, or those named), in drawn order.")
        .rest(Kind::Name)
        .options(&[WITHIN]),
];

const BY: (&str, Kind) = ("by", ANY_TIME);
const TO: (&str, Kind) = ("to", ANY_SIZE);
const EVERY: (&str, Kind) = ("every", Kind::Time { least: 1_000, most: 3600 * SECOND });
const WITHIN: (&str, Kind) = ("within", ANY_TIME);

pub const TABLE: &[Spec] = &[
    Spec::new("seed", &[Kind::Count { least: 0, most: u64::MAX }], "1", "What all random numbers come of."),
    Spec::new("time", &[ANY_TIME], "10s", "How long the loads run; `0` goes on until it is ended."),
    Spec::new("bulletin", &[Kind::Address], "a port of the system", "Where the bulletin listens."),
    Spec::new("tenant", &[Kind::Name, ANY_RATE], "acme 1000/s", "A tenant and its share over all gateways.")
        .many(),
    Spec::new("class", &[Kind::Name], "report, safe", "A class.").block(CLASS).many(),
    Spec::new("engine", &[Kind::Name], "none", "An engine.").block(ENGINE).many(),
    Spec::new(
        "engines",
        &[Kind::Count { least: 1, most: 999 }, Kind::Name],
        "none",
        "So many engines, named with their numbers from 1.",
    )
    .block(ENGINE)
    .many(),
    Spec::new("gateway", &[Kind::Name], "none", "A gateway, where a program to start is given.")
        .block(GATEWAY)
        .many(),
    Spec::new("load", &[Kind::Name], "none", "Clients.").block(LOAD).many(),
    Spec::new("at", &[ANY_TIME], "none", "What goes wrong, and when.").nested(ACTIONS).many(),
];

#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: String,
    pub listen: Option<SocketAddr>,
    pub cores: u64,
    pub memory_mb: f64,
    pub sessions: usize,
    pub warm_up: Duration,
    pub kind: String,
    pub zone: String,
    pub cell: u64,
    pub finishes_orphans: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// The gateway that a client comes again to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    Any,
    Same,
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    There,
    Back,
}

#[derive(Clone, Debug)]
pub struct LoadSpec {
    pub name: String,
    pub gateway: Option<String>,
    pub class: String,
    pub tenant: String,
    pub rate: f64,
    pub begin: Duration,
    pub end: Option<Duration>,
    pub wait: Duration,
    pub work: Duration,
    pub memory_mb: f64,
    pub spread: f64,
    pub rows: u64,
    pub connections: usize,
    pub from: IpAddr,
    pub retries: u64,
    pub forgets: f64,
    pub returns: u64,
    pub back: Back,
    pub marked: f64,
    pub hasty: f64,
    pub late: f64,
    pub keys: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct ClassSpec {
    pub name: String,
    pub effect: &'static str,
    pub aim: Duration,
    pub threads: u64,
    pub is_load: bool,
    pub scope: Scope,
    pub window: Duration,
    pub ordered: bool,
}

#[derive(Clone, Debug)]
pub struct GatewaySpec {
    pub name: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub start: Duration,
    /// Lines of its operator's file.
    pub operator: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub action: &'static str,
    pub share: f64,
    /// Engines or gateways, or the bulletin's new state.
    pub names: Vec<String>,
    pub lasts: Duration,
    pub way: Way,
    /// By how much, how often, or within what time.
    pub time: Duration,
    /// Bytes a second.
    pub bytes: u64,
}

impl Step {
    pub fn new(at: Duration, action: &'static str, names: Vec<String>) -> Self {
        let (share, lasts, way) = (1.0, Duration::from_secs(3600), Way::Both);
        Step { at, action, share, names, lasts, way, time: Duration::ZERO, bytes: 0 }
    }
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub time: Duration,
    pub bulletin: Option<SocketAddr>,
    pub tenants: Vec<(String, f64)>,
    pub classes: Vec<ClassSpec>,
    pub engines: Vec<EngineSpec>,
    pub gateways: Vec<GatewaySpec>,
    pub loads: Vec<LoadSpec>,
    /// In the order of their times.
    pub steps: Vec<Step>,
}

fn time(value: &Value) -> Duration {
    Duration::from_micros(value.number())
}

fn megabytes(value: &Value) -> f64 {
    value.number() as f64 / (1 << 20) as f64
}

impl Scenario {
    pub fn read(file: &str, text: &str) -> Result<Self, Fault> {
        let settings = eideryard_lines::read(file, text, TABLE, &eideryard_lines::from_files)?;
        let all = |name: &'static str| settings.iter().filter(move |setting| setting.name == name);
        let first = |name: &'static str| all(name).next().and_then(|setting| setting.values.first());
        let mut engines = Vec::new();
        for setting in &settings {
            match setting.name {
                "engine" => engines.push(engine(setting, setting.values[0].text().to_string())),
                "engines" => (1..=setting.values[0].number()).for_each(|number| {
                    engines.push(engine(setting, format!("{}-{number}", setting.values[1].text())))
                }),
                _ => {}
            }
        }
        let mut tenants: Vec<(String, f64)> =
            all("tenant").map(|s| (s.values[0].text().to_string(), s.values[1].real())).collect();
        if tenants.is_empty() {
            tenants.push(("acme".into(), 1000.0));
        }
        let mut classes: Vec<ClassSpec> = all("class").map(class).collect();
        if classes.is_empty() {
            let aim = Duration::from_secs(1);
            classes.push(ClassSpec {
                name: "report".into(),
                effect: "safe",
                aim,
                threads: 1,
                is_load: false,
                scope: Scope::All,
                window: Duration::from_secs(15),
                ordered: false,
            });
        }
        let gateways: Vec<GatewaySpec> = all("gateway").map(gateway).collect();
        let mut loads = Vec::new();
        for setting in all("load") {
            let load = load(setting)?;
            let known = |what: &str, name: &str, names: Vec<&str>| match names.contains(&name) {
                true => Ok(()),
                false => {
                    let what = format!("load '{}' has {what} '{name}', which is not there", load.name);
                    Err(Fault::new(setting.place.clone(), &what, &format!("there are: {}", names.join(", "))))
                }
            };
            known("class", &load.class, classes.iter().map(|class| class.name.as_str()).collect())?;
            known("tenant", &load.tenant, tenants.iter().map(|(name, _)| name.as_str()).collect())?;
            if let Some(gateway) = &load.gateway {
                known("gateway", gateway, gateways.iter().map(|own| own.name.as_str()).collect())?;
            }
            loads.push(load);
        }
        let mut steps = Vec::new();
        for setting in all("at") {
            let step = step(setting);
            let names: Vec<&str> = match step.action {
                "bulletin" => vec!["up", "down", "silent"],
                "power-loss" => Vec::new(),
                action if action.starts_with("link-") => {
                    let ends = ["clients", "bulletin", "gateways", "engines", "any"].into_iter();
                    ends.chain(gateways.iter().map(|g| g.name.as_str()))
                        .chain(engines.iter().map(|e| e.name.as_str()))
                        .collect()
                }
                "power-back" => ["all", "bulletin"]
                    .into_iter()
                    .chain(gateways.iter().map(|g| g.name.as_str()))
                    .chain(engines.iter().map(|e| e.name.as_str()))
                    .collect(),
                action if action.ends_with("-directory") => {
                    gateways.iter().map(|g| g.name.as_str()).collect()
                }
                action if action.ends_with("-gateway") || action == "stall-disk" => {
                    gateways.iter().map(|g| g.name.as_str()).collect()
                }
                _ => engines.iter().map(|e| e.name.as_str()).collect(),
            };
            if let Some(name) = step.names.iter().find(|name| !names.contains(&name.as_str())) {
                let hint = format!("there are: {}", names.join(", "));
                return Err(Fault::new(setting.place.clone(), &format!("'{name}' is not there"), &hint));
            }
            steps.push(step);
        }
        steps.sort_by_key(|step| step.at);
        Ok(Scenario {
            seed: first("seed").map_or(1, Value::number),
            time: first("time").map_or(Duration::from_secs(10), time),
            bulletin: first("bulletin").and_then(address),
            tenants,
            classes,
            engines,
            gateways,
            loads,
            steps,
        })
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    match value {
        Value::Address(address) => Some(*address),
        _ => None,
    }
}

fn engine(setting: &Setting, name: String) -> EngineSpec {
    let value = |name: &str| setting.inner_value(name);
    let text = |name: &str, usual: &str| value(name).map_or(usual, Value::text).to_string();
    EngineSpec {
        name,
        listen: value("listen").and_then(address),
        cores: value("cores").map_or(8, Value::number),
        memory_mb: value("memory").map_or(16_384.0, megabytes),
        sessions: value("sessions").map_or(512, Value::number) as usize,
        warm_up: value("warm-up").map_or(Duration::ZERO, time),
        kind: text("kind", "std"),
        zone: text("zone", "here"),
        cell: value("cell").map_or(0, Value::number),
        finishes_orphans: value("orphans").is_some_and(|what| what.text() == "finish"),
    }
}

fn class(setting: &Setting) -> ClassSpec {
    let value = |name: &str| setting.inner_value(name);
    let effects = ["safe", "keyed", "unsafe"];
    let effect = value("effect").map_or("safe", Value::text);
    ClassSpec {
        name: setting.values[0].text().to_string(),
        effect: effects.into_iter().find(|own| *own == effect).unwrap_or("safe"),
        aim: value("aim").map_or(Duration::from_secs(1), time),
        threads: value("threads").map_or(1, Value::number),
        is_load: setting.inner("load").is_some(),
        scope: match value("scope").map(Value::text) {
            Some("zone") => Scope::Zone,
            Some("cell") => Scope::Cell,
            _ => Scope::All,
        },
        window: value("window").map_or(Duration::from_secs(15), time),
        ordered: setting.inner("ordered").is_some(),
    }
}

fn gateway(setting: &Setting) -> GatewaySpec {
    let value = |name: &str| setting.inner_value(name);
    GatewaySpec {
        name: setting.values[0].text().to_string(),
        memory_mb: value("memory").map_or(192, |size| megabytes(size) as u64),
        sockets: value("sockets").map_or(1024, Value::number),
        start: value("start").map_or(Duration::ZERO, time),
        operator: setting
            .block
            .iter()
            .filter(|inner| inner.name == "operator")
            .map(|inner| inner.values[0].text().to_string())
            .collect(),
    }
}

fn load(setting: &Setting) -> Result<LoadSpec, Fault> {
    let value = |name: &str| setting.inner_value(name);
    let text = |name: &str, usual: &str| value(name).map_or(usual, Value::text).to_string();
    let from = text("from", "127.0.0.1");
    let from: IpAddr = match from.parse() {
        Ok(IpAddr::V4(from)) if from.is_loopback() => from.into(),
        _ => {
            let place = setting.inner("from").map_or(setting.place.clone(), |from| from.place.clone());
            return Err(Fault::new(place, &format!("'{from}' can't be used"), "expected one of 127.0.0.0/8"));
        }
    };
    Ok(LoadSpec {
        name: setting.values[0].text().to_string(),
        gateway: value("gateway").map(|name| name.text().to_string()),
        class: text("class", "report"),
        tenant: text("tenant", "acme"),
        rate: value("rate").map_or(10.0, Value::real),
        begin: value("begin").map_or(Duration::ZERO, time),
        end: value("end").map(time),
        wait: value("wait").map_or(Duration::from_secs(5), time),
        work: value("work").map_or(Duration::from_millis(80), time),
        memory_mb: value("memory").map_or(64.0, megabytes),
        spread: value("spread").map_or(50, Value::number) as f64 / 100.0,
        rows: value("rows").map_or(4, Value::number),
        connections: value("connections").map_or(2, Value::number) as usize,
        from,
        retries: value("retries").map_or(0, Value::number),
        forgets: value("forgets").map_or(0.0, Value::real),
        returns: value("returns").map_or(0, Value::number),
        back: match value("back").map(Value::text) {
            Some("same") => Back::Same,
            Some("other") => Back::Other,
            _ => Back::Any,
        },
        marked: value("marked").map_or(1.0, Value::real),
        hasty: value("hasty").map_or(0.0, Value::real),
        late: value("late").map_or(0.0, Value::real),
        keys: value("keys").map(Value::number),
    })
}

fn step(setting: &Setting) -> Step {
    let mut step = Step::new(time(&setting.values[0]), "", Vec::new());
    if let Some(action) = &setting.nested {
        step.action = action.name;
        for value in &action.values {
            match value {
                Value::Real(share) => step.share = *share,
                value => step.names.push(value.text().to_string()),
            }
        }
        step.lasts = action.option("for").map_or(step.lasts, time);
        step.way = match action.option("way").map(Value::text) {
            Some("there") => Way::There,
            Some("back") => Way::Back,
            _ => Way::Both,
        };
        let times = ["by", "every", "within"].into_iter();
        step.time = times.filter_map(|name| action.option(name)).map(time).next().unwrap_or_default();
        step.bytes = action.option("to").map_or(0, Value::number);
    }
    step
}
