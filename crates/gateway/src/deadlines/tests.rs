//! Deadlines fire in order, once.

use super::*;

#[test]
fn deadlines_fire_in_order_once_and_not_when_taken_back() {
    let mut due = Deadlines::new();
    due.set(20, Due::Timer(1));
    due.set(10, Due::Timer(2));
    let gone = due.set(10, Due::Timer(3));
    due.set(10, Due::Timer(4));
    due.take_back(Some(gone));
    due.take_back(None);
    assert_eq!((due.next(), due.due(9)), (Some(10), None));
    assert_eq!(
        [due.due(10), due.due(10), due.due(10)],
        [Some(Due::Timer(2)), Some(Due::Timer(4)), None]
    );
    assert_eq!((due.due(30), due.next()), (Some(Due::Timer(1)), None));
}
