//! The tables of a scenario's directives, with their defaults and descriptions.

use super::*;

pub(super) const SECOND: u64 = 1_000_000;
pub(super) const ANY_TIME: ValueKind = ValueKind::Time {
    least: 0,
    most: 3600 * SECOND,
};
pub(super) const ANY_SIZE: ValueKind = ValueKind::Size {
    least: 0,
    most: 1 << 40,
};
pub(super) const ANY_RATE: ValueKind = ValueKind::Rate { most: 100_000.0 };
pub(super) const FOR: (&str, ValueKind) = ("for", ANY_TIME);

pub(super) const ENGINE: &[Directive] = &[
    Directive::new(
        "listen",
        &[ValueKind::Address],
        "a port of the system",
        "Address at which it listens.",
    ),
    Directive::new(
        "cores",
        &[ValueKind::Count {
            least: 1,
            most: 1024,
        }],
        "8",
        "Number of cores, shared by its queries.",
    ),
    Directive::new(
        "memory",
        &[ANY_SIZE],
        "16GB",
        "Memory for all running queries together.",
    ),
    Directive::new(
        "sessions",
        &[ValueKind::Count {
            least: 1,
            most: 1 << 20,
        }],
        "512",
        "Maximum number of queries at a time; more are answered busy.",
    ),
    Directive::new(
        "warm-up",
        &[ANY_TIME],
        "0",
        "Time from a start until all cores are available; 40% of them at first.",
    ),
    Directive::new(
        "kind",
        &[ValueKind::Name],
        "std",
        "Machine kind in the endpoint list.",
    ),
    Directive::new(
        "zone",
        &[ValueKind::Name],
        "here",
        "Zone in the endpoint list.",
    ),
    Directive::new(
        "cell",
        &[ValueKind::Count {
            least: 0,
            most: 1 << 20,
        }],
        "0",
        "Engines of one cell share the memory of keys in classes with the scope `cell`.",
    ),
    Directive::new(
        "orphans",
        &[ValueKind::Choice(&["stop", "finish"])],
        "stop",
        "Whether a query is stopped or finished after its connection has closed.",
    ),
];

pub(super) const LOAD: &[Directive] = &[
    Directive::new("gateway", &[ValueKind::Name], "each in turn", "Gateway to which it sends requests."),
    Directive::new("class", &[ValueKind::Name], "report", "Class of its requests."),
    Directive::new("tenant", &[ValueKind::Name], "acme", "Tenant of its requests."),
    Directive::new("rate", &[ANY_RATE], "10/s", "Average number of requests per second, at random times."),
    Directive::new("begin", &[ANY_TIME], "0", "Time at which it begins."),
    Directive::new("end", &[ANY_TIME], "the scenario's", "Time at which it ends."),
    Directive::new("wait", &[ANY_TIME], "5s", "Timeout of its clients."),
    Directive::new("work", &[ANY_TIME], "80ms", "Median work of a query on one core."),
    Directive::new("memory", &[ANY_SIZE], "64MB", "Median memory of a query."),
    Directive::new(
        "spread",
        &[ValueKind::Count { least: 0, most: 300 }],
        "50",
        "Standard deviation of the logarithms of work and memory, in hundredths.",
    ),
    Directive::new("rows", &[ValueKind::Count { least: 0, most: 2_000_000 }], "4", "Number of rows of each result."),
    Directive::new(
        "connections",
        &[ValueKind::Count { least: 1, most: 4096 }],
        "2",
        "Number of connections over which requests are distributed.",
    ),
    Directive::new("forgets", &[ValueKind::Share], "0%", "Share of its requests that are cancelled shortly after they are sent."),
    Directive::new("from", &[ValueKind::Text], "127.0.0.1", "Local address of its connections, one of 127.0.0.0/8."),
    Directive::new(
        "retries",
        &[ValueKind::Count { least: 0, most: 10 }],
        "0",
        "Maximum number of retries after rejections, at the advised time.",
    ),
    Directive::new(
        "returns",
        &[ValueKind::Count { least: 0, most: 10 }],
        "0",
        "Maximum number of retries after lost connections and missing answers; none in unsafe classes.",
    ),
    Directive::new("back", &[ValueKind::Choice(&["any", "same", "other"])], "any", "Gateway to which these retries are sent."),
    Directive::new("marked", &[ValueKind::Share], "100%", "Share of the retries that are marked as such (field `r`)."),
    Directive::new("hasty", &[ValueKind::Share], "0%", "Share of the retries that are sent before the advised time."),
    Directive::new("late", &[ValueKind::Share], "0%", "Share of the retries that are sent after the class's window."),
    Directive::new(
        "keys",
        &[ValueKind::Count { least: 1, most: 1 << 20 }],
        "a new one each",
        "Number of keys from which each request draws one.",
    ),
];

