//! A simulated disk in memory for tests, which fails in the ways that disks do: bytes that were not
//! flushed may be lost, torn or reordered, a chosen call fails or ends the process, and the disk
//! fills up. Random choices come from the generator that the test passes, so a seed repeats them.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::files::{AppendFile, Files};

/// A power loss keeps or loses bytes in sectors of this size.
const SECTOR_BYTES: usize = 512;
/// Interval at which a stalled flush checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Default)]
struct FileState {
    bytes: Vec<u8>,
    synced_bytes: usize,
    /// Whether the creation of the file is durable.
    is_name_durable: bool,
    creation_id: u64,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, FileState>,
    /// Files whose removal is not durable yet.
    removed: BTreeMap<String, FileState>,
    /// Number of calls so far that change or flush something.
    calls: u64,
    /// Value of `calls` at the call within which the process ends; `None` if no crash is planned.
    crash_at: Option<u64>,
    /// Value of `calls` at the call that fails; `None` if no failure is planned.
    fail_at: Option<u64>,
    free_bytes: Option<usize>,
    is_crashed: bool,
    /// Whether flushes wait until [`FaultyDisk::resume`].
    is_stalled: bool,
    is_locked: bool,
    last_creation_id: u64,
}

/// A simulated disk with one directory. Clones share the same disk.
#[derive(Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of calls so far that change or flush something.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Ends the process within the `calls`-th call from now on: that call and all later ones fail.
    pub fn crash_at(&self, calls: u64) {
        let mut state = self.state();
        state.crash_at = Some(state.calls + calls);
    }

    /// Makes the `calls`-th call from now on fail once. If it is a flush, the bytes to flush are
    /// lost.
    pub fn fail_at(&self, calls: u64) {
        let mut state = self.state();
        state.fail_at = Some(state.calls + calls);
    }

    /// Makes flushes wait until [`FaultyDisk::resume`].
    pub fn stall(&self) {
        self.state().is_stalled = true;
    }

    /// Lets stalled flushes continue.
    pub fn resume(&self) {
        self.state().is_stalled = false;
    }

    /// Sets the free space in bytes; `None` for no limit.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.state().free_bytes = bytes;
    }

    /// Simulates a power loss and a restart: of the bytes that were not flushed, some are kept,
    /// some are torn and some are lost.
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
            // Disks write sectors in any order. A sector that was not written contains zeros or old
            // content.
            let mut offset = content.synced_bytes;
            while offset < length {
                let end = (offset / SECTOR_BYTES * SECTOR_BYTES + SECTOR_BYTES).min(length);
                match rng.u8(0..6) {
                    0 => content.bytes[offset..end].fill(0),
                    1 => {
                        for byte in &mut content.bytes[offset..end] {
                            *byte = rng.u8(..);
                        }
                    }
                    _ => {}
                }
                offset = end;
            }
            content.synced_bytes = length;
            content.is_name_durable = true;
        }
    }

    /// Simulates a kill and restart of the process. The system keeps running, so all written bytes
    /// are kept.
    pub fn kill(&self) {
        let mut state = self.state();
        state.restart();
        state.removed.clear();
        for content in state.files.values_mut() {
            content.synced_bytes = content.bytes.len();
            content.is_name_durable = true;
        }
    }

    /// Returns the names and contents of all files, as an operator's backup would contain them.
    pub fn backup(&self) -> BTreeMap<String, Vec<u8>> {
        self.state()
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.bytes.clone()))
            .collect()
    }

    /// Replaces all files with those of a backup. The restored files are copies, so they get new
    /// creation IDs.
    pub fn restore(&self, backup: &BTreeMap<String, Vec<u8>>) {
        let mut state = self.state();
        state.files.clear();
        for (name, bytes) in backup {
            state.last_creation_id += 1;
            let creation_id = state.last_creation_id;
            state.files.insert(
                name.clone(),
                FileState {
                    bytes: bytes.clone(),
                    synced_bytes: bytes.len(),
                    is_name_durable: true,
                    creation_id,
                },
            );
        }
    }

    /// Changes the content of a file and makes the change durable.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(content) = self.state().files.get_mut(name) {
            change(&mut content.bytes);
            content.synced_bytes = content.bytes.len();
        }
    }
}

impl State {
    /// Clears planned faults, the crash and the lock, as a restart of the process does.
    fn restart(&mut self) {
        self.crash_at = None;
        self.fail_at = None;
        self.is_crashed = false;
        self.is_locked = false;
    }

    /// Counts a call. Returns an error if this call has to fail or if the process has ended.
    fn count_call(&mut self) -> io::Result<()> {
        if self.is_crashed {
            return Err(io::Error::other("the process has ended"));
        }
        self.calls += 1;
        if self.crash_at.is_some_and(|call| call <= self.calls) {
            self.is_crashed = true;
            return Err(io::Error::other("the process ends within this call"));
        }
        if self.fail_at.take_if(|call| *call <= self.calls).is_some() {
            // Error number 5 is EIO, an I/O error.
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

    fn create(&mut self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let mut state = self.state();
        state.count_call()?;
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.last_creation_id += 1;
        let creation_id = state.last_creation_id;
        state.files.insert(
            name.to_string(),
            FileState {
                creation_id,
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

    fn creation_id(&mut self, name: &str) -> io::Result<Option<u64>> {
        let state = self.state();
        state
            .files
            .get(name)
            .map(|content| Some(content.creation_id))
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

/// An open file of a [`FaultyDisk`].
struct FaultyLog {
    disk: FaultyDisk,
    name: String,
}

impl AppendFile for FaultyLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        // A failed write may have written some of the bytes.
        let call_result = state.count_call();
        let fitting = state
            .free_bytes
            .map_or(bytes.len(), |free| free.min(bytes.len()));
        let count = if call_result.is_ok() {
            fitting
        } else {
            bytes.len() / 2
        };
        state.free_bytes = state.free_bytes.map(|free| free - count.min(free));
        let content = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        content.bytes.extend_from_slice(&bytes[..count]);
        call_result?;
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
        let call_result = state.count_call();
        let is_crashed = state.is_crashed;
        let content = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        if call_result.is_err() && !is_crashed {
            // After a failed flush, the system drops the bytes that it could not write and reports
            // the error only once.
            let synced_bytes = content.synced_bytes;
            content.bytes[synced_bytes..].fill(0);
        }
        call_result?;
        content.synced_bytes = content.bytes.len();
        Ok(())
    }
}
