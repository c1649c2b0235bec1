//! Analysis of event logs: what happened in a fleet of gateways, reconstructed from the entries
//! that they logged.
//!
//! [`state`] owns the state of each gateway at an instant and turns entries into [`Fact`]s. The
//! other parts are folded from facts: [`series`] sums them in buckets of time, [`episodes`] detects
//! incidents by their symptoms, [`notable`] keeps requests that were not simply served, and
//! [`skew`] estimates how far the clocks of gateways are apart. [`View`] drives all of them; the
//! report and the console read it. Nothing here does I/O, and memory is bounded whatever the length
//! of a log.
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

/// All parts of the analysis, fed with the same entries.
pub struct View {
    /// The state of each gateway.
    pub fleet: Fleet,
    /// Sums over time.
    pub series: Series,
    /// Incidents.
    pub detector: Detector,
    /// Differences of the gateways' clocks.
    pub skew: skew::ClockSkew,
    /// Requests that were not simply served.
    pub notables: notable::NotableRequests,
    /// Entries before this time only provide the state and the baselines.
    pub from: Micros,
}

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    /// A view of everything that is added.
    pub fn new() -> Self {
        Self::since(0)
    }

    /// A view of what happens from a time on.
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

    /// Adds what was read next: an entry, or damage, of the source with this index.
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

    /// Ends the view after the last entry. `is_cut`: the logs go on, but the reader stopped at a
    /// time; otherwise gateways whose logs end early count as broken off.
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
