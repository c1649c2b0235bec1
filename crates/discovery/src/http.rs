//! The part of HTTP/1.1 that one streamed response needs: the head, parsed by `httparse`, and a
//! body that is chunked, has a length, or ends with the connection.

use crate::StreamError;

/// Maximum length in bytes of the head of a response, and of the size line of a chunk.
pub const MAX_HEAD: usize = 16 << 10;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Returns the request for all events with a number greater than `after`.
pub fn request(host: &str, after: u64) -> String {
    format!(
        "GET /bulletins HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {after}\r\n\r\n"
    )
}

/// Receives each piece of the body, without the chunk framing.
type BodySink<'a> = dyn FnMut(&[u8]) -> Result<(), StreamError> + 'a;

/// The part of a response that the next bytes belong to.
#[derive(Clone, Copy, Default)]
enum Part {
    #[default]
    Head,
    /// A body that ends when the connection is closed.
    UntilClose,
    /// A body with this many bytes left.
    Sized(u64),
    /// The size line of a chunk.
    ChunkHead,
    /// The data of a chunk, with this many bytes left.
    Chunk(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// After the end of the body.
    Complete,
}

/// An incremental parser for one response.
#[derive(Default)]
pub(crate) struct Body {
    part: Part,
    /// The bytes of an incomplete head or line.
    buffer: Vec<u8>,
}

/// A line without its line end.
struct Line {
    text: Vec<u8>,
    /// Number of bytes of the latest input that belong to the line, including the line end.
    used: usize,
}

impl Body {
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.part, Part::Complete)
    }

    /// Parses the next bytes of the response and passes those of the body to `sink`.
    pub(crate) fn read(
        &mut self,
        mut bytes: &[u8],
        sink: &mut BodySink<'_>,
    ) -> Result<(), StreamError> {
        while !bytes.is_empty() {
            let used = match self.part {
                Part::Head => self.read_head(bytes)?,
                Part::UntilClose => return sink(bytes),
                Part::Sized(left) => {
                    let used = read_sized(bytes, left, sink)?;
                    let left = left - used as u64;
                    self.part = if left == 0 {
                        Part::Complete
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
                // Ignores trailers, and bytes that the server sends after the response.
                Part::Complete => return Ok(()),
            };
            match used {
                Some(used) => bytes = &bytes[used..],
                None => return Ok(()),
            }
        }
        Ok(())
    }

    /// Returns the number of `bytes` that belong to the head, or `None` if the head is incomplete.
    fn read_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, StreamError> {
        let buffered = self.buffer.len();
        let appended = bytes.len().min(MAX_HEAD + 1 - buffered);
        self.buffer.extend_from_slice(&bytes[..appended]);
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
        Ok(Some(length - buffered))
    }

    fn read_chunk_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, StreamError> {
        let Some(line) = self.read_line(bytes)? else {
            return Ok(None);
        };
        self.part = match parse_chunk_size(&line.text)? {
            0 => Part::Complete,
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

    /// Returns the next line, or `None` if its line end has not arrived.
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

/// Passes at most `left` bytes to `sink` and returns their count.
fn read_sized(bytes: &[u8], left: u64, sink: &mut BodySink<'_>) -> Result<usize, StreamError> {
    let left = usize::try_from(left).unwrap_or(usize::MAX);
    let used = bytes.len().min(left);
    sink(&bytes[..used])?;
    Ok(used)
}

/// Determines from the headers how the body is framed.
fn body_part(response: &httparse::Response<'_, '_>) -> Result<Part, StreamError> {
    if response.code != Some(200) {
        return Err(StreamError::Status(response.code.unwrap_or(0)));
    }
    let encoding = header(response, "transfer-encoding");
    if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
        return Ok(Part::ChunkHead);
    }
    let Some(length) = header(response, "content-length") else {
        return Ok(Part::UntilClose);
    };
    match length.parse() {
        Ok(0) => Ok(Part::Complete),
        Ok(size) => Ok(Part::Sized(size)),
        Err(_) => Err(StreamError::ContentLength(length.to_string())),
    }
}

fn header<'a>(response: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let mut headers = response.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Parses the hexadecimal size of a chunk. Extensions after a `;` are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, StreamError> {
    let size = line.split(|&byte| byte == b';').next().unwrap_or(&[]);
    let digits = std::str::from_utf8(size.trim_ascii()).unwrap_or("");
    // `from_str_radix` would also accept a sign.
    if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(StreamError::ChunkSize);
    }
    u64::from_str_radix(digits, 16).map_err(|_| StreamError::ChunkSize)
}
