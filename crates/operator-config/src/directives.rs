//! The directives of the operator's file, with their help. The words are an interface.

use eideryard_config_syntax::{Kind, Spec};

/// Bytes of a megabyte.
pub(crate) const MB: u64 = 1 << 20;
/// Microseconds of a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds of a day.
const DAY: u64 = 86_400 * SECOND;
/// Directives of a `fleet` block.
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

/// Every directive of the operator's file.
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
        &[Kind::Time { least: SECOND, most: DAY }],
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
        &[Kind::Time { least: SECOND, most: DAY }],
        "60s",
        "How long a result waits for its client, from its last use.",
    ),
    Spec::new(
        "spool-delivered",
        &[Kind::Time { least: SECOND, most: DAY }],
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
