//! Lists the segment files of directories, grouped by run of a gateway.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use super::{io_error, ReadError};
use crate::file_name::parse_file_name;
use crate::frame::{frame_first_at, FILE_HEADER_BYTES, FRAME_HEADER_BYTES};

/// Identifies one run of one gateway in one directory. Sources are added sorted by key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceKey {
    pub epoch: Micros,
    pub name: String,
    pub directory: PathBuf,
}

/// A segment file. Files of one run sort in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentFile {
    pub number: u64,
    pub path: PathBuf,
    pub size: u64,
}

/// Lists all segment files of some directories, those of each run in the order in which they were
/// written.
pub fn list_segments(
    directories: &[PathBuf],
) -> Result<BTreeMap<SourceKey, Vec<SegmentFile>>, ReadError> {
    let mut sources: BTreeMap<SourceKey, Vec<SegmentFile>> = BTreeMap::new();
    for directory in directories {
        for file in std::fs::read_dir(directory).map_err(io_error(directory))? {
            let file = file.map_err(io_error(directory))?;
            let path = file.path();
            let Some(name) = parse_file_name(&path) else {
                continue;
            };
            let key = SourceKey {
                epoch: name.epoch,
                name: name.gateway,
                directory: directory.clone(),
            };
            sources.entry(key).or_default().push(SegmentFile {
                number: name.segment,
                path,
                size: file.metadata().map_or(0, |data| data.len()),
            });
        }
    }
    for files in sources.values_mut() {
        files.sort();
    }
    Ok(sources)
}

/// Drops the segments before the last one that starts no later than `time`.
pub fn drop_segments_before(files: &mut Vec<SegmentFile>, time: Micros) {
    let starts_early = |file: &SegmentFile| first_at(&file.path).is_some_and(|at| at <= time);
    // Segments are ordered by start time, so a binary search has to open only a few of them.
    let count = files.partition_point(starts_early);
    files.drain(..count.saturating_sub(1));
}

/// Returns the time of a segment's first frame; `None` if it can't be read.
fn first_at(path: &Path) -> Option<Micros> {
    let mut header = Vec::new();
    let file = File::open(path).ok()?;
    file.take((FILE_HEADER_BYTES + FRAME_HEADER_BYTES) as u64)
        .read_to_end(&mut header)
        .ok()?;
    frame_first_at(header.get(FILE_HEADER_BYTES..)?)
}
