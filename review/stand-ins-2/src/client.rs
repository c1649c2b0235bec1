//! A client: one connection to a gateway, MessagePack-RPC as on the protocol page.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::record::Record;

/// A decoded MessagePack value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Number(i64),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn text(&self) -> String {
        match self {
            Value::Bytes(bytes) => String::from_utf8_lossy(bytes).into_owned(),
            other => format!("{other:?}"),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        rows: Vec<u8>,
        fields: Vec<(String, String)>,
    },
    Error {
        word: String,
        fields: Vec<(String, String)>,
    },
    Health(bool),
}

impl Answer {
    pub fn describe(&self) -> String {
        match self {
            Answer::Served { rows, .. } => format!("served, {} bytes", rows.len()),
            Answer::Error { word, fields } => format!("error {word} {fields:?}"),
            Answer::Health(well) => format!("isWell {well}"),
        }
    }

    pub fn is_refused(&self) -> bool {
        matches!(self, Answer::Error { word, .. } if word == "TryLater")
    }

    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served { .. })
    }
}

pub struct Client {
    stream: TcpStream,
    input: Vec<u8>,
    /// The client's name, and where all that it sends and gets is noted.
    noted: Option<(String, Record)>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            input: Vec::new(),
            noted: None,
        })
    }

    /// Connects, and notes all that is sent and answered.
    pub fn noted(address: SocketAddr, name: &str, record: &Record) -> io::Result<Self> {
        let mut client = Self::connect(address)?;
        client.noted = Some((name.to_string(), record.clone()));
        Ok(client)
    }

    fn note(&self, text: &str) {
        if let Some((name, record)) = &self.noted {
            record.line(&format!("{name} {text}"));
        }
    }

    pub fn call(
        &mut self,
        id: u32,
        class: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.stream
            .write_all(&encode_call(id, class, fields, body))?;
        let fields: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        self.note(&format!("sent call {id} {class} {}", fields.join(",")));
        Ok(())
    }

    /// A call without a body, such as `isWell` or `again`.
    pub fn ask(&mut self, id: u32, method: &str, fields: &[(&str, &str)]) -> io::Result<()> {
        let mut out = vec![0x94, 0];
        push_number(&mut out, id);
        push_text(&mut out, method);
        out.push(0x91);
        push_fields(&mut out, fields);
        self.stream.write_all(&out)
    }

    /// Waits for the next answer: its message id and content. `Ok(None)`: none came in time.
    pub fn answer(&mut self, patience: Duration) -> io::Result<Option<(u32, Answer)>> {
        let until = Instant::now() + patience;
        loop {
            if let Some((value, length)) = decode(&self.input) {
                self.input.drain(..length);
                return match to_answer(&value) {
                    Some((call, answer)) => {
                        self.note(&format!("got for call {call}: {}", answer.describe()));
                        Ok(Some((call, answer)))
                    }
                    None => Err(io::Error::other(format!("no answer: {value:?}"))),
                };
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let mut chunk = [0; 65536];
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    self.note("sees the end of its connection");
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

fn to_answer(value: &Value) -> Option<(u32, Answer)> {
    let Value::List(parts) = value else {
        return None;
    };
    let [Value::Number(1), Value::Number(id), error, result] = &parts[..] else {
        return None;
    };
    let answer = match (error, result) {
        (Value::Nil, Value::List(result)) => match &result[..] {
            [Value::Bool(well), ..] => Answer::Health(*well),
            [Value::Bytes(rows), fields] => Answer::Served {
                rows: rows.clone(),
                fields: pairs(fields),
            },
            _ => return None,
        },
        (Value::List(error), Value::Nil) => Answer::Error {
            word: error.first()?.text(),
            fields: error.get(1).map(pairs).unwrap_or_default(),
        },
        _ => return None,
    };
    Some((*id as u32, answer))
}

fn pairs(value: &Value) -> Vec<(String, String)> {
    match value {
        Value::Map(pairs) => pairs
            .iter()
            .map(|(name, value)| (name.text(), value.text()))
            .collect(),
        _ => Vec::new(),
    }
}

pub fn encode_call(id: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    push_number(&mut out, id);
    push_text(&mut out, class);
    out.push(0x92);
    push_fields(&mut out, fields);
    out.push(0xc6);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(body);
    out
}

fn push_number(out: &mut Vec<u8>, number: u32) {
    out.push(0xce);
    out.extend_from_slice(&number.to_be_bytes());
}

fn push_text(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

fn push_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        push_text(out, name);
        push_text(out, value);
    }
}

fn decode(input: &[u8]) -> Option<(Value, usize)> {
    let mut reader = Reader { input, at: 0 };
    let value = reader.value()?;
    Some((value, reader.at))
}

struct Reader<'a> {
    input: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let bytes = self.input.get(self.at..self.at + count)?;
        self.at += count;
        Some(bytes)
    }

    fn number(&mut self, width: usize) -> Option<usize> {
        let bytes = self.take(width)?;
        Some(bytes.iter().fold(0, |sum, byte| sum << 8 | *byte as usize))
    }

    fn bytes(&mut self, count: usize) -> Option<Value> {
        Some(Value::Bytes(self.take(count)?.to_vec()))
    }

    fn list(&mut self, count: usize) -> Option<Value> {
        (0..count)
            .map(|_| self.value())
            .collect::<Option<_>>()
            .map(Value::List)
    }

    fn map(&mut self, count: usize) -> Option<Value> {
        (0..count)
            .map(|_| Some((self.value()?, self.value()?)))
            .collect::<Option<_>>()
            .map(Value::Map)
    }

    fn value(&mut self) -> Option<Value> {
        let head = self.number(1)?;
        match head {
            0x00..=0x7f => Some(Value::Number(head as i64)),
            0x80..=0x8f => self.map(head & 0xf),
            0x90..=0x9f => self.list(head & 0xf),
            0xa0..=0xbf => self.bytes(head & 0x1f),
            0xc0 => Some(Value::Nil),
            0xc2 => Some(Value::Bool(false)),
            0xc3 => Some(Value::Bool(true)),
            0xc4 | 0xd9 => {
                let count = self.number(1)?;
                self.bytes(count)
            }
            0xc5 | 0xda => {
                let count = self.number(2)?;
                self.bytes(count)
            }
            0xc6 | 0xdb => {
                let count = self.number(4)?;
                self.bytes(count)
            }
            0xcc => Some(Value::Number(self.number(1)? as i64)),
            0xcd => Some(Value::Number(self.number(2)? as i64)),
            0xce => Some(Value::Number(self.number(4)? as i64)),
            0xcf => Some(Value::Number(self.number(8)? as i64)),
            0xdc => {
                let count = self.number(2)?;
                self.list(count)
            }
            0xde => {
                let count = self.number(2)?;
                self.map(count)
            }
            _ => None,
        }
    }
}
