//! Runs hollow gateways at the same time as real ones, in one fleet. All receive the same events of
//! the endpoint list, and each has its own index in the fleet.
//!
//! All hollow gateways run on one thread and simulate requests in virtual time, in equal steps,
//! while clients send requests to the real ones.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use super::decisions::{self, Cost, SECOND, STARTED};
use super::discovery::Watch;
use super::node::Node;
use super::replication::thread_time;

/// Virtual time by which all hollow gateways advance in turn.
const STEP: u64 = SECOND / 100;
/// Longest virtual time that is simulated.
const MAX_VIRTUAL_TIME: u64 = 10 * SECOND;

/// Costs and counts of all hollow gateways.
#[derive(Clone, Debug, Default)]
pub struct HollowCounts {
    /// Cost of their decisions.
    pub cost: Cost,
    /// Engines that the balancer examined per request, for each gateway.
    pub visits_per_request: Vec<f64>,
    /// List events read, summed over the gateways.
    pub list_events: u64,
    /// Processor time of a gateway's codec and balancer for a list event with changes, in
    /// microseconds, the mean over the gateways for each event.
    pub micros_per_change: Vec<f64>,
    /// The same for each event with the whole list.
    pub micros_per_whole_list: Vec<f64>,
    /// Gateways whose final number of engines differs from that of the list.
    pub gateways_with_wrong_list: u64,
}

/// Handle to the thread that runs the hollow gateways.
pub struct HollowGateways {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<HollowCounts>,
}

/// Returns at most `hollow` indexes in a fleet of `gateways` that no real gateway has, evenly
/// spaced.
pub fn free_indexes(gateways: usize, real: usize, hollow: usize) -> Vec<usize> {
    let real_indexes: Vec<usize> = (0..real)
        .map(|number| number * gateways.max(real) / real)
        .collect();
    let free: Vec<usize> = (0..gateways)
        .filter(|index| !real_indexes.contains(index))
        .collect();
    let count = hollow.min(free.len());
    (0..count)
        .map(|number| free[number * free.len() / count])
        .collect()
}

impl HollowGateways {
    /// Starts the gateways and returns once all have the endpoint list; from then on they read
    /// `events`.
    pub fn start(
        fleet: decisions::Fleet,
        indexes: Vec<usize>,
        events: Receiver<Arc<str>>,
    ) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (ready, started) = std::sync::mpsc::channel();
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut nodes = HollowNodes::start(fleet, &indexes);
            // Fails only if the run has already ended.
            let _ = ready.send(());
            nodes.run(&events, &stopped)
        });
        started.recv().map_err(|_| {
            io::Error::other(
                "the thread of the hollow gateways ended before all had the endpoint list",
            )
        })?;
        Ok(HollowGateways { stop, thread })
    }

    /// Waits until the gateways have read all events sent so far, stops them and returns their
    /// counts.
    pub fn end(self) -> io::Result<HollowCounts> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .map_err(|_| io::Error::other("a hollow gateway panicked"))
    }
}

struct HollowNodes {
    engines: usize,
    nodes: Vec<(Node, Watch)>,
    counted: HollowCounts,
}

impl HollowNodes {
    fn start(fleet: decisions::Fleet, indexes: &[usize]) -> Self {
        let list = decisions::endpoint_list(fleet.engines);
        let node = |&index: &usize| {
            let mut node = Node::new(fleet, index, &list);
            node.send_requests_until(STARTED + MAX_VIRTUAL_TIME);
            (node, Watch::connected())
        };
        let nodes: Vec<_> = indexes.iter().map(node).collect();
        let cost = Cost {
            gateways: nodes.len() as u64,
            ..Cost::default()
        };
        let counted = HollowCounts {
            cost,
            ..HollowCounts::default()
        };
        HollowNodes {
            engines: fleet.engines,
            nodes,
            counted,
        }
    }

    fn run(&mut self, events: &Receiver<Arc<str>>, stop: &AtomicBool) -> HollowCounts {
        let mut now = STARTED;
        loop {
            // The flag is read first, so that events sent before the stop are still read.
            let should_stop = stop.load(Ordering::Relaxed);
            self.handle_events(events);
            if should_stop {
                return self.finish();
            }
            if now < STARTED + MAX_VIRTUAL_TIME {
                now += STEP;
            } else {
                std::thread::sleep(Duration::from_millis(1));
            }
            self.nodes
                .iter_mut()
                .for_each(|(node, _)| node.run_until(now));
        }
    }

    fn handle_events(&mut self, events: &Receiver<Arc<str>>) {
        loop {
            match events.try_recv() {
                Ok(text) => self.handle_event(&text),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    fn handle_event(&mut self, text: &str) {
        let (before, mut is_whole) = (thread_time(), false);
        for (node, watch) in &mut self.nodes {
            for update in watch.read(text) {
                is_whole = update.is_whole;
                node.handle_list_event(update.event());
                self.counted.list_events += 1;
            }
        }
        let spent = thread_time().saturating_sub(before);
        let micros = spent.as_secs_f64() * 1e6 / self.nodes.len().max(1) as f64;
        if is_whole {
            self.counted.micros_per_whole_list.push(micros);
        } else {
            self.counted.micros_per_change.push(micros);
        }
    }

    fn finish(&mut self) -> HollowCounts {
        for (node, _) in &mut self.nodes {
            node.finish();
            let counts = node.counted();
            self.counted.cost.requests += counts.requests;
            self.counted.cost.visits += counts.visits;
            self.counted.cost.unanswered += node.unanswered();
            self.counted
                .visits_per_request
                .push(counts.visits as f64 / counts.requests.max(1) as f64);
            self.counted.gateways_with_wrong_list +=
                u64::from(node.listed_engines() != self.engines);
        }
        std::mem::take(&mut self.counted)
    }
}
