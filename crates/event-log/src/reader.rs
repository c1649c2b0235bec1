//! Reads records: any number of directories, merged by time, one frame of each gateway in memory at
//! a time. Damage is skipped and said; an entry is never told twice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use crate::codec::{Context, DecodeError, Decoder};
use crate::entry::Entry;
use crate::frame::{
    find, frame_begins, read_file_head, Found, Frame, FILE_HEAD, FRAME_HEAD, MAX_PAYLOAD, VERSION,
};
use crate::writer::read_file_name;

/// Read at once.
const CHUNK: usize = 256 << 10;

/// What is wrong with a record, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: PathBuf,
    pub from: u64,
    pub bytes: u64,
    pub what: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}: bytes {} to {}: {}",
            self.file.display(),
            self.from,
            self.from + self.bytes,
            self.what
        )
    }
}

#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("{path}: {error}")]
    Io { path: PathBuf, error: io::Error },
    #[error("{path}: no record is there (files named NAME.START.NUMBER.eyr)")]
    Nothing { path: PathBuf },
    #[error(
        "{path}: version {version} of the record is newer than this program, which reads up to \
             {VERSION}; use the program that wrote it, or a later one"
    )]
    Newer { path: PathBuf, version: u32 },
}

/// One start of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub name: String,
    pub epoch: Micros,
    pub directory: PathBuf,
    pub bytes: u64,
}

/// An entry, with the place of its source among [`Merged::sources`].
#[derive(Debug)]
pub struct ReadEntry {
    pub source: usize,
    pub at: Micros,
    pub what: ReadContent,
}

#[derive(Debug)]
pub enum ReadContent {
    Entry(Entry),
    /// Something could not be read here: what is folded up to now may lack entries, until the next
    /// tally.
    Damaged,
}

/// The segments of one start, one after the other.
struct Stream {
    files: VecDeque<PathBuf>,
    open: Option<(File, PathBuf)>,
    buffer: Vec<u8>,
    /// Where in the file the buffer begins, and what of it is used.
    at: u64,
    used: usize,
    /// The rest of the frame that is being read, as a place in the buffer.
    frame: Option<(usize, usize, Context)>,
    epoch: Micros,
    last_frame: u64,
    skipped: Option<Problem>,
    problems: Vec<Problem>,
    /// The file may grow: what is not whole at its end is waited for.
    follow: bool,
}

enum Step {
    Entry(Micros, Entry),
    Damaged,
    End,
}

impl Stream {
    fn skip(&mut self, count: usize, what: &str) {
        let from = self.at + self.used as u64;
        self.used += count;
        match &mut self.skipped {
            Some(problem) => problem.bytes += count as u64,
            None => {
                let file = self
                    .open
                    .as_ref()
                    .map(|(_, path)| path.clone())
                    .unwrap_or_default();
                self.skipped = Some(Problem {
                    file,
                    from,
                    bytes: count as u64,
                    what: what.to_string(),
                });
            }
        }
    }

    /// Reads on, behind what is unused. False: the file has no more now.
    fn fill(&mut self) -> io::Result<bool> {
        let Some((file, _)) = &mut self.open else {
            return Ok(false);
        };
        self.buffer.drain(..self.used);
        self.at += self.used as u64;
        self.used = 0;
        let before = self.buffer.len();
        file.take(CHUNK as u64).read_to_end(&mut self.buffer)?;
        Ok(self.buffer.len() > before)
    }

    fn close(&mut self) {
        self.open = None;
        self.buffer.clear();
        (self.at, self.used) = (0, 0);
    }

    /// The next file. False: there is none.
    fn next_file(&mut self) -> Result<bool, ReadError> {
        let Some(path) = self.files.pop_front() else {
            return Ok(false);
        };
        let unusable = |error| ReadError::Io {
            path: path.clone(),
            error,
        };
        let file = File::open(&path).map_err(unusable)?;
        self.open = Some((file, path.clone()));
        while self.buffer.len() < FILE_HEAD && self.fill().map_err(unusable)? {}
        match read_file_head(&self.buffer) {
            Some(version) if version > VERSION => return Err(ReadError::Newer { path, version }),
            Some(_) => self.used = FILE_HEAD,
            None => self.skip(
                self.buffer.len().min(FILE_HEAD),
                "the file's head is damaged",
            ),
        }
        Ok(true)
    }

