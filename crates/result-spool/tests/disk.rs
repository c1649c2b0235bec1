//! The worker on disks that fail, tear and rot, with the core that it serves.

use eideryard_result_spool::segments::{PagePosition, Segments};
use eideryard_result_spool::worker::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);

/// A real directory whose n-th write fails, and so many after it; a torn one leaves half of its
/// bytes.
struct Failing {
    inner: Directory,
    left: Arc<AtomicI64>,
    failures: i64,
}

struct FailingSegment(Box<dyn Segment>, Arc<AtomicI64>, i64);

impl Disk for Failing {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.inner.list()
    }
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        Ok(Box::new(FailingSegment(
            self.inner.create(name)?,
            self.left.clone(),
            self.failures,
        )))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }
}

impl Segment for FailingSegment {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let left = self.1.fetch_sub(1, Ordering::Relaxed);
        if left <= 0 && left > -self.2 {
            self.0.write_at(offset, &bytes[..bytes.len() / 2])?;
            return Err(io::Error::other("the disk is full"));
        }
        self.0.write_at(offset, bytes)
    }
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<()> {
        self.0.read_at(offset, bytes)
    }
}

fn worker(directory: &Path, left: i64, failures: i64) -> (Worker, Receiver<()>) {
    let disk = Failing {
        inner: Directory(directory.into()),
        left: Arc::new(AtomicI64::new(left)),
        failures,
    };
    let (woken, wakes) = channel();
    let worker = Worker::start(
        "g1",
        7,
        Box::new(disk),
        Box::new(move || _ = woken.send(())),
    )
    .unwrap();
    (worker, wakes)
}

fn next(worker: &Worker, wakes: &Receiver<()>) -> FinishedJob {
    loop {
        if let Some(done) = worker.finished_jobs().next() {
            return done;
        }
        wakes
            .recv_timeout(PATIENCE)
            .expect("the worker does something");
    }
}

fn page(result: u64, page: u32) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(result << 32 | page as u64);
    (0..rng.usize(1..6000)).map(|_| rng.u8(..)).collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn pages_come_back_as_they_were_and_segments_go_with_their_last_page() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wakes) = worker(directory.path(), i64::MAX, 0);
    let mut segments = Segments::new(20_000);
    let mut positions: BTreeMap<(u64, u32), PagePosition> = BTreeMap::new();
    for result in 0..5 {
        for number in 0..20 {
            let bytes = page(result, number);
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
            let FinishedJob::Written { outcome, .. } = next(&worker, &wakes) else {
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
        let FinishedJob::Read { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        assert_eq!(outcome.unwrap(), page(*result, *number));
    }
    // Asked for as another's, a page is not given.
    let position = positions[&(0, 0)];
    worker
        .submit(DiskJob::Read {
            result: 1,
            page: 0,
            position,
        })
        .unwrap();
    let FinishedJob::Read { outcome, .. } = next(&worker, &wakes) else {
        panic!()
    };
    assert_eq!(outcome.unwrap_err().kind(), io::ErrorKind::InvalidData);
    for position in positions.values() {
        let gone = segments.free(*position);
        for segment in gone.into_iter() {
            worker.submit(DiskJob::Remove { segment }).unwrap();
        }
    }
    assert!(segments.len() <= 1, "only the open one is left");
    drop(worker);
    assert_eq!(
        std::fs::read_dir(directory.path()).unwrap().count(),
        0,
        "and it goes at the end"
    );
}

#[test]
fn a_write_that_fails_is_told_and_what_was_written_before_stays_whole() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wakes) = worker(directory.path(), 5, 3);
    let mut segments = Segments::new(1 << 20);
    let mut written = Vec::new();
    let mut failed = 0;
    for number in 0..20 {
        let bytes = page(1, number);
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
        let FinishedJob::Written { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        match outcome {
            Ok(()) => written.push((number, position)),
            Err(_) => {
                failed += 1;
                segments.free(position);
                let gone = segments.abandon();
                for segment in gone.into_iter() {
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
        let FinishedJob::Read { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        assert_eq!(outcome.unwrap(), page(1, number));
    }
}

#[test]
fn a_page_that_has_rotted_is_an_error_at_every_byte() {
    let directory = tempfile::tempdir().unwrap();
    let (worker, wakes) = worker(directory.path(), i64::MAX, 0);
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
    next(&worker, &wakes);
    let file = std::fs::read_dir(directory.path())
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let whole = std::fs::read(&file).unwrap();
    for at in 0..whole.len() {
        let mut rotten = whole.clone();
        rotten[at] ^= 4;
        std::fs::write(&file, rotten).unwrap();
        worker
            .submit(DiskJob::Read {
                result: 1,
                page: 0,
                position,
            })
            .unwrap();
        let FinishedJob::Read { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        assert!(outcome.is_err(), "byte {at}");
    }
    std::fs::write(&file, &whole[..whole.len() - 1]).unwrap();
    worker
        .submit(DiskJob::Read {
            result: 1,
            page: 0,
            position,
        })
        .unwrap();
    let FinishedJob::Read { outcome, .. } = next(&worker, &wakes) else {
        panic!()
    };
    assert!(outcome.is_err(), "cut short");
}

#[test]
fn what_an_earlier_start_left_is_removed_and_other_files_are_not() {
    let directory = tempfile::tempdir().unwrap();
    for name in [
        "spool-g1-0000000000000001-00000001",
        "spool-g2-0000000000000001-00000001",
        "notes.txt",
    ] {
        std::fs::write(directory.path().join(name), "x").unwrap();
    }
    drop(worker(directory.path(), i64::MAX, 0));
    let mut left: Vec<String> = std::fs::read_dir(directory.path())
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    left.sort();
    assert_eq!(left, ["notes.txt", "spool-g2-0000000000000001-00000001"]);
}
