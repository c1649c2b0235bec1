//! Folds entries of records into what a person asks after an incident.
//!
//! [`state`] keeps the fleet's state at any instant and turns entries into plain [`Fact`]s; [`series`] sums facts in
//! buckets of time; [`episodes`] finds troubles by their symptoms; [`skew`] tells how far clocks of gateways are
//! apart. All of it is pure and bounded: a day's record costs no more memory than a minute's.

pub mod episodes;
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
        }
    }

    pub fn take(&mut self, sources: &[Source], source: usize, at: Micros, what: &What) {
        let (fleet, series, detector, skew) =
            (&mut self.fleet, &mut self.series, &mut self.detector, &mut self.skew);
        fleet.take(sources, source, at, what, &mut |said| {
            series.take(&said);
            skew.take(&said);
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
