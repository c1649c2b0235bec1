//! Valid and invalid texts: the parsed settings, and the errors with their locations.

use eideryard_config_syntax::include::IncludedFile;
use eideryard_config_syntax::{read, ConfigError, Directive, Setting, ValueKind};

const INNER: &[Directive] = &[
    Directive::new(
        "cores",
        &[ValueKind::Count { least: 1, most: 64 }],
        "8",
        "Cores.",
    ),
    Directive::new("share", &[ValueKind::Share], "100%", "Share."),
];
const ACTIONS: &[Directive] = &[Directive::new("kill", &[], "", "Kill.")
    .rest(ValueKind::Name)
    .options(&[(
        "for",
        ValueKind::Time {
            least: 0,
            most: 3_600_000_000,
        },
    )])];
const TABLE: &[Directive] = &[
    Directive::new(
        "size",
        &[ValueKind::Size {
            least: 1 << 10,
            most: 1 << 30,
        }],
        "1MB",
        "A size.",
    ),
    Directive::new(
        "pause",
        &[ValueKind::Time {
            least: 1000,
            most: 60_000_000,
        }],
        "1s",
        "A time.",
    ),
    Directive::new(
        "mode",
        &[ValueKind::Choice(&["fast", "slow"])],
        "fast",
        "A choice.",
    ),
    Directive::new("title", &[ValueKind::Text], "none", "A text."),
    Directive::new("listen", &[ValueKind::Address], "none", "An address."),
    Directive::new(
        "rate",
        &[ValueKind::Rate { most: 1000.0 }],
        "1/s",
        "A rate.",
    ),
    Directive::new("engine", &[ValueKind::Name], "none", "An engine.")
        .block(INNER)
        .repeatable(),
    Directive::new(
        "at",
        &[ValueKind::Time {
            least: 0,
            most: 3_600_000_000,
        }],
        "none",
        "When.",
    )
    .nested(ACTIONS)
    .repeatable(),
];

fn parse(text: &str) -> Result<Vec<Setting>, ConfigError> {
    read("a.conf", text, TABLE, &|_, name| match name {
        "more.conf" => Ok(IncludedFile {
            name: "more.conf".into(),
            text: "mode slow\n".into(),
        }),
        "loop.conf" => Ok(IncludedFile {
            name: "loop.conf".into(),
            text: "include loop.conf\n".into(),
        }),
        _ => Err(std::io::Error::other("no such file")),
    })
}

#[test]
fn values_are_parsed_with_their_units() {
    let text = "# all of it\nsize 64MB # after\n\n  pause 1.5s\ntitle \"a \\\"b\\\" # c {\"\nlisten 127.0.0.1:7000\n\
                rate 2.5/s\nengine e-1 {\n  cores 4\n  share 20%\n}\nengine e_2 {\n}\nat 4s kill a b for 250ms\n\
                include more.conf\n";
    let settings = parse(text).unwrap();
    let names: Vec<&str> = settings.iter().map(|setting| setting.name).collect();
    assert_eq!(
        names,
        ["size", "pause", "title", "listen", "rate", "engine", "engine", "at", "mode"]
    );
    assert_eq!(
        (
            settings[0].values[0].number(),
            settings[1].values[0].number()
        ),
        (64 << 20, 1_500_000)
    );
    assert_eq!(
        (settings[2].values[0].text(), settings[4].values[0].real()),
        ("a \"b\" # c {", 2.5)
    );
    assert_eq!(settings[5].inner_value("cores").unwrap().number(), 4);
    assert_eq!(settings[5].inner_value("share").unwrap().real(), 0.2);
    let kill = settings[7].nested.as_ref().unwrap();
    assert_eq!(
        (kill.values.len(), kill.option("for").unwrap().number()),
        (2, 250_000)
    );
    assert_eq!(settings[8].location.file.as_ref(), "more.conf");
}