pub(super) const CLASS: &[Directive] = &[
    Directive::new(
        "effect",
        &[ValueKind::Choice(&["safe", "keyed", "unsafe"])],
        "safe",
        "Whether a repeated request is harmless: always, with the same key, or never.",
    ),
    Directive::new(
        "aim",
        &[ANY_TIME],
        "1s",
        "Latency target: answers within this time have their full value.",
    ),
    Directive::new(
        "threads",
        &[ValueKind::Count { least: 1, most: 64 }],
        "1",
        "Number of threads of a query.",
    ),
    Directive::new(
        "load",
        &[],
        "no",
        "Its queries are loads, which lock their table group while they run.",
    ),
    Directive::new(
        "scope",
        &[ValueKind::Choice(&["all", "zone", "cell"])],
        "all",
        "Engines that drop repeats of a key.",
    ),
    Directive::new(
        "window",
        &[ANY_TIME],
        "15s",
        "How long engines remember a key.",
    ),
    Directive::new(
        "ordered",
        &[],
        "no",
        "Requests with the same key run one at a time, in the order of their acceptance.",
    ),
];

pub(super) const GATEWAY: &[Directive] = &[
    Directive::new(
        "memory",
        &[ANY_SIZE],
        "192MB",
        "Memory limit in its configuration.",
    ),
    Directive::new(
        "sockets",
        &[ValueKind::Count {
            least: 32,
            most: 65_536,
        }],
        "1024",
        "Limit on file descriptors in its configuration.",
    ),
    Directive::new("start", &[ANY_TIME], "0", "Time at which it starts."),
    Directive::new(
        "operator",
        &[ValueKind::Text],
        "none",
        "A line of its operator's file; {directory} stands for its own directory.",
    )
    .repeatable(),
];

/// The two ends of a link: `clients`, the `bulletin`, or the name of a gateway or engine. `any`
/// matches every end, `gateways` and `engines` match all ends of that type.
pub(super) const LINK: &[ValueKind] = &[ValueKind::Name, ValueKind::Name];
pub(super) const WAY: (&str, ValueKind) = ("way", ValueKind::Choice(&["both", "there", "back"]));

