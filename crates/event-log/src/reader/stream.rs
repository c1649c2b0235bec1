//! Reads the segments of one run of one gateway, one after the other.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use super::{io_error, Problem, ProblemKind, ReadError};
use crate::codec::{Context, Decoder, DecoderPosition};
use crate::entry::Entry;
use crate::frame::{
    decode_file_header, find_frame, FrameHeader, FrameSearch, FILE_HEADER_BYTES,
    FRAME_HEADER_BYTES, MAX_PAYLOAD, VERSION,
};

/// Maximum number of bytes that one call reads from a file.
const CHUNK_BYTES: usize = 256 << 10;

/// Reads the entries of one run of one gateway. It owns the open file and one buffer.
pub struct SegmentStream {
    files: VecDeque<PathBuf>,
    open: Option<OpenFile>,
    buffer: Vec<u8>,
    /// Offset in the file of the first byte of the buffer.
    buffer_position: u64,
    /// Number of bytes at the start of the buffer that are already processed.
    consumed: usize,
    frame: Option<FrameRest>,
    epoch: Micros,
    last_frame: u64,
    /// The part that is being skipped. It grows until a frame is found.
    skipped: Option<Problem>,
    problems: Vec<Problem>,
    /// Whether the files may still grow, so that an incomplete end is not a problem.
    is_following: bool,
}

struct OpenFile {
    file: File,
    path: PathBuf,
}

/// The part of a frame that isn't decoded yet, as a range of the buffer.
#[derive(Clone, Copy)]
struct FrameRest {
    start: usize,
    end: usize,
    context: Context,
}

/// The result of one step of a stream.
pub enum Step {
    /// An entry and its time.
    Entry(Micros, Entry),
    /// A part before this position could not be read.
    Damaged,
    /// The end of the log; for logs that are still being written, there may be more later.
    End,
}

impl SegmentStream {
    pub fn new(epoch: Micros, files: VecDeque<PathBuf>, is_following: bool) -> Self {
        SegmentStream {
            files,
            open: None,
            buffer: Vec::with_capacity(CHUNK_BYTES + FRAME_HEADER_BYTES + MAX_PAYLOAD / 4),
            buffer_position: 0,
            consumed: 0,
            frame: None,
            epoch,
            last_frame: 0,
            skipped: None,
            problems: Vec::new(),
            is_following,
        }
    }

    /// Returns the parts skipped so far.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the last known file that isn't read to its end yet.
    pub fn last_file(&self) -> Option<&Path> {
        let open = self.open.as_ref().map(|open| &open.path);
        self.files.back().or(open).map(PathBuf::as_path)
    }

    /// Adds the files that follow the last known one.
    pub fn add_newer_files(&mut self, files: impl Iterator<Item = PathBuf>) {
        let Some(last) = self.last_file().map(Path::to_path_buf) else {
            return;
        };
        self.files.extend(files.filter(|path| *path > last));
    }

    /// Reads the next entry.
    pub fn next_step(&mut self) -> Result<Step, ReadError> {
        loop {
            if let Some(step) = self.decode_entry() {
                return Ok(step);
            }
            if self.open.is_none() && !self.open_next_file()? {
                return Ok(Step::End);
            }
            if let Some(step) = self.search_frame()? {
                return Ok(step);
            }
        }
    }

    /// Decodes the next entry of the current frame; `None` if the frame has no further entry.
    fn decode_entry(&mut self) -> Option<Step> {
        let frame = self.frame?;
        let mut decoder = Decoder::new(&self.buffer[frame.start..frame.end], frame.context);
        match decoder.next_entry() {
            Ok(Some((at, entry))) => {
                let DecoderPosition { remaining, context } = decoder.position();
                self.frame = Some(FrameRest {
                    start: frame.end - remaining,
                    end: frame.end,
                    context,
                });
                Some(Step::Entry(at, entry))
            }
            Ok(None) => {
                self.frame = None;
                self.consumed = frame.end;
                None
            }
            Err(error) => {
                self.frame = None;
                self.consumed = frame.end;
                self.problems.push(Problem {
                    file: self.open_path(),
                    from: self.buffer_position + frame.start as u64,
                    bytes: (frame.end - frame.start) as u64,
                    kind: ProblemKind::Undecodable(error),
                });
                Some(Step::Damaged)
            }
        }
    }

