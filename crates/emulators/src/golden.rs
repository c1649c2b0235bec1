//! Golden data: bytes that an earlier version of the program wrote, stored in `tests/golden` of the
//! workspace.

use std::path::{Path, PathBuf};

/// Returns the path of a golden file or directory.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/golden")
        .join(name)
}

/// Compares bytes with a golden file. If `actual` differs, it is written to the temporary
/// directory, so that the two can be compared.
///
/// # Panics
///
/// If the file is missing or differs.
pub fn check(name: &str, actual: &[u8]) {
    let expected = std::fs::read(path(name)).unwrap_or_default();
    if expected == actual {
        return;
    }
    let written = std::env::temp_dir().join("eideryard-golden").join(name);
    let directory = written.parent().expect("a file in a directory");
    std::fs::create_dir_all(directory).expect("the temporary directory can be written");
    std::fs::write(&written, actual).expect("the temporary directory can be written");
    let at = expected
        .iter()
        .zip(actual)
        .take_while(|(old, new)| old == new)
        .count();
    panic!(
        "golden file {name} differs from byte {at} on; the actual bytes are in {}",
        written.display()
    );
}
