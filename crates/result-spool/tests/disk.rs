//! The disk worker on disks that fail, write only part of a page, or damage a page.

use eideryard_result_spool::segments::{PagePosition, Segments};
use eideryard_result_spool::worker::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A directory in which a given number of consecutive writes fail, beginning with a given write. A
/// failed write leaves half of its bytes in the file.
struct FailingDisk {
    inner: Directory,
    writes_before_failure: Arc<AtomicI64>,
    failure_count: i64,
}

struct FailingSegment(Box<dyn Segment>, Arc<AtomicI64>, i64);

impl Disk for FailingDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.inner.list()
    }
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        Ok(Box::new(FailingSegment(
            self.inner.create(name)?,
            self.writes_before_failure.clone(),
            self.failure_count,
        )))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }
}

impl Segment for FailingSegment {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let writes_before_failure = self.1.fetch_sub(1, Ordering::Relaxed);
        if writes_before_failure <= 0 && writes_before_failure > -self.2 {
            self.0.write_at(offset, &bytes[..bytes.len() / 2])?;
            return Err(io::Error::other("the disk is full"));
        }
        self.0.write_at(offset, bytes)
    }
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<()> {
        self.0.read_at(offset, bytes)
    }
}

fn start_worker(
    directory: &Path,
    writes_before_failure: i64,
    failure_count: i64,
) -> (Worker, Receiver<()>) {
    let disk = FailingDisk {
        inner: Directory(directory.into()),
        writes_before_failure: Arc::new(AtomicI64::new(writes_before_failure)),
        failure_count,
    };
    let (wake_sender, wake_receiver) = channel();
    let worker = Worker::start(
        "g1",
        7,
        Box::new(disk),
        Box::new(move || _ = wake_sender.send(())),
    )
    .unwrap();
    (worker, wake_receiver)
}

fn next_finished(worker: &Worker, wake_receiver: &Receiver<()>) -> FinishedJob {
    loop {
        if let Some(done) = worker.finished_jobs().next() {
            return done;
        }
        wake_receiver
            .recv_timeout(TIMEOUT)
            .expect("the worker should finish a job");
    }
}

fn page_bytes(result: u64, page: u32) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(result << 32 | page as u64);
    (0..rng.usize(1..6000)).map(|_| rng.u8(..)).collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn pages_are_read_as_written_and_segments_are_removed_with_their_last_page() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wake_receiver) = start_worker(directory.path(), i64::MAX, 0);
    let mut segments = Segments::new(20_000);
    let mut positions: BTreeMap<(u64, u32), PagePosition> = BTreeMap::new();
    for result in 0..5 {
        for number in 0..20 {
            let bytes = page_bytes(result, number);
            let (position, starts_segment) = segments.allocate(bytes.len() as u32);
            positions.insert((result, number), position);
            worker
                .submit(DiskJob::Write {
                    result,
                    page: number,
                    position,
                    starts_segment,
                    bytes,
                })
                .unwrap();
            let FinishedJob::Written { outcome, .. } = next_finished(&worker, &wake_receiver)
            else {
                panic!()
            };
            outcome.unwrap();
        }
    }
    assert!(segments.len() > 5);
    for ((result, number), position) in positions.iter().rev() {
        worker
            .submit(DiskJob::Read {
                result: *result,
                page: *number,
                position: *position,
            })
            .unwrap();
        let FinishedJob::Read { outcome, .. } = next_finished(&worker, &wake_receiver) else {
            panic!()
        };
        assert_eq!(outcome.unwrap(), page_bytes(*result, *number));
    }
    // Reading a page as a page of another result must fail.
    let position = positions[&(0, 0)];
    worker
        .submit(DiskJob::Read {
            result: 1,
            page: 0,
            position,
        })
        .unwrap();
    let FinishedJob::Read { outcome, .. } = next_finished(&worker, &wake_receiver) else {
        panic!()
    };
    assert_eq!(outcome.unwrap_err().kind(), io::ErrorKind::InvalidData);
    for position in positions.values() {
        let removed = segments.free(*position);
        for segment in removed.into_iter() {
            worker.submit(DiskJob::Remove { segment }).unwrap();
        }
    }
    assert!(segments.len() <= 1, "only the open segment may remain");
    drop(worker);
    assert_eq!(
        std::fs::read_dir(directory.path()).unwrap().count(),
        0,
        "the worker should remove it when it stops"
    );
}

