//! The decoder for answers from engines.

use std::str::FromStr;

use thiserror::Error;

/// Maximum length in bytes of the head of an answer.
pub const MAX_HEAD: usize = 4096;
/// Maximum length in bytes of a payload, and therefore of a page.
pub const MAX_PAYLOAD: usize = 6000;
/// The bytes after each head and each payload.
const LINE_END: &[u8] = b"\r\n";

/// An answer from an engine.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// ID of the attempt, or tag of the probe, that the engine answers.
    pub id: &'a str,
    /// What the answer reports, such as a result, progress or an error.
    pub kind: AnswerKind,
    /// Named values, whose meaning depends on `kind`.
    pub fields: Fields<'a>,
    /// A page of the result; empty in an answer without rows.
    pub payload: &'a [u8],
}

/// What an answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The query succeeded. The payload is page 0 of the result.
    Ok,
    /// The engine is at capacity and did not start the query.
    Busy,
    /// The query failed and may have had effects.
    Err,
    /// The request had already ended, so the engine did not start the query.
    Void,
    /// A progress report; the query is still running.
    Note,
    /// A page of the result after page 0.
    Rows,
    /// The answer to a probe from an engine that accepts queries.
    Up,
    /// The answer to a probe from an engine that doesn't accept queries.
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

/// Named values, written as `name=value,name=value`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Returns the text of a field, or `None` if there is no field of this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let field = pairs(self.0, ',', '=').find(|(key, _)| *key == name);
        field.map(|(_, value)| value)
    }

    /// Returns the named values of the load report, or `None` if there is no report. The report is
    /// the text of one field, written as `name:value;name:value`.
    pub fn report(&self) -> Option<impl Iterator<Item = (&'a str, f64)> + use<'a>> {
        let values = pairs(self.get("report")?, ';', ':');
        Some(values.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
    }

    /// Returns the number in a field, or `None` if the field is missing or not a number.
    pub fn number<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }
}

/// Returns the pairs in a list. Items without the separator `within` are skipped.
fn pairs(list: &str, between: char, within: char) -> impl Iterator<Item = (&str, &str)> {
    let items = list.split(between);
    items.filter_map(move |item| item.split_once(within))
}

/// The input does not begin with a valid answer. The connection must be closed, since the start of
/// the next answer is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected an answer in the engine line protocol, found other data")]
pub struct Malformed;

/// The head of an answer.
struct Head<'a> {
    id: &'a str,
    kind: AnswerKind,
    fields: Fields<'a>,
    payload_length: usize,
}

/// Decodes the first answer in `bytes` and returns it with its length, or `None` if the answer is
/// incomplete.
///
/// # Errors
///
/// Returns an error if `bytes` is not the beginning of an answer, or if the head or the payload is
/// longer than [`MAX_HEAD`] or [`MAX_PAYLOAD`].
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
    let Some(terminator) = bytes.get(end..end + LINE_END.len()) else {
        return Ok(None);
    };
    if terminator != LINE_END {
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
    let kind = next_word()?;
    let fields = next_word()?;
    let length = next_word()?;
    let payload_length = length.parse().map_err(|_| Malformed)?;
    if payload_length > MAX_PAYLOAD || words.next().is_some() {
        return Err(Malformed);
    }
    Ok(Head {
        id,
        kind: AnswerKind::parse(kind)?,
        fields: Fields(if fields == "-" { "" } else { fields }),
        payload_length,
    })
}
