//! The operator's file as a whole.

use eideryard_operator_config::OperatorConfig;

#[test]
fn the_example_is_good_and_sets_what_it_says() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.conf");
    let operator = OperatorConfig::from_file(path).unwrap();
    assert_eq!(
        operator,
        OperatorConfig::default(),
        "all of it is commented out"
    );
    let text = std::fs::read_to_string(path).unwrap();
    let on: String = text
        .lines()
        .map(|line| line.strip_prefix("#:").unwrap_or(line).to_string() + "\n")
        .collect();
    let record = OperatorConfig::read(path, &on)
        .unwrap()
        .event_log
        .expect("the record is on");
    assert_eq!((record.budget, record.segment), (256 << 20, 8 << 20));
}

#[test]
fn settings_that_do_not_go_together_are_named() {
    let said = |text: &str| {
        OperatorConfig::read("op.conf", text)
            .expect_err(text)
            .to_string()
    };
    assert!(said("record-budget 8MB").contains("add record-dir PATH"));
    assert!(said("spool-disk 8MB").contains("add spool-memory SIZE"));
    assert!(said("spool-memory 8MB\nspool-key short")
        .starts_with("op.conf:2:1: the spool has no secret"));
    let spool = "spool-memory 8MB\nspool-key \"0123456789abcdef\"\n";
    let spool = OperatorConfig::read("op.conf", spool)
        .unwrap()
        .spool
        .unwrap();
    assert_eq!(
        (spool.result, spool.disk),
        (2 << 20, 0),
        "without a directory there is no disk"
    );
    assert!(
        !format!("{spool:?}").contains("0123456789abcdef"),
        "secrets are not shown"
    );
    let text = "record-dir /x\nrecord-budget 8MB\nrecord-segment 6MB\n";
    assert!(said(text).starts_with("op.conf:3:1: a segment takes more than half of the budget"));
    let small = OperatorConfig::read("op.conf", "record-dir /x\nrecord-budget 8MB\n")
        .unwrap()
        .event_log
        .unwrap();
    assert_eq!(
        small.segment,
        2 << 20,
        "a quarter of the budget where it is small"
    );
    let log = OperatorConfig::read(
        "op.conf",
        "log-format json\nlog-target record debug\nlog-target x off\n",
    )
    .unwrap()
    .log;
    assert!(log.json && log.targets.len() == 2 && log.level.is_none());
}

#[test]
fn the_reference_page_is_that_of_the_table() {
    let page = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operator-file.md"
    ))
    .unwrap();
    let table = eideryard_config_syntax::reference(eideryard_operator_config::TABLE);
    assert!(
        page.contains(&table),
        "docs/operator-file.md: make it anew with 'eideryard reference'"
    );
}

/// What is wrong with a fleet is said with its place and the remedy; nothing of it is on by itself.
#[test]
fn a_fleet_needs_a_store_and_an_odd_number_of_keepers_each_once() {
    let block = |lines: &str| format!("store-dir /x\nfleet north {{\n{lines}}}\n");
    let three = "keeper c 127.0.0.1:3\nkeeper a 127.0.0.1:1\nkeeper b 127.0.0.1:2\n";
    let read = |text: &str| OperatorConfig::read("op.conf", text);
    let fleet = read(&block(three)).unwrap().fleet.unwrap();
    let names: Vec<&str> = fleet.voters.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        (
            names,
            fleet.may_send_without_majority,
            fleet.has_shared_probes,
            fleet.listen
        ),
        (vec!["a", "b", "c"], false, false, None)
    );
    let more = block(&format!(
        "{three}listen 127.0.0.1:7\nwithout-majority send\ntask probe\n"
    ));
    let fleet = read(&more).unwrap().fleet.unwrap();
    assert!(fleet.may_send_without_majority && fleet.has_shared_probes && fleet.listen.is_some());
    for (text, words) in [
        (
            format!("fleet north {{\n{three}}}\n"),
            "a fleet without a store",
        ),
        (
            block("keeper a 127.0.0.1:1\nkeeper b 127.0.0.1:2\n"),
            "a fleet with 2 keepers",
        ),
        (
            block(&format!("{three}keeper a 127.0.0.1:9\n")),
            "'a' stands there twice",
        ),
        (block("keeper a nowhere\n"), "op.conf:3"),
        (block(&format!("{three}without-majority maybe\n")), "refuse"),
        (block(&format!("{three}task everything\n")), "probe"),
    ] {
        let said = read(&text).unwrap_err().to_string();
        assert!(said.contains(words) && said.contains("op.conf:"), "{said}");
    }
    assert_eq!(read("store-dir /x\n").unwrap().fleet, None);
}
