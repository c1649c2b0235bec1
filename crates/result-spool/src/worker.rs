//! The thread that writes and reads pages, so that the event loop never waits for the disk. Jobs
//! are passed over a bounded channel; their outcomes are returned over another one, and the event
//! loop is woken for each.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::segments::{encode_header, verify_page, PagePosition, HEADER_BYTES};
use crate::state::ResultId;

/// Maximum number of queued jobs; further jobs are rejected, and the caller resubmits them later.
const MAX_QUEUED_JOBS: usize = 256;
const FILE_PREFIX: &str = "spool-";
/// How long the process waits for the thread when it stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);

/// A job for the thread.
#[derive(Debug)]
pub enum DiskJob {
    /// Writes a page.
    Write {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: u32,
        /// The position from [`Segments::allocate`](crate::segments::Segments::allocate).
        position: PagePosition,
        /// Set for the first page of a segment: the worker creates the segment's file before it
        /// writes.
        starts_segment: bool,
        /// The page without its header.
        bytes: Vec<u8>,
    },
    /// Reads a page.
    Read {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: u32,
        /// The position at which the page was written.
        position: PagePosition,
    },
    /// Removes a segment's file. It is not reported as a [`FinishedJob`].
    Remove {
        /// ID of the segment, from [`PagePosition::segment`].
        segment: u64,
    },
}

/// The outcome of a job.
#[derive(Debug)]
pub enum FinishedJob {
    /// A page was written, or the write failed.
    Written {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: u32,
        /// The position given in the job.
        position: PagePosition,
        /// The error if the write failed; part of the page may have been written then.
        outcome: io::Result<()>,
    },
    /// A page was read, or the read failed.
    Read {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: u32,
        /// The page without its header. A damaged page is an error of kind `InvalidData`.
        outcome: io::Result<Vec<u8>>,
    },
}

/// All file operations of the worker, so that tests can make any of them fail.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be listed.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Creates a file that doesn't exist yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// An open segment file.
pub trait Segment: Send {
    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails; some of the bytes may have been written then.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Fills `bytes` from an offset on.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails or the file is too short.
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<()>;
}

/// A directory of the file system; it is created if it doesn't exist.
pub struct Directory(pub PathBuf);

impl Disk for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        std::fs::create_dir_all(&self.0)?;
        let names =
            std::fs::read_dir(&self.0)?.map(|file| Ok(file?.file_name().into_string().ok()));
        Ok(names
            .collect::<io::Result<Vec<_>>>()?
            .into_iter()
            .flatten()
            .collect())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        std::fs::create_dir_all(&self.0)?;
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(self.0.join(name))?;
        Ok(Box::new(file))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }
}

impl Segment for File {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(bytes, offset)
    }
}

/// The handle of the thread. Dropping it stops the thread.
pub struct Worker {
    jobs: Option<SyncSender<DiskJob>>,
    finished: Receiver<FinishedJob>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread. `name` is the gateway's name and `epoch` the time of its start: both are
    /// part of file names, and files that an earlier process of the same gateway left behind are
    /// removed. `wake` is called after each finished job.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(
        name: &str,
        epoch: u64,
        disk: Box<dyn Disk>,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<Self> {
        let (jobs, job_receiver) = sync_channel(MAX_QUEUED_JOBS);
        // Each job has at most one outcome, and the event loop takes all of them in each iteration.
        let (results, finished) = sync_channel(2 * MAX_QUEUED_JOBS);
        let worker_thread = WorkerThread {
            disk,
            prefix: format!("{FILE_PREFIX}{name}-"),
            epoch,
            open_segments: BTreeMap::new(),
        };
        let thread = std::thread::Builder::new()
            .name("spool".into())
            .spawn(move || worker_thread.run(job_receiver, results, wake))?;
        Ok(Worker {
            jobs: Some(jobs),
            finished,
            thread: Some(thread),
        })
    }

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns the job if the queue is full or the thread has ended.
    pub fn submit(&self, job: DiskJob) -> Result<(), DiskJob> {
        let Some(jobs) = &self.jobs else {
            return Err(job);
        };
        jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }

    /// Returns the outcomes of the jobs that were finished since the last call.
    pub fn finished_jobs(&self) -> impl Iterator<Item = FinishedJob> + '_ {
        self.finished.try_iter()
    }
}

