//! Analysis of event logs: reconstructs what happened in a fleet of gateways from the entries that
//! they logged.
//!
//! [`state`] owns the state of each gateway and turns entries into [`Fact`]s. The other modules
//! process only facts: [`series`] sums them in time buckets, [`episodes`] detects incidents by
//! their symptoms, [`notable`] keeps the requests that were not served in time at the first
//! attempt, and [`skew`] estimates the differences between the gateways' clocks. [`View`] feeds all
//! of them; the report and the console read it. Nothing in this crate does I/O, and the memory used
//! is bounded regardless of the length of a log.
//!
//! # Example
//!
//! ```
//! use eideryard_event_analysis::View;
//! use eideryard_event_log::reader::ReadContent;
//! use eideryard_event_log::{Entry, HostEvent, Source};
//!
//! let sources = [Source {
//!     name: "g1".into(),
//!     epoch: 1_000_000,
//!     directory: "records".into(),
//!     bytes: 0,
//! }];
//! let link_up = ReadContent::Entry(Entry::Host(HostEvent::DiscoveryLink { is_up: true }));
//!
//! let mut view = View::new();
//! view.add(&sources, 0, 1_500_000, &link_up);
//! view.finish(false);
//!
//! let run = view.fleet.run(0).expect("the log of g1 has an entry");
//! assert!(run.is_discovery_up);
//! assert!(view.detector.episodes().is_empty());
//! ```

pub mod episodes;
pub mod notable;
pub mod series;
pub mod skew;
pub mod state;

pub use episodes::{Detector, Episode, EpisodeKind, Overlap};
pub use series::Series;
pub use state::{Fact, Fleet, GatewayRun, TimedFact};

use eideryard::interface::Micros;
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::Source;

/// The results of all parts of the analysis, which process the same entries.
pub struct View {
    /// State of each gateway after the last entry added.
    pub fleet: Fleet,
    /// Sums per time bucket, from [`View::from`] on.
    pub series: Series,
    /// Detects incidents and stores them as episodes.
    pub detector: Detector,
    /// Estimated differences between the gateways' clocks.
    pub skew: skew::ClockSkew,
    /// Requests that were not served in time at the first attempt, from [`View::from`] on.
    pub notables: notable::NotableRequests,
    /// Start of the analysed time. Earlier entries only build the state and the baselines.
    pub from: Micros,
}

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    /// Creates a view that analyses every entry added.
    pub fn new() -> Self {
        Self::since(0)
    }

    /// Creates a view that analyses the time from `from` on.
    pub fn since(from: Micros) -> Self {
        View {
            from,
            fleet: Fleet::default(),
            series: Series::new(),
            detector: Detector::new(),
            skew: skew::ClockSkew::default(),
            notables: notable::NotableRequests::default(),
        }
    }

    /// Adds the next content read from the source with this index: an entry or a damaged part of
    /// its log.
    pub fn add(&mut self, sources: &[Source], source: usize, at: Micros, content: &ReadContent) {
        let View {
            fleet,
            series,
            detector,
            skew,
            notables,
            from,
        } = self;
        let is_in_range = at >= *from;
        if is_in_range {
            fleet.set_baseline(source, *from);
        }
        fleet.add(sources, source, at, content, &mut |fact| {
            if is_in_range {
                series.add(&fact);
                notables.add(&fact);
            }
            skew.add(&fact);
            detector.add(&fact);
        });
    }

    /// Ends the analysis after the last entry. `is_cut` is true if the reader stopped at a given
    /// time although the logs continue. Otherwise, a gateway whose log ends before the others' and
    /// without an orderly shutdown is marked as broken off.
    pub fn finish(&mut self, is_cut: bool) {
        if !is_cut {
            let (series, detector) = (&mut self.series, &mut self.detector);
            self.fleet.finish(&mut |fact| {
                series.add(&fact);
                detector.add(&fact);
            });
        }
        self.detector.finish(self.from);
    }
}
