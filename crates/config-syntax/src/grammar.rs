//! The grammar: splits a text into statements.
//!
//! ```text
//! line  = words [ "{" ]  |  "}"      followed by an optional comment and the end of the line
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

/// Maximum length in bytes of a text.
pub const MAX_BYTES: usize = 1 << 20;
/// Maximum number of nested blocks.
pub const MAX_NESTED_BLOCKS: usize = 8;

/// A word and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The word without quotes and escapes.
    pub text: String,
    /// Location of the first character, which may be the quote.
    pub location: Location,
}

/// A directive's name, its further words, and its block if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The words of the line in order. The first one is the directive's name and always exists.
    pub words: Vec<Word>,
    /// The statements of the block; `None` if there is no block.
    pub block: Option<Vec<Statement>>,
}

/// Parses a text; `file` is its name in errors.
///
/// # Errors
///
/// Returns the location of the first syntax error.
pub fn parse(file: &str, text: &str) -> Result<Vec<Statement>, ConfigError> {
    let file: Arc<str> = file.into();
    if text.len() > MAX_BYTES {
        let location = Location {
            file,
            line: 1,
            column: 1,
        };
        let hint = format!("the maximum is {MAX_BYTES} bytes");
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

/// One line of a text.
struct SourceLine<'a> {
    file: &'a Arc<str>,
    /// Line number, starting at 1.
    number: usize,
    text: &'a str,
}

impl SourceLine<'_> {
    /// Returns the location of the byte at an offset within the line.
    fn location(&self, offset: usize) -> Location {
        let before = self.text.get(..offset).unwrap_or(self.text);
        Location {
            file: self.file.clone(),
            line: self.number,
            column: before.chars().count() + 1,
        }
    }

    /// Returns an error at the first character after the indentation.
    fn error(&self, problem: &str, hint: &str) -> ConfigError {
        let indent = self.text.len() - self.text.trim_start().len();
        ConfigError::new(self.location(indent), problem, hint)
    }
}

/// A word and the byte offset in the line at which it begins.
struct ParsedWord {
    offset: usize,
    text: String,
}

/// The brace at the end of a line.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Brace {
    Opening,
    Closing,
}

/// The content of a line without its comment.
struct ParsedLine {
    words: Vec<ParsedWord>,
    brace: Option<Brace>,
}

type Input<'a> = LocatingSlice<&'a str>;

fn parse_quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    delimited('"', repeat(0.., alt((none_of(['"', '\\']), escaped))), '"').parse_next(input)
}

fn parse_bare(input: &mut Input<'_>) -> ModalResult<String> {
    let is_bare = |c: char| !c.is_whitespace() && !matches!(c, '{' | '}' | '"' | '#');
    take_while(1.., is_bare)
        .map(str::to_string)
        .parse_next(input)
}

fn parse_word(input: &mut Input<'_>) -> ModalResult<ParsedWord> {
    let offset = input.current_token_start();
    let text = alt((parse_quoted, parse_bare)).parse_next(input)?;
    space0.parse_next(input)?;
    Ok(ParsedWord { offset, text })
}

fn parse_line_content(input: &mut Input<'_>) -> ModalResult<ParsedLine> {
    space0.parse_next(input)?;
    let words = repeat(0.., parse_word).parse_next(input)?;
    let opening = '{'.value(Brace::Opening);
    let closing = '}'.value(Brace::Closing);
    let brace = opt(alt((opening, closing))).parse_next(input)?;
    space0.parse_next(input)?;
    opt(('#', take_while(0.., |_| true))).parse_next(input)?;
    Ok(ParsedLine { words, brace })
}

fn parse_line(source: &SourceLine<'_>) -> Result<ParsedLine, ConfigError> {
    let mut input = LocatingSlice::new(source.text);
    let parsed = parse_line_content.parse_next(&mut input);
    let end = input.current_token_start();
    match parsed {
        Ok(parsed) if end == source.text.len() => Ok(parsed),
        _ => Err(syntax_error(source, &mut input, end)),
    }
}

/// Returns the error for a line that could only be parsed up to the offset `end`.
fn syntax_error(source: &SourceLine<'_>, rest: &mut Input<'_>, end: usize) -> ConfigError {
    let found = opt(any::<_, ContextError>).parse_next(rest).ok().flatten();
    let problem = match found {
        Some('"') => "a quoted string is not closed or contains an invalid escape".to_string(),
        Some(c) => format!("unexpected character '{c}'"),
        None => "the line can't be parsed".to_string(),
    };
    let hint = "expected words and at most one '{' or '}' at the end of the line; put words with other characters in quotes";
    ConfigError::new(source.location(end), &problem, hint)
}

/// A block whose closing brace has not been parsed yet.
struct OpenBlock {
    /// The words of the statement that opened the block.
    words: Vec<Word>,
    statements: Vec<Statement>,
}

/// The statements of the lines parsed so far.
#[derive(Default)]
struct Blocks {
    /// The statements outside of all blocks.
    statements: Vec<Statement>,
    /// The open blocks, the innermost last.
    open: Vec<OpenBlock>,
}

impl Blocks {
    fn add_line(&mut self, source: &SourceLine<'_>, parsed: ParsedLine) -> Result<(), ConfigError> {
        let mut words = Vec::new();
        for ParsedWord { offset, text } in parsed.words {
            let location = source.location(offset);
            words.push(Word { text, location });
        }
        match parsed.brace {
            Some(Brace::Opening) => self.open_block(source, words),
            Some(Brace::Closing) => self.close_block(source, &words),
            None if words.is_empty() => Ok(()),
            None => {
                self.add_statement(Statement { words, block: None });
                Ok(())
            }
        }
    }

    fn open_block(&mut self, source: &SourceLine<'_>, words: Vec<Word>) -> Result<(), ConfigError> {
        if words.is_empty() {
            let hint = "write: DIRECTIVE VALUE... {";
            return Err(source.error("'{' without a directive", hint));
        }
        if self.open.len() >= MAX_NESTED_BLOCKS {
            let hint = format!("the maximum is {MAX_NESTED_BLOCKS}");
            return Err(source.error("too many nested blocks", &hint));
        }
        self.open.push(OpenBlock {
            words,
            statements: Vec::new(),
        });
        Ok(())
    }

    fn close_block(&mut self, source: &SourceLine<'_>, words: &[Word]) -> Result<(), ConfigError> {
        if !words.is_empty() {
            let hint = "move it to a line of its own";
            return Err(source.error("'}' must be alone on its line", hint));
        }
        let Some(closed) = self.open.pop() else {
            return Err(source.error("'}' without an open block", "remove it"));
        };
        self.add_statement(Statement {
            words: closed.words,
            block: Some(closed.statements),
        });
        Ok(())
    }

    /// Adds a statement to the innermost block.
    fn add_statement(&mut self, statement: Statement) {
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
                "this block is not closed",
                "add a line with '}'",
            )),
        }
    }
}
