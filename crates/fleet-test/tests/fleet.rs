//! Several processes of the program that share their intents, with faults between them.

use std::path::{Path, PathBuf};

use eideryard_fleet_test::check::Rule;
use eideryard_fleet_test::plan::{draw, Case, Plan};
use eideryard_fleet_test::run::{program, run, RunOutcome};

fn built() -> PathBuf {
    program().expect("build the program first: cargo build, or cargo test --workspace")
}

fn played(plan: &Plan, directory: &Path) -> RunOutcome {
    run(&built(), plan, directory).expect("it can be played")
}

fn figure(ran: &RunOutcome, name: &str) -> u64 {
    ran.verdict.figures.get(name).copied().unwrap_or(0)
}

fn stories(ran: &RunOutcome) -> String {
    let told = ran
        .stories
        .iter()
        .map(|(found, story)| format!("{found:?}\n{}", story.join("\n")));
    told.collect::<Vec<_>>().join("\n")
}

/// All that the gateways logged.
fn logs(directory: &Path) -> String {
    let files = std::fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().path());
    let logs = files.filter(|path| path.extension().is_some_and(|own| own == "log"));
    logs.map(|path| std::fs::read_to_string(path).unwrap())
        .collect()
}

/// What a gateway counted under a name, over all that ended by themselves.
fn counted(directory: &Path, name: &str) -> u64 {
    let lines = logs(directory);
    let mark = format!("{name}: ");
    let told = lines.split(&mark).skip(1);
    let numbers = told.filter_map(|rest| {
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u64>()
            .ok()
    });
    numbers.sum()
}

/// The lines of a gateway of a fleet with these keepers.
fn gateway(name: &str, keepers: &[&str]) -> String {
    let keepers = keepers
        .iter()
        .map(|own| format!("keeper {own} {{peer {own}}}"));
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

/// Clients of a gateway that was killed come again at another one: without a fleet their loads take
/// effect twice, with one none does.
#[test]
fn a_retry_at_another_gateway_takes_no_second_effect() {
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
            &gateway(name, &KEEPERS),
        );
    }
    let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let alone = played(&Plan::from_text(&text), directories[0].path());
    assert!(
        alone.verdict.count(Rule::EffectOnce) > 0,
        "{:?}",
        alone.verdict.figures
    );
    let ran = played(&Plan::from_text(&shared), directories[1].path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    assert!(
        figure(&ran, "effects") > 10 && figure(&ran, "copies") > 10,
        "{:?}",
        ran.verdict.figures
    );
    assert_eq!(figure(&ran, "differ"), 0);
    // The defence was met: keepers told of runs before.
    assert!(
        counted(directories[1].path(), "earlier") > 0,
        "{}",
        logs(directories[1].path())
    );
}

