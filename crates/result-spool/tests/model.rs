//! Compares the spool's state with a simple model under random operations: sums, limits, and which
//! results may be dropped. Further tests check single decisions.

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
    Admit {
        tenant: u32,
        address: u64,
        expected: u64,
    },
    Page {
        selector: usize,
        bytes: u64,
    },
    End {
        selector: usize,
        is_complete: bool,
    },
    Open {
        selector: usize,
    },
    Close {
        selector: usize,
        delivered: bool,
    },
    Read {
        selector: usize,
        page: usize,
    },
    Move {
        written: bool,
    },
    Drop {
        selector: usize,
    },
    Wait {
        time: u64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let selector = any::<usize>();
    prop_oneof![
        3 => (0u32..4, 0u64..6, 1u64..400 * KB).prop_map(|(tenant, address, expected)| Step::Admit { tenant, address, expected }),
        8 => (selector, 1u64..24 * KB).prop_map(|(selector, bytes)| Step::Page { selector, bytes }),
        2 => (selector, any::<bool>()).prop_map(|(selector, is_complete)| Step::End { selector, is_complete }),
        2 => selector.prop_map(|selector| Step::Open { selector }),
        2 => (selector, any::<bool>()).prop_map(|(selector, delivered)| Step::Close { selector, delivered }),
        3 => (selector, 0usize..40).prop_map(|(selector, page)| Step::Read { selector, page }),
        3 => proptest::bool::weighted(0.9).prop_map(|written| Step::Move { written }),
        1 => selector.prop_map(|selector| Step::Drop { selector }),
        2 => (0u64..3_000_000).prop_map(|time| Step::Wait { time }),
    ]
}

/// The model of one result.
struct ModelResult {
    owner: Owner,
    expected: u64,
    pages: Vec<u64>,
    is_filling: bool,
    is_complete: bool,
    readers: u32,
}

impl ModelResult {
    fn bytes(&self) -> u64 {
        self.pages.iter().sum()
    }

    fn claimed_bytes(&self) -> u64 {
        if self.is_filling {
            self.expected.max(self.bytes())
        } else {
            self.bytes()
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_spool_keeps_its_budgets_and_drops_only_unused_results(steps in proptest::collection::vec(any_step(), 1..400)) {
        let mut now = 1_000_000;
        let mut spool = Spool::new(BUDGET, now);
        let mut model: BTreeMap<ResultId, ModelResult> = BTreeMap::new();
        let mut next_id = 0;
        for step in steps {
            let id_of = |selector: usize, model: &BTreeMap<ResultId, ModelResult>| model.keys().nth(selector % model.len().max(1)).copied();
            match step {
                Step::Admit { tenant, address, expected } => {
                    let owner = Owner { tenant, address };
                    match spool.admit(owner, expected, now) {
                        Admission::Admitted { to_drop } => {
                            for id in to_drop {
                                let entry = model.remove(&id).expect("a result to drop exists in the model");
                                prop_assert!(entry.readers == 0 && !entry.is_filling, "a result that is being read or received is dropped");
                                prop_assert!(spool.drop_result(id, now));
                            }
                            next_id += 1;
                            spool.begin(next_id, owner, expected, now);
                            let pages = Vec::new();
                            model.insert(next_id, ModelResult { owner, expected, pages, is_filling: true, is_complete: false, readers: 0 });
                        }
                        Admission::Rejected { reason, retry_after } => {
                            let advised = retry_after.is_some_and(|after| (MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(&after));
                            prop_assert_eq!(advised, reason != RejectReason::TooLarge);
                        }
                    }
                }
                Step::Page { selector, bytes } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    let entry = model.get_mut(&id).unwrap();
                    if !entry.is_filling {
                        continue;
                    }
                    match spool.add_page(id, bytes, now) {
                        Ok(()) => entry.pages.push(bytes),
                        Err(_) => {
                            entry.is_filling = false;
                            spool.end(id, false, now);
                        }
                    }
                }
                Step::End { selector, is_complete } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    let entry = model.get_mut(&id).unwrap();
                    if entry.is_filling {
                        (entry.is_filling, entry.is_complete) = (false, is_complete);
                    }
                    spool.end(id, is_complete, now);
                }
                Step::Open { selector } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    prop_assert!(spool.open_reader(id, now));
                    model.get_mut(&id).unwrap().readers += 1;
                }
                Step::Close { selector, delivered } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    spool.close_reader(id, delivered, now);
                    let entry = model.get_mut(&id).unwrap();
                    entry.readers = entry.readers.saturating_sub(1);
                }
                Step::Read { selector, page } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    let entry = &model[&id];
                    let location = spool.locate_page(id, page, now);
                    let is_expected = match (page < entry.pages.len(), entry.is_filling, entry.is_complete) {
                        (true, ..) => matches!(location, PageLocation::Memory | PageLocation::Disk),
                        (false, true, _) => location == PageLocation::NotYet,
                        (false, false, true) => location == PageLocation::PastEnd,
                        (false, false, false) => location == PageLocation::Failed,
                    };
                    prop_assert!(is_expected, "{:?}", location);
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
                Step::Drop { selector } => {
                    let Some(id) = id_of(selector, &model) else { continue };
                    let entry = &model[&id];
                    let is_droppable = entry.readers == 0 && !entry.is_filling;
                    prop_assert_eq!(spool.drop_result(id, now), is_droppable);
                    if is_droppable {
                        model.remove(&id);
                        prop_assert_eq!(spool.locate_page(id, 0, now), PageLocation::Gone);
                    }
                }
                Step::Wait { time } => now += time,
            }
            let (memory, disk, claimed) = spool.used();
            prop_assert_eq!(memory + disk, model.values().map(ModelResult::bytes).sum::<u64>());
            prop_assert_eq!(claimed, model.values().map(ModelResult::claimed_bytes).sum::<u64>());
            prop_assert!(memory <= BUDGET.memory && disk <= BUDGET.disk && claimed <= BUDGET.total());
            prop_assert_eq!(spool.len(), model.len());
            for entry in model.values() {
                prop_assert!(entry.bytes() <= BUDGET.max_result_bytes);
                let _ = entry.owner;
            }
        }
    }
}

