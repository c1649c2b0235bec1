//! Directories of gateways: wipes them, restores them from an earlier copy, and truncates unflushed
//! files as a power loss does.

use std::io;
use std::path::{Path, PathBuf};

use rand::Rng;

/// Most bytes that a power loss cuts off the end of an unflushed file.
const MAX_TRUNCATED: u64 = 64 << 10;
/// Extension of event log files, whose writer never flushes. Files of the store are not truncated,
/// because what it flushed can't be seen from outside; the store's own tests use a faulty file
/// layer for this.
const UNFLUSHED: &str = "eyr";

/// The state directory of a gateway.
pub fn of(root: &Path, gateway: &str) -> PathBuf {
    root.join(gateway)
}

fn copy_path(root: &Path, gateway: &str) -> PathBuf {
    root.join(format!("{gateway}.saved"))
}

/// Subdirectory of a gateway's directory for its store.
pub const STORE: &str = "store";
/// File in the store directory with the gateway's state in its fleet, as JSON.
const STATUS: &str = "STATUS";

/// Reads the status file of a gateway; `None` if it is missing or incomplete.
pub fn status(root: &Path, gateway: &str) -> Option<serde_json::Value> {
    let text = std::fs::read(of(root, gateway).join(STORE).join(STATUS)).ok()?;
    serde_json::from_slice(&text).ok()
}

/// Empties the directory of a gateway; creates it if it is missing.
pub fn wipe(root: &Path, gateway: &str) -> io::Result<()> {
    let directory = of(root, gateway);
    match std::fs::remove_dir_all(&directory) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    std::fs::create_dir_all(directory)
}

/// Copies the directory of a gateway, replacing an earlier copy.
pub fn save(root: &Path, gateway: &str) -> io::Result<()> {
    let copy = copy_path(root, gateway);
    match std::fs::remove_dir_all(&copy) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    copy_all(&of(root, gateway), &copy)
}

/// Restores the directory of a gateway from the copy that [`save`] made. Returns false and changes
/// nothing if there is none.
pub fn put_back(root: &Path, gateway: &str) -> io::Result<bool> {
    let copy = copy_path(root, gateway);
    if !copy.exists() {
        return Ok(false);
    }
    wipe(root, gateway)?;
    copy_all(&copy, &of(root, gateway)).map(|()| true)
}

fn copy_all(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for file in std::fs::read_dir(from)? {
        let file = file?;
        let to = to.join(file.file_name());
        if file.file_type()?.is_dir() {
            copy_all(&file.path(), &to)?;
        } else {
            std::fs::copy(file.path(), to)?;
        }
    }
    Ok(())
}

/// Cuts a random part off the end of each unflushed file. Returns the number of files that lost
/// bytes.
pub fn truncate_unflushed(directory: &Path, rng: &mut impl Rng) -> io::Result<usize> {
    let mut truncated = 0;
    let mut files: Vec<_> = std::fs::read_dir(directory)?.collect::<io::Result<_>>()?;
    files.sort_by_key(std::fs::DirEntry::path);
    for file in files {
        let path = file.path();
        if file.file_type()?.is_dir() {
            truncated += truncate_unflushed(&path, rng)?;
        } else if path
            .extension()
            .is_some_and(|extension| extension == UNFLUSHED)
        {
            let length = file.metadata()?.len();
            let cut = rng.random_range(0..=length.min(MAX_TRUNCATED));
            if cut > 0 {
                std::fs::OpenOptions::new()
                    .write(true)
                    .open(&path)?
                    .set_len(length - cut)?;
                truncated += 1;
            }
        }
    }
    Ok(truncated)
}

#[cfg(test)]
mod tests;