/// A drawn plan: kills, pauses, cuts, stalled disks, wiped and old directories.
#[test]
fn a_drawn_plan_keeps_effects_single_and_copies_equal() {
    let directory = tempfile::tempdir().unwrap();
    let ran = played(&draw(Case::Copies, 3, 5, 14, true), directory.path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    assert!(
        ran.verdict.figures.contains_key("agree_ms"),
        "{:?}",
        ran.verdict.figures
    );
    assert!(
        figure(&ran, "effects") > 50 && figure(&ran, "differ") == 0,
        "{:?}",
        ran.verdict.figures
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

/// One whose file names other keepers is turned away in words by both, and refuses what it can't
/// share; safe classes are served there as ever.
#[test]
fn a_file_that_names_other_keepers_is_turned_away_in_words() {
    let directory = tempfile::tempdir().unwrap();
    let odd = gateway("g4", &["g1", "g2", "g4"]);
    let all: String = KEEPERS.iter().map(|name| gateway(name, &KEEPERS)).collect();
    let ran = played(
        &Plan::from_text(&format!("{PARTS}{all}{odd}")),
        directory.path(),
    );
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    let logs = logs(directory.path());
    assert!(
        logs.matches("the files name different keepers").count() >= 4,
        "{logs}"
    );
    assert!(
        counted(directory.path(), "refused_no_majority") > 0,
        "{logs}"
    );
    assert!(figure(&ran, "served") > 200, "{:?}", ran.verdict.figures);
    // The three that vote together are held against each other while their entries last, and not
    // against g4.
    let (copies, differ) = (figure(&ran, "copies"), figure(&ran, "differ"));
    assert!(copies > 10 && differ == 0, "{:?}", ran.verdict.figures);
}

/// The disk of one gateway hangs for a while, seen by the whole process: its keyed requests wait to
/// their bound and are refused with advice, and safe classes never notice.
#[test]
fn a_disk_that_hangs_under_a_process_costs_keyed_work_there_and_nothing_else() {
    let directory = tempfile::tempdir().unwrap();
    let own = |name: &str| {
        format!("gateway {name} {{\n    operator \"store-dir {{directory}}/store\"\n}}\n")
    };
    let plan = format!(
        "{PARTS}{}{}at 1s stall-disk g1 for 2500ms\n",
        own("g1"),
        own("g2")
    );
    let ran = played(&Plan::from_text(&plan), directory.path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    assert!(
        counted(directory.path(), "refused_stalled") > 3,
        "{}",
        logs(directory.path())
    );
    // Bookings of one gateway are refused for two seconds of five; of reports one in fifty may be
    // too large for its client's wait, as without a store.
    let served =
        ["report", "booking"].map(|class| figure(&ran, &format!("served_permille_{class}")));
    assert!(
        served[0] >= 980 && (400..980).contains(&served[1]),
        "{:?}",
        ran.verdict.figures
    );
}

/// A majority of keepers is out of reach of all others for a while in the middle of a burst: keyed
/// work is refused with advice, safe work goes on, and after it all is as before. One of the cuts
/// is one way only.
#[test]
fn a_lost_majority_costs_keyed_work_while_it_lasts_and_nothing_else() {
    let directory = tempfile::tempdir().unwrap();
    let all: String = ["g1", "g2", "g3", "g4"]
        .iter()
        .map(|name| gateway(name, &KEEPERS))
        .collect();
    let cuts = "at 1s link-cut g2 gateways for 2s\nat 1s link-cut g4 g3 way there for 2s\n\
                at 1s link-cut g1 g3 way back for 2s\nat 4500ms pause-gateway g3 for 400ms\n";
    let text = format!("{PARTS}{all}{cuts}").replace("time 5s", "time 9s");
    let ran = played(&Plan::from_text(&text), directory.path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    let logs = logs(directory.path());
    assert!(
        logs.contains("NO majority of keepers is reachable"),
        "{logs}"
    );
    assert!(
        logs.matches("a majority of keepers is reachable").count() >= 5,
        "it came back: {logs}"
    );
    let served =
        ["report", "booking"].map(|class| figure(&ran, &format!("served_permille_{class}")));
    assert!(
        served[0] >= 980 && (300..990).contains(&served[1]),
        "{:?}",
        ran.verdict.figures
    );
    assert!(
        counted(directory.path(), "refused_no_majority") > 0 && figure(&ran, "differ") == 0,
        "{logs}"
    );
}

/// Where the operator chose `send`, keyed work goes on without a majority, and each such send is
/// counted.
#[test]
fn without_a_majority_send_sends_and_counts_it() {
    let directory = tempfile::tempdir().unwrap();
    // Two of three keepers never start.
    let own = gateway("g1", &["g1", "g8", "g9"])
        .replace("\"}\"", "\"without-majority send\"\n    operator \"}\"");
    let own = own
        .replace("{peer g8}", "127.0.0.1:9")
        .replace("{peer g9}", "127.0.0.1:10");
    let text = format!("{PARTS}{own}").replace("time 5s", "time 3s");
    let ran = played(&Plan::from_text(&text), directory.path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    let logs = logs(directory.path());
    assert!(counted(directory.path(), "sent_without") > 10, "{logs}");
    assert!(
        figure(&ran, "served_permille_booking") > 800,
        "{:?}",
        ran.verdict.figures
    );
}

/// A drain that one gateway can't hear of reaches it through its peers; one that begins without its
/// directory takes a peer's learned figures for hints.
#[test]
fn drains_and_learned_figures_come_through_peers() {
    let directory = tempfile::tempdir().unwrap();
    let all: String = KEEPERS.iter().map(|name| gateway(name, &KEEPERS)).collect();
    let faults = "at 500ms link-cut g2 bulletin for 4s\nat 1500ms drain e-1\nat 3s list e-1\n\
                  at 6500ms kill-gateway g3\nat 6700ms wipe-directory g3\nat 7s start-gateway g3\n";
    let text = format!("{PARTS}{all}{faults}").replace("time 5s", "time 9s");
    let ran = played(&Plan::from_text(&text), directory.path());
    assert!(
        ran.verdict.is_kept(),
        "{:?}\n{}",
        ran.verdict.counts,
        stories(&ran)
    );
    let logs = logs(directory.path());
    assert!(counted(directory.path(), "drains_heard") > 0, "{logs}");
    assert!(
        logs.contains("learned estimates of a peer are used as hints"),
        "{logs}"
    );
    assert!(
        figure(&ran, "served_permille_report") >= 970,
        "{:?}",
        ran.verdict.figures
    );
}
