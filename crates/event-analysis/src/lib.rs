//! Folds entries of records into what a person asks after an incident.
//!
//! [`state`] keeps the fleet's state at any instant and turns entries into plain [`Fact`]s;
//! [`series`] sums facts in buckets of time; [`episodes`] finds troubles by their symptoms;
//! [`notable`] keeps requests that were not simply served; [`skew`] tells how far clocks of
//! gateways are apart. All of it is pure and bounded: a day's record costs no more memory than a
//! minute's.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod episodes;
pub mod notable;
pub mod series;
pub mod skew;
pub mod state;

pub use episodes::{Detector, Episode, Overlap};
pub use series::Series;
pub use state::{Fact, Fleet, LoggedText, Start};

use eideryard::interface::Micros;
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::Source;

/// All views of records, folded together.
pub struct View {
    pub fleet: Fleet,
    pub series: Series,
    pub detector: Detector,
    pub skew: skew::Skew,
    pub notables: notable::Notables,
    /// What came before counts as past only: it makes what is usual known.
    pub from: Micros,
}

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    pub fn new() -> Self {
        Self::since(0)
    }

    /// Of what happens from a time on.
    pub fn since(from: Micros) -> Self {
        View {
            from,
            fleet: Fleet::default(),
            series: Series::new(),
            detector: Detector::new(),
            skew: skew::Skew::default(),
            notables: notable::Notables::default(),
        }
    }

    pub fn take(&mut self, sources: &[Source], source: usize, at: Micros, what: &ReadContent) {
        let View {
            fleet,
            series,
            detector,
            skew,
            notables,
            from,
        } = self;
        if at >= *from {
            fleet.count_from_here(source, *from);
        }
        fleet.take(sources, source, at, what, &mut |said| {
            if at >= *from {
                series.take(&said);
                notables.take(&said);
            }
            skew.take(&said);
            detector.take(&said);
        });
    }

    /// Nothing more is read, up to a time that the reader chose or to the end of the records. What
    /// broke off there is told then.
    pub fn finish(&mut self, cut: bool) {
        let (series, detector) = (&mut self.series, &mut self.detector);
        if !cut {
            self.fleet.finish(&mut |said| {
                series.take(&said);
                detector.take(&said);
            });
        }
        self.detector.finish(self.from);
    }
}
