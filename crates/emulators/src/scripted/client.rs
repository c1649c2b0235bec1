//! A client that asks what it is told to, and the bytes of what it says and is answered.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use super::{assert_closed, patient};

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

/// An answer of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole result.
    Result {
        /// The number of its question.
        id: u64,
        /// What the statement gave.
        body: Vec<u8>,
    },
    /// A part of a result, with fields that say how it goes on.
    Part {
        /// The number of its question.
        id: u64,
        /// What the statement gave.
        body: Vec<u8>,
        /// Fields by name.
        fields: Vec<(String, String)>,
    },
    /// An error, by its word.
    Error {
        /// The number of its question.
        id: u64,
        /// The word.
        word: String,
        /// Fields by name.
        fields: Vec<(String, String)>,
    },
    /// Whether the gateway is well.
    Health {
        /// The number of its question.
        id: u64,
        /// Whether it is.
        well: bool,
    },
}

impl Client {
    /// Connects to a gateway.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Client {
            stream: BufReader::new(patient(TcpStream::connect(address)?)?),
        })
    }

    /// Asks for a statement's result.
    pub fn call(
        &mut self,
        id: u64,
        class: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.write_raw(&call(id, class, fields, body))
    }

    /// Takes a request back.
    pub fn forget(&mut self, id: u64) -> io::Result<()> {
        self.write_raw(&forget(id))
    }

    /// Reads what is answered, until the gateway has ended the connection.
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

    /// Asks whether the gateway is well.
    pub fn ask_health(&mut self, id: u64) -> io::Result<()> {
        self.ask(id, "isWell", &[])
    }

    /// A question without a body.
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

    /// Writes bytes as they are.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// The next answer; an error of kind `UnexpectedEof` once the gateway has closed the
    /// connection.
    pub fn answer(&mut self) -> io::Result<Answer> {
        read_answer(&mut self.stream)
    }
}

/// The first answer in some bytes and its length, or nothing where it isn't whole.
pub fn parse_answer(bytes: &[u8]) -> io::Result<Option<(Answer, usize)>> {
    let mut rest = bytes;
    match read_answer(&mut rest) {
        Ok(answer) => Ok(Some((answer, bytes.len() - rest.len()))),
        Err(_) if rest.is_empty() => Ok(None),
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
        Err(e) => Err(e),
    }
}

fn read_answer(input: &mut impl BufRead) -> io::Result<Answer> {
    let wrong = |what: &str| io::Error::other(format!("no answer: {what}"));
    if input.fill_buf()?.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    fn array(input: &mut impl BufRead) -> io::Result<u32> {
        rmp::decode::read_array_len(input).map_err(|e| io::Error::other(e.to_string()))
    }
    if array(input)? != 4 || rmp::decode::read_int::<u64, _>(input).ok() != Some(1) {
        return Err(wrong("its head"));
    }
    let id = rmp::decode::read_int(input).map_err(|e| wrong(&e.to_string()))?;
    if input.fill_buf()?.first() == Some(&0xc0) {
        input.consume(1);
        array(input)?;
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
        let length = rmp::decode::read_bin_len(input).map_err(|e| wrong(&e.to_string()))?;
        let mut body = vec![0; length as usize];
        input.read_exact(&mut body)?;
        let fields = read_map(input)?;
        return Ok(if fields.is_empty() {
            Answer::Result { id, body }
        } else {
            Answer::Part { id, body, fields }
        });
    }
    array(input)?;
    let word = read_text(input)?;
    let fields = read_map(input)?;
    input.read_exact(&mut [0])?;
    Ok(Answer::Error { id, word, fields })
}

/// The bytes of one request.
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

/// The bytes that take a request back.
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
