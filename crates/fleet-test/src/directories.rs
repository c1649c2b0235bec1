//! Directories of gateways: kept, wiped, put back from an earlier copy, torn by a power loss.

use std::io;
use std::path::{Path, PathBuf};

use rand::Rng;

/// A power loss takes up to so many bytes off the end of a file that nobody flushed.
const MAX_TORN: u64 = 64 << 10;
/// Files of the event record, whose writer never flushes. What the store flushes its own faulty
/// file layer tears: from outside nobody can tell what was flushed.
const UNFLUSHED: &str = "eyr";

/// The directory of a gateway.
pub fn of(root: &Path, gateway: &str) -> PathBuf {
    root.join(gateway)
}

fn copy_of(root: &Path, gateway: &str) -> PathBuf {
    root.join(format!("{gateway}.saved"))
}

/// The store of a gateway, and the file in it that tells how it stands in its fleet.
pub const STORE: &str = "store";
const STATUS: &str = "STATUS";

/// What a gateway last said of itself.
pub fn status(root: &Path, gateway: &str) -> Option<serde_json::Value> {
    let text = std::fs::read(of(root, gateway).join(STORE).join(STATUS)).ok()?;
    serde_json::from_slice(&text).ok()
}

/// Empties a gateway's directory.
pub fn wipe(root: &Path, gateway: &str) -> io::Result<()> {
    let own = of(root, gateway);
    match std::fs::remove_dir_all(&own) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    std::fs::create_dir_all(own)
}

/// Copies a gateway's directory, in place of an earlier copy.
pub fn save(root: &Path, gateway: &str) -> io::Result<()> {
    let copy = copy_of(root, gateway);
    match std::fs::remove_dir_all(&copy) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    copy_all(&of(root, gateway), &copy)
}

/// False: there is no copy.
pub fn put_back(root: &Path, gateway: &str) -> io::Result<bool> {
    let copy = copy_of(root, gateway);
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

/// Cuts off a drawn part of the end of each file that was never flushed; gives how many lost
/// something.
pub fn tear(directory: &Path, rng: &mut impl Rng) -> io::Result<usize> {
    let mut torn = 0;
    let mut files: Vec<_> = std::fs::read_dir(directory)?.collect::<io::Result<_>>()?;
    files.sort_by_key(std::fs::DirEntry::path);
    for file in files {
        let path = file.path();
        if file.file_type()?.is_dir() {
            torn += tear(&path, rng)?;
        } else if path.extension().is_some_and(|ending| ending == UNFLUSHED) {
            let length = file.metadata()?.len();
            let lost = rng.random_range(0..=length.min(MAX_TORN));
            if lost > 0 {
                std::fs::OpenOptions::new()
                    .write(true)
                    .open(&path)?
                    .set_len(length - lost)?;
                torn += 1;
            }
        }
    }
    Ok(torn)
}

#[cfg(test)]
mod tests;
