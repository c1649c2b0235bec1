//! The worker on disks that fail, tear and rot, with the core that it serves.

use eideryard_result_spool::segments::{Place, Segments};
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

fn next(worker: &Worker, wakes: &Receiver<()>) -> Done {
    loop {
        if let Some(done) = worker.done().next() {
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
    let mut places: BTreeMap<(u64, u32), Place> = BTreeMap::new();
    for result in 0..5 {
        for number in 0..20 {
            let bytes = page(result, number);
            let (place, begins) = segments.place(bytes.len() as u32);
            places.insert((result, number), place);
            worker
                .order(Order::Write {
                    result,
                    page: number,
                    place,
                    begins,
                    bytes,
                })
                .unwrap();
            let Done::Written { outcome, .. } = next(&worker, &wakes) else {
                panic!()
            };
            outcome.unwrap();
        }
    }
    assert!(segments.len() > 5);
    for ((result, number), place) in places.iter().rev() {
        worker
            .order(Order::Read {
                result: *result,
                page: *number,
                place: *place,
            })
            .unwrap();
        let Done::Read { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        assert_eq!(outcome.unwrap(), page(*result, *number));
    }
    // Asked for as another's, a page is not given.
    let place = places[&(0, 0)];
    worker
        .order(Order::Read {
            result: 1,
            page: 0,
            place,
        })
        .unwrap();
    let Done::Read { outcome, .. } = next(&worker, &wakes) else {
        panic!()
    };
    assert_eq!(outcome.unwrap_err().kind(), io::ErrorKind::InvalidData);
    for place in places.values() {
        let gone = segments.free(*place);
        for segment in gone.into_iter() {
            worker.order(Order::Remove { segment }).unwrap();
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
        let (place, begins) = segments.place(bytes.len() as u32);
        worker
            .order(Order::Write {
                result: 1,
                page: number,
                place,
                begins,
                bytes,
            })
            .unwrap();
        let Done::Written { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        match outcome {
            Ok(()) => written.push((number, place)),
            Err(_) => {
                failed += 1;
                segments.free(place);
                let gone = segments.abandon();
                for segment in gone.into_iter() {
                    worker.order(Order::Remove { segment }).unwrap();
                }
            }
        }
    }
    assert_eq!((failed, written.len()), (3, 17));
    for (number, place) in written {
        worker
            .order(Order::Read {
                result: 1,
                page: number,
                place,
            })
            .unwrap();
        let Done::Read { outcome, .. } = next(&worker, &wakes) else {
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
    let (place, begins) = Segments::new(100).place(bytes.len() as u32);
    worker
        .order(Order::Write {
            result: 1,
            page: 0,
            place,
            begins,
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
            .order(Order::Read {
                result: 1,
                page: 0,
                place,
            })
            .unwrap();
        let Done::Read { outcome, .. } = next(&worker, &wakes) else {
            panic!()
        };
        assert!(outcome.is_err(), "byte {at}");
    }
    std::fs::write(&file, &whole[..whole.len() - 1]).unwrap();
    worker
        .order(Order::Read {
            result: 1,
            page: 0,
            place,
        })
        .unwrap();
    let Done::Read { outcome, .. } = next(&worker, &wakes) else {
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
