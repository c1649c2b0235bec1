//! Hollow gateways beside real ones, in one fleet and at one time: they follow the same list by the
//! same events, each at a place of its own.
//!
//! Hollow ones stand side by side in this process and play requests in virtual time, in equal
//! steps, while clients ask the real ones.

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

/// Virtual time by which all hollow gateways move on together.
const STEP: u64 = SECOND / 100;
/// Virtual time that they play at the most.
const MOST: u64 = 10 * SECOND;

/// What hollow gateways counted.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// What their decisions took.
    pub cost: Cost,
    /// Engines looked at for a request, at each gateway.
    pub visits_a_request: Vec<f64>,
    /// Events of the list, each counted at each gateway.
    pub list_events: u64,
    /// Processor time of one gateway's codec and module for a change of the list, event by event.
    pub micros_a_change: Vec<f64>,
    /// The same for a whole list.
    pub micros_a_whole_list: Vec<f64>,
    /// Gateways that did not end with the engines that the list names.
    pub wrong_lists: u64,
}

/// Hollow gateways on a thread of their own.
pub struct Together {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Counted>,
}

/// Places that real gateways leave, at equal distances, `hollow` at the most.
pub fn places(gateways: usize, real: usize, hollow: usize) -> Vec<usize> {
    let taken: Vec<usize> = (0..real)
        .map(|number| number * gateways.max(real) / real)
        .collect();
    let free: Vec<usize> = (0..gateways)
        .filter(|place| !taken.contains(place))
        .collect();
    let count = hollow.min(free.len());
    (0..count)
        .map(|number| free[number * free.len() / count])
        .collect()
}

impl Together {
    /// Begins once all of them have the list; they follow the events from then on.
    pub fn start(
        fleet: decisions::Fleet,
        places: Vec<usize>,
        events: Receiver<Arc<str>>,
    ) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (ready, begun) = std::sync::mpsc::channel();
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut nodes = Hollow::start(fleet, &places);
            // Nobody waits for it where the run has ended early.
            let _ = ready.send(());
            nodes.follow(&events, &stopped)
        });
        begun
            .recv()
            .map_err(|_| io::Error::other("hollow gateways didn't start"))?;
        Ok(Together { stop, thread })
    }

    /// Lets them take the events that have come, and ends them.
    pub fn end(self) -> io::Result<Counted> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .map_err(|_| io::Error::other("a hollow gateway panicked"))
    }
}

struct Hollow {
    engines: usize,
    nodes: Vec<(Node, Watch)>,
    counted: Counted,
}

impl Hollow {
    fn start(fleet: decisions::Fleet, places: &[usize]) -> Self {
        let list = decisions::list(fleet.engines);
        let node = |&place: &usize| {
            let mut node = Node::new(fleet, place, &list);
            node.asks_until(STARTED + MOST);
            (node, Watch::begun())
        };
        let nodes: Vec<_> = places.iter().map(node).collect();
        let cost = Cost {
            gateways: nodes.len() as u64,
            ..Cost::default()
        };
        let counted = Counted {
            cost,
            ..Counted::default()
        };
        Hollow {
            engines: fleet.engines,
            nodes,
            counted,
        }
    }

    fn follow(&mut self, events: &Receiver<Arc<str>>, stop: &AtomicBool) -> Counted {
        let mut now = STARTED;
        loop {
            // Events that came before the stop are taken.
            let stops = stop.load(Ordering::Relaxed);
            self.take_events(events);
            if stops {
                return self.end();
            }
            if now < STARTED + MOST {
                now += STEP;
            } else {
                std::thread::sleep(Duration::from_millis(1));
            }
            self.nodes
                .iter_mut()
                .for_each(|(node, _)| node.play_until(now));
        }
    }

    fn take_events(&mut self, events: &Receiver<Arc<str>>) {
        loop {
            match events.try_recv() {
                Ok(text) => self.take_event(&text),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    fn take_event(&mut self, text: &str) {
        let (before, mut whole) = (thread_time(), false);
        for (node, watch) in &mut self.nodes {
            for update in watch.take(text) {
                whole = update.whole;
                node.listed(update.event());
                self.counted.list_events += 1;
            }
        }
        let spent = thread_time().saturating_sub(before);
        let micros = spent.as_secs_f64() * 1e6 / self.nodes.len().max(1) as f64;
        if whole {
            self.counted.micros_a_whole_list.push(micros);
        } else {
            self.counted.micros_a_change.push(micros);
        }
    }

    fn end(&mut self) -> Counted {
        for (node, _) in &mut self.nodes {
            node.finish();
            let own = node.counted();
            self.counted.cost.requests += own.requests;
            self.counted.cost.visits += own.visits;
            self.counted.cost.unanswered += node.unanswered();
            self.counted
                .visits_a_request
                .push(own.visits as f64 / own.requests.max(1) as f64);
            self.counted.wrong_lists += u64::from(node.listed_engines() != self.engines);
        }
        std::mem::take(&mut self.counted)
    }
}
