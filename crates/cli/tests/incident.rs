//! Plays a scripted incident on loopback: two gateways and six engines, of which three are killed
//! together, a flood of requests while the bulletin is down, and a gateway that is killed and
//! restarted. Event logs, the report and the gateways' own counters must agree exactly.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::processes::Programs;
use eideryard_fleet_test::world::{play, Played};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SCENARIO: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/incident.scenario"
);

fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

fn play_scenario(directory: &Path, text: &str) -> (Played, PathBuf) {
    let records = directory.join("records");
    let operator = directory.join("operator.conf");
    std::fs::write(&operator, format!("record-dir \"{}\"\n", records.display())).unwrap();
    let programs = Programs {
        program: env!("CARGO_BIN_EXE_eideryard").into(),
        arguments: vec!["--operator".into(), operator.display().to_string()],
        variables: Vec::new(),
        directory: directory.to_path_buf(),
    };
    let scenario = Scenario::read(SCENARIO, text).unwrap_or_else(|e| panic!("{e}"));
    let played = play(scenario, Some(programs)).expect("the scenario can be played");
    (played, records)
}

/// Returns the rows of the report's table of gateways, each as its cells by column name.
fn table_rows(page: &str) -> Vec<BTreeMap<String, String>> {
    let table = page
        .split("Totals of each run of each gateway")
        .nth(1)
        .expect("the table");
    let table = table.split("</table>").next().unwrap();
    let cells = |row: &str| -> Vec<String> {
        let cells = row
            .split("</t")
            .filter_map(|cell| Some(cell.rsplit_once('>')?.1.to_string()));
        cells.filter(|cell| !cell.is_empty()).collect()
    };
    let mut lines = table.split("<tr").skip(1).map(cells);
    let head = lines.next().unwrap();
    lines
        .map(|row| head.iter().cloned().zip(row).collect())
        .collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, from its beginning to its end"
)]
fn event_logs_report_and_counters_of_the_incident_agree_exactly() {
    let directory = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(SCENARIO).unwrap();
    let (played, records) = play_scenario(directory.path(), &text);
    let ledger = &played.ledger;
    assert_eq!(ledger.violations, [] as [String; 0], "rules");
    let total = ledger.total();
    assert_eq!(
        total.asked,
        total.served + total.refused + total.failed + total.lost + total.forgotten
    );
    assert!(
        total.served > 1000 && total.refused > 0 && total.forgotten > 0,
        "{total:?}"
    );

    let records = records.to_str().unwrap();
    let verified = run_program(&["records", "verify", records]);
    assert!(verified.status.success(), "{}", stdout(&verified));
    let tally = run_program(&["records", "tally", "--json", records]);
    let tallies: Vec<Value> = stdout(&tally)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(tallies.len(), 3, "two gateways, one of them twice");

    // Each gateway that ended by itself logged its counters, which must equal the totals of its
    // event log.
    let mut compared = 0;
    for ending in &played.endings {
        let name = ending.name.split('#').next().unwrap();
        let number: usize = ending.name.split('#').nth(1).unwrap().parse().unwrap();
        let own_tally = tallies
            .iter()
            .filter(|tally| tally["name"] == name)
            .nth(number - 1)
            .expect(name);
        let Some(counters) = &ending.counters else {
            assert_eq!(
                (&own_tally["ended"], name, number),
                (&Value::Bool(false), "g1", 1)
            );
            continue;
        };
        for (counter, value) in own_tally.as_object().unwrap() {
            if let Some(counted) = counters.get(counter.as_str()) {
                assert_eq!(value.as_u64(), Some(*counted), "{} {counter}", ending.name);
                compared += 1;
            }
        }
        assert_eq!(
            (&own_tally["ended"], &own_tally["gaps"], &own_tally["exact"]),
            (&true.into(), &0.into(), &true.into())
        );
    }
    assert!(compared >= 2 * 20, "{compared} figures compared");

    let out = directory.path().join("report.html");
    let report = run_program(&["report", records, "--out", out.to_str().unwrap()]);
    assert!(report.status.success());
    let page = std::fs::read_to_string(&out).unwrap();
    let rows = table_rows(&page);
    assert_eq!(rows.len(), 4, "three starts and their sum");
    for (row, tally) in rows.iter().zip(&tallies) {
        for column in [
            "taken",
            "served",
            "refused",
            "failed",
            "invalid",
            "forgotten",
            "lost",
            "late",
            "sent",
            "open",
        ] {
            assert_eq!(
                row[column],
                tally[column].to_string(),
                "{column} of {}",
                tally["name"]
            );
        }
    }

    // The headline and the episodes that an operator must find in the report.
    let head = stdout(&report);
    assert!(
        head.contains("3 of 6 engines ended together (e-1, e-2 and e-3)"),
        "{head}"
    );
    for phrase in [
        "rival flooded from 127.0.0.9",
        "g1 and g2 had no connection to the bulletin",
        "the record of g1 has a gap",
        "e-6 drained",
        "ended without an orderly shutdown",
        "roster silent (g1 and g2) and flood (rival) overlap",
    ] {
        assert!(
            page.contains(phrase),
            "'{phrase}' is missing from the report"
        );
    }
    assert!(
        !page.contains("<script src") && !page.contains("http://") && !page.contains("https://")
    );
    let floods = page.matches(">flood<").count();
    assert_eq!(floods, 1, "one flood, not one for each symptom");

    // The entries about one rejected request can be found by the request's id.
    let section = page.split("id=\"asked\"").nth(1).unwrap();
    let id = section
        .split("class=\"id\">")
        .nth(1)
        .unwrap()
        .split('<')
        .next()
        .unwrap();
    let entries = stdout(&run_program(&["records", "find", id, records]));
    assert!(
        entries.contains("Offered") && entries.contains("Answered") && entries.contains("Arrived"),
        "{entries}"
    );

    // A report on a span of time starts from the state at the beginning of a segment.
    let epoch = tallies[0]["epoch"].as_u64().unwrap() / 1_000_000;
    let (from, to) = ((epoch + 8).to_string(), (epoch + 10).to_string());
    let part = run_program(&[
        "report",
        records,
        "--out",
        out.to_str().unwrap(),
        "--from",
        &from,
        "--to",
        &to,
    ]);
    assert!(
        part.status.success() && !stdout(&part).contains("engines ended"),
        "{}",
        stdout(&part)
    );
}