const OWNER: Owner = Owner {
    tenant: 1,
    address: 1,
};

fn is_admitted(spool: &Spool, owner: Owner, expected: u64) -> bool {
    matches!(spool.admit(owner, expected, 0), Admission::Admitted { .. })
}

fn reason(spool: &Spool, owner: Owner, expected: u64) -> RejectReason {
    match spool.admit(owner, expected, 0) {
        Admission::Rejected { reason, .. } => reason,
        admission => panic!("{admission:?}"),
    }
}

/// Guards against large reports that leave no space for lookups.
#[test]
fn small_results_have_a_reserve() {
    let mut spool = Spool::new(BUDGET, 0);
    for number in 0..40 {
        let owner = Owner {
            tenant: number as u32,
            address: number,
        };
        if is_admitted(&spool, owner, 200 * KB) {
            spool.begin(number, owner, 200 * KB, 0);
        }
    }
    let new_owner = Owner {
        tenant: 99,
        address: 99,
    };
    assert_eq!(reason(&spool, new_owner, 200 * KB), RejectReason::Full);
    assert!(
        is_admitted(&spool, new_owner, 40_000),
        "a lookup must find space nevertheless"
    );
}

/// Guards against one tenant, or one address under many tenants, that takes all of the space.
#[test]
fn shares_are_enforced_only_while_space_is_short() {
    let mut spool = Spool::new(BUDGET, 0);
    let mut claimed = 0;
    while is_admitted(&spool, OWNER, 100 * KB) {
        claimed += 100 * KB;
        spool.begin(claimed, OWNER, 100 * KB, 0);
    }
    assert!(
        claimed as f64 > 0.45 * BUDGET.total() as f64,
        "a single tenant should get half of the space: {claimed}"
    );
    assert_eq!(reason(&spool, OWNER, 100 * KB), RejectReason::TenantsShare);
    assert_eq!(
        reason(
            &spool,
            Owner {
                tenant: 2,
                address: 1
            },
            100 * KB
        ),
        RejectReason::AddressShare
    );
    assert!(is_admitted(
        &spool,
        Owner {
            tenant: 2,
            address: 2
        },
        100 * KB
    ));
    // The owner's delivered results are dropped before its request is rejected, but no more of them
    // than necessary.
    let ids: Vec<u64> = (1..=claimed / (100 * KB))
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
    assert_eq!(reason(&spool, OWNER, 100 * KB), RejectReason::TenantsShare);
    for (number, id) in ids.iter().enumerate() {
        spool.open_reader(*id, 2);
        spool.close_reader(*id, true, 3 + number as u64);
    }
    let Admission::Admitted { to_drop } = spool.admit(OWNER, 100 * KB, 20) else {
        panic!("refused")
    };
    assert!(
        to_drop == ids[..to_drop.len()] && (5..10).contains(&to_drop.len()),
        "{to_drop:?}"
    );
    assert_eq!(reason(&spool, OWNER, 901 * KB), RejectReason::TooLarge);
}

