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
];

const CLASS: &[Spec] = &[
    Spec::new("effect", &[Kind::Choice(&["safe", "keyed", "unsafe"])], "safe", "What a repeat may do."),
    Spec::new("aim", &[ANY_TIME], "1s", "Answers within this earn the full worth."),
    Spec::new("threads", &[Kind::Count { least: 1, most: 64 }], "1", "Threads that a query runs on."),
    Spec::new("load", &[], "no", "It holds its table group while it runs."),
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
];

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
];

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
}

#[derive(Clone, Debug)]
pub struct ClassSpec {
    pub name: String,
    pub effect: &'static str,
    pub aim: Duration,
    pub threads: u64,
    pub is_load: bool,
}

#[derive(Clone, Debug)]
pub struct GatewaySpec {
    pub name: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub start: Duration,
}

#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub action: &'static str,
    pub share: f64,
    /// Engines or gateways, or the bulletin's new state.
    pub names: Vec<String>,
    pub lasts: Duration,
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
                action if action.ends_with("-gateway") => gateways.iter().map(|g| g.name.as_str()).collect(),
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
    }
}

fn gateway(setting: &Setting) -> GatewaySpec {
    let value = |name: &str| setting.inner_value(name);
    GatewaySpec {
        name: setting.values[0].text().to_string(),
        memory_mb: value("memory").map_or(192, |size| megabytes(size) as u64),
        sockets: value("sockets").map_or(1024, Value::number),
        start: value("start").map_or(Duration::ZERO, time),
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
    })
}

fn step(setting: &Setting) -> Step {
    let mut step = Step {
        at: time(&setting.values[0]),
        action: "",
        share: 1.0,
        names: Vec::new(),
        lasts: Duration::from_secs(3600),
    };
    if let Some(action) = &setting.nested {
        step.action = action.name;
        for value in &action.values {
            match value {
                Value::Real(share) => step.share = *share,
                value => step.names.push(value.text().to_string()),
            }
        }
        step.lasts = action.option("for").map_or(step.lasts, time);
    }
    step
}