#[test]
fn wrong_usage_exits_with_2_and_failures_with_1() {
    let directory = tempfile::tempdir().unwrap();
    let path = |name: &str| directory.path().join(name).display().to_string();
    std::fs::write(path("good.conf"), "record-dir x\nrecord-budget 8MB\n").unwrap();
    std::fs::write(path("bad.conf"), "record-dir x\n  record-bugdet 8MB\n").unwrap();
    std::fs::write(path("bad.json"), "{\n  \"name\": 1,\n  \"listen\" 5}").unwrap();
    let config = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/gateway.json"
    ))
    .unwrap();
    std::fs::write(
        path("aim.json"),
        config.replacen("1000000,", "\"soon\",", 1),
    )
    .unwrap();
    let code = |arguments: &[&str]| run_program(arguments).status.code();
    assert_eq!(code(&["check", &path("good.conf")]), Some(0));
    let checked = run_program(&[
        "check",
        &path("good.conf"),
        &path("bad.conf"),
        &path("bad.json"),
        &path("aim.json"),
    ]);
    let findings = stdout(&checked);
    assert_eq!(checked.status.code(), Some(1));
    assert!(
        findings.contains(
            "bad.conf:2:3: 'record-bugdet' is not a directive; did you mean 'record-budget'?"
        ),
        "{findings}"
    );
    assert!(findings.contains("bad.json:3:12: "), "{findings}");
    let line = config
        .lines()
        .position(|line| line.contains("aim-us"))
        .unwrap()
        + 1;
    assert!(
        findings.contains(&format!("aim.json:{line}:")) && findings.contains("'grades.0.aim-us'"),
        "{findings}"
    );
    assert_eq!(code(&["check", &path("nowhere")]), Some(1));
    for wrong in [
        &["chek"][..],
        &["report", "x"],
        &["records", "tally"],
        &["--operator"],
        &["check"],
    ] {
        assert_eq!(code(wrong), Some(2), "{wrong:?}");
    }
    assert_eq!(code(&["records", "tally", &path("nothing")]), Some(1));
    assert_eq!(code(&["records", "find", "xyz", &path("nothing")]), Some(1));
    assert!(stdout(&run_program(&["man"])).contains(".TH eideryard"));
    assert!(stdout(&run_program(&["completions", "bash"])).contains("_eideryard"));
    assert_eq!(code(&["--help"]), Some(0));
}
