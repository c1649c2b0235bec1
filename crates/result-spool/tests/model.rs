//! The core against a plain model, under random operations: sums, bounds, and who may go.

use eideryard_result_spool::limits::*;
use eideryard_result_spool::state::ResultId;
use eideryard_result_spool::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const KB: u64 = 1024;
const BUDGET: Budget = Budget {
    memory: 512 * KB,
    disk: 2048 * KB,
    max_result_bytes: 900 * KB,
    unclaimed_retention: 5_000_000,
    delivered_retention: 1_000_000,
};

#[derive(Clone, Debug)]
enum Step {
    Ask {
        tenant: u32,
        address: u64,
        expected: u64,
    },
    Page {
        which: usize,
        bytes: u64,
    },
    End {
        which: usize,
        whole: bool,
    },
    Open {
        which: usize,
    },
    Close {
        which: usize,
        delivered: bool,
    },
    Read {
        which: usize,
        page: usize,
    },
    Move {
        written: bool,
    },
    Drop {
        which: usize,
    },
    Pass {
        time: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let which = any::<usize>();
    prop_oneof![
        3 => (0u32..4, 0u64..6, 1u64..400 * KB).prop_map(|(tenant, address, expected)| Step::Ask { tenant, address, expected }),
        8 => (which, 1u64..24 * KB).prop_map(|(which, bytes)| Step::Page { which, bytes }),
        2 => (which, any::<bool>()).prop_map(|(which, whole)| Step::End { which, whole }),
        2 => which.prop_map(|which| Step::Open { which }),
        2 => (which, any::<bool>()).prop_map(|(which, delivered)| Step::Close { which, delivered }),
        3 => (which, 0usize..40).prop_map(|(which, page)| Step::Read { which, page }),
        3 => proptest::bool::weighted(0.9).prop_map(|written| Step::Move { written }),
        1 => which.prop_map(|which| Step::Drop { which }),
        2 => (0u64..3_000_000).prop_map(|time| Step::Pass { time }),
    ]
}

/// What a plain table says of a result.
struct Plain {
    owner: Owner,
    promised: u64,
    pages: Vec<u64>,
    filling: bool,
    whole: bool,
    readers: u32,
}

impl Plain {
    fn bytes(&self) -> u64 {
        self.pages.iter().sum()
    }

