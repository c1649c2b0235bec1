//! Graceful shutdown under every order of signals, passing time and ends of requests and
//! connections. Guards against steps out of order, an exit that loses requests, and an exit so late
//! that the process is killed.

use eideryard_gateway::shutdown::{Phase, Remaining, Shutdown, ShutdownStep};

const START: u64 = 50_000_000;

/// Collects steps until no step is returned, as the main loop does.
fn take_steps(shutdown: &mut Shutdown, now: u64, remaining: Remaining) -> Vec<ShutdownStep> {
    std::iter::from_fn(|| shutdown.next_step(now, remaining)).collect()
}

/// An event, in random order: a signal, elapsed microseconds, or new counts of open requests and
/// connections.
#[derive(Clone, Copy)]
enum Event {
    Signal,
    TimePassed(u64),
    OpenCounts(usize, usize),
}

const EVENTS: [Event; 7] = [
    Event::Signal,
    Event::Signal,
    Event::TimePassed(300_000),
    Event::TimePassed(500_000),
    Event::OpenCounts(0, 0),
    Event::OpenCounts(0, 2),
    Event::OpenCounts(1, 1),
];

/// A shutdown with simulated time, and the steps that it has taken.
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

    fn apply(&mut self, event: Event) {
        match event {
            Event::Signal => {
                assert_eq!(
                    self.shutdown.begin(self.now, self.longest_wait),
                    self.signalled_at.is_none(),
                    "a second signal changes nothing"
                );
                self.signalled_at.get_or_insert(self.now);
            }
            Event::TimePassed(duration) => self.now += duration,
            Event::OpenCounts(requests, connections) => {
                self.remaining = Remaining {
                    requests,
                    connections,
                }
            }
        }
        let new_steps = take_steps(&mut self.shutdown, self.now, self.remaining);
        assert!(
            self.signalled_at.is_some() || new_steps.is_empty(),
            "a step before the signal"
        );
        let is_last_phase = self.now >= self.shutdown.phase_starts()[2];
        let may_exit = self.remaining == Remaining::default() || is_last_phase;
        assert!(
            !new_steps.contains(&ShutdownStep::Exit) || may_exit,
            "early exit with {:?} open, longest wait {}",
            self.remaining,
            self.longest_wait
        );
        self.steps.extend(new_steps);
    }

    /// Checks that the process exits before it may be killed, even if the open requests and
    /// connections never end, and that the shutdown has taken all steps once and in order.
    fn check_end(&mut self) {
        let killed_at = self.signalled_at.unwrap() + 700_000 + self.longest_wait.min(3_000_000);
        for phase_start in self.shutdown.phase_starts() {
            assert!(phase_start < killed_at);
            self.now = self.now.max(phase_start);
            let new_steps = take_steps(&mut self.shutdown, self.now, self.remaining);
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
    let mut indices: Vec<usize> = (0..EVENTS.len()).collect();
    permutations(&mut indices, 0, &mut |order| {
        for longest_wait in [100_000, 900_000, 20_000_000] {
            orders += 1;
            let mut run = Run::new(longest_wait);
            for &index in order {
                run.apply(EVENTS[index]);
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
    for index in from..items.len() {
        items.swap(from, index);
        permutations(items, from + 1, visit);
        items.swap(from, index);
    }
}

/// Clients send requests until 0.6 s after the signal. Closing connections before that loses
/// requests, so closing may start earlier only if the process is killed earlier.
#[test]
fn closing_starts_after_the_last_clients_and_finishes_once_all_connections_end() {
    let mut shutdown = Shutdown::default();
    assert!(shutdown.begin(START, 2_000_000));
    assert_eq!(
        take_steps(&mut shutdown, START + 650_000, Remaining::default()),
        []
    );
    let idle_connection = Remaining {
        requests: 0,
        connections: 1,
    };
    assert_eq!(
        take_steps(&mut shutdown, START + 700_000, idle_connection),
        [ShutdownStep::CloseIdleConnections]
    );
    assert_eq!(
        take_steps(&mut shutdown, START + 710_000, idle_connection),
        []
    );
    assert_eq!(
        take_steps(&mut shutdown, START + 720_000, Remaining::default()),
        [ShutdownStep::Exit]
    );
    // If the longest wait is so short that the kill follows shortly after the last client's
    // request, closing must still have time.
    let mut shutdown = Shutdown::default();
    shutdown.begin(START, 100_000);
    assert_eq!(
        take_steps(&mut shutdown, START + 600_000, idle_connection),
        [
            ShutdownStep::CloseIdleConnections,
            ShutdownStep::AnswerOpenRequests
        ]
    );
    assert_eq!(
        take_steps(&mut shutdown, START + 700_000, idle_connection),
        [ShutdownStep::Exit]
    );
}
