//! The thread that writes and reads pages, so that the event loop waits for no disk. Orders go over
//! a bounded channel; what came of them comes back over another, with a wake of the loop.

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

/// Orders that wait at the most; more are refused, and tried again by whoever gave them.
const MAX_ORDERS: usize = 256;
const PREFIX: &str = "spool-";
/// How long the end of the program waits for the thread.
const LAST_WORK: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub enum DiskJob {
    Write {
        result: ResultId,
        page: u32,
        position: PagePosition,
        starts_segment: bool,
        bytes: Vec<u8>,
    },
    Read {
        result: ResultId,
        page: u32,
        position: PagePosition,
    },
    Remove {
        segment: u64,
    },
}

/// What came of an order.
#[derive(Debug)]
pub enum FinishedJob {
    Written {
        result: ResultId,
        page: u32,
        position: PagePosition,
        outcome: io::Result<()>,
    },
    /// The page as it was written, or why it can't be had.
    Read {
        result: ResultId,
        page: u32,
        outcome: io::Result<Vec<u8>>,
    },
}

/// All that the worker does with files, so that tests can let any of it fail.
pub trait Disk: Send {
    fn list(&mut self) -> io::Result<Vec<String>>;
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

pub trait Segment: Send {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<()>;
}

/// A directory of the real file system, made where it is missing.
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

pub struct Worker {
    orders: Option<SyncSender<DiskJob>>,
    done: Receiver<FinishedJob>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// `wake` is called whenever something was done. What an earlier start of the same name left
    /// behind is removed.
    pub fn start(
        name: &str,
        epoch: u64,
        disk: Box<dyn Disk>,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<Self> {
        let (orders, to_do) = sync_channel(MAX_ORDERS);
        // Each order brings one answer at the most, and the loop takes them at each look.
        let (tell, done) = sync_channel(2 * MAX_ORDERS);
        let own = Own {
            disk,
            prefix: format!("{PREFIX}{name}-"),
            epoch,
            open: BTreeMap::new(),
        };
        let thread = std::thread::Builder::new()
            .name("spool".into())
            .spawn(move || own.run(to_do, tell, wake))?;
        Ok(Worker {
            orders: Some(orders),
            done,
            thread: Some(thread),
        })
    }

    /// Gives the order back where too many wait.
    pub fn submit(&self, order: DiskJob) -> Result<(), DiskJob> {
        let Some(orders) = &self.orders else {
            return Err(order);
        };
        orders.try_send(order).map_err(|e| match e {
            TrySendError::Full(order) | TrySendError::Disconnected(order) => order,
        })
    }

    /// What was done since the last look.
    pub fn finished_jobs(&self) -> impl Iterator<Item = FinishedJob> + '_ {
        self.done.try_iter()
    }
}

/// The end: orders that wait are carried out no more, and the files go.
impl Drop for Worker {
    fn drop(&mut self) {
        self.orders = None;
        // Its answers have nobody who takes them.
        self.done = sync_channel(0).1;
        // Whatever the disk does, the program's end waits for it no longer than this.
        let (until, thread) = (Instant::now() + LAST_WORK, self.thread.take());
        while thread.as_ref().is_some_and(|thread| !thread.is_finished()) && Instant::now() < until
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

struct Own {
    disk: Box<dyn Disk>,
    prefix: String,
    epoch: u64,
    open: BTreeMap<u64, Box<dyn Segment>>,
}

impl Own {
    fn name(&self, segment: u64) -> String {
        format!("{}{:016x}-{segment:08}", self.prefix, self.epoch)
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn run(
        mut self,
        orders: Receiver<DiskJob>,
        tell: SyncSender<FinishedJob>,
        wake: Box<dyn Fn() + Send>,
    ) {
        self.clean();
        while let Ok(order) = orders.recv() {
            let done = match order {
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
                    self.open.remove(&segment);
                    let name = self.name(segment);
                    if let Err(e) = self.disk.remove(&name) {
                        log::warn!("{name} of the spool can't be removed: {e}");
                    }
                    continue;
                }
            };
            if tell.send(done).is_err() {
                break;
            }
            wake();
        }
        for segment in std::mem::take(&mut self.open).into_keys() {
            // The next start removes what is left.
            let _ = self.disk.remove(&self.name(segment));
        }
    }

    /// Removes what an earlier start left: its results went with it.
    fn clean(&mut self) {
        let names = self.disk.list().unwrap_or_default();
        let left: Vec<String> = names
            .into_iter()
            .filter(|name| name.starts_with(&self.prefix))
            .collect();
        if !left.is_empty() {
            log::info!(
                "{} files of an earlier start are removed from the spool",
                left.len()
            );
        }
        for name in left {
            if let Err(e) = self.disk.remove(&name) {
                log::warn!("{name} of the spool can't be removed: {e}");
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
            let segment = self.disk.create(&self.name(position.segment))?;
            self.open.insert(position.segment, segment);
        }
        let lost = || io::Error::new(io::ErrorKind::NotFound, "its segment could not be made");
        let segment = self.open.get_mut(&position.segment).ok_or_else(lost)?;
        let mut whole = Vec::with_capacity(HEADER_BYTES + bytes.len());
        whole.extend_from_slice(&encode_header(result, page, bytes));
        whole.extend_from_slice(bytes);
        segment.write_at(position.offset, &whole)
    }

    fn read(&mut self, result: ResultId, page: u32, position: PagePosition) -> io::Result<Vec<u8>> {
        let lost = || io::Error::new(io::ErrorKind::NotFound, "its segment is not there");
        let segment = self.open.get_mut(&position.segment).ok_or_else(lost)?;
        let mut whole = vec![0; HEADER_BYTES + position.length as usize];
        segment.read_at(position.offset, &mut whole)?;
        let spoilt = || {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the page is not as it was written",
            )
        };
        verify_page(&whole, result, page)
            .map(<[u8]>::to_vec)
            .ok_or_else(spoilt)
    }
}