    fn next(&mut self) -> Result<Step, ReadError> {
        loop {
            if let Some((from, to, context)) = self.frame {
                let mut decoder = Decoder::new(&self.buffer[from..to], context);
                match decoder.next() {
                    Ok(Some((at, entry))) => {
                        let (rest, context) = decoder.state();
                        self.frame = Some((to - rest, to, context));
                        return Ok(Step::Entry(at, entry));
                    }
                    Ok(None) => self.frame = None,
                    Err(e) => {
                        self.frame = None;
                        self.unreadable(from, to, e);
                        return Ok(Step::Damaged);
                    }
                }
                self.used = to;
            }
            if self.open.is_none() && !self.next_file()? {
                return Ok(Step::End);
            }
            match find(&self.buffer[self.used..]) {
                Found::Frame(frame) => {
                    if let Some(step) = self.begin(frame) {
                        return Ok(step);
                    }
                }
                Found::No(count) => self.skip(count, "no frame with a fitting checksum"),
                Found::More(_) => {
                    let path = self
                        .open
                        .as_ref()
                        .map(|(_, path)| path.clone())
                        .unwrap_or_default();
                    if self.fill().map_err(|error| ReadError::Io { path, error })? {
                        continue;
                    }
                    if self.buffer.len() > self.used {
                        if self.follow && self.files.is_empty() {
                            return Ok(Step::End);
                        }
                        self.skip(1, "a frame that isn't whole");
                        continue;
                    }
                    if self.follow && self.files.is_empty() {
                        return Ok(Step::End);
                    }
                    let damaged = self.skipped.take();
                    self.close();
                    if let Some(problem) = damaged {
                        self.problems.push(problem);
                        return Ok(Step::Damaged);
                    }
                }
            }
        }
    }

    /// A frame was found: it is read, unless it was read before or is another start's.
    fn begin(&mut self, frame: Frame) -> Option<Step> {
        let whole = FRAME_HEAD + frame.length;
        if frame.epoch != self.epoch || frame.number <= self.last_frame {
            self.skip(whole, "a frame that was read before, or of another start");
            return None;
        }
        let missing = self.last_frame > 0 && frame.number > self.last_frame + 1;
        let damaged = self.skipped.take();
        let from = self.used + FRAME_HEAD;
        self.last_frame = frame.number;
        self.frame = Some((from, self.used + whole, frame.context()));
        let file = self
            .open
            .as_ref()
            .map(|(_, path)| path.clone())
            .unwrap_or_default();
        match damaged {
            Some(problem) => self.problems.push(problem),
            None if missing => self.problems.push(Problem {
                file,
                from: self.at + self.used as u64,
                bytes: 0,
                what: "frames before this are missing".into(),
            }),
            None => return None,
        }
        Some(Step::Damaged)
    }

    fn unreadable(&mut self, from: usize, to: usize, e: DecodeError) {
        let file = self
            .open
            .as_ref()
            .map(|(_, path)| path.clone())
            .unwrap_or_default();
        let (from, bytes) = (self.at + from as u64, (to - from) as u64);
        self.problems.push(Problem {
            file,
            from,
            bytes,
            what: e.to_string(),
        });
        self.used = to;
    }
}

/// A start of a gateway, and its segments: number, path and size of each.
type Segments = BTreeMap<(Micros, String, PathBuf), Vec<(u64, PathBuf, u64)>>;

/// All records of some directories as one stream, by time.
pub struct Merged {
    sources: Vec<Source>,
    streams: Vec<Stream>,
    /// What each stream has to tell next; the first of the heap is told next.
    heads: Vec<Option<ReadContent>>,
    heap: BinaryHeap<Reverse<(Micros, usize)>>,
    directories: Vec<PathBuf>,
    follow: bool,
    /// The last time told by each source: damage is told at that.
    last: Vec<Micros>,
    /// Segments that another one follows up to this time are passed over.
    skip_before: Micros,
}

impl Merged {
    pub fn open(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::with(directories, false)
    }

    /// Reads also what is still being written: [`Merged::next`] tells nothing where there is
    /// nothing yet.
    pub fn follow(directories: &[PathBuf]) -> Result<Self, ReadError> {
        Self::with(directories, true)
    }

