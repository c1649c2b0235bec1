//! A client: one connection to a gateway, on which calls are made and answers are waited for.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use crate::msgpack::Value;
use crate::record::Record;

/// What a gateway answered to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the rows and the fields.
    Served(Vec<u8>, HashMap<String, String>),
    /// An error: `TryLater` is a refusal, all others are failures.
    Error(String, HashMap<String, String>),
    /// The answer of `isWell`.
    Well(bool),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in the time that was waited.
    Nothing,
}

impl Answer {
    /// A short text for the record.
    pub fn describe(&self) -> String {
        match self {
            Answer::Served(rows, _) => format!("served, {} bytes", rows.len()),
            Answer::Error(word, fields) => format!("error {word} {fields:?}"),
            Answer::Well(is_well) => format!("isWell {is_well}"),
            Answer::Closed => "connection closed without an answer".into(),
            Answer::Nothing => "no answer".into(),
        }
    }

    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(word, _) if word == "TryLater")
    }
}

/// A connection to a gateway.
pub struct Client {
    name: String,
    stream: TcpStream,
    answers: Receiver<(u64, Answer)>,
    early: HashMap<u64, Answer>,
    is_closed: bool,
    last_id: u64,
    record: Record,
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))
            .map_err(|e| format!("{name} can't connect to {address}: {e}"))?;
        let _ = stream.set_nodelay(true);
        let (sender, answers) = channel();
        let mut input = stream.try_clone().map_err(|e| e.to_string())?;
        std::thread::spawn(move || {
            let mut bytes = Vec::new();
            let mut chunk = [0; 16384];
            while let Ok(count @ 1..) = input.read(&mut chunk) {
                bytes.extend_from_slice(&chunk[..count]);
                while let Some((value, length)) = Value::read(&bytes) {
                    bytes.drain(..length);
                    if let Some(answer) = answer_of(value) {
                        let _ = sender.send(answer);
                    }
                }
            }
        });
        Ok(Client {
            name: name.into(),
            stream,
            answers,
            early: HashMap::new(),
            is_closed: false,
            last_id: 0,
            record: record.clone(),
        })
    }

    fn send(&mut self, value: &Value) -> Result<(), String> {
        let mut bytes = Vec::new();
        value.write(&mut bytes);
        self.stream
            .write_all(&bytes)
            .map_err(|e| format!("{}: {e}", self.name))
    }

    /// Sends a request and writes it to the record. Returns its message number.
    pub fn call(
        &mut self,
        class: &str,
        fields: &[(&str, &str)],
        statement: &str,
    ) -> Result<u64, String> {
        self.record.line(&format!(
            "{} sends call {} {class} {fields:?} {statement:?}",
            self.name,
            self.last_id + 1
        ));
        self.call_quietly(class, fields, statement)
    }

    /// Sends a request. Returns its message number.
    pub fn call_quietly(
        &mut self,
        class: &str,
        fields: &[(&str, &str)],
        statement: &str,
    ) -> Result<u64, String> {
        self.last_id += 1;
        let pairs = fields
            .iter()
            .map(|(name, value)| (text(name), text(value)))
            .collect();
        let statement = Value::Bytes(statement.as_bytes().to_vec());
        self.send(&Value::Array(vec![
            Value::Uint(0),
            Value::Uint(self.last_id),
            text(class),
            Value::Array(vec![Value::Map(pairs), statement]),
        ]))?;
        Ok(self.last_id)
    }

    /// Asks whether the gateway is ready.
    pub fn is_well(&mut self) -> Result<bool, String> {
        self.last_id += 1;
        let id = self.last_id;
        self.send(&Value::Array(vec![
            Value::Uint(0),
            Value::Uint(id),
            text("isWell"),
            Value::Array(vec![Value::Map(Vec::new())]),
        ]))?;
        Ok(self.wait(id, Duration::from_secs(2)) == Answer::Well(true))
    }

    /// Gives up a call.
    pub fn forget(&mut self, id: u64) -> Result<(), String> {
        self.record
            .line(&format!("{} forgets call {id}", self.name));
        self.send(&Value::Array(vec![
            Value::Uint(2),
            text("forget"),
            Value::Array(vec![Value::Uint(id)]),
        ]))
    }

    /// Waits for the answer to a call and writes it to the record.
    pub fn wait_recorded(&mut self, id: u64, time: Duration) -> Answer {
        let answer = self.wait(id, time);
        self.record
            .line(&format!("{} call {id}: {}", self.name, answer.describe()));
        answer
    }

    fn wait(&mut self, id: u64, time: Duration) -> Answer {
        let until = Instant::now() + time;
        loop {
            if let Some(answer) = self.early.remove(&id) {
                return answer;
            }
            if self.is_closed {
                return Answer::Closed;
            }
            match self
                .answers
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok((other, answer)) => {
                    self.early.insert(other, answer);
                }
                Err(RecvTimeoutError::Timeout) => return Answer::Nothing,
                Err(RecvTimeoutError::Disconnected) => self.is_closed = true,
            }
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        self.record
            .line(&format!("{} closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn text(text: &str) -> Value {
    Value::Text(text.into())
}

fn fields_of(value: &Value) -> HashMap<String, String> {
    let Value::Map(pairs) = value else {
        return HashMap::new();
    };
    let pairs = pairs
        .iter()
        .filter_map(|(name, value)| match (name, value) {
            (Value::Text(name), Value::Text(value)) => Some((name.clone(), value.clone())),
            _ => None,
        });
    pairs.collect()
}

fn answer_of(value: Value) -> Option<(u64, Answer)> {
    let Value::Array(parts) = value else {
        return None;
    };
    let [Value::Uint(1), Value::Uint(id), error, result] = parts.as_slice() else {
        return None;
    };
    let answer = match (error, result) {
        (Value::Nil, Value::Array(result)) => match result.as_slice() {
            [Value::Bytes(rows), fields, ..] => Answer::Served(rows.clone(), fields_of(fields)),
            [Value::Bool(is_well), ..] => Answer::Well(*is_well),
            _ => return None,
        },
        (Value::Array(error), _) => match error.as_slice() {
            [Value::Text(word), fields, ..] => Answer::Error(word.clone(), fields_of(fields)),
            _ => return None,
        },
        _ => return None,
    };
    Some((*id, answer))
}
