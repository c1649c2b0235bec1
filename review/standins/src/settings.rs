//! Settings like those of the deployment `gulf-produce` at its first size: the figures of its site
//! file, in the names of the gateways' configuration.

/// What a case changes in the settings.
pub struct Changes {
    /// Number of gateways.
    pub peers: usize,
    /// Index of this gateway among them.
    pub me: usize,
    /// Which engines drop repeats of `reading-load`: `all`, `zone` or `cell`.
    pub load_group: &'static str,
    /// Whether attempts can be cancelled.
    pub may_cancel: bool,
    /// The longest that a client of `reading-load` or `history-report` waits over all its tries.
    pub deadline_ms: u64,
    /// How long engines drop repeats of a `reading-load`.
    pub window_ms: u64,
}

/// The names of the zones.
pub const ZONES: [&str; 3] = ["bldg-a", "bldg-b", "bldg-c"];
/// The longest that a client of `reading-load` waits over all its tries, in milliseconds.
pub const LOAD_DEADLINE_MS: u64 = 25_000;
/// How long engines drop repeats of a `reading-load`, in milliseconds.
pub const LOAD_WINDOW_MS: u64 = 15_000;

/// The settings as JSON.
pub fn gulf(changes: &Changes) -> String {
    let Changes {
        peers,
        me,
        load_group,
        may_cancel,
        ..
    } = changes;
    let window_us = changes.window_ms * 1000;
    let deadline_us = changes.deadline_ms * 1000;
    let report_us = deadline_us.min(20_000_000);
    let zone = me % ZONES.len();
    format!(
        r#"{{
"az":{zone},"tick-us":5000,"peers-total":{peers},"self-index":{me},"tier":0,"tiers":["query-engines"],
"discovery":"push","domain-type":"queries","value-by":"request","weights":"rough","over-share-worth":0.2,
"zones":["bldg-a","bldg-b","bldg-c"],"kinds":["std-16","std-12"],
"grades":[
 {{"name":"reading-lookup","aim-us":800000,"aim-stretch":2.0,"deadline-us":4000000,"late-worth":0.0,"value":1.0,
   "repeat":"pure","group":"all","window-us":15000000,"stream":false}},
 {{"name":"history-report","aim-us":3000000,"aim-stretch":2.5,"deadline-us":{report_us},"late-worth":0.3,"value":8.0,
   "repeat":"pure","group":"all","window-us":15000000,"stream":false,"kinds-only":["std-16"]}},
 {{"name":"reading-load","aim-us":4000000,"aim-stretch":2.5,"deadline-us":{deadline_us},"late-worth":0.5,"value":8.0,
   "repeat":"token","group":"{load_group}","window-us":{window_us},"stream":false}}],
"orgs":[{{"name":"bayou-reefer","quota-rps":90.0,"share":0.58}},{{"name":"delta-fresh-haul","quota-rps":30.0,"share":0.17}},
 {{"name":"pinecrest-cold","quota-rps":25.0,"share":0.14}},{{"name":"magnolia-freight","quota-rps":20.0,"share":0.11}}],
"extra":{{"bills":true,"class-waits":[false,false,false],"grants":true,"is-load":[false,false,true],"kind-cores":[16,12],
 "kind-memory-mb":[32768.0,24576.0],"largest-share":0.4,"note-period-us":500000,"on-shortage":"shrink","ranks-heeded":true,
 "threads-by-class":[1,2,2]}},
"report":{{"fields":["concurrent","depth","x1"],"source":"inline"}},
"client-habits":{{"marks-retry":true}},
"limits":{{"may-cancel":{may_cancel},"may-duplicate":true,"probes":true,"peers":false,"retry-after":true,"max-attempts":5,
 "max-retry-after-us":1000000,"conn-idle-us":30000000,"dial-timeout-us":250000,"streams-per-conn":32}},
"rules":{{"warm-within-us":15000000,"start-capacity":0.32,"fall-multiple":2.5,"fall-us":1000000,
 "drain-grace-us":500000,"grace-to-answer-us":20000,"ask-every-us":10000000}},
"tariffs":{{"cross-zone":0.044,"waste":0.03,"probe":0.01,"late-fail":0.05}}
}}"#
    )
}
