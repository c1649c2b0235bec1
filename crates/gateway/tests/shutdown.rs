//! Graceful shutdown: every order of signal, time, ends of requests and of connections.

use eideryard_gateway::shutdown::{Phase, Remaining, Shutdown, ShutdownStep};

const START: u64 = 50_000_000;

/// Asks until there is no further step, as the main loop does.
fn next_steps(shutdown: &mut Shutdown, now: u64, remaining: Remaining) -> Vec<ShutdownStep> {
    std::iter::from_fn(|| shutdown.next_step(now, remaining)).collect()
}

/// What can happen, in any order: the signal, again, time that passes, and what is left comes and
/// goes.
#[derive(Clone, Copy)]
enum Happening {
    Signal,
    Pass(u64),
    Remain(usize, usize),
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn every_order_of_events_takes_the_steps_in_order_once_and_ends_in_bounded_time() {
    let all = [
        Happening::Signal,
        Happening::Signal,
        Happening::Pass(300_000),
        Happening::Pass(500_000),
        Happening::Remain(0, 0),
        Happening::Remain(0, 2),
        Happening::Remain(1, 1),
    ];
    let mut orders = 0;
    let mut indices: Vec<usize> = (0..all.len()).collect();
    permutations(&mut indices, 0, &mut |order| {
        for wait in [100_000, 900_000, 20_000_000] {
            orders += 1;
            let (mut shutdown, mut now, mut remaining) =
                (Shutdown::default(), START, Remaining::default());
            let (mut steps, mut signalled) = (Vec::new(), None);
            for &index in order {
                match all[index] {
                    Happening::Signal => {
                        assert_eq!(
                            shutdown.begin(now, wait),
                            signalled.is_none(),
                            "a second one is none"
                        );
                        signalled.get_or_insert(now);
                    }
                    Happening::Pass(time) => now += time,
                    Happening::Remain(requests, connections) => {
                        remaining = Remaining {
                            requests,
                            connections,
                        }
                    }
                }
                let new_steps = next_steps(&mut shutdown, now, remaining);
                assert!(
                    signalled.is_some() || new_steps.is_empty(),
                    "nothing happens before the signal"
                );
                let may_exit =
                    remaining == Remaining::default() || now >= shutdown.phase_starts()[2];
                assert!(
                    !new_steps.contains(&ShutdownStep::Exit) || may_exit,
                    "left early with {remaining:?} of {wait}"
                );
                steps.extend(new_steps);
            }
            // Whatever is left for good, the end comes before the process may be killed.
            let killed_at = signalled.unwrap() + 700_000 + wait.min(3_000_000);
            for bound in shutdown.phase_starts() {
                assert!(bound < killed_at);
                now = now.max(bound);
                steps.extend(next_steps(&mut shutdown, now, remaining));
            }
            assert_eq!(shutdown.phase(), Phase::Finished);
            let whole = [
                ShutdownStep::CloseIdle,
                ShutdownStep::AnswerOpen,
                ShutdownStep::Exit,
            ];
            assert!(
                steps == whole || steps == [ShutdownStep::CloseIdle, ShutdownStep::Exit],
                "{steps:?}"
            );
        }
    });
    assert_eq!(orders, 3 * 5040);
}

fn permutations(items: &mut Vec<usize>, from: usize, visit: &mut impl FnMut(&[usize])) {
    if from == items.len() {
        return visit(items);
    }
    for other in from..items.len() {
        items.swap(from, other);
        permutations(items, from + 1, visit);
        items.swap(from, other);
    }
}

/// Requests come until 0.6 s after the signal: nothing closes before that, unless the kill comes
/// sooner.
#[test]
fn closing_waits_for_the_last_clients_and_is_over_once_nothing_is_left() {
    let mut shutdown = Shutdown::default();
    assert!(shutdown.begin(START, 2_000_000));
    assert_eq!(
        next_steps(&mut shutdown, START + 650_000, Remaining::default()),
        []
    );
    let idle_connection = Remaining {
        requests: 0,
        connections: 1,
    };
    assert_eq!(
        next_steps(&mut shutdown, START + 700_000, idle_connection),
        [ShutdownStep::CloseIdle]
    );
    assert_eq!(
        next_steps(&mut shutdown, START + 710_000, idle_connection),
        []
    );
    assert_eq!(
        next_steps(&mut shutdown, START + 720_000, Remaining::default()),
        [ShutdownStep::Exit]
    );
    // A wait so short that the kill comes at once after the last clients still leaves time to
    // close.
    let mut shutdown = Shutdown::default();
    shutdown.begin(START, 100_000);
    assert_eq!(
        next_steps(&mut shutdown, START + 600_000, idle_connection),
        [ShutdownStep::CloseIdle, ShutdownStep::AnswerOpen]
    );
    assert_eq!(
        next_steps(&mut shutdown, START + 700_000, idle_connection),
        [ShutdownStep::Exit]
    );
}
