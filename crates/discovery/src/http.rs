//! As much of HTTP/1.1 as one streamed response needs: the head, by httparse, then a plain or
//! chunked body.

use crate::StreamError;

/// Bytes of the longest head of a response, and of a chunk.
pub const MAX_HEAD: usize = 16 << 10;
/// Headers of a response.
const MAX_HEADERS: usize = 64;

/// The request for all events after one.
pub fn request(host: &str, after: u64) -> String {
    format!(
        "GET /bulletins HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {after}\r\n\r\n"
    )
}

/// Takes a piece of the body.
type BodySink<'a> = dyn FnMut(&[u8]) -> Result<(), StreamError> + 'a;

/// What of a response comes next.
#[derive(Clone, Copy, Default)]
enum Part {
    #[default]
    Head,
    /// A body until the connection ends.
    Unbounded,
    /// A body of so many bytes more.
    Sized(u64),
    ChunkHead,
    /// So many bytes more of a chunk.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    Over,
}

/// The response so far: which part comes next, and the beginning of that where it isn't whole.
#[derive(Default)]
pub(crate) struct Body {
    part: Part,
    buffer: Vec<u8>,
}

/// A line without its end.
struct Line {
    text: Vec<u8>,
    /// Bytes of the input that belong to it.
    used: usize,
}

impl Body {
    pub(crate) fn is_over(&self) -> bool {
        matches!(self.part, Part::Over)
    }

    /// Reads the next bytes; what is body goes to `sink`.
    pub(crate) fn read(
        &mut self,
        mut bytes: &[u8],
        sink: &mut BodySink<'_>,
    ) -> Result<(), StreamError> {
        while !bytes.is_empty() {
            let used = match self.part {
                Part::Head => self.read_head(bytes)?,
                Part::Unbounded => return sink(bytes),
                Part::Sized(left) => {
                    let used = read_sized(bytes, left, sink)?;
                    let left = left - used as u64;
                    self.part = if left == 0 {
                        Part::Over
                    } else {
                        Part::Sized(left)
                    };
                    Some(used)
                }
                Part::Chunk(left) => {
                    let used = read_sized(bytes, left, sink)?;
                    let left = left - used as u64;
                    self.part = if left == 0 {
                        Part::ChunkEnd
                    } else {
                        Part::Chunk(left)
                    };
                    Some(used)
                }
                Part::ChunkHead => self.read_chunk_head(bytes)?,
                Part::ChunkEnd => self.read_chunk_end(bytes)?,
                // Trailers, or what nobody asked for.
                Part::Over => return Ok(()),
            };
            match used {
                Some(used) => bytes = &bytes[used..],
                None => return Ok(()),
            }
        }
        Ok(())
    }

    /// Reads the head; once it is whole, gives how many of `bytes` belong to it.
    fn read_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, StreamError> {
        let before = self.buffer.len();
        let taken = bytes.len().min(MAX_HEAD + 1 - before);
        self.buffer.extend_from_slice(&bytes[..taken]);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(&self.buffer).map_err(StreamError::Head)?;
        let httparse::Status::Complete(length) = status else {
            return if self.buffer.len() > MAX_HEAD {
                Err(StreamError::HeadTooLong)
            } else {
                Ok(None)
            };
        };
        self.part = body_part(&response)?;
        self.buffer = Vec::new();
        Ok(Some(length - before))
    }

    fn read_chunk_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, StreamError> {
        let Some(line) = self.read_line(bytes)? else {
            return Ok(None);
        };
        self.part = match parse_chunk_size(&line.text)? {
            0 => Part::Over,
            size => Part::Chunk(size),
        };
        Ok(Some(line.used))
    }

    fn read_chunk_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, StreamError> {
        let Some(line) = self.read_line(bytes)? else {
            return Ok(None);
        };
        if !line.text.is_empty() {
            return Err(StreamError::ChunkTooLong);
        }
        self.part = Part::ChunkHead;
        Ok(Some(line.used))
    }

    /// Reads a line, and gives it once it is whole.
    fn read_line(&mut self, bytes: &[u8]) -> Result<Option<Line>, StreamError> {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        if self.buffer.len() + used > MAX_HEAD {
            return Err(StreamError::ChunkHeadTooLong);
        }
        self.buffer.extend_from_slice(&bytes[..used]);
        if end.is_none() {
            return Ok(None);
        }
        let mut text = std::mem::take(&mut self.buffer);
        text.pop();
        if text.last() == Some(&b'\r') {
            text.pop();
        }
        Ok(Some(Line { text, used }))
    }
}

/// Hands on as much of a body or chunk as has come, and gives how much that was.
fn read_sized(bytes: &[u8], left: u64, sink: &mut BodySink<'_>) -> Result<usize, StreamError> {
    let left = usize::try_from(left).unwrap_or(usize::MAX);
    let used = bytes.len().min(left);
    sink(&bytes[..used])?;
    Ok(used)
}

/// How the body of a response is framed.
fn body_part(response: &httparse::Response<'_, '_>) -> Result<Part, StreamError> {
    if response.code != Some(200) {
        return Err(StreamError::Status(response.code.unwrap_or(0)));
    }
    let encoding = header(response, "transfer-encoding");
    if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
        return Ok(Part::ChunkHead);
    }
    let Some(length) = header(response, "content-length") else {
        return Ok(Part::Unbounded);
    };
    match length.parse() {
        Ok(0) => Ok(Part::Over),
        Ok(size) => Ok(Part::Sized(size)),
        Err(_) => Err(StreamError::ContentLength(length.to_string())),
    }
}

fn header<'a>(response: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let mut headers = response.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// The hexadecimal size of a chunk, before its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, StreamError> {
    let size = line.split(|&byte| byte == b';').next().unwrap_or(&[]);
    let digits = std::str::from_utf8(size.trim_ascii()).unwrap_or("");
    // The parser takes a sign, too.
    if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(StreamError::ChunkSize);
    }
    u64::from_str_radix(digits, 16).map_err(|_| StreamError::ChunkSize)
}
