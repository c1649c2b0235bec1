//! The directives of a scenario, as tables.

use super::*;

pub(super) const SECOND: u64 = 1_000_000;
pub(super) const ANY_TIME: Kind = Kind::Time {
    least: 0,
    most: 3600 * SECOND,
};
pub(super) const ANY_SIZE: Kind = Kind::Size {
    least: 0,
    most: 1 << 40,
};
pub(super) const ANY_RATE: Kind = Kind::Rate { most: 100_000.0 };
pub(super) const FOR: (&str, Kind) = ("for", ANY_TIME);

pub(super) const ENGINE: &[Spec] = &[
    Spec::new(
        "listen",
        &[Kind::Address],
        "a port of the system",
        "Where it listens.",
    ),
    Spec::new(
        "cores",
        &[Kind::Count {
            least: 1,
            most: 1024,
        }],
        "8",
        "Cores that its queries share.",
    ),
    Spec::new(
        "memory",
        &[ANY_SIZE],
        "16GB",
        "Memory that queries hold together.",
    ),
    Spec::new(
        "sessions",
        &[Kind::Count {
            least: 1,
            most: 1 << 20,
        }],
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
        &[Kind::Count {
            least: 0,
            most: 1 << 20,
        }],
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

pub(super) const LOAD: &[Spec] = &[
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

pub(super) const CLASS: &[Spec] = &[
    Spec::new(
        "effect",
        &[Kind::Choice(&["safe", "keyed", "unsafe"])],
        "safe",
        "What a repeat may do.",
    ),
    Spec::new(
        "aim",
        &[ANY_TIME],
        "1s",
        "Answers within this earn the full worth.",
    ),
    Spec::new(
        "threads",
        &[Kind::Count { least: 1, most: 64 }],
        "1",
        "Threads that a query runs on.",
    ),
    Spec::new("load", &[], "no", "It holds its table group while it runs."),
    Spec::new(
        "scope",
        &[Kind::Choice(&["all", "zone", "cell"])],
        "all",
        "Engines that drop a key's repeats.",
    ),
    Spec::new("window", &[ANY_TIME], "15s", "How long they remember it."),
    Spec::new(
        "ordered",
        &[],
        "no",
        "Requests of one key run one at a time, in the order taken.",
    ),
];

pub(super) const GATEWAY: &[Spec] = &[
    Spec::new(
        "memory",
        &[ANY_SIZE],
        "192MB",
        "Limit on memory that it is told.",
    ),
    Spec::new(
        "sockets",
        &[Kind::Count {
            least: 32,
            most: 65_536,
        }],
        "1024",
        "Limit on descriptors that it is told.",
    ),
    Spec::new("start", &[ANY_TIME], "0", "When it starts."),
    Spec::new(
        "operator",
        &[Kind::Text],
        "none",
        "A line of its operator's file; {directory} is its own.",
    )
    .many(),
];

/// The ends of links: `clients`, gateways, engines, the `bulletin`; `any` stands for all,
/// `gateways` and `engines` for all of these.
pub(super) const LINK: &[Kind] = &[Kind::Name, Kind::Name];
pub(super) const WAY: (&str, Kind) = ("way", Kind::Choice(&["both", "there", "back"]));

pub(super) const ACTIONS: &[Spec] = &[
    Spec::new(
        "kill",
        &[],
        "",
        "Engines' processes end: connections are reset, new ones refused.",
    )
    .rest(Kind::Name),
    Spec::new(
        "start",
        &[],
        "",
        "Engines that were killed start again, cold, and the list says so.",
    )
    .rest(Kind::Name),
    Spec::new(
        "vanish",
        &[],
        "",
        "Engines say nothing more, and connections stay open.",
    )
    .rest(Kind::Name)
    .options(&[FOR]),
    Spec::new(
        "reset",
        &[],
        "",
        "Engines reset their connections and go on.",
    )
    .rest(Kind::Name),
    Spec::new("stall", &[], "", "Engines stand still for a while.")
        .rest(Kind::Name)
        .options(&[FOR]),
    Spec::new(
        "errors",
        &[Kind::Share],
        "",
        "Engines answer a share of queries with errors.",
    )
    .rest(Kind::Name)
    .options(&[FOR]),
    Spec::new("busy", &[], "", "Engines answer all new queries busy.")
        .rest(Kind::Name)
        .options(&[FOR]),
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
    Spec::new(
        "start-gateway",
        &[],
        "",
        "Gateways start again under their names.",
    )
    .rest(Kind::Name),
    Spec::new(
        "pause-gateway",
        &[],
        "",
        "Gateways stand still (SIGSTOP), then go on.",
    )
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
    Spec::new(
        "save-directory",
        &[],
        "",
        "Gateways' directories are copied.",
    )
    .rest(Kind::Name),
    Spec::new(
        "wipe-directory",
        &[],
        "",
        "Gateways' directories are emptied.",
    )
    .rest(Kind::Name),
    Spec::new(
        "put-back-directory",
        &[],
        "",
        "The copies take the place of gateways' directories.",
    )
    .rest(Kind::Name),
    Spec::new(
        "link-cut",
        LINK,
        "",
        "Nothing passes a link, and new connections never come up.",
    )
    .options(&[WAY, FOR]),
    Spec::new(
        "link-stall",
        LINK,
        "",
        "Nothing passes a link, but new connections come up.",
    )
    .options(&[WAY, FOR]),
    Spec::new(
        "link-swallow",
        LINK,
        "",
        "A link takes bytes and delivers none; it resets when that is over.",
    )
    .options(&[WAY, FOR]),
    Spec::new("link-delay", LINK, "", "What passes a link takes longer.").options(&[BY, WAY, FOR]),
    Spec::new(
        "link-throttle",
        LINK,
        "",
        "Bytes a second that pass a link.",
    )
    .options(&[TO, WAY, FOR]),
    Spec::new("link-flap", LINK, "", "A link is cut and whole in turn.").options(&[EVERY, FOR]),
    Spec::new("link-reset", LINK, "", "Connections of a link end now."),
    Spec::new(
        "power-loss",
        &[],
        "",
        "All gateways, engines and the bulletin end within a millisecond.",
    ),
    Spec::new(
        "power-back",
        &[],
        "",
        "They start again (`all`, or those named), in drawn order.",
    )
    .rest(Kind::Name)
    .options(&[WITHIN]),
];

pub(super) const BY: (&str, Kind) = ("by", ANY_TIME);
pub(super) const TO: (&str, Kind) = ("to", ANY_SIZE);
pub(super) const EVERY: (&str, Kind) = (
    "every",
    Kind::Time {
        least: 1_000,
        most: 3600 * SECOND,
    },
);
pub(super) const WITHIN: (&str, Kind) = ("within", ANY_TIME);

/// All directives of a scenario.
pub const TABLE: &[Spec] = &[
    Spec::new(
        "seed",
        &[Kind::Count {
            least: 0,
            most: u64::MAX,
        }],
        "1",
        "What all random numbers come of.",
    ),
    Spec::new(
        "time",
        &[ANY_TIME],
        "10s",
        "How long the loads run; `0` goes on until it is ended.",
    ),
    Spec::new(
        "bulletin",
        &[Kind::Address],
        "a port of the system",
        "Where the bulletin listens.",
    ),
    Spec::new(
        "tenant",
        &[Kind::Name, ANY_RATE],
        "acme 1000/s",
        "A tenant and its share over all gateways.",
    )
    .many(),
    Spec::new("class", &[Kind::Name], "report, safe", "A class.")
        .block(CLASS)
        .many(),
    Spec::new("engine", &[Kind::Name], "none", "An engine.")
        .block(ENGINE)
        .many(),
    Spec::new(
        "engines",
        &[
            Kind::Count {
                least: 1,
                most: 999,
            },
            Kind::Name,
        ],
        "none",
        "So many engines, named with their numbers from 1.",
    )
    .block(ENGINE)
    .many(),
    Spec::new(
        "gateway",
        &[Kind::Name],
        "none",
        "A gateway, where a program to start is given.",
    )
    .block(GATEWAY)
    .many(),
    Spec::new("load", &[Kind::Name], "none", "Clients.")
        .block(LOAD)
        .many(),
    Spec::new("at", &[ANY_TIME], "none", "What goes wrong, and when.")
        .nested(ACTIONS)
        .many(),
];