/// Guards against dropping a result that is being read to make room for a new one.
#[test]
fn delivered_results_are_dropped_first_and_those_being_read_never() {
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
    let new_owner = Owner {
        tenant: 99,
        address: 99,
    };
    let Admission::Admitted { to_drop } = spool.admit(new_owner, 500 * KB, 100) else {
        panic!("no room")
    };
    assert_eq!(
        to_drop,
        [1, 5],
        "delivered results, the longest unused first, but not the one being read"
    );
    let unclaimed = spool.admit(new_owner, 890 * KB, 100);
    assert!(
        matches!(unclaimed, Admission::Admitted { .. }),
        "{unclaimed:?}"
    );
}

/// Guards against admitting results that only fit on a disk that fails.
#[test]
fn a_failing_disk_reduces_the_space_until_its_retry_time() {
    let mut spool = Spool::new(BUDGET, 0);
    spool.begin(1, OWNER, 500 * KB, 0);
    (0..45).for_each(|_| spool.add_page(1, 10 * KB, 0).unwrap());
    let moves = spool.choose_moves(0);
    assert!(!moves.is_empty());
    let SpoolAction::Move { result, page } = moves[0];
    spool.start_move(result, page);
    spool.finish_move(result, page, false, 1_000_000);
    assert_eq!(
        (spool.used().1, spool.choose_moves(10)),
        (0, Vec::new()),
        "nothing is written before the retry time"
    );
    let other_owner = Owner {
        tenant: 2,
        address: 2,
    };
    assert!(!matches!(
        spool.admit(other_owner, 100 * KB, 10),
        Admission::Admitted { .. }
    ));
    assert!(matches!(
        spool.admit(other_owner, 100 * KB, 1_000_001),
        Admission::Admitted { .. }
    ));
    assert!(!spool.choose_moves(1_000_001).is_empty());
}

/// Guards against retry-after hints that don't depend on how fast space is freed.
#[test]
fn retry_advice_follows_the_rate_at_which_space_is_freed() {
    let retry_after = |drained: u64| {
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
            admission => panic!("{admission:?}"),
        }
    };
    assert_eq!(retry_after(0), MAX_RETRY_AFTER);
    assert!(
        retry_after(100) < retry_after(10),
        "{} {}",
        retry_after(100),
        retry_after(10)
    );
}

/// Guards against an engine that waits because no page is requested, and against memory that
/// overflows.
#[test]
fn read_ahead_is_limited_by_the_expected_size_and_the_free_memory() {
    let mut spool = Spool::new(BUDGET, 0);
    spool.begin(1, OWNER, 100 * KB, 0);
    assert_eq!(spool.read_ahead_bytes(1), 100 * KB);
    (0..10).for_each(|_| spool.add_page(1, 10 * KB, 0).unwrap());
    assert_eq!(
        spool.read_ahead_bytes(1),
        MIN_READ_AHEAD,
        "beyond the expected size, pages are requested one at a time"
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
        "half of the free memory"
    );
    spool.end(1, true, 0);
    assert_eq!(spool.read_ahead_bytes(1), 0);
}
