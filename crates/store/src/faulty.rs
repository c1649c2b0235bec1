//! A directory in memory that fails as disks do, by a seed: what was not flushed may be lost, torn
//! or kept apart from what came before it; calls fail or end the process at a chosen one; it fills
//! up.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::files::{Files, Log};

/// What a power loss takes or leaves goes by pieces of this size.
const SECTOR: usize = 512;

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
    /// Its name is durable.
    named: bool,
    birth: u64,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Content>,
    /// Names that were removed and would be back after a crash.
    removed: BTreeMap<String, Content>,
    calls: u64,
    crash_at: Option<u64>,
    fail_at: Option<u64>,
    room: Option<usize>,
    crashed: bool,
    /// Flushes wait.
    stalled: bool,
    locked: bool,
    births: u64,
}

/// Clones see the same disk.
#[derive(Clone, Default)]
pub struct Faulty(Arc<Mutex<State>>);

impl Faulty {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls so far that change or flush something.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// The process ends within the n-th call from now on.
    pub fn crash_at(&self, calls: u64) {
        let mut state = self.state();
        state.crash_at = Some(state.calls + calls);
    }

    /// The n-th call from now on fails once, and what it was to flush is gone.
    pub fn fail_at(&self, calls: u64) {
        let mut state = self.state();
        state.fail_at = Some(state.calls + calls);
    }

    /// Flushes don't come back until they may.
    pub fn stall(&self, stalled: bool) {
        self.state().stalled = stalled;
    }

    /// Bytes that there is room for from now on.
    pub fn room(&self, bytes: Option<usize>) {
        self.state().room = bytes;
    }

    /// Power is lost and comes back: of what was not flushed, some is there, some torn, some gone.
    pub fn power_loss(&self, rng: &mut fastrand::Rng) {
        let mut state = self.state();
        (state.crash_at, state.fail_at, state.crashed, state.locked) = (None, None, false, false);
        for (name, content) in std::mem::take(&mut state.removed) {
            if rng.bool() {
                state.files.entry(name).or_insert(content);
            }
        }
        state.files.retain(|_, content| content.named || rng.bool());
        for content in state.files.values_mut() {
            let length = rng.usize(content.synced..=content.bytes.len());
            content.bytes.truncate(length);
            // Sectors reach the disk in any order: some of those that did not are zeros or old
            // noise.
            let mut at = content.synced;
            while at < length {
                let end = (at / SECTOR * SECTOR + SECTOR).min(length);
                match rng.u8(0..6) {
                    0 => content.bytes[at..end].fill(0),
                    1 => content.bytes[at..end]
                        .iter_mut()
                        .for_each(|byte| *byte = rng.u8(..)),
                    _ => {}
                }
                at = end;
            }
            (content.synced, content.named) = (length, true);
        }
    }

    /// The process ends, and the system goes on: nothing that was written is lost.
    pub fn kill(&self) {
        let mut state = self.state();
        (state.crash_at, state.fail_at, state.crashed, state.locked) = (None, None, false, false);
        state.removed.clear();
        state.files.values_mut().for_each(|content| {
            (content.synced, content.named) = (content.bytes.len(), true);
        });
    }

    /// A copy of all that is there now, as an operator's backup would hold it.
    pub fn saved(&self) -> BTreeMap<String, Vec<u8>> {
        self.state()
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.bytes.clone()))
            .collect()
    }

    /// The copy takes the place of what is there: files with births of their own.
    pub fn put_back(&self, saved: &BTreeMap<String, Vec<u8>>) {
        let mut state = self.state();
        state.files.clear();
        for (name, bytes) in saved {
            state.births += 1;
            let (synced, birth) = (bytes.len(), state.births);
            state.files.insert(
                name.clone(),
                Content {
                    bytes: bytes.clone(),
                    synced,
                    named: true,
                    birth,
                },
            );
        }
    }

    /// Changes the bytes of a file.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(content) = self.state().files.get_mut(name) {
            change(&mut content.bytes);
            content.synced = content.bytes.len();
        }
    }
}

impl State {
    /// Counts a call; an error where it is the one that fails or ends the process.
    fn call(&mut self) -> io::Result<()> {
        if self.crashed {
            return Err(io::Error::other("the process has ended"));
        }
        self.calls += 1;
        if self.crash_at.is_some_and(|at| at <= self.calls) {
            self.crashed = true;
            return Err(io::Error::other("the process ends here"));
        }
        if self.fail_at.take_if(|at| *at <= self.calls).is_some() {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }
}

impl Files for Faulty {
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
        state.call()?;
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.births += 1;
        let birth = state.births;
        state.files.insert(
            name.to_string(),
            Content {
                birth,
                ..Content::default()
            },
        );
        Ok(Box::new(FaultyLog(self.clone(), name.to_string())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        let content = state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.removed.insert(name.to_string(), content);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        let content = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        content.synced = content.bytes.len();
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.call()?;
        state.removed.clear();
        state
            .files
            .values_mut()
            .for_each(|content| content.named = true);
        Ok(())
    }

    fn lock(&mut self) -> io::Result<bool> {
        let mut state = self.state();
        Ok(!std::mem::replace(&mut state.locked, true))
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

struct FaultyLog(Faulty, String);

impl Log for FaultyLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.state();
        // A write that fails may have written a part.
        let called = state.call();
        let fits = state.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        let count = if called.is_ok() {
            fits
        } else {
            bytes.len() / 2
        };
        state.room = state.room.map(|room| room - count.min(room));
        let content = state
            .files
            .get_mut(&self.1)
            .ok_or(io::ErrorKind::NotFound)?;
        content.bytes.extend_from_slice(&bytes[..count]);
        called?;
        if count < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        while self.0.state().stalled {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        let mut state = self.0.state();
        let called = state.call();
        let crashed = state.crashed;
        let content = state
            .files
            .get_mut(&self.1)
            .ok_or(io::ErrorKind::NotFound)?;
        if called.is_err() && !crashed {
            // The system drops what it could not write and says so once; a read may still show it.
            let synced = content.synced;
            content.bytes[synced..].fill(0);
        }
        called?;
        content.synced = content.bytes.len();
        Ok(())
    }
}
