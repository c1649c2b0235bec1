//! The directives of a scenario, as tables.

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
        "Where it listens.",
    ),
    Directive::new(
        "cores",
        &[ValueKind::Count {
            least: 1,
            most: 1024,
        }],
        "8",
        "Cores that its queries share.",
    ),
    Directive::new(
        "memory",
        &[ANY_SIZE],
        "16GB",
        "Memory that queries hold together.",
    ),
    Directive::new(
        "sessions",
        &[ValueKind::Count {
            least: 1,
            most: 1 << 20,
        }],
        "512",
        "Queries at once; more are answered busy.",
    ),
    Directive::new(
        "warm-up",
        &[ANY_TIME],
        "0",
        "Time from a start until it has all its cores; 40% of them at first.",
    ),
    Directive::new("kind", &[ValueKind::Name], "std", "Machine kind."),
    Directive::new("zone", &[ValueKind::Name], "here", "Zone."),
    Directive::new(
        "cell",
        &[ValueKind::Count {
            least: 0,
            most: 1 << 20,
        }],
        "0",
        "Engines of one cell know each other's keys in classes of that scope.",
    ),
    Directive::new(
        "orphans",
        &[ValueKind::Choice(&["stop", "finish"])],
        "stop",
        "What becomes of a query whose connection ends.",
    ),
];

pub(super) const LOAD: &[Directive] = &[
    Directive::new("gateway", &[ValueKind::Name], "each in turn", "The gateway that it asks."),
    Directive::new("class", &[ValueKind::Name], "report", "Class of its requests."),
    Directive::new("tenant", &[ValueKind::Name], "acme", "Tenant."),
    Directive::new("rate", &[ANY_RATE], "10/s", "Requests a second on average, at random times."),
    Directive::new("begin", &[ANY_TIME], "0", "When it begins."),
    Directive::new("end", &[ANY_TIME], "the scenario's", "When it ends."),
    Directive::new("wait", &[ANY_TIME], "5s", "How long its clients wait."),
    Directive::new("work", &[ANY_TIME], "80ms", "Median work on one core."),
    Directive::new("memory", &[ANY_SIZE], "64MB", "Median memory."),
    Directive::new(
        "spread",
        &[ValueKind::Count { least: 0, most: 300 }],
        "50",
        "Spread of both: sigma of their logarithm, in hundredths.",
    ),
    Directive::new("rows", &[ValueKind::Count { least: 0, most: 2_000_000 }], "4", "Rows of a result."),
    Directive::new(
        "connections",
        &[ValueKind::Count { least: 1, most: 4096 }],
        "2",
        "Connections that it spreads over.",
    ),
    Directive::new("forgets", &[ValueKind::Share], "0%", "Part of its requests that it takes back soon after."),
    Directive::new("from", &[ValueKind::Text], "127.0.0.1", "The address that it comes from."),
    Directive::new(
        "retries",
        &[ValueKind::Count { least: 0, most: 10 }],
        "0",
        "Tries more after a refusal, when its advice is over.",
    ),
    Directive::new(
        "returns",
        &[ValueKind::Count { least: 0, most: 10 }],
        "0",
        "Tries more after a connection that ended or an answer that never came; none in unsafe classes.",
    ),
    Directive::new("back", &[ValueKind::Choice(&["any", "same", "other"])], "any", "The gateway that these go to."),
    Directive::new("marked", &[ValueKind::Share], "100%", "Part of the tries more that say so (`r`)."),
    Directive::new("hasty", &[ValueKind::Share], "0%", "Part of the tries more that come before the advice is over."),
    Directive::new("late", &[ValueKind::Share], "0%", "Part of the tries more that come after the class's window."),
    Directive::new(
        "keys",
        &[ValueKind::Count { least: 1, most: 1 << 20 }],
        "a new one each",
        "Keys that it draws from.",
    ),
];

pub(super) const CLASS: &[Directive] = &[
    Directive::new(
        "effect",
        &[ValueKind::Choice(&["safe", "keyed", "unsafe"])],
        "safe",
        "What a repeat may do.",
    ),
    Directive::new(
        "aim",
        &[ANY_TIME],
        "1s",
        "Answers within this earn the full worth.",
    ),
    Directive::new(
        "threads",
        &[ValueKind::Count { least: 1, most: 64 }],
        "1",
        "Threads that a query runs on.",
    ),
    Directive::new("load", &[], "no", "It holds its table group while it runs."),
    Directive::new(
        "scope",
        &[ValueKind::Choice(&["all", "zone", "cell"])],
        "all",
        "Engines that drop a key's repeats.",
    ),
    Directive::new("window", &[ANY_TIME], "15s", "How long they remember it."),
    Directive::new(
        "ordered",
        &[],
        "no",
        "Requests of one key run one at a time, in the order taken.",
    ),
];