/// Each case has the text, the line and column of the error, and a part of the message.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn errors_contain_the_location_and_a_remedy() {
    let cases = [
        ("sise 1MB", 1, 1, "did you mean 'size'?"),
        ("color red", 1, 1, "expected one of: size, pause"),
        ("\n\n  size 1TB", 3, 8, "a size like 64MB from 1KB to 1GB"),
        ("size 64", 1, 6, "expected a size"),
        ("size 64mb", 1, 6, "expected a size"),
        ("size -1MB", 1, 6, "expected a size"),
        ("size 1e3MB", 1, 6, "expected a size"),
        ("size 99999999999999999999TB", 1, 6, "expected a size"),
        ("pause 100us", 1, 7, "from 1ms to 1m"),
        ("pause .s", 1, 7, "expected a time"),
        ("mode fsat", 1, 6, "did you mean 'fast'?"),
        ("listen localhost:1", 1, 8, "an address with a port"),
        ("rate 5", 1, 6, "a rate like 50/s"),
        ("rate NaN/s", 1, 6, "a rate like 50/s"),
        ("size", 1, 1, "write: size SIZE"),
        ("size 1MB 2MB", 1, 10, "write: size SIZE"),
        (
            "size 1MB\nmode fast\nsize 2MB",
            3,
            1,
            "it is already set at a.conf:1:1",
        ),
        ("engine e-1", 1, 1, "lacks its block"),
        ("size 1MB {\n}", 1, 1, "takes no block"),
        ("engine e/1 {\n}", 1, 8, "a name of at most 64 letters"),
        (
            "engine e {\ncores 0\n}",
            2,
            7,
            "a whole number from 1 to 64",
        ),
        ("engine e {\ncores 1\ncores 2\n}", 3, 1, "given twice"),
        ("engine e {\nshare 120%\n}", 2, 7, "from 0% to 100%"),
        ("engine e {\n", 1, 1, "add a line with '}'"),
        ("}", 1, 1, "without an open block"),
        ("engine e { cores 1 }", 1, 12, "unexpected character 'c'"),
        ("title \"open", 1, 7, "quoted string is not closed"),
        ("title \"a\\n\"", 1, 7, "invalid escape"),
        ("at 4s", 1, 1, "lacks a directive after its values"),
        ("at 4s kil a", 1, 7, "did you mean 'kill'?"),
        ("at 4s kill", 1, 7, "lacks a value"),
        ("at 4s kill a for", 1, 7, "lacks a value after 'for'"),
        ("at 4s kill a for 1s for 2s", 1, 21, "given twice"),
        ("include", 1, 1, "write: include FILE"),
        ("include nowhere.conf", 1, 9, "no such file"),
        ("include loop.conf", 1, 1, "too many included files"),
        ("größe 1MB", 1, 1, "is not a directive"),
    ];
    for (text, line, column, message) in cases {
        let error = parse(text).expect_err(text);
        assert_eq!(
            (error.location.line, error.location.column),
            (line, column),
            "{text}: {error}"
        );
        assert!(error.to_string().contains(message), "{text}: {error}");
    }
    let deep = "engine e {\n".repeat(1000);
    assert!(parse(&deep)
        .unwrap_err()
        .problem
        .contains("too many nested blocks"));
    assert!(parse(&" ".repeat(2 << 20))
        .unwrap_err()
        .problem
        .contains("too long"));
}

/// Guards against panics and endless loops on invalid input: mutated texts are either parsed or
/// rejected with a location that is within the text.
#[test]
fn mutated_texts_are_parsed_or_rejected() {
    const VALID: &str =
        "size 64MB\npause 1.5s # x\ntitle \"a b\"\nengine e-1 {\n cores 4\n}\nat 4s kill a b for 1s\n";
    let mut rng = fastrand::Rng::with_seed(5);
    let pieces = [
        "{",
        "}",
        "\"",
        "\\",
        "#",
        "\n",
        " ",
        "é",
        "\0",
        "64MB",
        "kill",
        "size",
        "for",
        "99999999999",
        "%",
    ];
    let mut rejected = 0;
    for _ in 0..20_000 {
        let mut text: Vec<char> = VALID.chars().collect();
        for _ in 0..rng.usize(1..4) {
            let at = rng
                .usize(0..text.len().max(1))
                .min(text.len().saturating_sub(1));
            match rng.u8(0..3) {
                0 if !text.is_empty() => _ = text.remove(at),
                1 => text.truncate(at.max(1)),
                _ => {
                    let piece = rng.choice(pieces).unwrap();
                    text.splice(at..at, piece.chars());
                }
            }
        }
        let text: String = text.into_iter().collect();
        if let Err(error) = parse(&text) {
            rejected += 1;
            let lines: Vec<&str> = text.lines().collect();
            let line = lines.get(error.location.line - 1).copied().unwrap_or("");
            assert!(
                error.location.column <= line.chars().count() + 1,
                "{text:?}: {error}"
            );
        }
    }
    assert!((5_000..20_000).contains(&rejected), "{rejected}");
}

#[test]
fn the_reference_contains_every_directive_once() {
    let page = eideryard_config_syntax::reference(TABLE);
    for name in [
        "`size SIZE`",
        "`engine NAME { ... }`",
        "`cores NUMBER`",
        "`kill NAME... [for TIME]`",
        "`at TIME DIRECTIVE...`",
    ] {
        assert_eq!(
            page.matches(&format!("| {name} |")).count(),
            1,
            "{name} in\n{page}"
        );
    }
}