    /// Reads from a time on: each record from the beginning of its last segment that begins no
    /// later. Starts that had ended before are left out.
    pub fn open_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        Self::with_from(directories, false, from)
    }

    /// Both: from a time on, and what is still being written.
    pub fn follow_from(directories: &[PathBuf], from: Micros) -> Result<Self, ReadError> {
        Self::with_from(directories, true, from)
    }

    /// The time of the last frame of all: a look at the last file of each record.
    pub fn last_at(&self) -> Result<Micros, ReadError> {
        let mut last = self.last.iter().copied().max().unwrap_or(0);
        for stream in &self.streams {
            let Some(path) = stream
                .files
                .back()
                .or(stream.open.as_ref().map(|(_, path)| path))
            else {
                continue;
            };
            let bytes = std::fs::read(path).map_err(|error| ReadError::Io {
                path: path.clone(),
                error,
            })?;
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                rest = match find(rest) {
                    Found::Frame(frame) => {
                        last = last.max(frame.first_at);
                        &rest[FRAME_HEAD + frame.length..]
                    }
                    Found::No(count) => &rest[count.min(rest.len())..],
                    Found::More(_) => &rest[1..],
                };
            }
        }
        Ok(last)
    }

    fn with(directories: &[PathBuf], follow: bool) -> Result<Self, ReadError> {
        Self::with_from(directories, follow, 0)
    }

    fn with_from(directories: &[PathBuf], follow: bool, from: Micros) -> Result<Self, ReadError> {
        let mut merged = Merged {
            sources: Vec::new(),
            streams: Vec::new(),
            heads: Vec::new(),
            heap: BinaryHeap::new(),
            directories: directories.to_vec(),
            follow,
            last: Vec::new(),
            skip_before: from,
        };
        merged.look()?;
        if merged.sources.is_empty() && !follow {
            let path = directories.first().cloned().unwrap_or_default();
            return Err(ReadError::Nothing { path });
        }
        Ok(merged)
    }

    /// Looks for new segments and new starts.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn look(&mut self) -> Result<(), ReadError> {
        let mut found = Segments::new();
        for directory in &self.directories {
            let unusable = |error| ReadError::Io {
                path: directory.clone(),
                error,
            };
            for file in std::fs::read_dir(directory).map_err(unusable)? {
                let file = file.map_err(unusable)?;
                let path = file.path();
                let Some((name, epoch, segment)) = read_file_name(&path) else {
                    continue;
                };
                let size = file.metadata().map_or(0, |data| data.len());
                found
                    .entry((epoch, name, directory.clone()))
                    .or_default()
                    .push((segment, path, size));
            }
        }
        for ((epoch, name, directory), mut files) in found {
            files.sort();
            let bytes = files.iter().map(|(_, _, size)| size).sum();
            let source = Source {
                name,
                epoch,
                directory,
                bytes,
            };
            let known = |own: &Source| (own.epoch, &own.name) == (epoch, &source.name);
            match self.sources.iter().position(known) {
                Some(at) => {
                    let stream = &mut self.streams[at];
                    let last = stream
                        .files
                        .back()
                        .or(stream.open.as_ref().map(|(_, path)| path))
                        .cloned();
                    let newer = files.into_iter().map(|(_, path, _)| path);
                    stream
                        .files
                        .extend(newer.filter(|path| last.as_ref().is_some_and(|last| path > last)));
                    self.sources[at].bytes = bytes;
                }
                None => {
                    self.pass_over(&mut files);
                    self.streams.push(Stream {
                        files: files.into_iter().map(|(_, path, _)| path).collect(),
                        open: None,
                        buffer: Vec::with_capacity(CHUNK + FRAME_HEAD + MAX_PAYLOAD / 4),
                        at: 0,
                        used: 0,
                        frame: None,
                        epoch,
                        last_frame: 0,
                        skipped: None,
                        problems: Vec::new(),
                        follow: self.follow,
                    });
                    self.sources.push(source);
                    self.heads.push(None);
                    self.last.push(epoch);
                    self.advance(self.sources.len() - 1)?;
                }
            }
        }
        Ok(())
    }

    /// Drops segments before the last that begins no later than what is wanted.
    fn pass_over(&self, files: &mut Vec<(u64, PathBuf, u64)>) {
        if self.skip_before == 0 {
            return;
        }
        let early = |path: &Path| begins(path).is_some_and(|at| at <= self.skip_before);
        // They begin one after the other, so half of those left can be passed over at each look.
        let first = files.partition_point(|(_, path, _)| early(path));
        files.drain(..first.saturating_sub(1));
    }

    pub fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// What was skipped so far, by source.
    pub fn problems(&self) -> impl Iterator<Item = (usize, &Problem)> {
        self.streams
            .iter()
            .enumerate()
            .flat_map(|(at, stream)| stream.problems.iter().map(move |p| (at, p)))
    }

    fn advance(&mut self, at: usize) -> Result<(), ReadError> {
        let (time, what) = match self.streams[at].next()? {
            Step::Entry(time, entry) => (time, ReadContent::Entry(entry)),
            Step::Damaged => (self.last[at], ReadContent::Damaged),
            Step::End => return Ok(()),
        };
        self.last[at] = time;
        self.heads[at] = Some(what);
        self.heap.push(Reverse((time, at)));
        Ok(())
    }

    /// The next entry of all; nothing at the end, or, where the records are followed, for now.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<ReadEntry>, ReadError> {
        loop {
            if let Some(Reverse((at, source))) = self.heap.pop() {
                let what = self.heads[source].take();
                self.advance(source)?;
                match what {
                    Some(what) => return Ok(Some(ReadEntry { source, at, what })),
                    None => continue,
                }
            }
            if !self.follow {
                return Ok(None);
            }
            self.look()?;
            for source in 0..self.streams.len() {
                if self.heads[source].is_none() {
                    self.advance(source)?;
                }
            }
            if self.heap.is_empty() {
                return Ok(None);
            }
        }
    }
}

/// When a segment begins, by its first frame.
fn begins(path: &Path) -> Option<Micros> {
    let mut head = Vec::new();
    File::open(path)
        .ok()?
        .take((FILE_HEAD + FRAME_HEAD) as u64)
        .read_to_end(&mut head)
        .ok()?;
    frame_begins(head.get(FILE_HEAD..)?)
}

/// Whether a path is a directory that may hold records, for a clear message before anything is
/// read.
pub fn is_directory(path: &Path) -> bool {
    path.is_dir()
}
