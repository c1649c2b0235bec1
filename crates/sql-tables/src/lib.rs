//! The group of tables of a SQL statement: the number behind the underscore in the name of the
//! schema that it reads or writes, as 17 in `sales_17.orders`. Names in strings and comments don't
//! count, nor the schema `staging`. No grammar is needed for that: the statement is cut into
//! tokens, and a schema is a name with a dot behind it. One that follows a word which names tables
//! goes before others, since an alias may look like one.

/// The token that can matter; everything else is `Other`.
#[derive(Clone, Debug, PartialEq)]
enum Token {
    Name(String),
    Dot,
    Comma,
    Other,
}

/// The group of tables that the statement reads or writes, where it names one.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokens(statement);
    let mut elsewhere = None;
    let mut names_tables = false;
    let mut at = 0;
    while at < tokens.len() {
        let Token::Name(name) = &tokens[at] else {
            at += 1;
            continue;
        };
        if tokens.get(at + 1) != Some(&Token::Dot) {
            let word = name.to_ascii_lowercase();
            let opens = matches!(
                word.as_str(),
                "from" | "join" | "into" | "update" | "table" | "copy" | "using"
            );
            let closes = matches!(
                word.as_str(),
                "select"
                    | "where"
                    | "on"
                    | "set"
                    | "values"
                    | "group"
                    | "order"
                    | "having"
                    | "limit"
            );
            names_tables = (names_tables || opens) && !closes;
            at += 1;
            continue;
        }
        // A path of names: behind a table word the last is the table, and the schema stands before
        // it.
        let mut path = vec![name.as_str()];
        while let (Some(Token::Dot), Some(Token::Name(next))) =
            (tokens.get(at + 1), tokens.get(at + 2))
        {
            path.push(next);
            at += 2;
        }
        at += 1;
        if path.len() < 2 {
            continue;
        }
        let found = if names_tables {
            group(path[path.len() - 2])
        } else {
            path.iter().find_map(|n| group(n))
        };
        if names_tables && found.is_some() {
            return found;
        }
        elsewhere = elsewhere.or(found);
    }
    elsewhere
}

/// The number in a schema's name: a word, an underscore, digits.
fn group(schema: &str) -> Option<u64> {
    let (word, number) = schema.rsplit_once('_')?;
    let digits = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    (digits && !word.is_empty() && !word.eq_ignore_ascii_case("staging"))
        .then(|| number.parse().ok())?
}

fn tokens(text: &[u8]) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut at = 0;
    while let Some(&byte) = text.get(at) {
        let next = text.get(at + 1).copied();
        match (byte, next) {
            (b'-', Some(b'-')) => {
                at = text[at..]
                    .iter()
                    .position(|&b| b == b'\n')
                    .map_or(text.len(), |n| at + n);
            }
            (b'/', Some(b'*')) => at = past_comment(text, at),
            (b'\'', _) => {
                at = past_quote(text, at, b'\'');
                tokens.push(Token::Other);
            }
            (b'"' | b'`', _) => {
                let end = past_quote(text, at, byte);
                let inside = &text[at + 1..end.saturating_sub(1).max(at + 1)];
                tokens.push(Token::Name(String::from_utf8_lossy(inside).into_owned()));
                at = end;
            }
            (b'$', _) if dollar_tag(&text[at..]).is_some() => {
                let tag = dollar_tag(&text[at..]).unwrap_or(&[]);
                let body = &text[at + tag.len()..];
                let close = body.windows(tag.len()).position(|window| window == tag);
                at = close.map_or(text.len(), |n| at + n + 2 * tag.len());
                tokens.push(Token::Other);
            }
            _ if starts_name(byte) => {
                let length = text[at..]
                    .iter()
                    .take_while(|&&b| starts_name(b) || b.is_ascii_digit() || b == b'$');
                let end = at + length.count();
                tokens.push(Token::Name(
                    String::from_utf8_lossy(&text[at..end]).into_owned(),
                ));
                at = end;
            }
            _ if byte.is_ascii_digit() => {
                // A number with its fraction, so that its dot is no path.
                let digits = |b: &&u8| b.is_ascii_alphanumeric() || **b == b'.' || **b == b'_';
                at += text[at..].iter().take_while(digits).count();
                tokens.push(Token::Other);
            }
            _ => {
                match byte {
                    b'.' => tokens.push(Token::Dot),
                    b',' => tokens.push(Token::Comma),
                    byte if !byte.is_ascii_whitespace() => tokens.push(Token::Other),
                    _ => {}
                }
                at += 1;
            }
        }
    }
    tokens
}

fn starts_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Past a quoted text, in which the quote is doubled to stand for itself.
fn past_quote(text: &[u8], start: usize, quote: u8) -> usize {
    let mut at = start + 1;
    while let Some(&byte) = text.get(at) {
        at += 1;
        if byte == quote {
            if text.get(at) != Some(&quote) {
                return at;
            }
            at += 1;
        }
    }
    text.len()
}

/// Past a block comment, which may hold others.
fn past_comment(text: &[u8], start: usize) -> usize {
    let (mut at, mut depth) = (start + 2, 1);
    while depth > 0 && at < text.len() {
        match &text[at..text.len().min(at + 2)] {
            b"/*" => (at, depth) = (at + 2, depth + 1),
            b"*/" => (at, depth) = (at + 2, depth - 1),
            _ => at += 1,
        }
    }
    at
}

/// The mark that opens and closes a text quoted with dollars: `$$` or `$word$`.
fn dollar_tag(text: &[u8]) -> Option<&[u8]> {
    let inside = text[1..]
        .iter()
        .take_while(|&&b| starts_name(b) || b.is_ascii_digit())
        .count();
    let tag = text.get(..inside + 2)?;
    (tag[inside + 1] == b'$' && !tag[1].is_ascii_digit()).then_some(tag)
}
