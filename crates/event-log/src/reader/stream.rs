//! The segments of one start of one gateway, read one after the other.

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

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 256 << 10;

/// Reads the entries of one start of one gateway. It owns the open file and one buffer.
pub struct SegmentStream {
    files: VecDeque<PathBuf>,
    open: Option<OpenFile>,
    buffer: Vec<u8>,
    /// Position in the file at which the buffer starts.
    buffer_position: u64,
    /// Bytes of the buffer that are used up.
    used: usize,
    frame: Option<FrameRest>,
    epoch: Micros,
    last_frame: u64,
    /// What is being skipped at the moment; it grows until a frame is found.
    skipped: Option<Problem>,
    problems: Vec<Problem>,
    /// Whether the files may still grow, so that an incomplete end is not a problem.
    is_followed: bool,
}

struct OpenFile {
    file: File,
    path: PathBuf,
}

/// The entries of a frame that aren't decoded yet, as a range of the buffer.
#[derive(Clone, Copy)]
struct FrameRest {
    start: usize,
    end: usize,
    context: Context,
}

/// What a stream returns next.
pub enum Step {
    /// An entry and its time.
    Entry(Micros, Entry),
    /// Something before this could not be read.
    Damaged,
    /// The end, or the end for now.
    End,
}

impl SegmentStream {
    pub fn new(epoch: Micros, files: VecDeque<PathBuf>, is_followed: bool) -> Self {
        SegmentStream {
            files,
            open: None,
            buffer: Vec::with_capacity(CHUNK_BYTES + FRAME_HEADER_BYTES + MAX_PAYLOAD / 4),
            buffer_position: 0,
            used: 0,
            frame: None,
            epoch,
            last_frame: 0,
            skipped: None,
            problems: Vec::new(),
            is_followed,
        }
    }

    /// What was skipped so far.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// The last file that is known and not yet read to its end.
    pub fn last_file(&self) -> Option<&Path> {
        let open = self.open.as_ref().map(|open| &open.path);
        self.files.back().or(open).map(PathBuf::as_path)
    }

    /// Adds those files that come after the last one.
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

    /// Decodes the next entry of the current frame; `None` if there is none.
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
                self.used = frame.end;
                None
            }
            Err(error) => {
                self.frame = None;
                self.used = frame.end;
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

    /// Looks for a frame in the buffer, and reads on where there is none.
    fn search_frame(&mut self) -> Result<Option<Step>, ReadError> {
        match find_frame(&self.buffer[self.used..]) {
            FrameSearch::Frame(frame) => Ok(self.start_frame(frame)),
            FrameSearch::NotFound(count) => {
                self.skip(count, ProblemKind::NoValidFrame);
                Ok(None)
            }
            FrameSearch::Incomplete(_) => self.read_on(),
        }
    }

    /// Starts decoding a frame, unless it was read before or is of another start.
    fn start_frame(&mut self, frame: FrameHeader) -> Option<Step> {
        let length = FRAME_HEADER_BYTES + frame.length;
        if frame.epoch != self.epoch || frame.number <= self.last_frame {
            self.skip(length, ProblemKind::DuplicateFrame);
            return None;
        }
        let are_frames_missing = self.last_frame > 0 && frame.number > self.last_frame + 1;
        self.last_frame = frame.number;
        self.frame = Some(FrameRest {
            start: self.used + FRAME_HEADER_BYTES,
            end: self.used + length,
            context: frame.context(),
        });
        if let Some(problem) = self.skipped.take() {
            self.problems.push(problem);
            return Some(Step::Damaged);
        }
        if are_frames_missing {
            self.problems.push(Problem {
                file: self.open_path(),
                from: self.buffer_position + self.used as u64,
                bytes: 0,
                kind: ProblemKind::MissingFrames,
            });
            return Some(Step::Damaged);
        }
        None
    }

    /// Reads more of the file; at its end, ends the file.
    fn read_on(&mut self) -> Result<Option<Step>, ReadError> {
        if self.fill()? {
            return Ok(None);
        }
        if self.is_followed && self.files.is_empty() {
            return Ok(Some(Step::End));
        }
        if self.buffer.len() > self.used {
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
        let from = self.buffer_position + self.used as u64;
        self.used += count;
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
        if self.buffer.len() < FILE_HEADER_BYTES && self.is_followed && self.files.is_empty() {
            // The writer has made the file and not yet written its header.
            self.close_file();
            self.files.push_front(path);
            return Ok(false);
        }
        match decode_file_header(&self.buffer) {
            Some(version) if version > VERSION => {
                return Err(ReadError::UnsupportedVersion { path, version })
            }
            Some(_) => self.used = FILE_HEADER_BYTES,
            None => {
                let length = self.buffer.len().min(FILE_HEADER_BYTES);
                self.skip(length, ProblemKind::FileHeadDamaged);
            }
        }
        Ok(true)
    }

    fn close_file(&mut self) {
        self.open = None;
        self.buffer.clear();
        self.buffer_position = 0;
        self.used = 0;
    }

    /// Drops what is used up from the buffer and reads more behind the rest. Returns false if the
    /// file has no more now.
    fn fill(&mut self) -> Result<bool, ReadError> {
        let Some(open) = &mut self.open else {
            return Ok(false);
        };
        self.buffer.drain(..self.used);
        self.buffer_position += self.used as u64;
        self.used = 0;
        let before = self.buffer.len();
        (&mut open.file)
            .take(CHUNK_BYTES as u64)
            .read_to_end(&mut self.buffer)
            .map_err(io_error(&open.path))?;
        Ok(self.buffer.len() > before)
    }
}
