//! Scenarios: text files in the line-based configuration syntax that define the parts of a run, and
//! the faults that are caused at given times.

use eideryard_config_syntax::{ConfigError, Directive, Setting, Value, ValueKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

mod directives;
mod specs;

pub use directives::TABLE;
pub use specs::{
    ClassSpec, EngineSpec, GatewaySpec, LinkDirection, LoadSpec, RetryTarget, Scenario, Scope, Step,
};

fn time(value: &Value) -> Duration {
    Duration::from_micros(value.number())
}

fn megabytes(value: &Value) -> f64 {
    value.number() as f64 / (1 << 20) as f64
}

impl Scenario {
    /// Parses the text of a scenario. `file` is the file name that errors contain.
    ///
    /// # Errors
    ///
    /// Returns the first error: an unknown directive, an invalid value, or a name that the scenario
    /// doesn't define.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn read(file: &str, text: &str) -> Result<Self, ConfigError> {
        let settings = eideryard_config_syntax::read(
            file,
            text,
            TABLE,
            &eideryard_config_syntax::open_include_file,
        )?;
        let all = |name: &'static str| settings.iter().filter(move |setting| setting.name == name);
        let first =
            |name: &'static str| all(name).next().and_then(|setting| setting.values.first());
        let mut engines = Vec::new();
        for setting in &settings {
            match setting.name {
                "engine" => engines.push(engine(setting, setting.values[0].text().to_string())),
                "engines" => (1..=setting.values[0].number()).for_each(|number| {
                    engines.push(engine(
                        setting,
                        format!("{}-{number}", setting.values[1].text()),
                    ));
                }),
                _ => {}
            }
        }
        let mut tenants: Vec<(String, f64)> = all("tenant")
            .map(|s| (s.values[0].text().to_string(), s.values[1].real()))
            .collect();
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
            let check_name = |kind: &str, name: &str, known_names: Vec<&str>| {
                if known_names.contains(&name) {
                    Ok(())
                } else {
                    let message = format!(
                        "load '{}' uses the {kind} '{name}', which the scenario doesn't define",
                        load.name
                    );
                    Err(ConfigError::new(
                        setting.location.clone(),
                        &message,
                        &format!("expected one of: {}", known_names.join(", ")),
                    ))
                }
            };
            check_name(
                "class",
                &load.class,
                classes.iter().map(|class| class.name.as_str()).collect(),
            )?;
            check_name(
                "tenant",
                &load.tenant,
                tenants.iter().map(|(name, _)| name.as_str()).collect(),
            )?;
            if let Some(gateway) = &load.gateway {
                check_name(
                    "gateway",
                    gateway,
                    gateways
                        .iter()
                        .map(|gateway| gateway.name.as_str())
                        .collect(),
                )?;
            }
            loads.push(load);
        }
        let mut steps = Vec::new();
        for setting in all("at") {
            let step = step(setting);
            let known_names: Vec<&str> = match step.action {
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
            if let Some(name) = step
                .names
                .iter()
                .find(|name| !known_names.contains(&name.as_str()))
            {
                let hint = format!("expected one of: {}", known_names.join(", "));
                return Err(ConfigError::new(
                    setting.location.clone(),
                    &format!("the scenario doesn't define '{name}'"),
                    &hint,
                ));
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
    let text = |name: &str, default: &str| value(name).map_or(default, Value::text).to_string();
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
        finishes_orphans: value("orphans").is_some_and(|value| value.text() == "finish"),
    }
}

fn class(setting: &Setting) -> ClassSpec {
    let value = |name: &str| setting.inner_value(name);
    let effects = ["safe", "keyed", "unsafe"];
    let effect = value("effect").map_or("safe", Value::text);
    ClassSpec {
        name: setting.values[0].text().to_string(),
        effect: effects
            .into_iter()
            .find(|name| *name == effect)
            .unwrap_or("safe"),
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

fn load(setting: &Setting) -> Result<LoadSpec, ConfigError> {
    let value = |name: &str| setting.inner_value(name);
    let text = |name: &str, default: &str| value(name).map_or(default, Value::text).to_string();
    let from = text("from", "127.0.0.1");
    let from: IpAddr = match from.parse() {
        Ok(IpAddr::V4(from)) if from.is_loopback() => from.into(),
        _ => {
            let location = setting
                .inner("from")
                .map_or(setting.location.clone(), |from| from.location.clone());
            return Err(ConfigError::new(
                location,
                &format!("'{from}' is not an IPv4 loopback address"),
                "expected one of 127.0.0.0/8",
            ));
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
            Some("same") => RetryTarget::Same,
            Some("other") => RetryTarget::Other,
            _ => RetryTarget::Any,
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
            Some("there") => LinkDirection::Forward,
            Some("back") => LinkDirection::Reverse,
            _ => LinkDirection::Both,
        };
        let times = ["by", "every", "within"].into_iter();
        step.time = times
            .filter_map(|name| action.option(name))
            .map(time)
            .next()
            .unwrap_or_default();
        step.bytes = action.option("to").map_or(0, Value::number);
    }
    step
}
