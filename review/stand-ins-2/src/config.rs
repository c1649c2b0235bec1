//! The configuration of a gateway in a small deployment.

use std::net::SocketAddr;

use crate::engine::Engine;

/// A class of requests, with the words of the settings.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// `pure`, `token` or `side_effect`.
    pub repeat: &'static str,
    /// `all`, `zone` or `cell`.
    pub group: &'static str,
    pub window_ms: u64,
    pub in_order: bool,
    pub threads: u32,
    pub is_load: bool,
}

/// What differs between the deployments of the cases.
pub struct Site {
    pub classes: Vec<Class>,
    pub tenant: &'static str,
    pub may_cancel: bool,
    pub max_attempts: u32,
    pub note_ms: u64,
    pub order_pause_ms: u64,
    pub zones: Vec<&'static str>,
    /// Number of gateways.
    pub gateways: u32,
    pub drain_grace_ms: u64,
    /// Member of `limits`.
    pub memory_mb: u64,
    pub sockets: u64,
}

/// An engine as the list names it.
pub fn host(engine: &Engine, zone: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{}","dial":"{}","site":"{zone}","class":"std","block":0,"health":"{health}","share":1,"born_ms":0}}"#,
        engine.name, engine.address
    )
}

/// The configuration of the gateway with this index, from 0; its name is `n1` and so on.
pub fn config(
    site: &Site,
    index: u32,
    listen: SocketAddr,
    bulletin: SocketAddr,
    hosts: &[String],
) -> String {
    let class = |class: &Class| {
        format!(
            r#"{{"name":"{}","aim-us":{},"aim-stretch":2.0,"deadline-us":{},"value":1.0,"late-worth":0.3,"repeat":"{}","group":"{}","window-us":{},"sequential":{},"stream":false}}"#,
            class.name,
            class.aim_ms * 1000,
            class.deadline_ms * 1000,
            class.repeat,
            class.group,
            class.window_ms * 1000,
            class.in_order
        )
    };
    let list = |text: &dyn Fn(&Class) -> String| {
        let texts: Vec<String> = site.classes.iter().map(text).collect();
        texts.join(",")
    };
    let zones = site.zones.iter().map(|zone| format!("\"{zone}\""));
    let zones: Vec<String> = zones.collect();
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"bulletin":"{bulletin}",
"known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{hosts}]}}}}]}},
"settings":{{"tick-us":5000,"peers-total":{gateways},"self-index":{index},"az":0,"discovery":"push","zones":[{zones}],"kinds":["std"],
"grades":[{classes}],
"orgs":[{{"name":"{tenant}","quota-rps":100.0,"share":1.0}}],"over-share-worth":0.2,
"extra":{{"kind-cores":[8],"kind-memory-mb":[16384.0],"threads-by-class":[{threads}],"is-load":[{loads}],
"class-waits":[{waits}],"largest-share":0.4,"note-period-us":{notes},"bills":true,"grants":true,"ranks-heeded":true}},
"report":{{"fields":["concurrent","load_share"],"source":"on_probe"}},
"limits":{{"may-cancel":{cancel},"may-duplicate":false,"peers":false,"probes":true,"retry-after":true,
"max-attempts":{attempts},"max-retry-after-us":500000,"conn-idle-us":30000000,"dial-timeout-us":250000,
"streams-per-conn":100}},
"rules":{{"warm-within-us":15000000,"start-capacity":0.34,"fall-multiple":2.0,"fall-us":3000000,
"drain-grace-us":{grace},"grace-to-answer-us":20000,"ask-every-us":10000000,"order-pause-us":{pause}}}}}}}"#,
        memory = site.memory_mb,
        sockets = site.sockets,
        hosts = hosts.join(","),
        classes = list(&class),
        tenant = site.tenant,
        number = index + 1,
        gateways = site.gateways,
        zones = zones.join(","),
        threads = list(&|class| class.threads.to_string()),
        loads = list(&|class| class.is_load.to_string()),
        waits = list(&|_| "false".to_string()),
        notes = site.note_ms * 1000,
        cancel = site.may_cancel,
        attempts = site.max_attempts,
        grace = site.drain_grace_ms * 1000,
        pause = site.order_pause_ms * 1000,
    )
}
