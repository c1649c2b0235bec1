//! A directory in memory that fails as disks do, for tests: bytes that were not flushed may be
//! lost, torn or reordered; a chosen call fails or ends the process; it fills up. All of it follows
//! from a seed.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::files::{Files, Log};

/// A power loss keeps or loses pieces of this size.
const SECTOR_BYTES: usize = 512;
/// Interval at which a flush checks whether it may go on.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Default)]
struct FileState {
    bytes: Vec<u8>,
    synced_bytes: usize,
    /// Whether its creation is durable.
    is_name_durable: bool,
    birth: u64,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, FileState>,
    /// Files whose removal is not durable.
    removed: BTreeMap<String, FileState>,
    calls: u64,
    crash_at: Option<u64>,
    fail_at: Option<u64>,
    free_bytes: Option<usize>,
    is_crashed: bool,
    /// Whether flushes wait.
    is_stalled: bool,
    is_locked: bool,
    last_birth: u64,
}

/// A disk; clones share it.
#[derive(Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of calls so far that change or flush something.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// The process ends within the n-th call from now on: that one and later ones fail.
    pub fn crash_at(&self, calls: u64) {
        let mut state = self.state();
        state.crash_at = Some(state.calls + calls);
    }

    /// The n-th call from now on fails once; what it was to flush is lost.
    pub fn fail_at(&self, calls: u64) {
        let mut state = self.state();
        state.fail_at = Some(state.calls + calls);
    }

    /// Makes flushes wait.
    pub fn stall(&self) {
        self.state().is_stalled = true;
    }

    /// Lets flushes go on.
    pub fn resume(&self) {
        self.state().is_stalled = false;
    }

    /// Sets the free space from now on; `None` for no limit.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.state().free_bytes = bytes;
    }

    /// Loses and restores power: of the bytes that were not flushed, some are kept, some torn, some
    /// lost.
    pub fn power_loss(&self, rng: &mut fastrand::Rng) {
        let mut state = self.state();
        state.restart();
        for (name, content) in std::mem::take(&mut state.removed) {
            if rng.bool() {
                state.files.entry(name).or_insert(content);
            }
        }
        state
            .files
            .retain(|_, content| content.is_name_durable || rng.bool());
        for content in state.files.values_mut() {
            let length = rng.usize(content.synced_bytes..=content.bytes.len());
            content.bytes.truncate(length);
            // Sectors are written in any order: those that were not are zeros or old content.
            let mut at = content.synced_bytes;
            while at < length {
                let end = (at / SECTOR_BYTES * SECTOR_BYTES + SECTOR_BYTES).min(length);
                match rng.u8(0..6) {
                    0 => content.bytes[at..end].fill(0),
                    1 => {
                        for byte in &mut content.bytes[at..end] {
                            *byte = rng.u8(..);
                        }
                    }
                    _ => {}
                }
                at = end;
            }
            content.synced_bytes = length;
            content.is_name_durable = true;
        }
    }

    /// Ends the process but not the system: nothing that was written is lost.
    pub fn kill(&self) {
        let mut state = self.state();
        state.restart();
        state.removed.clear();
        for content in state.files.values_mut() {
            content.synced_bytes = content.bytes.len();
            content.is_name_durable = true;
        }
    }

    /// The names and contents of all files, as an operator's backup would hold them.
    pub fn backup(&self) -> BTreeMap<String, Vec<u8>> {
        self.state()
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.bytes.clone()))
            .collect()
    }

    /// Replaces all files by those of a backup, which get births of their own.
    pub fn restore(&self, backup: &BTreeMap<String, Vec<u8>>) {
        let mut state = self.state();
        state.files.clear();
        for (name, bytes) in backup {
            state.last_birth += 1;
            let birth = state.last_birth;
            state.files.insert(
                name.clone(),
                FileState {
                    bytes: bytes.clone(),
                    synced_bytes: bytes.len(),
                    is_name_durable: true,
                    birth,
                },
            );
        }
    }

    /// Changes the content of a file, durably.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(content) = self.state().files.get_mut(name) {
            change(&mut content.bytes);
            content.synced_bytes = content.bytes.len();
        }
    }
}

impl State {
    /// Ends planned faults, and a crash that took place.
    fn restart(&mut self) {
        self.crash_at = None;
        self.fail_at = None;
        self.is_crashed = false;
        self.is_locked = false;
    }

    /// Counts a call; an error where it is the one that fails or ends the process.
    fn count_call(&mut self) -> io::Result<()> {
        if self.is_crashed {
            return Err(io::Error::other("the process has ended"));
        }
        self.calls += 1;
        if self.crash_at.is_some_and(|at| at <= self.calls) {
            self.is_crashed = true;
            return Err(io::Error::other("the process ends here"));
        }
        if self.fail_at.take_if(|at| *at <= self.calls).is_some() {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }
}

impl Files for FaultyDisk {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let state = self.state();
        Ok(state
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.bytes.len() as u64))
            .collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        state
            .files
            .get(name)
            .map(|content| content.bytes.clone())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Log>> {
        let mut state = self.state();
        state.count_call()?;
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.last_birth += 1;
        let birth = state.last_birth;
        state.files.insert(
            name.to_string(),
            FileState {
                birth,
                ..FileState::default()
            },
        );
        Ok(Box::new(FaultyLog {
            disk: self.clone(),
            name: name.to_string(),
        }))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        let content = state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.removed.insert(name.to_string(), content);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        let content = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.synced_bytes = content.bytes.len();
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        state.removed.clear();
        for content in state.files.values_mut() {
            content.is_name_durable = true;
        }
        Ok(())
    }

    fn lock(&mut self) -> io::Result<bool> {
        let mut state = self.state();
        Ok(!std::mem::replace(&mut state.is_locked, true))
    }

    fn birth(&mut self, name: &str) -> io::Result<Option<u64>> {
        let state = self.state();
        state
            .files
            .get(name)
            .map(|content| Some(content.birth))
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

/// An open file of a [`FaultyDisk`].
struct FaultyLog {
    disk: FaultyDisk,
    name: String,
}

impl Log for FaultyLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        // A write that fails may have written a part.
        let counted = state.count_call();
        let fits = state
            .free_bytes
            .map_or(bytes.len(), |free| free.min(bytes.len()));
        let count = if counted.is_ok() {
            fits
        } else {
            bytes.len() / 2
        };
        state.free_bytes = state.free_bytes.map(|free| free - count.min(free));
        let content = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        content.bytes.extend_from_slice(&bytes[..count]);
        counted?;
        if count < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        while self.disk.state().is_stalled {
            std::thread::sleep(STALL_POLL_INTERVAL);
        }
        let mut state = self.disk.state();
        let counted = state.count_call();
        let is_crashed = state.is_crashed;
        let content = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        if counted.is_err() && !is_crashed {
            // The system drops bytes that it could not write, and reports it once.
            let synced_bytes = content.synced_bytes;
            content.bytes[synced_bytes..].fill(0);
        }
        counted?;
        content.synced_bytes = content.bytes.len();
        Ok(())
    }
}
