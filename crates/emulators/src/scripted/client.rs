//! A client that a test controls, and the encoding of its requests and of the gateway's answers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use super::{assert_closed, configure_stream};

/// A client's connection to a gateway.
pub struct Client {
    stream: BufReader<TcpStream>,
}

/// An answer from a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A complete result.
    Result {
        /// ID of the call that is answered.
        id: u64,
        /// The rows of the result.
        body: Vec<u8>,
    },
    /// A part of a result, with fields for requesting the rest.
    Part {
        /// ID of the call that is answered.
        id: u64,
        /// The rows of the result.
        body: Vec<u8>,
        /// Fields, as name and value.
        fields: Vec<(String, String)>,
    },
    /// An error instead of a result, such as a rejection.
    Error {
        /// ID of the call that is answered.
        id: u64,
        /// The kind of error, such as `TryLater`.
        word: String,
        /// Fields, as name and value.
        fields: Vec<(String, String)>,
    },
    /// The answer to a health check.
    Health {
        /// ID of the call that is answered.
        id: u64,
        /// Whether the gateway is healthy.
        well: bool,
    },
}

impl Client {
    /// Connects to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Client {
            stream: BufReader::new(configure_stream(TcpStream::connect(address)?)?),
        })
    }

    /// Sends a query. `id` is the call ID, `class` the query's class, `body` the statement.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn call(
        &mut self,
        id: u64,
        class: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.write_raw(&call(id, class, fields, body))
    }

    /// Cancels a query.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn forget(&mut self, id: u64) -> io::Result<()> {
        self.write_raw(&forget(id))
    }

    /// Reads all answers until the gateway closes the connection.
    ///
    /// # Panics
    ///
    /// If the gateway doesn't close the connection within [`PATIENCE`](super::PATIENCE) after an
    /// answer.
    pub fn until_closed(&mut self) -> Vec<Answer> {
        let mut answers = Vec::new();
        loop {
            match self.answer() {
                Ok(answer) => answers.push(answer),
                Err(e) => {
                    assert_closed(&e);
                    return answers;
                }
            }
        }
    }

    /// Sends a health check.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn ask_health(&mut self, id: u64) -> io::Result<()> {
        self.ask(id, "isWell", &[])
    }

    /// Sends a call without a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn ask(&mut self, id: u64, method: &str, fields: &[(&str, &str)]) -> io::Result<()> {
        let mut out = vec![0x94, 0];
        rmp::encode::write_uint(&mut out, id).map_err(io::Error::other)?;
        rmp::encode::write_str(&mut out, method).map_err(io::Error::other)?;
        out.push(0x91);
        rmp::encode::write_map_len(&mut out, fields.len() as u32).map_err(io::Error::other)?;
        for (name, value) in fields {
            rmp::encode::write_str(&mut out, name).map_err(io::Error::other)?;
            rmp::encode::write_str(&mut out, value).map_err(io::Error::other)?;
        }
        self.write_raw(&out)
    }

    /// Writes the given bytes unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads the next answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrives within [`PATIENCE`](super::PATIENCE) or it is
    /// malformed; an error of kind `UnexpectedEof` means that the gateway has closed the
    /// connection.
    pub fn answer(&mut self) -> io::Result<Answer> {
        read_answer(&mut self.stream)
    }
}

/// Parses the first answer in `bytes`. Returns the answer and its length in bytes, or `None` if the
/// answer isn't complete yet.
///
/// # Errors
///
/// Returns an error if the bytes aren't a valid answer.
pub fn parse_answer(bytes: &[u8]) -> io::Result<Option<(Answer, usize)>> {
    let mut rest = bytes;
    match read_answer(&mut rest) {
        Ok(answer) => Ok(Some((answer, bytes.len() - rest.len()))),
        Err(_) if rest.is_empty() => Ok(None),
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
        Err(e) => Err(e),
    }
}

/// Reads the next answer.
///
/// # Errors
///
/// Returns an error if the input ends or fails, or isn't a valid answer.
pub fn read_answer(input: &mut impl BufRead) -> io::Result<Answer> {
    let malformed = |what: &str| io::Error::other(format!("not a valid answer: {what}"));
    if input.fill_buf()?.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    fn read_array_len(input: &mut impl BufRead) -> io::Result<u32> {
        rmp::decode::read_array_len(input).map_err(|e| io::Error::other(e.to_string()))
    }
    if read_array_len(input)? != 4 || rmp::decode::read_int::<u64, _>(input).ok() != Some(1) {
        return Err(malformed("wrong length or type of the message"));
    }
    let id = rmp::decode::read_int(input).map_err(|e| malformed(&e.to_string()))?;
    if input.fill_buf()?.first() == Some(&0xc0) {
        input.consume(1);
        read_array_len(input)?;
        let marker = *input
            .fill_buf()?
            .first()
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        if matches!(marker, 0xc2 | 0xc3) {
            input.consume(1);
            read_map(input)?;
            return Ok(Answer::Health {
                id,
                well: marker == 0xc3,
            });
        }
        let length = rmp::decode::read_bin_len(input).map_err(|e| malformed(&e.to_string()))?;
        let mut body = vec![0; length as usize];
        input.read_exact(&mut body)?;
        let fields = read_map(input)?;
        return Ok(if fields.is_empty() {
            Answer::Result { id, body }
        } else {
            Answer::Part { id, body, fields }
        });
    }
    read_array_len(input)?;
    let word = read_text(input)?;
    let fields = read_map(input)?;
    input.read_exact(&mut [0])?;
    Ok(Answer::Error { id, word, fields })
}

/// Encodes a query: see [`Client::call`].
pub fn call(id: u64, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    // Writing to a vector cannot fail.
    let _ = rmp::encode::write_uint(&mut out, id);
    let _ = rmp::encode::write_str(&mut out, class);
    out.push(0x92);
    let _ = rmp::encode::write_map_len(&mut out, fields.len() as u32);
    for (name, value) in fields {
        let _ = rmp::encode::write_str(&mut out, name);
        let _ = rmp::encode::write_str(&mut out, value);
    }
    let _ = rmp::encode::write_bin(&mut out, body);
    out
}

/// Encodes the cancellation of a query.
pub fn forget(id: u64) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    // Writing to a vector cannot fail.
    let _ = rmp::encode::write_str(&mut out, "forget");
    out.push(0x91);
    let _ = rmp::encode::write_uint(&mut out, id);
    out
}

fn read_text(input: &mut impl BufRead) -> io::Result<String> {
    let length = rmp::decode::read_str_len(input).map_err(|e| io::Error::other(e.to_string()))?;
    let mut text = vec![0; length as usize];
    input.read_exact(&mut text)?;
    String::from_utf8(text).map_err(io::Error::other)
}

fn read_map(input: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let count = rmp::decode::read_map_len(input).map_err(|e| io::Error::other(e.to_string()))?;
    (0..count)
        .map(|_| Ok((read_text(input)?, read_text(input)?)))
        .collect()
}
