//! Compares screens of the console, drawn on a test terminal, with stored ones in `tests/screens`.
//! With the environment variable `UPDATE_SCREENS=1`, the tests overwrite the stored screens.

#[path = "../../event-analysis/tests/common/mod.rs"]
mod common;

use common::*;
use eideryard::interface::Phase;
use eideryard_console::draw::{draw, DisplayOptions};
use eideryard_console::model::{Command, Key, Model, Page};
use eideryard_event_analysis::View;
use eideryard_event_log::{AnswerKind, HostEvent};
use ratatui::backend::TestBackend;
use ratatui::Terminal;

const OPTIONS: DisplayOptions = DisplayOptions {
    has_colours: false,
    has_blocks: true,
};

fn view() -> View {
    let mut script = Script::new(&["g1", "g2"]);
    script.add_steady_requests(0, 0, 10, 20);
    script.engines = vec![3, 4];
    script.add_steady_requests(0, 10, 30, 20);
    script.add_steady_requests(1, 0, 30, 10);
    script.refuse_connection(0, 10.0, 1);
    script.refuse_connection(0, 10.1, 2);
    script.list_engine(0, 25.0, 4, Phase::Draining, 0);
    script.add_host_event(1, 18.0, HostEvent::DiscoveryLink { is_up: false });
    script.add_tenant_flood(1, 20, 24, 120, 2);
    for number in 0..5 {
        let seconds = 21.0 + number as f64 * 0.1;
        script.add_request(
            1,
            seconds,
            1,
            2,
            Ending {
                kind: AnswerKind::Refused,
                ..SERVED
            },
        );
    }
    script.open_request(0, 29.5, 0, 0, 3);
    let (entries, sources) = script.into_entries();
    let mut view = View::new();
    for (source, at, entry) in entries {
        view.add(
            &sources,
            source,
            at,
            &eideryard_event_log::reader::ReadContent::Entry(entry),
        );
    }
    view
}

fn render(
    model: &Model,
    view: &View,
    (width, height): (u16, u16),
    options: DisplayOptions,
) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal
        .draw(|frame| draw(frame, model, view, options))
        .unwrap();
    let buffer = terminal.backend().buffer().clone();
    let line = |y| {
        (0..width)
            .map(|x| buffer[(x, y)].symbol().to_string())
            .collect::<String>()
            .trim_end()
            .to_string()
    };
    (0..height).map(line).collect::<Vec<_>>().join("\n") + "\n"
}

fn assert_screen(name: &str, screen: &str) {
    let path = format!("{}/tests/screens/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("UPDATE_SCREENS").is_some() {
        std::fs::write(&path, screen).unwrap();
    }
    let stored = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        stored == screen,
        "the screen {name} differs from the stored one:\n{screen}\nstored:\n{stored}"
    );
}

#[test]
fn pages_equal_the_stored_screens() {
    let view = view();
    let mut model = Model::new();
    for name in ["engines", "classes", "tenants", "episodes", "requests"] {
        assert_screen(name, &render(&model, &view, (80, 24), OPTIONS));
        model.on_key(Key::NextPage, &view);
    }
    assert_eq!(
        model.page,
        Page::Engines,
        "the first table follows the last"
    );
    assert_screen("engines-wide", &render(&model, &view, (132, 24), OPTIONS));
    assert_screen(
        "engines-plain",
        &render(
            &model,
            &view,
            (80, 24),
            DisplayOptions {
                has_colours: false,
                has_blocks: false,
            },
        ),
    );
    model.on_key(Key::Open, &view);
    assert_screen("engine", &render(&model, &view, (80, 24), OPTIONS));
    model.on_key(Key::Back, &view);
    model.on_key(Key::PreviousPage, &view);
    model.on_key(Key::Open, &view);
    assert_screen("request", &render(&model, &view, (80, 24), OPTIONS));
    assert_screen("small", &render(&model, &view, (40, 10), OPTIONS));
}

#[test]
fn keys_move_in_time_and_the_cursor_stops_at_the_first_and_last_row() {
    let view = view();
    let mut model = Model::new();
    assert_eq!(
        model.on_key(Key::StepBack, &view),
        Command::ShowTime(view.fleet.now - 1_000_000)
    );
    assert_eq!(
        model.on_key(Key::LeapBack, &view),
        Command::ShowTime(view.fleet.now - 11_000_000)
    );
    assert_eq!(
        model.on_key(Key::StepForward, &view),
        Command::ShowTime(view.fleet.now - 10_000_000)
    );
    assert_eq!(model.on_key(Key::Live, &view), Command::FollowLogs);
    assert_eq!(
        (model.on_key(Key::Pause, &view), model.paused_at),
        (Command::Nothing, Some(view.fleet.now))
    );
    assert_eq!(
        (model.on_key(Key::Pause, &view), model.paused_at),
        (Command::FollowLogs, None)
    );
    model.page = Page::Episodes;
    let episodes = view.detector.episodes().len();
    for _ in 0..100 {
        model.on_key(Key::Down, &view);
    }
    assert_eq!(model.cursor, episodes - 1);
    for _ in 0..100 {
        model.on_key(Key::Up, &view);
    }
    let first = &view.detector.episodes()[0];
    assert_eq!(
        model.on_key(Key::Open, &view),
        Command::ShowTime(first.peak_at.max(first.started_at) + 1_000_000)
    );
    // Keys do nothing if the table has no rows and there is no page to return to.
    let empty = View::new();
    for page in [Page::Engines, Page::Episodes, Page::Requests] {
        let mut model = Model::new();
        model.page = page;
        for key in [
            Key::Open,
            Key::Back,
            Key::Down,
            Key::Up,
            Key::Sort,
            Key::JumpToPeak,
        ] {
            assert_eq!(model.on_key(key, &empty), Command::Nothing);
        }
        render(&model, &empty, (80, 24), OPTIONS);
    }
    assert_eq!(model.on_key(Key::Quit, &view), Command::Quit);
}

#[test]
fn engines_are_sorted_by_the_chosen_column() {
    let view = view();
    let mut model = Model::new();
    let order = |model: &Model| {
        model
            .engines(&view)
            .into_iter()
            .map(|row| row.name)
            .collect::<Vec<_>>()
    };
    assert_eq!(order(&model), ["e-1", "e-2", "e-3", "e-4"]);
    model.on_key(Key::Sort, &view);
    assert_eq!(
        order(&model)[0],
        "e-3",
        "the only attempt in flight is on e-3"
    );
    for _ in 0..3 {
        model.on_key(Key::Sort, &view);
    }
    assert_eq!(
        order(&model)[..2],
        ["e-3", "e-4"],
        "the engines that were at capacity have most failed attempts"
    );
}
