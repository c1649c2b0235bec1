//! Graceful shutdown: every order of signal, time, ends of requests and of connections.

use eideryard_gateway::shutdown::{Phase, Remaining, Shutdown, ShutdownStep};

const START: u64 = 50_000_000;

/// Asks until nothing is left to do, as a host does.
fn look(shutdown: &mut Shutdown, now: u64, left: Remaining) -> Vec<ShutdownStep> {
    std::iter::from_fn(|| shutdown.next_step(now, left)).collect()
}

/// What can happen, in any order: the signal, again, time that passes, and what is left comes and
/// goes.
#[derive(Clone, Copy)]
enum Happens {
    Signal,
    Pass(u64),
    Remaining(usize, usize),
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn every_order_of_events_takes_the_steps_in_order_once_and_ends_in_bounded_time() {
    let all = [
        Happens::Signal,
        Happens::Signal,
        Happens::Pass(300_000),
        Happens::Pass(500_000),
        Happens::Remaining(0, 0),
        Happens::Remaining(0, 2),
        Happens::Remaining(1, 1),
    ];
    let mut orders = 0;
    let mut indices: Vec<usize> = (0..all.len()).collect();
    permutations(&mut indices, 0, &mut |order| {
        for wait in [100_000, 900_000, 20_000_000] {
            orders += 1;
            let (mut shutdown, mut now, mut left) =
                (Shutdown::default(), START, Remaining::default());
            let (mut steps, mut signalled) = (Vec::new(), None);
            for &what in order {
                match all[what] {
                    Happens::Signal => {
                        assert_eq!(
                            shutdown.begin(now, wait),
                            signalled.is_none(),
                            "a second one is none"
                        );
                        signalled.get_or_insert(now);
                    }
                    Happens::Pass(time) => now += time,
                    Happens::Remaining(requests, connections) => {
                        left = Remaining {
                            requests,
                            connections,
                        }
                    }
                }
                let taken = look(&mut shutdown, now, left);
                assert!(
                    signalled.is_some() || taken.is_empty(),
                    "nothing happens before the signal"
                );
                let may_leave = left == Remaining::default() || now >= shutdown.phase_starts()[2];
                assert!(
                    !taken.contains(&ShutdownStep::Exit) || may_leave,
                    "left early with {left:?} of {wait}"
                );
                steps.extend(taken);
            }
            // Whatever is left for good, the end comes before the process may be killed.
            let killed_at = signalled.unwrap() + 700_000 + wait.min(3_000_000);
            for bound in shutdown.phase_starts() {
                assert!(bound < killed_at);
                now = now.max(bound);
                steps.extend(look(&mut shutdown, now, left));
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
        look(&mut shutdown, START + 650_000, Remaining::default()),
        []
    );
    let rests = Remaining {
        requests: 0,
        connections: 1,
    };
    assert_eq!(
        look(&mut shutdown, START + 700_000, rests),
        [ShutdownStep::CloseIdle]
    );
    assert_eq!(look(&mut shutdown, START + 710_000, rests), []);
    assert_eq!(
        look(&mut shutdown, START + 720_000, Remaining::default()),
        [ShutdownStep::Exit]
    );
    // A wait so short that the kill comes at once after the last clients still leaves time to
    // close.
    let mut shutdown = Shutdown::default();
    shutdown.begin(START, 100_000);
    assert_eq!(
        look(&mut shutdown, START + 600_000, rests),
        [ShutdownStep::CloseIdle, ShutdownStep::AnswerOpen]
    );
    assert_eq!(
        look(&mut shutdown, START + 700_000, rests),
        [ShutdownStep::Exit]
    );
}
