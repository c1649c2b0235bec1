//! As much of HTTP/1.1 as one streamed response needs: the head, by httparse, then a plain or
//! chunked body.

use std::fmt;

/// The longest head of a response, and of a chunk.
pub const MAX_HEAD: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// A response that can't be read; the connection is of no further use.
#[derive(Clone, Debug, PartialEq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// The request for all events after one.
pub fn request(host: &str, after: u64) -> String {
    format!(
        "GET /bulletins HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {after}\r\n\r\n"
    )
}

#[derive(Default)]
enum Part {
    #[default]
    Head,
    /// Until the connection ends.
    Plain,
    /// So many bytes more.
    Sized(u64),
    ChunkHead,
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    Over,
}

/// The response so far: which part comes next, and the start of that where it isn't whole.
#[derive(Default)]
pub(crate) struct Body {
    part: Part,
    begun: Vec<u8>,
}

impl Body {
    pub fn is_over(&self) -> bool {
        matches!(self.part, Part::Over)
    }

    pub fn take(
        &mut self,
        mut bytes: &[u8],
        body: &mut dyn FnMut(&[u8]) -> Result<(), Malformed>,
    ) -> Result<(), Malformed> {
        while !bytes.is_empty() {
            match self.part {
                Part::Head => match self.head(bytes)? {
                    Some(used) => bytes = &bytes[used..],
                    None => return Ok(()),
                },
                Part::Plain => return body(bytes),
                Part::Sized(left) | Part::Chunk(left) => {
                    let now = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    body(&bytes[..now])?;
                    bytes = &bytes[now..];
                    let left = left - now as u64;
                    self.part = match (&self.part, left) {
                        (Part::Sized(_), 0) => Part::Over,
                        (Part::Sized(_), left) => Part::Sized(left),
                        (_, 0) => Part::ChunkEnd,
                        (_, left) => Part::Chunk(left),
                    };
                }
                Part::ChunkHead | Part::ChunkEnd => {
                    let Some((line, used)) = self.line(bytes)? else {
                        return Ok(());
                    };
                    bytes = &bytes[used..];
                    self.part = match self.part {
                        Part::ChunkEnd if line.is_empty() => Part::ChunkHead,
                        Part::ChunkEnd => {
                            return Err(Malformed("a chunk is longer than it said".into()))
                        }
                        _ => match chunk_size(&line)? {
                            0 => Part::Over,
                            size => Part::Chunk(size),
                        },
                    };
                }
                // Trailers, or what nobody asked for.
                Part::Over => return Ok(()),
            }
        }
        Ok(())
    }

    /// The head, once it is whole: how many of `bytes` belong to it.
    fn head(&mut self, bytes: &[u8]) -> Result<Option<usize>, Malformed> {
        let before = self.begun.len();
        self.begun
            .extend_from_slice(&bytes[..bytes.len().min(MAX_HEAD + 1 - before)]);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response
            .parse(&self.begun)
            .map_err(|e| Malformed(format!("the response's head: {e}")))?;
        let httparse::Status::Complete(length) = parsed else {
            return if self.begun.len() > MAX_HEAD {
                Err(Malformed("the response's head is too long".into()))
            } else {
                Ok(None)
            };
        };
        if response.code != Some(200) {
            return Err(Malformed(format!(
                "the bulletin answered {}",
                response.code.unwrap_or(0)
            )));
        }
        let header = |name: &str| {
            let found = response
                .headers
                .iter()
                .find(|header| header.name.eq_ignore_ascii_case(name));
            found
                .and_then(|header| std::str::from_utf8(header.value).ok())
                .map(str::trim)
        };
        let chunked =
            header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        self.part = match (chunked, header("content-length")) {
            (true, _) => Part::ChunkHead,
            (false, None) => Part::Plain,
            (false, Some(text)) => match text.parse() {
                Ok(0) => Part::Over,
                Ok(size) => Part::Sized(size),
                Err(_) => return Err(Malformed(format!("content-length '{text}' is no number"))),
            },
        };
        self.begun = Vec::new();
        Ok(Some(length - before))
    }

    /// A line without its end, once it is whole, and how many of `bytes` belong to it.
    fn line(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let used = end.map_or(bytes.len(), |at| at + 1);
        if self.begun.len() + used > MAX_HEAD {
            return Err(Malformed("a chunk's head is too long".into()));
        }
        self.begun.extend_from_slice(&bytes[..used]);
        if end.is_none() {
            return Ok(None);
        }
        let mut line = std::mem::take(&mut self.begun);
        line.truncate(line.len() - 1);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some((line, used)))
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line
        .split(|&byte| byte == b';')
        .next()
        .unwrap_or(&[])
        .trim_ascii();
    let text = std::str::from_utf8(digits).unwrap_or("");
    let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = if plain {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    };
    size.ok_or_else(|| Malformed("a chunk has no size".into()))
}
