//! Server-sent events as the HTML standard defines them: each line is a field or a comment, and an
//! empty line ends an event.

use crate::StreamError;

/// Maximum length in bytes of a line and of an event. A list of thousands of engines fits.
pub const MAX_EVENT: usize = 4 << 20;

/// An event or a comment of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// An event that has data.
    Event {
        /// Sequence number of the event; `None` if the `id` field is missing or not a number.
        id: Option<u64>,
        /// The values of the `data` fields, joined with line feeds.
        data: String,
    },
    /// A comment line. The server sends these as keep-alives, so that an idle connection isn't
    /// considered dead.
    Comment,
}

/// An incremental parser for the body of the response.
#[derive(Default)]
pub(crate) struct EventParser {
    /// The bytes of the incomplete line.
    line: Vec<u8>,
    /// Whether the last byte was a carriage return. A line feed after it is part of the same line
    /// end.
    ends_in_return: bool,
    /// Whether the first line was parsed. A byte order mark is skipped only in that line.
    has_begun: bool,
    id: Option<u64>,
    data: String,
}

impl EventParser {
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
