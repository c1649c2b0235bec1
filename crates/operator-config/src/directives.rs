//! The directives of the operator's file, with their help. The words are an interface.

use eideryard_config_syntax::{Directive, ValueKind};

/// Bytes of a megabyte.
pub(crate) const MB: u64 = 1 << 20;
/// Microseconds of a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds of a day.
const DAY: u64 = 86_400 * SECOND;
/// Directives of a `fleet` block.
const FLEET: &[Directive] = &[
    Directive::new(
        "listen",
        &[ValueKind::Address],
        "nowhere; keepers need one",
        "Where other gateways of the fleet reach this one. No sign-in: a network of the fleet's own.",
    ),
    Directive::new(
        "keeper",
        &[ValueKind::Name, ValueKind::Address],
        "none; a fleet needs 3, 5 or 7",
        "A gateway that holds copies and votes, by its name in the platform's configuration.",
    )
    .repeatable(),
    Directive::new(
        "task",
        &[ValueKind::Choice(&["probe"])],
        "none: each for itself",
        "Work that one gateway does for all: `probe` asks each engine for its load once a second; all \
         hear it.",
    )
    .repeatable(),
    Directive::new(
        "without-majority",
        &[ValueKind::Choice(&["refuse", "send"])],
        "refuse",
        "Keyed and unsafe requests while no majority of keepers can hold their intents: refused with advice, \
         or sent at the risk of a second effect.",
    ),
];

/// Every directive of the operator's file.
pub const TABLE: &[Directive] = &[
    Directive::new(
        "record-dir",
        &[ValueKind::Path],
        "no record",
        "Directory of the event record; it is made where it is missing. Turns the record on.",
    ),
    Directive::new(
        "record-budget",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "256MB",
        "Bytes of all segments of this gateway together; the oldest go first.",
    ),
    Directive::new(
        "record-segment",
        &[ValueKind::Size { least: 64 << 10, most: 1 << 30 }],
        "8MB, a quarter of the budget at most",
        "A segment ends at this size. Reading can begin at each segment's start.",
    ),
    Directive::new(
        "record-segment-time",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "10m",
        "A segment ends after this time, however small it is.",
    ),
    Directive::new(
        "spool-memory",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "no spool",
        "Memory for results that clients take by pages. Turns the spool and its methods on.",
    ),
    Directive::new(
        "spool-dir",
        &[ValueKind::Path],
        "memory only",
        "Directory of the spool's files, which are removed with their results.",
    ),
    Directive::new(
        "spool-disk",
        &[ValueKind::Size { least: MB, most: 1 << 44 }],
        "1GB",
        "Bytes of these files at the most.",
    ),
    Directive::new(
        "spool-result",
        &[ValueKind::Size { least: 48 << 10, most: 1 << 40 }],
        "a quarter of memory and disk",
        "The largest single result; a larger one fails.",
    ),
    Directive::new(
        "spool-unclaimed",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "60s",
        "How long a result waits for its client, from its last use.",
    ),
    Directive::new(
        "spool-delivered",
        &[ValueKind::Time { least: SECOND, most: DAY }],
        "15s",
        "How long one that was delivered is kept for a client that comes again.",
    ),
    Directive::new(
        "spool-key",
        &[ValueKind::Text],
        "none; the spool needs one",
        "Secret that page tokens are made with, 16 characters at least.",
    ),
    Directive::new(
        "spool-previous-key",
        &[ValueKind::Text],
        "none",
        "The secret before it: its tokens are taken still.",
    ),
    Directive::new(
        "store-dir",
        &[ValueKind::Path],
        "no store",
        "Directory of this gateway's durable state, one for each; made where it is missing. Turns it on.",
    ),
    Directive::new(
        "store-budget",
        &[ValueKind::Size { least: MB, most: 1 << 40 }],
        "64MB",
        "Bytes of the store's files at the most; a third of them may be live.",
    ),
    Directive::new(
        "fleet",
        &[ValueKind::Name],
        "alone",
        "The fleet that this gateway shares its intents with, in a block. It needs store-dir.",
    )
    .block(FLEET),
    Directive::new(
        "log-level",
        &[ValueKind::Choice(&["error", "warn", "info", "debug", "trace"])],
        "info",
        "The least serious lines that are logged. `EIDERYARD_LOG` goes before it.",
    ),
    Directive::new(
        "log-target",
        &[ValueKind::Text, ValueKind::Choice(&["off", "error", "warn", "info", "debug", "trace"])],
        "as log-level",
        "Another level for one part of the program, by the target that its lines name.",
    )
    .repeatable(),
    Directive::new(
        "log-format",
        &[ValueKind::Choice(&["text", "json"])],
        "text",
        "Lines of text, or one JSON object a line.",
    ),
];
