//! The operator's file as a whole.

use eideryard_operator::Operator;

#[test]
fn the_example_is_good_and_sets_what_it_says() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.conf");
    let operator = Operator::from_file(path).unwrap();
    assert_eq!(operator, Operator::default(), "all of it is commented out");
    let text = std::fs::read_to_string(path).unwrap();
    let on: String =
        text.lines().map(|line| line.strip_prefix("#:").unwrap_or(line).to_string() + "\n").collect();
    let record = Operator::read(path, &on).unwrap().record.expect("the record is on");
    assert_eq!((record.budget, record.segment), (256 << 20, 8 << 20));
}

#[test]
fn settings_that_do_not_go_together_are_named() {
    let said = |text: &str| Operator::read("op.conf", text).expect_err(text).to_string();
    assert!(said("record-budget 8MB").contains("add record-dir PATH"));
    assert!(said("spool-disk 8MB").contains("add spool-memory SIZE"));
    assert!(said("spool-memory 8MB\nspool-key short").starts_with("op.conf:2:1: the spool has no secret"));
    let spool = "spool-memory 8MB\nspool-key \"0123456789abcdef\"\n";
    let spool = Operator::read("op.conf", spool).unwrap().spool.unwrap();
    assert_eq!((spool.result, spool.disk), (2 << 20, 0), "without a directory there is no disk");
    assert!(!format!("{spool:?}").contains("0123456789abcdef"), "secrets are not shown");
    let text = "record-dir /x\nrecord-budget 8MB\nrecord-segment 6MB\n";
    assert!(said(text).starts_with("op.conf:3:1: a segment takes more than half of the budget"));
    let small = Operator::read("op.conf", "record-dir /x\nrecord-budget 8MB\n").unwrap().record.unwrap();
    assert_eq!(small.segment, 2 << 20, "a quarter of the budget where it is small");
    let log = Operator::read("op.conf", "log-format json\nlog-target record debug\nlog-target x off\n")
        .unwrap()
        .log;
    assert!(log.json && log.targets.len() == 2 && log.level.is_none());
}

#[test]
fn the_reference_page_is_that_of_the_table() {
    let page =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operator-file.md")).unwrap();
    let table = eideryard_lines::reference(eideryard_operator::TABLE);
    assert!(page.contains(&table), "docs/operator-file.md: make it anew with 'eideryard reference'");
}
