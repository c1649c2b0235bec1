//! Answers of engines.

use std::str::FromStr;

use thiserror::Error;

/// Bytes of the longest head of an answer.
pub const MAX_HEAD: usize = 4096;
/// Bytes of the longest payload: a page has no more.
pub const MAX_PAYLOAD: usize = 6000;
/// What ends a line and a payload.
const LINE_END: &[u8] = b"\r\n";

/// An answer of an engine.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// The request's id, or the tag of a probe.
    pub id: &'a str,
    /// What is answered.
    pub kind: AnswerKind,
    /// What is said of it.
    pub fields: Fields<'a>,
    /// A page of the result.
    pub payload: &'a [u8],
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A good end, with page 0.
    Ok,
    /// At capacity: it never ran.
    Busy,
    /// An error: it may have run.
    Err,
    /// The request was over already: it never ran.
    Void,
    /// Progress; it runs still.
    Note,
    /// A further page.
    Rows,
    /// The answer to a probe: the engine serves.
    Up,
    /// The answer to a probe: the engine doesn't serve.
    Down,
}

impl AnswerKind {
    fn parse(text: &str) -> Result<Self, Malformed> {
        match text {
            "OK" => Ok(AnswerKind::Ok),
            "BUSY" => Ok(AnswerKind::Busy),
            "ERR" => Ok(AnswerKind::Err),
            "VOID" => Ok(AnswerKind::Void),
            "NOTE" => Ok(AnswerKind::Note),
            "ROWS" => Ok(AnswerKind::Rows),
            "UP" => Ok(AnswerKind::Up),
            "DOWN" => Ok(AnswerKind::Down),
            _ => Err(Malformed),
        }
    }
}

/// A list `name=value,name=value`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// The text of a field.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let field = pairs(self.0, ',', '=').find(|(key, _)| *key == name);
        field.map(|(_, value)| value)
    }

    /// The named values of a load report, which stands in one field: `name:value;name:value`.
    pub fn report(&self) -> Option<impl Iterator<Item = (&'a str, f64)> + use<'a>> {
        let values = pairs(self.get("report")?, ';', ':');
        Some(values.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
    }

    /// The number of a field; `None` where it isn't given or is none.
    pub fn number<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }
}

/// The pairs of a list; what is none is left out.
fn pairs(list: &str, between: char, within: char) -> impl Iterator<Item = (&str, &str)> {
    let items = list.split(between);
    items.filter_map(move |item| item.split_once(within))
}

/// Bytes with which no answer begins; nothing that follows on the connection can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no answer in the engines' line protocol")]
pub struct Malformed;

/// The head of an answer.
struct Head<'a> {
    id: &'a str,
    kind: AnswerKind,
    fields: Fields<'a>,
    payload_length: usize,
}

/// Decodes the first answer in `bytes` and gives its length; `None` while it is not whole.
///
/// # Errors
///
/// No answer begins so.
pub fn decode(bytes: &[u8]) -> Result<Option<(Answer<'_>, usize)>, Malformed> {
    let searched = &bytes[..bytes.len().min(MAX_HEAD)];
    let Some(head_end) = searched.windows(2).position(|pair| pair == LINE_END) else {
        return if bytes.len() < MAX_HEAD {
            Ok(None)
        } else {
            Err(Malformed)
        };
    };
    let head = decode_head(&bytes[..head_end])?;
    let start = head_end + LINE_END.len();
    let end = start + head.payload_length;
    let Some(closing) = bytes.get(end..end + LINE_END.len()) else {
        return Ok(None);
    };
    if closing != LINE_END {
        return Err(Malformed);
    }
    let answer = Answer {
        id: head.id,
        kind: head.kind,
        fields: head.fields,
        payload: &bytes[start..end],
    };
    Ok(Some((answer, end + LINE_END.len())))
}

fn decode_head(bytes: &[u8]) -> Result<Head<'_>, Malformed> {
    let line = std::str::from_utf8(bytes).map_err(|_| Malformed)?;
    let mut words = line.split(' ');
    let mut next_word = || match words.next() {
        Some(word) if !word.is_empty() => Ok(word),
        _ => Err(Malformed),
    };
    let id = next_word()?;
    let word = next_word()?;
    let fields = next_word()?;
    let length = next_word()?;
    let payload_length = length.parse().map_err(|_| Malformed)?;
    if payload_length > MAX_PAYLOAD || words.next().is_some() {
        return Err(Malformed);
    }
    Ok(Head {
        id,
        kind: AnswerKind::parse(word)?,
        fields: Fields(if fields == "-" { "" } else { fields }),
        payload_length,
    })
}
