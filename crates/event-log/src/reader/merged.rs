//! All logs of some directories as one stream of entries by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use super::segments::{drop_segments_before, list_segments, SegmentFile, SourceKey};
use super::stream::{SegmentStream, Step};
use super::{io_error, Problem, ReadContent, ReadEntry, ReadError, Source};
use crate::frame::{find_frame, FrameSearch, FRAME_HEADER_BYTES};

/// Reads the logs of some directories by time.
pub struct MergedReader {
    directories: Vec<PathBuf>,
    /// Whether the logs may still grow.
    is_followed: bool,
    /// Segments that end before this are not read.
    from: Micros,
    sources: Vec<Source>,
    /// One for each source, in their order.
    heads: Vec<StreamHead>,
    /// Time and source of the next entry of each stream; the earliest is at the top.
    queue: BinaryHeap<Reverse<(Micros, usize)>>,
}

/// A stream and the entry that it returns next.
struct StreamHead {
    stream: SegmentStream,
    next: Option<ReadContent>,
    /// Time of the last entry read; damage after it gets the same time.
    last_at: Micros,
}

impl MergedReader {
    /// Reads logs from their start to their end.
    ///
    /// # Errors
    /// If a directory can't be read or no directory has a log.
    pub fn open(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::open_from(directories, 0)
    }

    /// Like [`MergedReader::open`], for logs that are still written:
    /// [`MergedReader::next_entry`] returns `None` where there is nothing yet.
    ///
    /// # Errors
    /// If a directory can't be read.
    pub fn follow(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::follow_from(directories, 0)
    }

    /// Reads each log from the start of its last segment that starts no later than `from`.
    ///
    /// # Errors
    /// If a directory can't be read or no directory has a log.
    pub fn open_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        let reader = Self::new(directories, false, from)?;
        if reader.sources.is_empty() {
            let path = directories.first().cloned().unwrap_or_default();
            return Err(ReadError::NoSegments { path });
        }
        Ok(reader)
    }

    /// Both: from a time on, and logs that are still written.
    ///
    /// # Errors
    /// If a directory can't be read.
    pub fn follow_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        Self::new(directories, true, from)
    }

    fn new(directories: &[PathBuf], is_followed: bool, from: Micros) -> Result<Self, ReadError> {
        let mut reader = MergedReader {
            directories: directories.to_vec(),
            is_followed,
            from,
            sources: Vec::new(),
            heads: Vec::new(),
            queue: BinaryHeap::new(),
        };
        reader.update_sources()?;
        Ok(reader)
    }

    /// The starts of gateways found so far.
    pub fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// What was skipped so far, with the index of its source.
    pub fn problems(&self) -> impl Iterator<Item = (usize, &Problem)> {
        self.heads.iter().enumerate().flat_map(|(source, head)| {
            let problems = head.stream.problems();
            problems.iter().map(move |problem| (source, problem))
        })
    }

    /// The time of the last frame of all logs, without reading what comes before.
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

    /// The next entry of all logs; `None` at the end, or for now where logs are followed.
    ///
    /// # Errors
    /// If a file can't be read or is of a later version.
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
            if !self.is_followed {
                return Ok(None);
            }
            self.update_sources()?;
            self.advance_all()?;
            if self.queue.is_empty() {
                return Ok(None);
            }
        }
    }

    /// Reads the next entry of each stream that had none.
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

    /// Looks for new segments and new starts of gateways.
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
            stream: SegmentStream::new(key.epoch, paths, self.is_followed),
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

/// The time of a file's last frame; 0 if it has none.
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
