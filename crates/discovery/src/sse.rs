//! Server-sent events, as the HTML standard words them: lines, fields, an empty line ends an event.

use crate::StreamError;

/// Bytes of the longest line and of the longest event: a list of thousands of engines fits.
pub const MAX_EVENT: usize = 4 << 20;

/// What a stream says.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// An event.
    Event {
        /// Its number.
        id: Option<u64>,
        /// Its data.
        data: String,
    },
    /// A comment, which keeps the stream alive.
    Comment,
}

/// Parses the lines of a stream.
#[derive(Default)]
pub(crate) struct Events {
    line: Vec<u8>,
    /// The last byte was a carriage return: a line feed that follows belongs to it.
    ends_in_return: bool,
    /// A line was read: no byte order mark can follow.
    has_begun: bool,
    id: Option<u64>,
    data: String,
}

impl Events {
    pub(crate) fn read(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), StreamError> {
        for &byte in bytes {
            let after_return = std::mem::replace(&mut self.ends_in_return, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => self.end_line(events)?,
                byte => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT {
                return Err(StreamError::EventTooLong);
            }
        }
        Ok(())
    }

    fn end_line(&mut self, events: &mut Vec<StreamEvent>) -> Result<(), StreamError> {
        let mut line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).map_err(|_| StreamError::NotUtf8)?;
        let text = if self.has_begun {
            text
        } else {
            text.trim_start_matches('\u{feff}')
        };
        self.has_begun = true;
        match text.split_once(':') {
            None if text.is_empty() => self.end_event(events),
            None => self.add_field(text, ""),
            Some(("", _)) => events.push(StreamEvent::Comment),
            Some((name, value)) => self.add_field(name, value),
        }
        line.clear();
        self.line = line;
        Ok(())
    }

    fn add_field(&mut self, name: &str, value: &str) {
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.parse().ok(),
            "data" => {
                self.data.push_str(value);
                self.data.push('\n');
            }
            _ => {}
        }
    }

    fn end_event(&mut self, events: &mut Vec<StreamEvent>) {
        let mut data = std::mem::take(&mut self.data);
        let id = self.id.take();
        if data.pop().is_some() {
            events.push(StreamEvent::Event { id, data });
        }
    }
}
