//! Fleets of gateway processes that replicate their intents, under injected faults.

use std::path::{Path, PathBuf};

use eideryard_fleet_test::check::Rule;
use eideryard_fleet_test::plan::{draw, Case, Plan};
use eideryard_fleet_test::run::{program, run, RunOutcome};

fn gateway_program() -> PathBuf {
    program().expect("build the program first: cargo build, or cargo test --workspace")
}

fn play(plan: &Plan, directory: &Path) -> RunOutcome {
    run(&gateway_program(), plan, directory).expect("the plan is played")
}

fn figure(outcome: &RunOutcome, name: &str) -> u64 {
    outcome.verdict.figures.get(name).copied().unwrap_or(0)
}

fn stories(outcome: &RunOutcome) -> String {
    let lines = outcome
        .stories
        .iter()
        .map(|(found, story)| format!("{found:?}\n{}", story.join("\n")));
    lines.collect::<Vec<_>>().join("\n")
}

/// The logs of all gateways, concatenated.
fn logs(directory: &Path) -> String {
    let files = std::fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().path());
    let logs = files.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
    logs.map(|path| std::fs::read_to_string(path).unwrap())
        .collect()
}

/// The sum of a counter over the last log lines of all gateways that were not killed.
fn logged_counter(directory: &Path, name: &str) -> u64 {
    let lines = logs(directory);
    let label = format!("{name}: ");
    let after_label = lines.split(&label).skip(1);
    let numbers = after_label.filter_map(|rest| {
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u64>()
            .ok()
    });
    numbers.sum()
}

/// The scenario's lines for a gateway whose operator file names these voters.
fn fleet_gateway(name: &str, keepers: &[&str]) -> String {
    let keepers = keepers
        .iter()
        .map(|keeper| format!("keeper {keeper} {{peer {keeper}}}"));
    let head = [
        "store-dir {directory}/store",
        "fleet rig {",
        "listen 127.0.0.1:0",
    ]
    .map(str::to_string);
    let lines: Vec<String> = head
        .into_iter()
        .chain(keepers)
        .chain(["}".to_string()])
        .collect();
    let lines: String = lines
        .iter()
        .map(|line| format!("    operator \"{line}\"\n"))
        .collect();
    format!("gateway {name} {{\n{lines}}}\n")
}

const KEEPERS: [&str; 3] = ["g1", "g2", "g3"];

/// Guards against a second effect when clients of a killed gateway retry at another one. Without a
/// fleet this must happen, which shows that the plan provokes it.
#[test]
fn a_retry_at_another_gateway_has_no_second_effect() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/double-effect.scenario"
    );
    let text = std::fs::read_to_string(path)
        .unwrap()
        .replace("window 15s", "window 4s");
    let text = text.replace("gateway g2 {\n}\n", "gateway g2 {\n}\ngateway g3 {\n}\n");
    let mut shared = text.clone();
    for name in KEEPERS {
        shared = shared.replace(
            &format!("gateway {name} {{\n}}\n"),
            &fleet_gateway(name, &KEEPERS),
        );
    }
    let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let alone = play(&Plan::from_text(&text), directories[0].path());
    assert!(
        alone.verdict.count(Rule::EffectOnce) > 0,
        "{:?}",
        alone.verdict.figures
    );
    let outcome = play(&Plan::from_text(&shared), directories[1].path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    assert!(
        figure(&outcome, "effects") > 10 && figure(&outcome, "copies") > 10,
        "{:?}",
        outcome.verdict.figures
    );
    assert_eq!(figure(&outcome, "differ"), 0);
    // Voters reported prior runs, so the protection was needed.
    assert!(
        logged_counter(directories[1].path(), "earlier") > 0,
        "{}",
        logs(directories[1].path())
    );
}

