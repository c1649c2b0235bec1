//! The operator's file with all its directives: the example, invalid combinations, and the
//! reference page.

use eideryard_operator_config::OperatorConfig;

#[test]
fn the_example_file_is_valid_with_and_without_its_commented_directives() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.conf");
    let operator = OperatorConfig::from_file(path).unwrap();
    assert_eq!(
        operator,
        OperatorConfig::default(),
        "all of it is commented out"
    );
    let text = std::fs::read_to_string(path).unwrap();
    let uncommented: String = text
        .lines()
        .map(|line| line.strip_prefix("#:").unwrap_or(line).to_string() + "\n")
        .collect();
    let event_log = OperatorConfig::read(path, &uncommented)
        .unwrap()
        .event_log
        .expect("the event log is on");
    assert_eq!((event_log.budget, event_log.segment), (256 << 20, 8 << 20));
}

#[test]
fn directives_without_the_one_that_turns_them_on_and_conflicting_limits_are_errors() {
    let error_text = |text: &str| {
        OperatorConfig::read("op.conf", text)
            .expect_err(text)
            .to_string()
    };
    assert!(error_text("record-budget 8MB").contains("add record-dir PATH"));
    assert!(error_text("spool-disk 8MB").contains("add spool-memory SIZE"));
    assert!(error_text("spool-memory 8MB\nspool-key short")
        .starts_with("op.conf:2:1: the spool needs a secret"));
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
    assert!(
        error_text(text).starts_with("op.conf:3:1: a segment is larger than half of the budget")
    );
    let small_budget = OperatorConfig::read("op.conf", "record-dir /x\nrecord-budget 8MB\n")
        .unwrap()
        .event_log
        .unwrap();
    assert_eq!(
        small_budget.segment,
        2 << 20,
        "a quarter of the budget if that is less than the default"
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
fn the_reference_page_contains_the_generated_table() {
    let page = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operator-file.md"
    ))
    .unwrap();
    let table = eideryard_config_syntax::reference(eideryard_operator_config::TABLE);
    assert!(
        page.contains(&table),
        "docs/operator-file.md is out of date: replace its table by the output of 'eideryard reference'"
    );
}

/// Guards against fleets that can't work, such as one without a store or with an even number of
/// keepers: each mistake is an error with its location.
#[test]
fn a_fleet_needs_a_store_and_an_odd_number_of_distinct_keepers() {
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
    let all_directives = block(&format!(
        "{three}listen 127.0.0.1:7\nwithout-majority send\ntask probe\n"
    ));
    let fleet = read(&all_directives).unwrap().fleet.unwrap();
    assert!(fleet.may_send_without_majority && fleet.has_shared_probes && fleet.listen.is_some());
    for (text, words) in [
        (
            format!("fleet north {{\n{three}}}\n"),
            "a fleet needs a store",
        ),
        (
            block("keeper a 127.0.0.1:1\nkeeper b 127.0.0.1:2\n"),
            "the fleet has 2 keepers",
        ),
        (
            block(&format!("{three}keeper a 127.0.0.1:9\n")),
            "keeper 'a' is given twice",
        ),
        (block("keeper a nowhere\n"), "op.conf:3"),
        (block(&format!("{three}without-majority maybe\n")), "refuse"),
        (block(&format!("{three}task everything\n")), "probe"),
    ] {
        let error = read(&text).unwrap_err().to_string();
        assert!(
            error.contains(words) && error.contains("op.conf:"),
            "{error}"
        );
    }
    assert_eq!(read("store-dir /x\n").unwrap().fleet, None);
}