#[test]
fn a_failed_write_is_reported_and_earlier_pages_stay_intact() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wake_receiver) = start_worker(directory.path(), 5, 3);
    let mut segments = Segments::new(1 << 20);
    let mut written = Vec::new();
    let mut failed = 0;
    for number in 0..20 {
        let bytes = page_bytes(1, number);
        let (position, starts_segment) = segments.allocate(bytes.len() as u32);
        worker
            .submit(DiskJob::Write {
                result: 1,
                page: number,
                position,
                starts_segment,
                bytes,
            })
            .unwrap();
        let FinishedJob::Written { outcome, .. } = next_finished(&worker, &wake_receiver) else {
            panic!()
        };
        match outcome {
            Ok(()) => written.push((number, position)),
            Err(_) => {
                failed += 1;
                segments.free(position);
                let removed = segments.abandon();
                for segment in removed.into_iter() {
                    worker.submit(DiskJob::Remove { segment }).unwrap();
                }
            }
        }
    }
    assert_eq!((failed, written.len()), (3, 17));
    for (number, position) in written {
        worker
            .submit(DiskJob::Read {
                result: 1,
                page: number,
                position,
            })
            .unwrap();
        let FinishedJob::Read { outcome, .. } = next_finished(&worker, &wake_receiver) else {
            panic!()
        };
        assert_eq!(outcome.unwrap(), page_bytes(1, number));
    }
}

#[test]
fn a_page_with_any_damaged_byte_is_an_error() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wake_receiver) = start_worker(directory.path(), i64::MAX, 0);
    let bytes = b"7\tshrimp\t3.4\n".to_vec();
    let (position, starts_segment) = Segments::new(100).allocate(bytes.len() as u32);
    worker
        .submit(DiskJob::Write {
            result: 1,
            page: 0,
            position,
            starts_segment,
            bytes: bytes.clone(),
        })
        .unwrap();
    next_finished(&worker, &wake_receiver);
    let file = std::fs::read_dir(directory.path())
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let intact = std::fs::read(&file).unwrap();
    for at in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[at] ^= 4;
        std::fs::write(&file, damaged).unwrap();
        worker
            .submit(DiskJob::Read {
                result: 1,
                page: 0,
                position,
            })
            .unwrap();
        let FinishedJob::Read { outcome, .. } = next_finished(&worker, &wake_receiver) else {
            panic!()
        };
        assert!(outcome.is_err(), "byte {at}");
    }
    std::fs::write(&file, &intact[..intact.len() - 1]).unwrap();
    worker
        .submit(DiskJob::Read {
            result: 1,
            page: 0,
            position,
        })
        .unwrap();
    let FinishedJob::Read { outcome, .. } = next_finished(&worker, &wake_receiver) else {
        panic!()
    };
    assert!(outcome.is_err(), "the file is truncated");
}

#[test]
fn files_of_an_earlier_start_are_removed_and_other_files_are_not() {
    let directory = tempfile::tempdir().unwrap();
    for name in [
        "spool-g1-0000000000000001-00000001",
        "spool-g2-0000000000000001-00000001",
        "notes.txt",
    ] {
        std::fs::write(directory.path().join(name), "x").unwrap();
    }
    drop(start_worker(directory.path(), i64::MAX, 0));
    let mut remaining_files: Vec<String> = std::fs::read_dir(directory.path())
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    remaining_files.sort();
    assert_eq!(
        remaining_files,
        ["notes.txt", "spool-g2-0000000000000001-00000001"]
    );
}