pub(super) const ACTIONS: &[Directive] = &[
    Directive::new(
        "kill",
        &[],
        "",
        "Engines' processes end: connections are reset, new ones refused.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "start",
        &[],
        "",
        "Killed engines start again, cold, and are announced in the endpoint list.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "vanish",
        &[],
        "",
        "Engines stop responding, while connections stay open.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new(
        "reset",
        &[],
        "",
        "Engines reset all connections and continue.",
    )
    .rest(ValueKind::Name),
    Directive::new("stall", &[], "", "Engines are paused.")
        .rest(ValueKind::Name)
        .options(&[FOR]),
    Directive::new(
        "errors",
        &[ValueKind::Share],
        "",
        "Engines answer a share of queries with errors.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new("busy", &[], "", "Engines answer all new queries busy.")
        .rest(ValueKind::Name)
        .options(&[FOR]),
    Directive::new(
        "drain",
        &[],
        "",
        "The endpoint list announces that engines are draining.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "remove",
        &[],
        "",
        "Engines are removed from the endpoint list.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "list",
        &[],
        "",
        "The endpoint list announces that engines are up.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "bulletin",
        &[ValueKind::Choice(&["up", "down", "silent"])],
        "",
        "The bulletin responds, is unreachable, or is silent.",
    ),
    Directive::new("kill-gateway", &[], "", "Gateways get SIGKILL.").rest(ValueKind::Name),
    Directive::new("stop-gateway", &[], "", "Gateways get SIGTERM.").rest(ValueKind::Name),
    Directive::new(
        "start-gateway",
        &[],
        "",
        "Gateways start again under the same names.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "pause-gateway",
        &[],
        "",
        "Gateways are paused (SIGSTOP), then continued.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new(
        "stall-disk",
        &[],
        "",
        "The threads that write gateways' stores are paused, as if the disk hung.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new(
        "save-directory",
        &[],
        "",
        "Gateways' directories are copied.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "wipe-directory",
        &[],
        "",
        "Gateways' directories are emptied.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "put-back-directory",
        &[],
        "",
        "Gateways' directories are replaced by the copies.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "link-cut",
        LINK,
        "",
        "A link delivers nothing, and new connections can't be opened.",
    )
    .options(&[WAY, FOR]),
    Directive::new(
        "link-stall",
        LINK,
        "",
        "A link delivers nothing, but new connections can be opened.",
    )
    .options(&[WAY, FOR]),
    Directive::new(
        "link-swallow",
        LINK,
        "",
        "A link accepts bytes and discards them; its connections are reset at the end.",
    )
    .options(&[WAY, FOR]),
    Directive::new("link-delay", LINK, "", "A link delivers with a delay.")
        .options(&[BY, WAY, FOR]),
    Directive::new(
        "link-throttle",
        LINK,
        "",
        "A link delivers a limited number of bytes per second.",
    )
    .options(&[TO, WAY, FOR]),
    Directive::new("link-flap", LINK, "", "A link is cut and restored in turn.")
        .options(&[EVERY, FOR]),
    Directive::new(
        "link-reset",
        LINK,
        "",
        "The connections of a link are reset.",
    ),
    Directive::new(
        "power-loss",
        &[],
        "",
        "All gateways, engines and the bulletin end within a millisecond.",
    ),
    Directive::new(
        "power-back",
        &[],
        "",
        "They start again (`all`, or those named), in random order.",
    )
    .rest(ValueKind::Name)
    .options(&[WITHIN]),
];

pub(super) const BY: (&str, ValueKind) = ("by", ANY_TIME);
pub(super) const TO: (&str, ValueKind) = ("to", ANY_SIZE);
pub(super) const EVERY: (&str, ValueKind) = (
    "every",
    ValueKind::Time {
        least: 1_000,
        most: 3600 * SECOND,
    },
);
pub(super) const WITHIN: (&str, ValueKind) = ("within", ANY_TIME);

/// All directives of a scenario.
pub const TABLE: &[Directive] = &[
    Directive::new(
        "seed",
        &[ValueKind::Count {
            least: 0,
            most: u64::MAX,
        }],
        "1",
        "Seed of all random numbers.",
    ),
    Directive::new(
        "time",
        &[ANY_TIME],
        "10s",
        "How long the loads run; `0`: until the process is stopped.",
    ),
    Directive::new(
        "bulletin",
        &[ValueKind::Address],
        "a port of the system",
        "Address at which the bulletin listens.",
    ),
    Directive::new(
        "tenant",
        &[ValueKind::Name, ANY_RATE],
        "acme 1000/s",
        "A tenant and its quota over all gateways.",
    )
    .repeatable(),
    Directive::new(
        "class",
        &[ValueKind::Name],
        "report, safe",
        "A class of requests.",
    )
    .block(CLASS)
    .repeatable(),
    Directive::new("engine", &[ValueKind::Name], "none", "An engine.")
        .block(ENGINE)
        .repeatable(),
    Directive::new(
        "engines",
        &[
            ValueKind::Count {
                least: 1,
                most: 999,
            },
            ValueKind::Name,
        ],
        "none",
        "A number of engines; their names end with numbers from 1.",
    )
    .block(ENGINE)
    .repeatable(),
    Directive::new(
        "gateway",
        &[ValueKind::Name],
        "none",
        "A gateway; only started if the run is given a program.",
    )
    .block(GATEWAY)
    .repeatable(),
    Directive::new(
        "load",
        &[ValueKind::Name],
        "none",
        "Clients that send requests.",
    )
    .block(LOAD)
    .repeatable(),
    Directive::new(
        "at",
        &[ANY_TIME],
        "none",
        "An action at a time, such as a fault.",
    )
    .nested(ACTIONS)
    .repeatable(),
];