pub(super) const GATEWAY: &[Directive] = &[
    Directive::new(
        "memory",
        &[ANY_SIZE],
        "192MB",
        "Limit on memory that it is told.",
    ),
    Directive::new(
        "sockets",
        &[ValueKind::Count {
            least: 32,
            most: 65_536,
        }],
        "1024",
        "Limit on descriptors that it is told.",
    ),
    Directive::new("start", &[ANY_TIME], "0", "When it starts."),
    Directive::new(
        "operator",
        &[ValueKind::Text],
        "none",
        "A line of its operator's file; {directory} is its own.",
    )
    .repeatable(),
];

/// The ends of links: `clients`, gateways, engines, the `bulletin`; `any` stands for all,
/// `gateways` and `engines` for all of these.
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
        "Engines that were killed start again, cold, and the list says so.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "vanish",
        &[],
        "",
        "Engines say nothing more, and connections stay open.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new(
        "reset",
        &[],
        "",
        "Engines reset their connections and go on.",
    )
    .rest(ValueKind::Name),
    Directive::new("stall", &[], "", "Engines stand still for a while.")
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
    Directive::new("drain", &[], "", "The list says that engines drain.").rest(ValueKind::Name),
    Directive::new("remove", &[], "", "The list drops engines.").rest(ValueKind::Name),
    Directive::new("list", &[], "", "The list says that engines are up.").rest(ValueKind::Name),
    Directive::new(
        "bulletin",
        &[ValueKind::Choice(&["up", "down", "silent"])],
        "",
        "The bulletin answers, is out of reach, or says nothing.",
    ),
    Directive::new("kill-gateway", &[], "", "Gateways are killed outright.").rest(ValueKind::Name),
    Directive::new("stop-gateway", &[], "", "Gateways get SIGTERM.").rest(ValueKind::Name),
    Directive::new(
        "start-gateway",
        &[],
        "",
        "Gateways start again under their names.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "pause-gateway",
        &[],
        "",
        "Gateways stand still (SIGSTOP), then go on.",
    )
    .rest(ValueKind::Name)
    .options(&[FOR]),
    Directive::new(
        "stall-disk",
        &[],
        "",
        "The threads that write gateways' stores stand still, as on a disk that hangs.",
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
        "The copies take the place of gateways' directories.",
    )
    .rest(ValueKind::Name),
    Directive::new(
        "link-cut",
        LINK,
        "",
        "Nothing passes a link, and new connections never come up.",
    )
    .options(&[WAY, FOR]),
    Directive::new(
        "link-stall",
        LINK,
        "",
        "Nothing passes a link, but new connections come up.",
    )
    .options(&[WAY, FOR]),
    Directive::new(
        "link-swallow",
        LINK,
        "",
        "A link takes bytes and delivers none; it resets when that is over.",
    )
    .options(&[WAY, FOR]),
    Directive::new("link-delay", LINK, "", "What passes a link takes longer.")
        .options(&[BY, WAY, FOR]),
    Directive::new(
        "link-throttle",
        LINK,
        "",
        "Bytes a second that pass a link.",
    )
    .options(&[TO, WAY, FOR]),
    Directive::new("link-flap", LINK, "", "A link is cut and whole in turn.")
        .options(&[EVERY, FOR]),
    Directive::new("link-reset", LINK, "", "Connections of a link end now."),
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
        "They start again (`all`, or those named), in drawn order.",
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
        "What all random numbers come of.",
    ),
    Directive::new(
        "time",
        &[ANY_TIME],
        "10s",
        "How long the loads run; `0` goes on until it is ended.",
    ),
    Directive::new(
        "bulletin",
        &[ValueKind::Address],
        "a port of the system",
        "Where the bulletin listens.",
    ),
    Directive::new(
        "tenant",
        &[ValueKind::Name, ANY_RATE],
        "acme 1000/s",
        "A tenant and its share over all gateways.",
    )
    .repeatable(),
    Directive::new("class", &[ValueKind::Name], "report, safe", "A class.")
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
        "So many engines, named with their numbers from 1.",
    )
    .block(ENGINE)
    .repeatable(),
    Directive::new(
        "gateway",
        &[ValueKind::Name],
        "none",
        "A gateway, where a program to start is given.",
    )
    .block(GATEWAY)
    .repeatable(),
    Directive::new("load", &[ValueKind::Name], "none", "Clients.")
        .block(LOAD)
        .repeatable(),
    Directive::new("at", &[ANY_TIME], "none", "What goes wrong, and when.")
        .nested(ACTIONS)
        .repeatable(),
];
