//! Text to statements.
//!
//! ```text
//! line  = words [ "{" ]  |  "}"      then an optional comment and the end of the line
//! word  = bare | '"' characters, with \" and \\ '"'
//! ```

use std::sync::Arc;

use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::{any, none_of, one_of, take_while};
use winnow::LocatingSlice;

use crate::fault::{Fault, Place};

/// Bounds of a text, so that a damaged one is an error and no stack overflow.
pub const MAX_BYTES: usize = 1 << 20;
pub const MAX_NESTED: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub place: Place,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// At least one.
    pub words: Vec<Word>,
    pub block: Option<Vec<Statement>>,
}

/// One line: its words, each with its first byte, and whether it opens or closes a block.
#[derive(Debug, PartialEq)]
struct Line {
    words: Vec<(usize, String)>,
    opens: bool,
    closes: bool,
}

type Input<'a> = LocatingSlice<&'a str>;

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    delimited('"', repeat(0.., alt((none_of(['"', '\\']), escaped))), '"').parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<String> {
    let usual = |c: char| !c.is_whitespace() && !matches!(c, '{' | '}' | '"' | '#');
    take_while(1.., usual).map(str::to_string).parse_next(input)
}

fn word(input: &mut Input<'_>) -> ModalResult<(usize, String)> {
    let at = input.current_token_start();
    let text = alt((quoted, bare)).parse_next(input)?;
    space0.parse_next(input)?;
    Ok((at, text))
}

fn line(input: &mut Input<'_>) -> ModalResult<Line> {
    space0.parse_next(input)?;
    let words = repeat(0.., word).parse_next(input)?;
    let brace = opt(alt(('{', '}'))).parse_next(input)?;
    space0.parse_next(input)?;
    opt(('#', take_while(0.., |_| true))).parse_next(input)?;
    Ok(Line {
        words,
        opens: brace == Some('{'),
        closes: brace == Some('}'),
    })
}

/// The statements of a text; `file` is only for places.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn parse(file: &str, text: &str) -> Result<Vec<Statement>, Fault> {
    let file: Arc<str> = file.into();
    let place = |number: usize, source: &str, byte: usize| {
        let column = source.get(..byte).unwrap_or(source).chars().count() + 1;
        Place {
            file: file.clone(),
            line: number + 1,
            column,
        }
    };
    if text.len() > MAX_BYTES {
        let hint = format!("{MAX_BYTES} bytes are the most");
        return Err(Fault::new(place(0, "", 0), "the text is too long", &hint));
    }
    // The blocks that are open, the text itself first, each behind the statement that opened it.
    let mut open: Vec<(Option<Vec<Word>>, Vec<Statement>)> = vec![(None, Vec::new())];
    for (number, source) in text.lines().enumerate() {
        let mut input = LocatingSlice::new(source);
        let parsed = line.parse_next(&mut input);
        let at = input.current_token_start();
        let parsed = match parsed {
            Ok(parsed) if at == source.len() => parsed,
            _ => {
                let found = opt(any::<_, winnow::error::ContextError>)
                    .parse_next(&mut input)
                    .ok()
                    .flatten();
                let hint = "a line holds words and at most one '{' or '}' at its end; quote other characters";
                let what = match found {
                    Some('"') => "a quoted text isn't closed, or has a stray backslash".to_string(),
                    Some(c) => format!("'{c}' can't stand here"),
                    None => "the line can't be read".to_string(),
                };
                return Err(Fault::new(place(number, source, at), &what, hint));
            }
        };
        let word = |(at, text): (usize, String)| Word {
            text,
            place: place(number, source, at),
        };
        let here = || place(number, source, source.len() - source.trim_start().len());
        let words: Vec<Word> = parsed.words.into_iter().map(word).collect();
        if parsed.closes {
            if !words.is_empty() {
                return Err(Fault::new(
                    here(),
                    "'}' stands alone on its line",
                    "move it to a line of its own",
                ));
            }
            let closed = if open.len() > 1 { open.pop() } else { None };
            let Some((Some(words), inner)) = closed else {
                return Err(Fault::new(here(), "'}' closes nothing", "remove it"));
            };
            open[..].last_mut().into_iter().for_each(|(_, outer)| {
                outer.push(Statement {
                    words: words.clone(),
                    block: Some(inner.clone()),
                });
            });
        } else if parsed.opens {
            if words.is_empty() {
                return Err(Fault::new(
                    here(),
                    "'{' without a directive",
                    "write: DIRECTIVE VALUE... {",
                ));
            }
            if open.len() > MAX_NESTED {
                let hint = format!("{MAX_NESTED} are the most");
                return Err(Fault::new(
                    here(),
                    "too many blocks within each other",
                    &hint,
                ));
            }
            open.push((Some(words), Vec::new()));
        } else if !words.is_empty() {
            let statement = Statement { words, block: None };
            open[..]
                .last_mut()
                .into_iter()
                .for_each(|(_, outer)| outer.push(statement.clone()));
        }
    }
    match open.pop() {
        Some((None, statements)) => Ok(statements),
        Some((Some(words), _)) => Err(Fault::new(
            words[0].place.clone(),
            "this block isn't closed",
            "add a line with '}'",
        )),
        None => Ok(Vec::new()),
    }
}
