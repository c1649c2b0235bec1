//! Deadlines that expire out of order, twice or after they were cancelled would end attempts and
//! connections at the wrong time.

use super::*;

#[test]
fn deadlines_expire_in_order_once_and_not_when_cancelled() {
    let mut deadlines = Deadlines::new();
    deadlines.set(20, Deadline::BalancerTimer(1));
    deadlines.set(10, Deadline::BalancerTimer(2));
    let cancelled = deadlines.set(10, Deadline::BalancerTimer(3));
    deadlines.set(10, Deadline::BalancerTimer(4));
    deadlines.cancel(Some(cancelled));
    deadlines.cancel(None);
    assert_eq!(
        (deadlines.next(), deadlines.pop_expired(9)),
        (Some(10), None)
    );
    assert_eq!(
        [
            deadlines.pop_expired(10),
            deadlines.pop_expired(10),
            deadlines.pop_expired(10)
        ],
        [
            Some(Deadline::BalancerTimer(2)),
            Some(Deadline::BalancerTimer(4)),
            None
        ]
    );
    assert_eq!(
        (deadlines.pop_expired(30), deadlines.next()),
        (Some(Deadline::BalancerTimer(1)), None)
    );
}
