//! Folds entries of records into what a person asks after an incident.
//!
//! [`state`] keeps the fleet's state at any instant and turns entries into plain [`Fact`]s; [`series`] sums facts in
//! buckets of time; [`episodes`] finds troubles by their symptoms; [`notable`] keeps requests that were not simply served; [`skew`] tells how far clocks of gateways are
//! apart. All of it is pure and bounded: a day's record costs no more memory than a minute's.

pub mod episodes;
pub mod notable;
pub mod series;
pub mod skew;
pub mod state;

pub use episodes::{Detector, Episode, Overlap};
pub use series::Series;
pub use state::{Fact, Fleet, Said, Start};

use eideryard::interface::Micros;
use eideryard_record::reader::What;
use eideryard_record::Source;

/// All views of records, folded together.
pub struct View {
    pub fleet: Fleet,
    pub series: Series,
    pub detector: Detector,
    pub skew: skew::Skew,
    pub notables: notable::Notables,
}

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    pub fn new() -> Self {
        View {
            fleet: Fleet::default(),
            series: Series::new(),
            detector: Detector::new(),
            skew: skew::Skew::default(),
            notables: notable::Notables::default(),
        }
    }

    pub fn take(&mut self, sources: &[Source], source: usize, at: Micros, what: &What) {
        let View { fleet, series, detector, skew, notables } = self;
        fleet.take(sources, source, at, what, &mut |said| {
            series.take(&said);
            skew.take(&said);
            notables.take(&said);
            detector.take(&said);
        });
    }

    /// Nothing more comes: what is open ends with what is known.
    pub fn finish(&mut self) {
        let (series, detector) = (&mut self.series, &mut self.detector);
        self.fleet.finish(&mut |said| {
            series.take(&said);
            detector.take(&said);
        });
        self.detector.finish();
    }
}
