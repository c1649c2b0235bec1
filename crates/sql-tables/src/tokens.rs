//! The tokenizer for SQL statements. It returns one token for each string and none for comments.
//!
//! Tokens borrow from the statement and are read one at a time, so that the memory needed doesn't
//! grow with the statement's length.

/// A token. Only names and the punctuation of names are distinguished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token<'a> {
    /// A name or keyword, without quotes.
    Name(&'a [u8]),
    Dot,
    /// A string, a number or any other character.
    Other,
}

/// Iterates over the tokens of a statement.
pub(crate) struct Tokens<'a> {
    text: &'a [u8],
    position: usize,
}

impl<'a> Tokens<'a> {
    /// Starts at the beginning of a statement.
    pub(crate) fn new(text: &'a [u8]) -> Self {
        Tokens { text, position: 0 }
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        while let Some(&byte) = self.text.get(self.position) {
            let token = self.read_next(byte);
            if token.is_some() {
                return token;
            }
        }
        None
    }
}

impl<'a> Tokens<'a> {
    /// Reads the token, whitespace or comment at the current position, which begins with `byte`.
    /// Returns `None` for whitespace and comments.
    fn read_next(&mut self, byte: u8) -> Option<Token<'a>> {
        let next = self.text.get(self.position + 1).copied();
        match (byte, next) {
            (b'-', Some(b'-')) => {
                self.position = end_of_line(self.text, self.position);
                None
            }
            (b'/', Some(b'*')) => {
                self.position = end_of_comment(self.text, self.position);
                None
            }
            (b'\'', _) => {
                self.position = end_of_quote(self.text, self.position, byte);
                Some(Token::Other)
            }
            (b'"' | b'`', _) => Some(self.read_quoted_name(byte)),
            (b'$', _) => self.read_dollar_quoted(),
            _ if begins_name(byte) => Some(self.read_name()),
            _ if byte.is_ascii_digit() => Some(self.read_number()),
            _ => self.read_punctuation(byte),
        }
    }

    fn read_quoted_name(&mut self, quote: u8) -> Token<'a> {
        let begin = self.position + 1;
        let end = end_of_quote(self.text, self.position, quote);
        self.position = end;
        Token::Name(&self.text[begin..end.saturating_sub(1).max(begin)])
    }

    /// Reads a dollar-quoted string, or a single dollar sign.
    fn read_dollar_quoted(&mut self) -> Option<Token<'a>> {
        let Some(tag) = dollar_tag(&self.text[self.position..]) else {
            return self.read_punctuation(b'$');
        };
        let body = &self.text[self.position + tag.len()..];
        let closing_tag = body.windows(tag.len()).position(|window| window == tag);
        self.position = match closing_tag {
            Some(length) => self.position + length + 2 * tag.len(),
            None => self.text.len(),
        };
        Some(Token::Other)
    }

    fn read_name(&mut self) -> Token<'a> {
        let is_in_name = |byte: u8| begins_name(byte) || byte.is_ascii_digit() || byte == b'$';
        let begin = self.position;
        self.skip_while(is_in_name);
        Token::Name(&self.text[begin..self.position])
    }

    /// Reads a number with its fraction, so that the decimal point isn't taken for the dot of a
    /// dotted name.
    fn read_number(&mut self) -> Token<'a> {
        let is_in_number = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_');
        self.skip_while(is_in_number);
        Token::Other
    }

    fn read_punctuation(&mut self, byte: u8) -> Option<Token<'a>> {
        self.position += 1;
        match byte {
            b'.' => Some(Token::Dot),
            byte if byte.is_ascii_whitespace() => None,
            _ => Some(Token::Other),
        }
    }

    fn skip_while(&mut self, is_inside: impl Fn(u8) -> bool) {
        let rest = self.text[self.position..].iter();
        self.position += rest.take_while(|&&byte| is_inside(byte)).count();
    }
}

fn begins_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

fn end_of_line(text: &[u8], begin: usize) -> usize {
    let length = text[begin..].iter().position(|&byte| byte == b'\n');
    length.map_or(text.len(), |length| begin + length)
}

/// Returns the end of a quoted string or name. A doubled quote inside it is an escaped quote.
fn end_of_quote(text: &[u8], begin: usize, quote: u8) -> usize {
    let mut position = begin + 1;
    while let Some(&byte) = text.get(position) {
        position += 1;
        if byte != quote {
            continue;
        }
        if text.get(position) != Some(&quote) {
            return position;
        }
        position += 1;
    }
    text.len()
}

/// Returns the end of a block comment, which may contain nested ones.
fn end_of_comment(text: &[u8], begin: usize) -> usize {
    let mut position = begin + 2;
    let mut depth = 1;
    while depth > 0 && position < text.len() {
        match &text[position..text.len().min(position + 2)] {
            b"/*" => {
                position += 2;
                depth += 1;
            }
            b"*/" => {
                position += 2;
                depth -= 1;
            }
            _ => position += 1,
        }
    }
    position
}

/// Returns the tag at the beginning of a dollar-quoted string, `$$` or `$word$`, or `None` if the
/// text does not begin with a tag. The same tag ends the string.
fn dollar_tag(text: &[u8]) -> Option<&[u8]> {
    let is_inside = |byte: &&u8| begins_name(**byte) || byte.is_ascii_digit();
    let inside = text[1..].iter().take_while(is_inside).count();
    let tag = text.get(..inside + 2)?;
    let is_tag = tag[inside + 1] == b'$' && !tag[1].is_ascii_digit();
    is_tag.then_some(tag)
}
