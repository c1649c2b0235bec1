//! Server-sent events, as the HTML standard words them: lines, fields, an empty line ends an event.

use crate::http::Malformed;

/// The longest line and the longest event: a whole list of thousands of engines fits.
pub const MAX_EVENT: usize = 4 << 20;

#[derive(Debug, PartialEq)]
pub enum StreamEvent {
    Event {
        id: Option<u64>,
        data: String,
    },
    /// A comment: the stream lives.
    Comment,
}

#[derive(Default)]
pub(crate) struct Events {
    line: Vec<u8>,
    /// The last byte was a carriage return: a line feed that follows belongs to it.
    returned: bool,
    begun: bool,
    id: Option<u64>,
    data: String,
}

impl Events {
    pub fn take(&mut self, bytes: &[u8], heard: &mut Vec<StreamEvent>) -> Result<(), Malformed> {
        for &byte in bytes {
            let after_return = std::mem::replace(&mut self.returned, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => self.end_line(heard)?,
                byte => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT {
                return Err(Malformed("an event is too long".into()));
            }
        }
        Ok(())
    }

    fn end_line(&mut self, heard: &mut Vec<StreamEvent>) -> Result<(), Malformed> {
        let mut line = std::mem::take(&mut self.line);
        let text =
            std::str::from_utf8(&line).map_err(|_| Malformed("a line is not UTF-8".into()))?;
        let text = if self.begun {
            text
        } else {
            text.trim_start_matches('\u{feff}')
        };
        self.begun = true;
        match text.split_once(':') {
            None if text.is_empty() => self.end_event(heard),
            Some(("", _)) => heard.push(StreamEvent::Comment),
            found => {
                let (name, value) = found.unwrap_or((text, ""));
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
        }
        line.clear();
        self.line = line;
        Ok(())
    }

    fn end_event(&mut self, heard: &mut Vec<StreamEvent>) {
        let mut data = std::mem::take(&mut self.data);
        let id = self.id.take();
        if data.pop().is_some() {
            heard.push(StreamEvent::Event { id, data });
        }
    }
}