    fn claim(&self) -> u64 {
        if self.filling {
            self.promised.max(self.bytes())
        } else {
            self.bytes()
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_core_holds_its_budgets_and_drops_only_what_may_go(steps in proptest::collection::vec(step(), 1..400)) {
        let mut now = 1_000_000;
        let mut spool = Spool::new(BUDGET, now);
        let mut plain: BTreeMap<ResultId, Plain> = BTreeMap::new();
        let mut next = 0;
        for step in steps {
            let at = |which: usize, plain: &BTreeMap<ResultId, Plain>| plain.keys().nth(which % plain.len().max(1)).copied();
            match step {
                Step::Ask { tenant, address, expected } => {
                    let owner = Owner { tenant, address };
                    match spool.admit(owner, expected, now) {
                        Admission::Admitted { to_drop } => {
                            for id in to_drop {
                                let own = plain.remove(&id).expect("it is there");
                                prop_assert!(own.readers == 0 && !own.filling, "one that is read, or comes, is dropped");
                                prop_assert!(spool.drop_result(id, now));
                            }
                            next += 1;
                            spool.begin(next, owner, expected, now);
                            let pages = Vec::new();
                            plain.insert(next, Plain { owner, promised: expected, pages, filling: true, whole: false, readers: 0 });
                        }
                        Admission::Rejected { reason, retry_after } => {
                            let advised = retry_after.is_some_and(|after| (MIN_ADVICE..=MAX_ADVICE).contains(&after));
                            prop_assert_eq!(advised, reason != RejectReason::TooLarge);
                        }
                    }
                }
                Step::Page { which, bytes } => {
                    let Some(id) = at(which, &plain) else { continue };
                    let own = plain.get_mut(&id).unwrap();
                    if !own.filling {
                        continue;
                    }
                    match spool.add_page(id, bytes, now) {
                        Ok(()) => own.pages.push(bytes),
                        Err(_) => {
                            own.filling = false;
                            spool.end(id, false, now);
                        }
                    }
                }
                Step::End { which, whole } => {
                    let Some(id) = at(which, &plain) else { continue };
                    let own = plain.get_mut(&id).unwrap();
                    if own.filling {
                        (own.filling, own.whole) = (false, whole);
                    }
                    spool.end(id, whole, now);
                }
                Step::Open { which } => {
                    let Some(id) = at(which, &plain) else { continue };
                    prop_assert!(spool.open_reader(id, now));
                    plain.get_mut(&id).unwrap().readers += 1;
                }
                Step::Close { which, delivered } => {
                    let Some(id) = at(which, &plain) else { continue };
                    spool.close_reader(id, delivered, now);
                    let own = plain.get_mut(&id).unwrap();
                    own.readers = own.readers.saturating_sub(1);
                }
                Step::Read { which, page } => {
                    let Some(id) = at(which, &plain) else { continue };
                    let own = &plain[&id];
                    let is = spool.locate_page(id, page, now);
                    let expected = match (page < own.pages.len(), own.filling, own.whole) {
                        (true, ..) => matches!(is, PageLocation::Memory | PageLocation::Disk),
                        (false, true, _) => is == PageLocation::NotYet,
                        (false, false, true) => is == PageLocation::PastEnd,
                        (false, false, false) => is == PageLocation::Failed,
                    };
                    prop_assert!(expected, "{:?}", is);
                }
                Step::Move { written } => {
                    for SpoolAction::Move { result, page } in spool.choose_moves(now) {
                        spool.start_move(result, page);
                        spool.finish_move(result, page, written, now + 500_000);
                        if !written {
                            break;
                        }
                    }
                }
                Step::Drop { which } => {
                    let Some(id) = at(which, &plain) else { continue };
                    let own = &plain[&id];
                    let may = own.readers == 0 && !own.filling;
                    prop_assert_eq!(spool.drop_result(id, now), may);
                    if may {
                        plain.remove(&id);
                        prop_assert_eq!(spool.locate_page(id, 0, now), PageLocation::Gone);
                    }
                }
                Step::Pass { time } => now += time,
            }
            let (memory, disk, claims) = spool.used();
            prop_assert_eq!(memory + disk, plain.values().map(Plain::bytes).sum::<u64>());
            prop_assert_eq!(claims, plain.values().map(Plain::claim).sum::<u64>());
            prop_assert!(memory <= BUDGET.memory && disk <= BUDGET.disk && claims <= BUDGET.total());
            prop_assert_eq!(spool.len(), plain.len());
            for own in plain.values() {
                prop_assert!(own.bytes() <= BUDGET.max_result_bytes);
                let _ = own.owner;
            }
        }
    }
}

const ONE: Owner = Owner {
    tenant: 1,
    address: 1,
};

fn yes(spool: &Spool, owner: Owner, expected: u64) -> bool {
    matches!(spool.admit(owner, expected, 0), Admission::Admitted { .. })
}

fn why(spool: &Spool, owner: Owner, expected: u64) -> RejectReason {
    match spool.admit(owner, expected, 0) {
        Admission::Rejected { reason, .. } => reason,
        yes => panic!("{yes:?}"),
    }
}

/// Guards against large reports that leave no room for lookups.
#[test]
fn small_results_have_a_reserve() {
    let mut spool = Spool::new(BUDGET, 0);
    for number in 0..40 {
        let owner = Owner {
            tenant: number as u32,
            address: number,
        };
        if yes(&spool, owner, 200 * KB) {
            spool.begin(number, owner, 200 * KB, 0);
        }
    }
    let new = Owner {
        tenant: 99,
        address: 99,
    };
    assert_eq!(why(&spool, new, 200 * KB), RejectReason::Full);
    assert!(yes(&spool, new, 40_000), "a lookup finds room all the same");
}

/// Guards against one tenant, or one address under many names, that takes all there is.
#[test]
fn shares_bind_under_pressure_only() {
    let mut spool = Spool::new(BUDGET, 0);
    let mut taken = 0;
    while yes(&spool, ONE, 100 * KB) {
        taken += 100 * KB;
        spool.begin(taken, ONE, 100 * KB, 0);
    }
    assert!(
        taken as f64 > 0.45 * BUDGET.total() as f64,
        "alone it has half of it: {taken}"
    );
    assert_eq!(why(&spool, ONE, 100 * KB), RejectReason::TenantsShare);
    assert_eq!(
        why(
            &spool,
            Owner {
                tenant: 2,
                address: 1
            },
            100 * KB
        ),
        RejectReason::AddressShare
    );
    assert!(yes(
        &spool,
        Owner {
            tenant: 2,
            address: 2
        },
        100 * KB
    ));
    // What it was delivered goes before it is refused more, no more of it than helps.
    let ids: Vec<u64> = (1..=taken / (100 * KB))
        .map(|number| number * 100 * KB)
        .collect();
    for id in &ids {
        for _ in 0..10 {
            spool.add_page(*id, 10 * KB, 1).unwrap();
            for SpoolAction::Move { result, page } in spool.choose_moves(1) {
                spool.start_move(result, page);
                spool.finish_move(result, page, true, 1);
            }
        }
        spool.end(*id, true, 1);
    }
    assert_eq!(why(&spool, ONE, 100 * KB), RejectReason::TenantsShare);
    for (number, id) in ids.iter().enumerate() {
        spool.open_reader(*id, 2);
        spool.close_reader(*id, true, 3 + number as u64);
    }
    let Admission::Admitted { to_drop } = spool.admit(ONE, 100 * KB, 20) else {
        panic!("refused")
    };
    assert!(
        to_drop == ids[..to_drop.len()] && (5..10).contains(&to_drop.len()),
        "{to_drop:?}"
    );
    assert_eq!(why(&spool, ONE, 901 * KB), RejectReason::TooLarge);
}

/// Guards against a result that is read being dropped for one that comes.
#[test]
fn delivered_results_make_room_and_read_ones_stay() {
    let mut spool = Spool::new(BUDGET, 0);
    for number in 0..11 {
        let owner = Owner {
            tenant: number as u32,
            address: number,
        };
        spool.begin(number, owner, 200 * KB, 0);
        for _ in 0..20 {
            spool.add_page(number, 10 * KB, 0).unwrap();
            for SpoolAction::Move { result, page } in spool.choose_moves(0) {
                spool.start_move(result, page);
                spool.finish_move(result, page, true, 0);
            }
        }
        spool.end(number, true, number);
        spool.open_reader(number, 20 + number);
        if number != 3 {
            spool.close_reader(number, number % 2 == 1, 40 + number);
        }
    }
    let new = Owner {
        tenant: 99,
        address: 99,
    };
    let Admission::Admitted { to_drop } = spool.admit(new, 500 * KB, 100) else {
        panic!("no room")
    };
    assert_eq!(
        to_drop,
        [1, 5],
        "delivered ones, the longest unused first, not the one that is read"
    );
    let unclaimed = spool.admit(new, 890 * KB, 100);
    assert!(
        matches!(unclaimed, Admission::Admitted { .. }),
        "{unclaimed:?}"
    );
}

/// Guards against a disk that fails being counted on.
#[test]
fn a_disk_that_fails_shrinks_the_room_and_it_comes_back() {
    let mut spool = Spool::new(BUDGET, 0);
    spool.begin(1, ONE, 500 * KB, 0);
    (0..45).for_each(|_| spool.add_page(1, 10 * KB, 0).unwrap());
    let moves = spool.choose_moves(0);
    assert!(!moves.is_empty());
    let SpoolAction::Move { result, page } = moves[0];
    spool.start_move(result, page);
    spool.finish_move(result, page, false, 1_000_000);
    assert_eq!(
        (spool.used().1, spool.choose_moves(10)),
        (0, Vec::new()),
        "nothing is tried for a while"
    );
    let two = Owner {
        tenant: 2,
        address: 2,
    };
    assert!(!matches!(
        spool.admit(two, 100 * KB, 10),
        Admission::Admitted { .. }
    ));
    assert!(matches!(
        spool.admit(two, 100 * KB, 1_000_001),
        Admission::Admitted { .. }
    ));
    assert!(!spool.choose_moves(1_000_001).is_empty());
}

/// Guards against advice that has nothing to do with how fast room comes free.
#[test]
fn advice_follows_the_rate_at_which_room_comes_free() {
    let advice = |drained: u64| {
        let mut spool = Spool::new(BUDGET, 0);
        for number in 0..12 {
            spool.begin(
                number,
                Owner {
                    tenant: number as u32,
                    address: number,
                },
                200 * KB,
                0,
            );
        }
        for number in 100..100 + drained {
            spool.begin(
                number,
                Owner {
                    tenant: 50,
                    address: 50,
                },
                KB,
                0,
            );
            (0..20).for_each(|_| _ = spool.add_page(number, KB, 0));
            spool.end(number, true, 0);
            spool.drop_result(number, 1_000_000);
        }
        match spool.admit(
            Owner {
                tenant: 98,
                address: 98,
            },
            300 * KB,
            1_000_000,
        ) {
            Admission::Rejected { retry_after, .. } => retry_after.unwrap(),
            yes => panic!("{yes:?}"),
        }
    };
    assert_eq!(advice(0), MAX_ADVICE);
    assert!(advice(100) < advice(10), "{} {}", advice(100), advice(10));
}

/// Guards against an engine that is held because a page isn't asked for, and against memory that
/// overflows.
#[test]
fn an_engine_is_read_ahead_as_far_as_was_promised_and_memory_takes() {
    let mut spool = Spool::new(BUDGET, 0);
    spool.begin(1, ONE, 100 * KB, 0);
    assert_eq!(spool.read_ahead_bytes(1), 100 * KB);
    (0..10).for_each(|_| spool.add_page(1, 10 * KB, 0).unwrap());
    assert_eq!(
        spool.read_ahead_bytes(1),
        MIN_AHEAD,
        "more than was promised comes page by page"
    );
    spool.begin(
        2,
        Owner {
            tenant: 2,
            address: 2,
        },
        800 * KB,
        0,
    );
    assert_eq!(
        spool.read_ahead_bytes(2),
        206 * KB,
        "half of the memory that is free"
    );
    spool.end(1, true, 0);
    assert_eq!(spool.read_ahead_bytes(1), 0);
}
