//! Screens of the console on a terminal that is none, held against stored ones. `UPDATE_SCREENS=1`
//! stores them anew.

#[path = "../../event-analysis/tests/common/mod.rs"]
mod common;

use common::*;
use eideryard::interface::Phase;
use eideryard_console::draw::{draw, Look};
use eideryard_console::model::{Key, Model, Page, Wish};
use eideryard_event_analysis::View;
use eideryard_event_log::{AnswerKind, HostEvent};
use ratatui::backend::TestBackend;
use ratatui::Terminal;

const LOOK: Look = Look {
    colours: false,
    blocks: true,
};

fn view() -> View {
    let mut script = Script::new(&["g1", "g2"]);
    script.calm(0, 0, 10, 20);
    script.engines = vec![3, 4];
    script.calm(0, 10, 30, 20);
    script.calm(1, 0, 30, 10);
    script.fails(0, 10.0, 1);
    script.fails(0, 10.1, 2);
    script.listed(0, 25.0, 4, Phase::Draining, 0);
    script.host(1, 18.0, HostEvent::DiscoveryLink { is_up: false });
    script.flood(1, 20, 24, 120, 2);
    for number in 0..5 {
        let seconds = 21.0 + number as f64 * 0.1;
        script.request(
            1,
            seconds,
            1,
            2,
            Ending {
                how: AnswerKind::Refused,
                ..SERVED
            },
        );
    }
    script.open(0, 29.5, 0, 0, 3);
    let (told, sources) = script.told();
    let mut view = View::new();
    for (source, at, entry) in told {
        view.take(
            &sources,
            source,
            at,
            &eideryard_event_log::reader::ReadContent::Entry(entry),
        );
    }
    view
}

fn screen(model: &Model, view: &View, (width, height): (u16, u16), look: Look) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal
        .draw(|frame| draw(frame, model, view, look))
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

fn held(name: &str, screen: &str) {
    let path = format!("{}/tests/screens/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("UPDATE_SCREENS").is_some() {
        std::fs::write(&path, screen).unwrap();
    }
    let stored = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        stored == screen,
        "{name} is not as stored:\n{screen}\nstored:\n{stored}"
    );
}

#[test]
fn the_pages_are_as_stored() {
    let view = view();
    let mut model = Model::new();
    for name in ["engines", "classes", "tenants", "episodes", "requests"] {
        held(name, &screen(&model, &view, (80, 24), LOOK));
        model.key(Key::Next, &view);
    }
    assert_eq!(model.page, Page::Engines, "round they go");
    held("engines-wide", &screen(&model, &view, (132, 24), LOOK));
    held(
        "engines-plain",
        &screen(
            &model,
            &view,
            (80, 24),
            Look {
                colours: false,
                blocks: false,
            },
        ),
    );
    model.key(Key::Open, &view);
    held("engine", &screen(&model, &view, (80, 24), LOOK));
    model.key(Key::Back, &view);
    model.key(Key::Previous, &view);
    model.key(Key::Open, &view);
    held("request", &screen(&model, &view, (80, 24), LOOK));
    held("small", &screen(&model, &view, (40, 10), LOOK));
}

#[test]
fn keys_move_in_time_and_stop_at_the_ends() {
    let view = view();
    let mut model = Model::new();
    assert_eq!(
        model.key(Key::StepBack, &view),
        Wish::Go(view.fleet.now - 1_000_000)
    );
    assert_eq!(
        model.key(Key::LeapBack, &view),
        Wish::Go(view.fleet.now - 11_000_000)
    );
    assert_eq!(
        model.key(Key::StepOn, &view),
        Wish::Go(view.fleet.now - 10_000_000)
    );
    assert_eq!(model.key(Key::Live, &view), Wish::Follow);
    assert_eq!(
        (model.key(Key::Pause, &view), model.paused_at),
        (Wish::Nothing, Some(view.fleet.now))
    );
    assert_eq!(
        (model.key(Key::Pause, &view), model.paused_at),
        (Wish::Follow, None)
    );
    model.page = Page::Episodes;
    let episodes = view.detector.episodes.len();
    (0..100).for_each(|_| _ = model.key(Key::Down, &view));
    assert_eq!(model.cursor, episodes - 1);
    (0..100).for_each(|_| _ = model.key(Key::Up, &view));
    let first = &view.detector.episodes[0];
    assert_eq!(
        model.key(Key::Open, &view),
        Wish::Go(first.peak_at.max(first.begin) + 1_000_000)
    );
    // Nothing to open and no way back are no trouble.
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
            Key::Jump,
        ] {
            assert_eq!(model.key(key, &empty), Wish::Nothing);
        }
        screen(&model, &empty, (80, 24), LOOK);
    }
    assert_eq!(model.key(Key::Quit, &view), Wish::Quit);
}

#[test]
fn engines_are_sorted_as_asked() {
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
    model.key(Key::Sort, &view);
    assert_eq!(order(&model)[0], "e-3", "what is out is there");
    (0..3).for_each(|_| _ = model.key(Key::Sort, &view));
    assert_eq!(
        order(&model)[..2],
        ["e-3", "e-4"],
        "those that turned requests away"
    );
}
