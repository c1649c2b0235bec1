//! A disk that fails at chosen calls.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;

use eideryard_event_log::disk::{Directory, Disk, Segment};

/// A directory of the file system in which `failures` successive calls fail, after `until_failure`
/// calls that succeed.
pub struct FailingDisk {
    pub inner: Directory,
    pub until_failure: Arc<AtomicI64>,
    pub failures: i64,
    /// Whether a failed append writes the first half of its bytes.
    pub leaves_partial_writes: bool,
}

impl FailingDisk {
    pub fn new(directory: &Path, first: i64, failures: i64, leaves_partial_writes: bool) -> Self {
        let until_failure = Arc::new(AtomicI64::new(first));
        FailingDisk {
            inner: Directory(directory.into()),
            until_failure,
            failures,
            leaves_partial_writes,
        }
    }

    fn count_call(counter: &AtomicI64, failures: i64) -> io::Result<()> {
        let calls_until_failure = counter.fetch_sub(1, Ordering::Relaxed);
        if calls_until_failure <= 0 && calls_until_failure > -failures {
            Err(io::Error::other("the disk is full"))
        } else {
            Ok(())
        }
    }
}

struct FailingSegment {
    inner: Box<dyn Segment>,
    until_failure: Arc<AtomicI64>,
    failures: i64,
    leaves_partial_writes: bool,
}

impl Disk for FailingDisk {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Self::count_call(&self.until_failure, self.failures)?;
        self.inner.list()
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        Self::count_call(&self.until_failure, self.failures)?;
        let (inner, until_failure) = (self.inner.create(name)?, self.until_failure.clone());
        Ok(Box::new(FailingSegment {
            inner,
            until_failure,
            failures: self.failures,
            leaves_partial_writes: self.leaves_partial_writes,
        }))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        Self::count_call(&self.until_failure, self.failures)?;
        self.inner.remove(name)
    }
}

impl Segment for FailingSegment {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = FailingDisk::count_call(&self.until_failure, self.failures);
        if result.is_err() && self.leaves_partial_writes {
            self.inner.append(&bytes[..bytes.len() / 2])?;
        }
        result?;
        self.inner.append(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        FailingDisk::count_call(&self.until_failure, self.failures)?;
        self.inner.truncate(length)
    }
}
