//! Merges all logs in some directories into one stream of entries, sorted by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use super::segments::{drop_segments_before, list_segments, SegmentFile, SourceKey};
use super::stream::{SegmentStream, Step};
use super::{io_error, Problem, ReadContent, ReadEntry, ReadError, Source};
use crate::frame::{find_frame, FrameSearch, FRAME_HEADER_BYTES};

/// Reads all logs in some directories as one stream of entries, sorted by time.
pub struct MergedReader {
    directories: Vec<PathBuf>,
    /// Whether the logs may still grow.
    is_following: bool,
    /// Time from which entries are needed, in microseconds since the Unix epoch. Of each log, the
    /// segments before the last one that starts no later than this time are not read.
    from: Micros,
    sources: Vec<Source>,
    /// One stream for each source, in the order of `sources`.
    heads: Vec<StreamHead>,
    /// Time and source of the next entry of each stream, with the earliest at the top.
    queue: BinaryHeap<Reverse<(Micros, usize)>>,
}

/// A stream and its next entry, which is already decoded.
struct StreamHead {
    stream: SegmentStream,
    next: Option<ReadContent>,
    /// Time of the last entry read. Damage that follows is reported with the same time.
    last_at: Micros,
}

impl MergedReader {
    /// Reads logs from their start to their end.
    ///
    /// # Errors
    /// If a directory can't be read or no directory contains a log.
    pub fn open(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::open_from(directories, 0)
    }

    /// Like [`MergedReader::open`], for logs that are still being written.
    /// [`MergedReader::next_entry`] returns `None` if there is no further entry yet.
    ///
    /// # Errors
    /// If a directory can't be read.
    pub fn follow(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::follow_from(directories, 0)
    }

    /// Reads each log from the start of its last segment that starts no later than `from`, in
    /// microseconds since the Unix epoch.
    ///
    /// # Errors
    /// If a directory can't be read or no directory contains a log.
    pub fn open_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        let reader = Self::new(directories, false, from)?;
        if reader.sources.is_empty() {
            let path = directories.first().cloned().unwrap_or_default();
            return Err(ReadError::NoSegments { path });
        }
        Ok(reader)
    }

    /// Like [`MergedReader::open_from`], for logs that are still being written.
    ///
    /// # Errors
    /// If a directory can't be read.
    pub fn follow_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        Self::new(directories, true, from)
    }

    fn new(directories: &[PathBuf], is_following: bool, from: Micros) -> Result<Self, ReadError> {
        let mut reader = MergedReader {
            directories: directories.to_vec(),
            is_following,
            from,
            sources: Vec::new(),
            heads: Vec::new(),
            queue: BinaryHeap::new(),
        };
        reader.update_sources()?;
        Ok(reader)
    }

    /// Returns the runs of gateways found so far.
    pub fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// Returns the parts skipped so far, each with the index of its source.
    pub fn problems(&self) -> impl Iterator<Item = (usize, &Problem)> {
        self.heads.iter().enumerate().flat_map(|(source, head)| {
            let problems = head.stream.problems();
            problems.iter().map(move |problem| (source, problem))
        })
    }

    /// Returns the time of the last frame of all logs, without reading the entries before it.
    ///
    /// # Errors
    /// If a file can't be read.
    pub fn last_at(&self) -> Result<Micros, ReadError> {
        let mut last = 0;
        for head in &self.heads {
            last = last.max(head.last_at);
            if let Some(path) = head.stream.last_file() {
                last = last.max(last_frame_at(path)?);
            }
        }
        Ok(last)
    }

    /// Returns the next entry of all logs. `None` means the end or, for logs that are still being
    /// written, that there is no further entry yet.
    ///
    /// # Errors
    /// If a file can't be read or has a newer format version.
    pub fn next_entry(&mut self) -> Result<Option<ReadEntry>, ReadError> {
        loop {
            if let Some(Reverse((at, source))) = self.queue.pop() {
                let next = self.heads[source].next.take();
                self.advance(source)?;
                if let Some(content) = next {
                    return Ok(Some(ReadEntry {
                        source,
                        at,
                        content,
                    }));
                }
                continue;
            }
            if !self.is_following {
                return Ok(None);
            }
            self.update_sources()?;
            self.advance_all()?;
            if self.queue.is_empty() {
                return Ok(None);
            }
        }
    }

    /// Reads the next entry of each stream that has none decoded.
    fn advance_all(&mut self) -> Result<(), ReadError> {
        for source in 0..self.heads.len() {
            if self.heads[source].next.is_none() {
                self.advance(source)?;
            }
        }
        Ok(())
    }

    /// Reads the next entry of a stream and queues it.
    fn advance(&mut self, source: usize) -> Result<(), ReadError> {
        let head = &mut self.heads[source];
        let content = match head.stream.next_step()? {
            Step::Entry(at, entry) => {
                head.last_at = at;
                ReadContent::Entry(entry)
            }
            Step::Damaged => ReadContent::Damaged,
            Step::End => return Ok(()),
        };
        head.next = Some(content);
        self.queue.push(Reverse((head.last_at, source)));
        Ok(())
    }

    // ---- Files ----

    /// Adds new segments and new runs of gateways.
    fn update_sources(&mut self) -> Result<(), ReadError> {
        for (key, files) in list_segments(&self.directories)? {
            let is_same = |source: &Source| source.epoch == key.epoch && source.name == key.name;
            match self.sources.iter().position(is_same) {
                Some(source) => self.update_source(source, files),
                None => self.add_source(key, files)?,
            }
        }
        Ok(())
    }

    fn update_source(&mut self, source: usize, files: Vec<SegmentFile>) {
        self.sources[source].bytes = total_size(&files);
        let paths = files.into_iter().map(|file| file.path);
        self.heads[source].stream.add_newer_files(paths);
    }

    fn add_source(&mut self, key: SourceKey, mut files: Vec<SegmentFile>) -> Result<(), ReadError> {
        let bytes = total_size(&files);
        if self.from > 0 {
            drop_segments_before(&mut files, self.from);
        }
        let paths = files.into_iter().map(|file| file.path).collect();
        self.heads.push(StreamHead {
            stream: SegmentStream::new(key.epoch, paths, self.is_following),
            next: None,
            last_at: key.epoch,
        });
        self.sources.push(Source {
            name: key.name,
            epoch: key.epoch,
            directory: key.directory,
            bytes,
        });
        self.advance(self.sources.len() - 1)
    }
}

fn total_size(files: &[SegmentFile]) -> u64 {
    files.iter().map(|file| file.size).sum()
}

/// Returns the time of a file's last frame; 0 if the file contains none.
fn last_frame_at(path: &Path) -> Result<Micros, ReadError> {
    let bytes = std::fs::read(path).map_err(io_error(path))?;
    let mut rest = &bytes[..];
    let mut last = 0;
    while !rest.is_empty() {
        let length = match find_frame(rest) {
            FrameSearch::Frame(frame) => {
                last = last.max(frame.first_at);
                FRAME_HEADER_BYTES + frame.length
            }
            FrameSearch::NotFound(count) => count.min(rest.len()),
            FrameSearch::Incomplete(_) => 1,
        };
        rest = &rest[length..];
    }
    Ok(last)
}
