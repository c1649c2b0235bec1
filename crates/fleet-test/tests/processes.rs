//! The fleet test with real gateway processes: its faults take place, the rules are checked, and a
//! break is found and its plan minimized.

use std::path::PathBuf;

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::check::Rule;
use eideryard_fleet_test::minimize::minimize;
use eideryard_fleet_test::plan::Plan;
use eideryard_fleet_test::run::{program, run, RunOutcome};
use eideryard_fleet_test::world::play;

/// Finds the gateway program. Tests of the whole workspace build it; tests of this package alone
/// don't.
fn gateway_program() -> PathBuf {
    program().expect("build the program first: cargo build, or cargo test --workspace")
}

fn play_plan(plan: &Plan) -> RunOutcome {
    let directory = tempfile::tempdir().expect("a directory");
    run(&gateway_program(), plan, directory.path()).expect("the plan is played")
}

const PARTS: &str = "
seed 11
time 6s
class report {
    effect safe
}
class booking {
    effect keyed
    window 2s
}
class payment {
    effect unsafe
}
class entry {
    ordered
}
engines 4 e {
    cores 4
    warm-up 1s
    orphans finish
}
gateway g1 {
}
gateway g2 {
}
gateway g3 {
}
load reports {
    class report
    rate 60/s
    work 40ms
    wait 2s
    retries 1
    returns 2
    connections 6
}
load bookings {
    class booking
    rate 20/s
    work 60ms
    wait 2s
    retries 1
    hasty 20%
    returns 2
    back other
    marked 50%
    late 10%
}
load payments {
    class payment
    rate 10/s
    work 40ms
    wait 2s
}
load entries {
    class entry
    rate 8/s
    work 30ms
    wait 2s
    keys 3
}
";

/// Guards all rules under faults of links, processes, engines, the bulletin and directories and two
/// power losses. All engines share one scope of keys, so no retry may take effect twice.
#[test]
fn rules_are_kept_under_faults_of_every_part_and_each_lost_answer_is_explained() {
    let plan = Plan::from_text(&format!(
        "{PARTS}at 500ms save-directory g2\nat 700ms drain e-4\nat 800ms pause-gateway g3 for 600ms\n\
         at 900ms link-cut g1 e-1 way there for 500ms\nat 1s link-flap clients g2 every 60ms for 600ms\n\
         at 1100ms link-swallow g1 e-2 for 300ms\nat 1300ms link-reset g3 engines\n\
         at 1500ms kill-gateway g2\nat 1600ms put-back-directory g2\nat 1700ms start-gateway g2\n\
         at 1900ms stop-gateway g3\nat 2s list e-4\nat 2200ms kill e-3\nat 2400ms start e-3\n\
         at 2500ms bulletin down\nat 2700ms bulletin up\nat 3s power-loss\nat 3100ms wipe-directory g1\n\
         at 3200ms power-back all within 400ms\nat 4s power-loss\n\
         at 4200ms power-back bulletin e-1 e-2 e-3 e-4 g1 g2 within 300ms\nat 4800ms start-gateway g3\n"
    ));
    let outcome = play_plan(&plan);
    let stories: Vec<String> = outcome
        .stories
        .iter()
        .map(|(found, story)| format!("{found:?}\n{}", story.join("\n")))
        .collect();
    assert!(
        outcome.verdict.is_kept(),
        "{:?}\n{}",
        outcome.verdict.counts,
        stories.join("\n")
    );
    let figure = |name: &str| outcome.verdict.figures.get(name).copied().unwrap_or(0);
    assert!(
        figure("served") > 50 && figure("lost") > 0 && figure("effects") > 0,
        "{:?}",
        outcome.verdict.figures
    );
    assert!(
        figure("cold_starts") >= 8 && figure("recorded_ends") > 50,
        "{:?}",
        outcome.verdict.figures
    );
    // Each start is listed: 3 at first, g2 after its kill, and 3 after each power loss.
    assert_eq!(outcome.endings.len(), 10, "{:?}", outcome.endings);
}

/// Guards the detection of a second effect across gateways: its story has the events of all parts,
/// and the minimized plan keeps the kill that causes it.
#[test]
fn a_double_effect_across_gateways_is_found_explained_and_minimized() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/double-effect.scenario"
    );
    let plan = Plan::from_text(&std::fs::read_to_string(path).unwrap());
    let outcome = play_plan(&plan);
    assert!(
        outcome.verdict.count(Rule::EffectOnce) > 0,
        "{:?}",
        outcome.verdict.figures
    );
    let (_, story) = outcome
        .stories
        .iter()
        .find(|(found, _)| found.rule == Rule::EffectOnce)
        .unwrap();
    let story = story.join("\n");
    for words in [
        "asks g1 (try 1",
        "g1 is killed",
        "asks g2 (try 2, marked",
        "records that it sends",
    ] {
        assert!(story.contains(words), "no '{words}' in\n{story}");
    }
    assert_eq!(story.matches("takes effect").count(), 2, "{story}");
    let small = minimize(&plan, |fewer| {
        play_plan(fewer).verdict.count(Rule::EffectOnce) > 0
    });
    assert!(
        small.faults.len() <= 3 && small.faults.iter().any(|f| f.contains("kill-gateway g1")),
        "{small}"
    );
}

/// Guards scenarios without gateways: all steps are performed, and the run ends at its time.
#[test]
fn a_scenario_without_gateways_plays_its_steps_and_ends() {
    let text = "time 300ms\nengines 2 e {\n}\nat 50ms kill e-1\nat 100ms start e-1\nat 120ms bulletin down\n\
                at 150ms bulletin up\nat 160ms reset e-2\nat 170ms vanish e-2 for 20ms\nat 180ms drain e-2\n";
    let played = play(Scenario::read("a.scenario", text).unwrap(), None).unwrap();
    assert_eq!(
        (
            played.endings.len(),
            played.ledger.violation_count,
            played.ledger.total().asked
        ),
        (0, 0, 0)
    );
}