/// Stops the thread: it discards queued jobs and removes its segment files.
impl Drop for Worker {
    fn drop(&mut self) {
        self.jobs = None;
        // Closes the channel of outcomes, so that the thread doesn't block on sending them.
        self.finished = sync_channel(0).1;
        // A slow disk must not delay the end of the process any further.
        let (deadline, thread) = (Instant::now() + SHUTDOWN_TIMEOUT, self.thread.take());
        while thread.as_ref().is_some_and(|thread| !thread.is_finished())
            && Instant::now() < deadline
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

struct WorkerThread {
    disk: Box<dyn Disk>,
    prefix: String,
    epoch: u64,
    open_segments: BTreeMap<u64, Box<dyn Segment>>,
}

impl WorkerThread {
    fn file_name(&self, segment: u64) -> String {
        format!("{}{:016x}-{segment:08}", self.prefix, self.epoch)
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn run(
        mut self,
        jobs: Receiver<DiskJob>,
        results: SyncSender<FinishedJob>,
        wake: Box<dyn Fn() + Send>,
    ) {
        self.remove_leftover_files();
        while let Ok(job) = jobs.recv() {
            let finished_job = match job {
                DiskJob::Write {
                    result,
                    page,
                    position,
                    starts_segment,
                    bytes,
                } => {
                    let outcome = self.write(result, page, position, starts_segment, &bytes);
                    FinishedJob::Written {
                        result,
                        page,
                        position,
                        outcome,
                    }
                }
                DiskJob::Read {
                    result,
                    page,
                    position,
                } => {
                    let outcome = self.read(result, page, position);
                    FinishedJob::Read {
                        result,
                        page,
                        outcome,
                    }
                }
                DiskJob::Remove { segment } => {
                    self.open_segments.remove(&segment);
                    let file_name = self.file_name(segment);
                    if let Err(e) = self.disk.remove(&file_name) {
                        log::warn!("result spool: can't remove the segment file {file_name}, the next start tries again: {e}");
                    }
                    continue;
                }
            };
            if results.send(finished_job).is_err() {
                break;
            }
            wake();
        }
        for segment in std::mem::take(&mut self.open_segments).into_keys() {
            // If this fails, the next start removes the file.
            let _ = self.disk.remove(&self.file_name(segment));
        }
    }

    /// Removes files left behind by an earlier process of this gateway: their results are lost.
    fn remove_leftover_files(&mut self) {
        let names = self.disk.list().unwrap_or_default();
        let leftover_files: Vec<String> = names
            .into_iter()
            .filter(|name| name.starts_with(&self.prefix))
            .collect();
        if !leftover_files.is_empty() {
            log::info!(
                "result spool: removing {} files that an earlier start left behind",
                leftover_files.len()
            );
        }
        for file_name in leftover_files {
            if let Err(e) = self.disk.remove(&file_name) {
                log::warn!("result spool: can't remove the leftover file {file_name}, the next start tries again: {e}");
            }
        }
    }

    fn write(
        &mut self,
        result: ResultId,
        page: u32,
        position: PagePosition,
        starts_segment: bool,
        bytes: &[u8],
    ) -> io::Result<()> {
        if starts_segment {
            let segment = self.disk.create(&self.file_name(position.segment))?;
            self.open_segments.insert(position.segment, segment);
        }
        let missing_segment = || {
            io::Error::new(
                io::ErrorKind::NotFound,
                "the segment file of the page could not be created",
            )
        };
        let segment = self
            .open_segments
            .get_mut(&position.segment)
            .ok_or_else(missing_segment)?;
        let mut buffer = Vec::with_capacity(HEADER_BYTES + bytes.len());
        buffer.extend_from_slice(&encode_header(result, page, bytes));
        buffer.extend_from_slice(bytes);
        segment.write_at(position.offset, &buffer)
    }

    fn read(&mut self, result: ResultId, page: u32, position: PagePosition) -> io::Result<Vec<u8>> {
        let missing_segment = || {
            io::Error::new(
                io::ErrorKind::NotFound,
                "the segment file of the page doesn't exist",
            )
        };
        let segment = self
            .open_segments
            .get_mut(&position.segment)
            .ok_or_else(missing_segment)?;
        let mut buffer = vec![0; HEADER_BYTES + position.length as usize];
        segment.read_at(position.offset, &mut buffer)?;
        let damaged_page = || {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the page on disk is damaged: its header or checksum doesn't match",
            )
        };
        verify_page(&buffer, result, page)
            .map(<[u8]>::to_vec)
            .ok_or_else(damaged_page)
    }
}
