//! The directives of the operator's file, with their help texts. Operators depend on the names of
//! directives and values.

use eideryard_config_syntax::{Directive, ValueKind};

/// One megabyte in bytes.
pub(crate) const MB: u64 = 1 << 20;
/// One second in microseconds.
pub(crate) const SECOND: u64 = 1_000_000;
/// One day in microseconds.
const DAY: u64 = 86_400 * SECOND;
/// The directives of a `fleet` block.
const FLEET: &[Directive] = &[
    Directive::new(
        "listen",
        &[ValueKind::Address],
        "none; required for a keeper",
        "Address at which this gateway accepts connections from the other gateways of the fleet. There is no \
         authentication: use a private network.",
    ),
    Directive::new(
        "keeper",
        &[ValueKind::Name, ValueKind::Address],
        "none; a fleet needs 3, 5 or 7 keepers",
        "A gateway that keeps replicas and votes. NAME is its name in the platform's configuration.",
    )
    .repeatable(),
    Directive::new(
        "task",
        &[ValueKind::Choice(&["probe"])],
        "none; each gateway works for itself",
        "Work that one gateway does for the whole fleet. `probe`: it asks each engine for its load once a second \
         and sends the answers to all gateways.",
    )
    .repeatable(),
    Directive::new(
        "without-majority",
        &[ValueKind::Choice(&["refuse", "send"])],
        "refuse",
        "What happens to keyed and unsafe requests while no majority of keepers can store their intents: they are \
         refused with advice when to retry, or sent at the risk that they take effect twice.",
    ),
];

/// The top-level directives of the operator's file. The directives in a block are listed with the
/// directive that opens the block.
pub const TABLE: &[Directive] = &[
    Directive::new(
        "record-dir",
        &[ValueKind::Path],
        "no event log",
        "Directory of the event log, created if missing. Turns the event log on.",
    ),
    Directive::new(
        "record-budget",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "256MB",
        "Maximum size of all segments of this gateway together. The oldest segments are deleted first.",
    ),
    Directive::new(
        "record-segment",
        &[ValueKind::Size { least: 64 << 10, most: 1 << 30 }],
        "8MB, but at most a quarter of record-budget",
        "Size at which a segment ends. Reading can start at the beginning of any segment.",
    ),
    Directive::new(
        "record-segment-time",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "10m",
        "Time after which a segment ends, however small it is.",
    ),
    Directive::new(
        "spool-memory",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "no spool",
        "Memory for results that clients fetch in pages. Turns the result spool and its methods on.",
    ),
    Directive::new(
        "spool-dir",
        &[ValueKind::Path],
        "memory only",
        "Directory of the spool's files. Each file is deleted together with its results.",
    ),
    Directive::new(
        "spool-disk",
        &[ValueKind::Size { least: MB, most: 1 << 44 }],
        "1GB",
        "Maximum size of the files in spool-dir together.",
    ),
    Directive::new(
        "spool-result",
        &[ValueKind::Size { least: 48 << 10, most: 1 << 40 }],
        "a quarter of spool-memory and spool-disk together",
        "Maximum size of a single result. A larger result fails.",
    ),
    Directive::new(
        "spool-unclaimed",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "60s",
        "How long a result waits for its client, counted from its last use.",
    ),
    Directive::new(
        "spool-delivered",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "15s",
        "How long a delivered result is kept, in case the client requests it again.",
    ),
    Directive::new(
        "spool-key",
        &[ValueKind::Text],
        "none; required for the spool",
        "Secret that page tokens are made with, at least 16 characters.",
    ),
    Directive::new(
        "spool-previous-key",
        &[ValueKind::Text],
        "none",
        "The previous secret. Tokens that were made with it are still accepted.",
    ),
    Directive::new(
        "store-dir",
        &[ValueKind::Path],
        "no store",
        "Directory of this gateway's durable state, created if missing. Each gateway needs its own. Turns the store on.",
    ),
    Directive::new(
        "store-budget",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "64MB",
        "Maximum size of the store's files together. At most a third of it may be live data.",
    ),
    Directive::new(
        "fleet",
        &[ValueKind::Name],
        "alone",
        "The fleet that this gateway shares its intents with. Requires store-dir.",
    )
    .block(FLEET),
    Directive::new(
        "log-level",
        &[ValueKind::Choice(&["error", "warn", "info", "debug", "trace"])],
        "info",
        "The least severe level that is logged. `EIDERYARD_LOG` takes precedence.",
    ),
    Directive::new(
        "log-target",
        &[ValueKind::Text, ValueKind::Choice(&["off", "error", "warn", "info", "debug", "trace"])],
        "the same as log-level",
        "A different level for one part of the program. TEXT is the target in its log lines.",
    )
    .repeatable(),
    Directive::new(
        "log-format",
        &[ValueKind::Choice(&["text", "json"])],
        "text",
        "Format of the log: lines of text, or one JSON object per line.",
    ),
];
