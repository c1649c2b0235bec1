//! Guards against an engine model whose queries run faster or slower than their share allows.

use super::*;

fn query(work: f64, threads: f64, memory_mb: f64, rank: u8) -> Query {
    Query {
        work,
        threads,
        memory_mb,
        rank,
    }
}

#[test]
fn concurrent_queries_share_the_cores_by_rank() {
    let mut engine = Cores::new(4.0, 1000.0, None, 0.0);
    (1..=4).for_each(|id| engine.add(id, query(1.0, 1.0, 10.0, 1)));
    assert_eq!(
        engine.advance(1.001),
        [1, 2, 3, 4],
        "four queries on four cores take no longer than one"
    );
    // Two queries with eight threads each: ranks 1 and 2 share 4 cores in the ratio one to two.
    engine.add(5, query(8.0, 8.0, 10.0, 1));
    engine.add(6, query(8.0, 8.0, 10.0, 2));
    assert!(engine.advance(3.9).is_empty());
    assert_eq!(
        engine.advance(4.1),
        [6],
        "8 s of work on 8/3 cores take 3 s"
    );
    assert_eq!(
        engine.advance(5.1),
        [5],
        "the remaining query has all four cores"
    );
}

#[test]
fn queries_wait_for_memory_and_a_cold_start_is_slow() {
    let mut engine = Cores::new(2.0, 100.0, Some((0.5, 10.0)), 0.0);
    engine.add(1, query(1.0, 1.0, 60.0, 1));
    engine.add(2, query(1.0, 1.0, 60.0, 1));
    assert!(engine.is_waiting(2) && engine.running() == 1);
    assert_eq!(
        engine.advance(1.1),
        [1],
        "one thread uses the one core that is available when cold"
    );
    assert!(!engine.is_waiting(2));
    engine.remove(2);
    engine.add(3, query(4.0, 2.0, 60.0, 1));
    assert!(engine.advance(3.0).is_empty() && engine.capacity() > 1.2);
}