/// Guards against second effects and unequal replicas under a drawn plan of kills, pauses, link
/// cuts, stalled disks, and wiped and outdated directories.
#[test]
fn a_drawn_plan_causes_no_second_effects_and_ends_with_equal_replicas() {
    let directory = tempfile::tempdir().unwrap();
    let outcome = play(&draw(Case::Copies, 3, 5, 14, true), directory.path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    assert!(
        outcome.verdict.figures.contains_key("agree_ms"),
        "{:?}",
        outcome.verdict.figures
    );
    assert!(
        figure(&outcome, "effects") > 50 && figure(&outcome, "differ") == 0,
        "{:?}",
        outcome.verdict.figures
    );
}

const PARTS: &str = "
seed 4
time 5s
class report {
    effect safe
}
class booking {
    effect keyed
    scope cell
    window 2s
}
engines 3 e {
    cores 4
}
load reports {
    rate 40/s
    work 30ms
    wait 2s
}
load bookings {
    class booking
    rate 20/s
    work 60ms
    wait 2s
}
";

/// Guards against a fleet with different voters: a gateway whose file names other voters must be
/// rejected with the reason in the logs of both sides; it refuses keyed requests and serves safe
/// ones.
#[test]
fn a_gateway_whose_file_names_other_voters_is_rejected_with_a_reason() {
    let directory = tempfile::tempdir().unwrap();
    let other_voters = fleet_gateway("g4", &["g1", "g2", "g4"]);
    let all: String = KEEPERS
        .iter()
        .map(|name| fleet_gateway(name, &KEEPERS))
        .collect();
    let outcome = play(
        &Plan::from_text(&format!("{PARTS}{all}{other_voters}")),
        directory.path(),
    );
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    let logs = logs(directory.path());
    assert!(
        logs.matches("the files name different keepers").count() >= 4,
        "{logs}"
    );
    assert!(
        logged_counter(directory.path(), "refused_no_majority") > 0,
        "{logs}"
    );
    assert!(
        figure(&outcome, "served") > 200,
        "{:?}",
        outcome.verdict.figures
    );
    // The replicas of the three that vote together were compared before their entries expired, and
    // not with those of g4.
    let (copies, differ) = (figure(&outcome, "copies"), figure(&outcome, "differ"));
    assert!(copies > 10 && differ == 0, "{:?}", outcome.verdict.figures);
}

/// Guards against a hanging disk that blocks a whole gateway: keyed requests wait up to their limit
/// and are refused with a retry time, and safe classes are not affected.
#[test]
fn a_hanging_disk_stops_keyed_requests_at_its_gateway_and_nothing_else() {
    let directory = tempfile::tempdir().unwrap();
    let lines_of = |name: &str| {
        format!("gateway {name} {{\n    operator \"store-dir {{directory}}/store\"\n}}\n")
    };
    let plan = format!(
        "{PARTS}{}{}at 1s stall-disk g1 for 2500ms\n",
        lines_of("g1"),
        lines_of("g2")
    );
    let outcome = play(&Plan::from_text(&plan), directory.path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    assert!(
        logged_counter(directory.path(), "refused_stalled") > 3,
        "{}",
        logs(directory.path())
    );
    // Bookings of one of the two gateways are refused for two of five seconds. One report in fifty
    // may need more time than its client waits, also without a store.
    let served =
        ["report", "booking"].map(|class| figure(&outcome, &format!("served_permille_{class}")));
    assert!(
        served[0] >= 980 && (400..980).contains(&served[1]),
        "{:?}",
        outcome.verdict.figures
    );
}

/// Guards against lasting effects of a lost majority: link cuts, some in one direction only,
/// isolate voters for 2 s. Keyed requests are refused, safe ones served, and all recover after it.
#[test]
fn a_lost_majority_stops_keyed_requests_while_it_lasts_and_nothing_else() {
    let directory = tempfile::tempdir().unwrap();
    let all: String = ["g1", "g2", "g3", "g4"]
        .iter()
        .map(|name| fleet_gateway(name, &KEEPERS))
        .collect();
    let cuts = "at 1s link-cut g2 gateways for 2s\nat 1s link-cut g4 g3 way there for 2s\n\
                at 1s link-cut g1 g3 way back for 2s\nat 4500ms pause-gateway g3 for 400ms\n";
    let text = format!("{PARTS}{all}{cuts}").replace("time 5s", "time 9s");
    let outcome = play(&Plan::from_text(&text), directory.path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    let logs = logs(directory.path());
    assert!(
        logs.contains("NO majority of keepers is reachable"),
        "{logs}"
    );
    assert!(
        logs.matches("a majority of keepers is reachable").count() >= 5,
        "the majority didn't return: {logs}"
    );
    let served =
        ["report", "booking"].map(|class| figure(&outcome, &format!("served_permille_{class}")));
    assert!(
        served[0] >= 980 && (300..990).contains(&served[1]),
        "{:?}",
        outcome.verdict.figures
    );
    assert!(
        logged_counter(directory.path(), "refused_no_majority") > 0
            && figure(&outcome, "differ") == 0,
        "{logs}"
    );
}

/// Guards the setting `without-majority send`: keyed requests are served without a majority, and
/// each one sent so is counted.
#[test]
fn without_majority_send_serves_keyed_requests_and_counts_them() {
    let directory = tempfile::tempdir().unwrap();
    // Two of the three voters don't exist.
    let lines = fleet_gateway("g1", &["g1", "g8", "g9"])
        .replace("\"}\"", "\"without-majority send\"\n    operator \"}\"");
    let lines = lines
        .replace("{peer g8}", "127.0.0.1:9")
        .replace("{peer g9}", "127.0.0.1:10");
    let text = format!("{PARTS}{lines}").replace("time 5s", "time 3s");
    let outcome = play(&Plan::from_text(&text), directory.path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    let logs = logs(directory.path());
    assert!(
        logged_counter(directory.path(), "sent_without") > 10,
        "{logs}"
    );
    assert!(
        figure(&outcome, "served_permille_booking") > 800,
        "{:?}",
        outcome.verdict.figures
    );
}

/// Guards the exchange between peers: a gateway without discovery learns of a drain from its peers,
/// and one that starts with an empty directory uses a peer's learned estimates as hints.
#[test]
fn drains_and_learned_estimates_are_received_from_peers() {
    let directory = tempfile::tempdir().unwrap();
    let all: String = KEEPERS
        .iter()
        .map(|name| fleet_gateway(name, &KEEPERS))
        .collect();
    let faults = "at 500ms link-cut g2 bulletin for 4s\nat 1500ms drain e-1\nat 3s list e-1\n\
                  at 6500ms kill-gateway g3\nat 6700ms wipe-directory g3\nat 7s start-gateway g3\n";
    let text = format!("{PARTS}{all}{faults}").replace("time 5s", "time 9s");
    let outcome = play(&Plan::from_text(&text), directory.path());
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories(&outcome)
    );
    let logs = logs(directory.path());
    assert!(
        logged_counter(directory.path(), "drains_heard") > 0,
        "{logs}"
    );
    assert!(
        logs.contains("learned estimates of a peer are used as hints"),
        "{logs}"
    );
    assert!(
        figure(&outcome, "served_permille_report") >= 970,
        "{:?}",
        outcome.verdict.figures
    );
}
