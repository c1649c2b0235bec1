//! Tests of this module, on small inputs.

use super::*;
use rand::SeedableRng;

#[test]
fn a_directory_is_wiped_put_back_as_it_was_and_torn_only_where_nothing_was_flushed() {
    let root = tempfile::tempdir().unwrap();
    let root = root.path();
    assert!(!put_back(root, "g1").unwrap(), "nothing was saved");
    wipe(root, "g1").unwrap();
    std::fs::create_dir(of(root, "g1").join("record")).unwrap();
    let (record, other) = (
        of(root, "g1").join("record/a.eyr"),
        of(root, "g1").join("store"),
    );
    std::fs::write(&record, vec![7; 1000]).unwrap();
    std::fs::write(&other, vec![7; 1000]).unwrap();
    save(root, "g1").unwrap();
    let mut rng = rand::rngs::StdRng::seed_from_u64(4);
    assert_eq!(tear(&of(root, "g1"), &mut rng).unwrap(), 1);
    assert!(std::fs::metadata(&record).unwrap().len() < 1000);
    assert_eq!(std::fs::metadata(&other).unwrap().len(), 1000);
    wipe(root, "g1").unwrap();
    assert!(!record.exists());
    assert!(put_back(root, "g1").unwrap());
    assert_eq!(std::fs::read(&record).unwrap(), vec![7; 1000]);
}
