//! A statement cut into tokens; strings and comments are skipped.

/// A token that can matter; everything else is `Other`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    /// A name, quoted or not.
    Name(String),
    Dot,
    Comma,
    Other,
}

/// Cuts a statement into tokens.
pub(crate) fn tokenize(text: &[u8]) -> Vec<Token> {
    let mut tokenizer = Tokenizer {
        text,
        position: 0,
        tokens: Vec::new(),
    };
    while let Some(&byte) = text.get(tokenizer.position) {
        tokenizer.read(byte);
    }
    tokenizer.tokens
}

struct Tokenizer<'a> {
    text: &'a [u8],
    position: usize,
    tokens: Vec<Token>,
}

impl Tokenizer<'_> {
    /// Reads the token, space or comment that begins with a byte.
    fn read(&mut self, byte: u8) {
        let next = self.text.get(self.position + 1).copied();
        match (byte, next) {
            (b'-', Some(b'-')) => self.position = end_of_line(self.text, self.position),
            (b'/', Some(b'*')) => self.position = end_of_comment(self.text, self.position),
            (b'\'', _) => {
                self.position = end_of_quote(self.text, self.position, byte);
                self.tokens.push(Token::Other);
            }
            (b'"' | b'`', _) => self.read_quoted_name(byte),
            (b'$', _) => self.read_dollar(),
            _ if begins_name(byte) => self.read_name(),
            _ if byte.is_ascii_digit() => self.read_number(),
            _ => self.read_mark(byte),
        }
    }

    fn read_quoted_name(&mut self, quote: u8) {
        let begin = self.position + 1;
        let end = end_of_quote(self.text, self.position, quote);
        let inside = &self.text[begin..end.saturating_sub(1).max(begin)];
        self.push_name(inside);
        self.position = end;
    }

    /// A text quoted with dollars, or a lone dollar.
    fn read_dollar(&mut self) {
        let Some(tag) = dollar_tag(&self.text[self.position..]) else {
            return self.read_mark(b'$');
        };
        let body = &self.text[self.position + tag.len()..];
        let close = body.windows(tag.len()).position(|window| window == tag);
        self.position = match close {
            Some(length) => self.position + length + 2 * tag.len(),
            None => self.text.len(),
        };
        self.tokens.push(Token::Other);
    }

    fn read_name(&mut self) {
        let is_in_name = |byte: u8| begins_name(byte) || byte.is_ascii_digit() || byte == b'$';
        let begin = self.position;
        self.skip_while(is_in_name);
        self.push_name(&self.text[begin..self.position]);
    }

    /// A number with its fraction, so that its dot is no path.
    fn read_number(&mut self) {
        let is_in_number = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_');
        self.skip_while(is_in_number);
        self.tokens.push(Token::Other);
    }

    fn read_mark(&mut self, byte: u8) {
        match byte {
            b'.' => self.tokens.push(Token::Dot),
            b',' => self.tokens.push(Token::Comma),
            byte if !byte.is_ascii_whitespace() => self.tokens.push(Token::Other),
            _ => {}
        }
        self.position += 1;
    }

    fn skip_while(&mut self, is_inside: impl Fn(u8) -> bool) {
        let rest = self.text[self.position..].iter();
        self.position += rest.take_while(|&&byte| is_inside(byte)).count();
    }

    fn push_name(&mut self, bytes: &[u8]) {
        let name = String::from_utf8_lossy(bytes).into_owned();
        self.tokens.push(Token::Name(name));
    }
}

fn begins_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

fn end_of_line(text: &[u8], begin: usize) -> usize {
    let length = text[begin..].iter().position(|&byte| byte == b'\n');
    length.map_or(text.len(), |length| begin + length)
}

/// The end of a quoted text, in which the quote is doubled to stand for itself.
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

/// The end of a block comment, which may hold others.
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

/// The mark that opens and closes a text quoted with dollars: `$$` or `$word$`.
fn dollar_tag(text: &[u8]) -> Option<&[u8]> {
    let is_inside = |byte: &&u8| begins_name(**byte) || byte.is_ascii_digit();
    let inside = text[1..].iter().take_while(is_inside).count();
    let tag = text.get(..inside + 2)?;
    let is_tag = tag[inside + 1] == b'$' && !tag[1].is_ascii_digit();
    is_tag.then_some(tag)
}
