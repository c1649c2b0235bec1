//! Text to statements.
//!
//! ```text
//! line  = words [ "{" ]  |  "}"      then an optional comment and the end of the line
//! word  = bare | '"' characters, with \" and \\ '"'
//! ```

use std::sync::Arc;

use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::Location as _;
use winnow::token::{any, none_of, one_of, take_while};
use winnow::LocatingSlice;

use crate::error::{ConfigError, Location};

/// Bytes of a text.
pub const MAX_BYTES: usize = 1 << 20;
/// Blocks within each other.
pub const MAX_NESTED_BLOCKS: usize = 8;

/// A word and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The word without its quotes.
    pub text: String,
    /// Where it begins.
    pub location: Location,
}

/// A directive with its words, and its block where it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// At least one.
    pub words: Vec<Word>,
    /// Statements of the block.
    pub block: Option<Vec<Statement>>,
}

/// Parses the statements of a text; `file` is its name in errors.
///
/// # Errors
///
/// The first line that can't be read.
pub fn parse(file: &str, text: &str) -> Result<Vec<Statement>, ConfigError> {
    let file: Arc<str> = file.into();
    if text.len() > MAX_BYTES {
        let location = Location {
            file,
            line: 1,
            column: 1,
        };
        let hint = format!("{MAX_BYTES} bytes are the most");
        return Err(ConfigError::new(location, "the text is too long", &hint));
    }
    let mut blocks = Blocks::default();
    for (index, text) in text.lines().enumerate() {
        let source = SourceLine {
            file: &file,
            number: index + 1,
            text,
        };
        blocks.add_line(&source, parse_line(&source)?)?;
    }
    blocks.finish()
}

/// A line of a text.
struct SourceLine<'a> {
    file: &'a Arc<str>,
    /// From 1.
    number: usize,
    text: &'a str,
}

impl SourceLine<'_> {
    /// The place of a byte of this line.
    fn location(&self, byte: usize) -> Location {
        let before = self.text.get(..byte).unwrap_or(self.text);
        Location {
            file: self.file.clone(),
            line: self.number,
            column: before.chars().count() + 1,
        }
    }

    /// An error at the first character that is no space.
    fn error(&self, problem: &str, hint: &str) -> ConfigError {
        let indent = self.text.len() - self.text.trim_start().len();
        ConfigError::new(self.location(indent), problem, hint)
    }
}

/// A word and the byte at which it begins.
struct ParsedWord {
    byte: usize,
    text: String,
}

/// What stands at the end of a line.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Brace {
    Opening,
    Closing,
}

/// What a line holds.
struct ParsedLine {
    words: Vec<ParsedWord>,
    brace: Option<Brace>,
}

type Input<'a> = LocatingSlice<&'a str>;

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    delimited('"', repeat(0.., alt((none_of(['"', '\\']), escaped))), '"').parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<String> {
    let is_bare = |c: char| !c.is_whitespace() && !matches!(c, '{' | '}' | '"' | '#');
    take_while(1.., is_bare)
        .map(str::to_string)
        .parse_next(input)
}

fn word(input: &mut Input<'_>) -> ModalResult<ParsedWord> {
    let byte = input.current_token_start();
    let text = alt((quoted, bare)).parse_next(input)?;
    space0.parse_next(input)?;
    Ok(ParsedWord { byte, text })
}

fn line(input: &mut Input<'_>) -> ModalResult<ParsedLine> {
    space0.parse_next(input)?;
    let words = repeat(0.., word).parse_next(input)?;
    let opening = '{'.value(Brace::Opening);
    let closing = '}'.value(Brace::Closing);
    let brace = opt(alt((opening, closing))).parse_next(input)?;
    space0.parse_next(input)?;
    opt(('#', take_while(0.., |_| true))).parse_next(input)?;
    Ok(ParsedLine { words, brace })
}

fn parse_line(source: &SourceLine<'_>) -> Result<ParsedLine, ConfigError> {
    let mut input = LocatingSlice::new(source.text);
    let parsed = line.parse_next(&mut input);
    let end = input.current_token_start();
    match parsed {
        Ok(parsed) if end == source.text.len() => Ok(parsed),
        _ => Err(unreadable(source, &mut input, end)),
    }
}

/// The error of a line of which no more than so many bytes can be read.
fn unreadable(source: &SourceLine<'_>, rest: &mut Input<'_>, end: usize) -> ConfigError {
    let found = opt(any::<_, ContextError>).parse_next(rest).ok().flatten();
    let problem = match found {
        Some('"') => "a quoted text isn't closed, or has a stray backslash".to_string(),
        Some(c) => format!("'{c}' can't stand here"),
        None => "the line can't be read".to_string(),
    };
    let hint = "a line holds words and at most one '{' or '}' at its end; quote other characters";
    ConfigError::new(source.location(end), &problem, hint)
}

/// A block that is not closed yet.
struct OpenBlock {
    /// The words of the statement that opened it.
    words: Vec<Word>,
    statements: Vec<Statement>,
}

/// The statements that were read so far.
#[derive(Default)]
struct Blocks {
    /// Those outside of all blocks.
    statements: Vec<Statement>,
    /// The blocks that are open, the innermost last.
    open: Vec<OpenBlock>,
}

impl Blocks {
    fn add_line(&mut self, source: &SourceLine<'_>, parsed: ParsedLine) -> Result<(), ConfigError> {
        let mut words = Vec::new();
        for ParsedWord { byte, text } in parsed.words {
            let location = source.location(byte);
            words.push(Word { text, location });
        }
        match parsed.brace {
            Some(Brace::Opening) => self.open(source, words),
            Some(Brace::Closing) => self.close(source, &words),
            None if words.is_empty() => Ok(()),
            None => {
                self.add(Statement { words, block: None });
                Ok(())
            }
        }
    }

    fn open(&mut self, source: &SourceLine<'_>, words: Vec<Word>) -> Result<(), ConfigError> {
        if words.is_empty() {
            let hint = "write: DIRECTIVE VALUE... {";
            return Err(source.error("'{' without a directive", hint));
        }
        if self.open.len() >= MAX_NESTED_BLOCKS {
            let hint = format!("{MAX_NESTED_BLOCKS} are the most");
            return Err(source.error("too many blocks within each other", &hint));
        }
        self.open.push(OpenBlock {
            words,
            statements: Vec::new(),
        });
        Ok(())
    }

    fn close(&mut self, source: &SourceLine<'_>, words: &[Word]) -> Result<(), ConfigError> {
        if !words.is_empty() {
            let hint = "move it to a line of its own";
            return Err(source.error("'}' stands alone on its line", hint));
        }
        let Some(closed) = self.open.pop() else {
            return Err(source.error("'}' closes nothing", "remove it"));
        };
        self.add(Statement {
            words: closed.words,
            block: Some(closed.statements),
        });
        Ok(())
    }

    /// Adds a statement to the innermost block.
    fn add(&mut self, statement: Statement) {
        let statements = match self.open.last_mut() {
            Some(block) => &mut block.statements,
            None => &mut self.statements,
        };
        statements.push(statement);
    }

    fn finish(mut self) -> Result<Vec<Statement>, ConfigError> {
        match self.open.pop() {
            None => Ok(self.statements),
            Some(block) => Err(ConfigError::new(
                block.words[0].location.clone(),
                "this block isn't closed",
                "add a line with '}'",
            )),
        }
    }
}
