//! Tests of the operations on gateways' directories.

use super::*;
use rand::SeedableRng;

#[test]
fn a_directory_is_wiped_and_restored_and_only_unflushed_files_are_truncated() {
    let root = tempfile::tempdir().unwrap();
    let root = root.path();
    assert!(!put_back(root, "g1").unwrap(), "nothing was saved");
    wipe(root, "g1").unwrap();
    std::fs::create_dir(of(root, "g1").join("record")).unwrap();
    let (event_log, store) = (
        of(root, "g1").join("record/a.eyr"),
        of(root, "g1").join("store"),
    );
    std::fs::write(&event_log, vec![7; 1000]).unwrap();
    std::fs::write(&store, vec![7; 1000]).unwrap();
    save(root, "g1").unwrap();
    let mut rng = rand::rngs::StdRng::seed_from_u64(4);
    assert_eq!(truncate_unflushed(&of(root, "g1"), &mut rng).unwrap(), 1);
    assert!(std::fs::metadata(&event_log).unwrap().len() < 1000);
    assert_eq!(std::fs::metadata(&store).unwrap().len(), 1000);
    wipe(root, "g1").unwrap();
    assert!(!event_log.exists());
    assert!(put_back(root, "g1").unwrap());
    assert_eq!(std::fs::read(&event_log).unwrap(), vec![7; 1000]);
}