    /// Searches the buffer for the next frame, and reads more of the file if it is incomplete.
    fn search_frame(&mut self) -> Result<Option<Step>, ReadError> {
        match find_frame(&self.buffer[self.consumed..]) {
            FrameSearch::Frame(frame) => Ok(self.start_frame(frame)),
            FrameSearch::NotFound(count) => {
                self.skip(count, ProblemKind::NoValidFrame);
                Ok(None)
            }
            FrameSearch::Incomplete(_) => self.read_more(),
        }
    }

    /// Starts decoding a frame, unless it was read before or belongs to another run.
    fn start_frame(&mut self, frame: FrameHeader) -> Option<Step> {
        let length = FRAME_HEADER_BYTES + frame.length;
        if frame.epoch != self.epoch || frame.number <= self.last_frame {
            self.skip(length, ProblemKind::DuplicateFrame);
            return None;
        }
        let are_frames_missing = self.last_frame > 0 && frame.number > self.last_frame + 1;
        self.last_frame = frame.number;
        self.frame = Some(FrameRest {
            start: self.consumed + FRAME_HEADER_BYTES,
            end: self.consumed + length,
            context: frame.context(),
        });
        if let Some(problem) = self.skipped.take() {
            self.problems.push(problem);
            return Some(Step::Damaged);
        }
        if are_frames_missing {
            self.problems.push(Problem {
                file: self.open_path(),
                from: self.buffer_position + self.consumed as u64,
                bytes: 0,
                kind: ProblemKind::MissingFrames,
            });
            return Some(Step::Damaged);
        }
        None
    }

    /// Reads more of the file, or closes it at its end.
    fn read_more(&mut self) -> Result<Option<Step>, ReadError> {
        if self.fill()? {
            return Ok(None);
        }
        if self.is_following && self.files.is_empty() {
            return Ok(Some(Step::End));
        }
        if self.buffer.len() > self.consumed {
            self.skip(1, ProblemKind::IncompleteFrame);
            return Ok(None);
        }
        self.close_file();
        let Some(problem) = self.skipped.take() else {
            return Ok(None);
        };
        self.problems.push(problem);
        Ok(Some(Step::Damaged))
    }

    /// Marks the next bytes of the buffer as skipped.
    fn skip(&mut self, count: usize, kind: ProblemKind) {
        let from = self.buffer_position + self.consumed as u64;
        self.consumed += count;
        match &mut self.skipped {
            Some(problem) => problem.bytes += count as u64,
            None => {
                self.skipped = Some(Problem {
                    file: self.open_path(),
                    from,
                    bytes: count as u64,
                    kind,
                });
            }
        }
    }

    fn open_path(&self) -> PathBuf {
        let path = self.open.as_ref().map(|open| open.path.clone());
        path.unwrap_or_default()
    }

    // ---- Files ----

    /// Opens the next file. Returns false if there is none.
    fn open_next_file(&mut self) -> Result<bool, ReadError> {
        let Some(path) = self.files.pop_front() else {
            return Ok(false);
        };
        let file = File::open(&path).map_err(io_error(&path))?;
        self.open = Some(OpenFile {
            file,
            path: path.clone(),
        });
        while self.buffer.len() < FILE_HEADER_BYTES && self.fill()? {}
        if self.buffer.len() < FILE_HEADER_BYTES && self.is_following && self.files.is_empty() {
            // The writer has created the file but not written its header yet.
            self.close_file();
            self.files.push_front(path);
            return Ok(false);
        }
        match decode_file_header(&self.buffer) {
            Some(version) if version > VERSION => {
                return Err(ReadError::UnsupportedVersion { path, version });
            }
            Some(_) => self.consumed = FILE_HEADER_BYTES,
            None => {
                let length = self.buffer.len().min(FILE_HEADER_BYTES);
                self.skip(length, ProblemKind::FileHeaderDamaged);
            }
        }
        Ok(true)
    }

    fn close_file(&mut self) {
        self.open = None;
        self.buffer.clear();
        self.buffer_position = 0;
        self.consumed = 0;
    }

    /// Removes processed bytes from the buffer and appends more of the file. Returns false if the
    /// file contains no more bytes at this time.
    fn fill(&mut self) -> Result<bool, ReadError> {
        let Some(open) = &mut self.open else {
            return Ok(false);
        };
        self.buffer.drain(..self.consumed);
        self.buffer_position += self.consumed as u64;
        self.consumed = 0;
        let before = self.buffer.len();
        (&mut open.file)
            .take(CHUNK_BYTES as u64)
            .read_to_end(&mut self.buffer)
            .map_err(io_error(&open.path))?;
        Ok(self.buffer.len() > before)
    }
}
