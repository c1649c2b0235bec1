//! Graceful shutdown: every order of signal, time, ends of requests and of connections.

use eideryard_gateway::shutdown::{Phase, Remaining, Shutdown, ShutdownStep};

const START: u64 = 50_000_000;

/// Asks until there is no further step, as the main loop does.
fn next_steps(shutdown: &mut Shutdown, now: u64, remaining: Remaining) -> Vec<ShutdownStep> {
    std::iter::from_fn(|| shutdown.next_step(now, remaining)).collect()
}

/// What can happen, in any order: the signal, a second one, time that passes, and requests and
/// connections that end or begin.
#[derive(Clone, Copy)]
enum Happening {
    Signal,
    Pass(u64),
    Remain(usize, usize),
}

const HAPPENINGS: [Happening; 7] = [
    Happening::Signal,
    Happening::Signal,
    Happening::Pass(300_000),
    Happening::Pass(500_000),
    Happening::Remain(0, 0),
    Happening::Remain(0, 2),
    Happening::Remain(1, 1),
];

/// A gateway that shuts down, with the steps that it has taken.
struct Run {
    shutdown: Shutdown,
    longest_wait: u64,
    now: u64,
    remaining: Remaining,
    signalled_at: Option<u64>,
    steps: Vec<ShutdownStep>,
}

impl Run {
    fn new(longest_wait: u64) -> Self {
        Run {
            shutdown: Shutdown::default(),
            longest_wait,
            now: START,
            remaining: Remaining::default(),
            signalled_at: None,
            steps: Vec::new(),
        }
    }

    fn apply(&mut self, happening: Happening) {
        match happening {
            Happening::Signal => {
                assert_eq!(
                    self.shutdown.begin(self.now, self.longest_wait),
                    self.signalled_at.is_none(),
                    "a second signal changes nothing"
                );
                self.signalled_at.get_or_insert(self.now);
            }
            Happening::Pass(time) => self.now += time,
            Happening::Remain(requests, connections) => {
                self.remaining = Remaining {
                    requests,
                    connections,
                }
            }
        }
        let new_steps = next_steps(&mut self.shutdown, self.now, self.remaining);
        assert!(
            self.signalled_at.is_some() || new_steps.is_empty(),
            "nothing happens before the signal"
        );
        let is_last_phase = self.now >= self.shutdown.phase_starts()[2];
        let may_exit = self.remaining == Remaining::default() || is_last_phase;
        assert!(
            !new_steps.contains(&ShutdownStep::Exit) || may_exit,
            "left early with {:?} of {}",
            self.remaining,
            self.longest_wait
        );
        self.steps.extend(new_steps);
    }

    /// Whatever remains for good, the end comes before the process may be killed.
    fn check_end(&mut self) {
        let killed_at = self.signalled_at.unwrap() + 700_000 + self.longest_wait.min(3_000_000);
        for phase_start in self.shutdown.phase_starts() {
            assert!(phase_start < killed_at);
            self.now = self.now.max(phase_start);
            let new_steps = next_steps(&mut self.shutdown, self.now, self.remaining);
            self.steps.extend(new_steps);
        }
        assert_eq!(self.shutdown.phase(), Phase::Finished);
        let all_steps = [
            ShutdownStep::CloseIdleConnections,
            ShutdownStep::AnswerOpenRequests,
            ShutdownStep::Exit,
        ];
        let without_open_requests = [ShutdownStep::CloseIdleConnections, ShutdownStep::Exit];
        assert!(
            self.steps == all_steps || self.steps == without_open_requests,
            "{:?}",
            self.steps
        );
    }
}

#[test]
fn every_order_of_events_takes_the_steps_in_order_once_and_ends_in_bounded_time() {
    let mut orders = 0;
    let mut indices: Vec<usize> = (0..HAPPENINGS.len()).collect();
    permutations(&mut indices, 0, &mut |order| {
        for longest_wait in [100_000, 900_000, 20_000_000] {
            orders += 1;
            let mut run = Run::new(longest_wait);
            for &index in order {
                run.apply(HAPPENINGS[index]);
            }
            run.check_end();
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
fn closing_waits_for_the_last_clients_and_finishes_once_nothing_remains() {
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
        [ShutdownStep::CloseIdleConnections]
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
        [
            ShutdownStep::CloseIdleConnections,
            ShutdownStep::AnswerOpenRequests
        ]
    );
    assert_eq!(
        next_steps(&mut shutdown, START + 700_000, idle_connection),
        [ShutdownStep::Exit]
    );
}
