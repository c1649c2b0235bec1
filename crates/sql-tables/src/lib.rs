//! Finds the table group of an SQL statement: the number after the underscore in the name of the
//! schema that the statement reads or writes, such as 17 in `sales_17.orders`.
//!
//! Names in strings and comments are ignored, and so is the schema `staging`. No SQL parser is
//! needed: the statement is split into tokens, and a schema is a name that is followed by a dot. A
//! name after a keyword such as `FROM` has precedence, because an alias may look like a schema.
//!
//! ```
//! use eideryard_sql_tables::table_group;
//!
//! assert_eq!(table_group(b"SELECT * FROM sales_17.orders"), Some(17));
//! ```

mod tokens;

use std::iter::Peekable;

use tokens::{Token, Tokens};

/// Prefix of schemas that don't belong to a table group, even if a number follows the prefix.
const STAGING_SCHEMA: &[u8] = b"staging";
/// Keywords after which names are tables.
const KEYWORDS_BEFORE_TABLES: [&[u8]; 7] = [
    b"from", b"join", b"into", b"update", b"table", b"copy", b"using",
];
/// Keywords after which names are not tables.
const KEYWORDS_BEFORE_OTHER_NAMES: [&[u8]; 9] = [
    b"select", b"where", b"on", b"set", b"values", b"group", b"order", b"having", b"limit",
];

/// Returns the table group that the statement reads or writes, or `None` if it names none. If it
/// names several, the first one after a keyword such as `FROM` counts.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut tokens = Tokens::new(statement).peekable();
    let mut fallback_group = None;
    let mut expects_tables = false;
    while let Some(token) = tokens.next() {
        let Token::Name(name) = token else {
            continue;
        };
        let path = read_path(name, &mut tokens);
        let Some(schema) = path.schema else {
            if !path.ends_with_dot {
                expects_tables = expects_tables_after(name, expects_tables);
            }
            continue;
        };
        // In the name of a table, the last part is the table and the one before it the schema.
        let group = if expects_tables {
            parse_schema_group(schema)
        } else {
            path.first_group
        };
        if expects_tables && group.is_some() {
            return group;
        }
        fallback_group = fallback_group.or(group);
    }
    fallback_group
}

/// What [`table_group`] needs of a dotted name.
struct Path<'a> {
    /// The last part but one; `None` if the name has only one part.
    schema: Option<&'a [u8]>,
    /// The table group of the first part that has one.
    first_group: Option<u64>,
    /// Whether a dot follows the last part.
    ends_with_dot: bool,
}

/// Reads the rest of a dotted name that begins with `first_part`.
fn read_path<'a>(first_part: &'a [u8], tokens: &mut Peekable<Tokens<'a>>) -> Path<'a> {
    let mut last_part = first_part;
    let mut path = Path {
        schema: None,
        first_group: parse_schema_group(first_part),
        ends_with_dot: false,
    };
    while tokens.next_if_eq(&Token::Dot).is_some() {
        let Some(&Token::Name(part)) = tokens.peek() else {
            path.ends_with_dot = true;
            break;
        };
        tokens.next();
        path.schema = Some(std::mem::replace(&mut last_part, part));
        path.first_group = path.first_group.or_else(|| parse_schema_group(part));
    }
    path
}

/// Returns whether the names after `word` are tables. A word that is no keyword leaves this as it
/// was before the word.
fn expects_tables_after(word: &[u8], expected_before: bool) -> bool {
    let is_among = |keywords: &[&[u8]]| {
        let mut keywords = keywords.iter();
        keywords.any(|keyword| word.eq_ignore_ascii_case(keyword))
    };
    if is_among(&KEYWORDS_BEFORE_TABLES) {
        return true;
    }
    expected_before && !is_among(&KEYWORDS_BEFORE_OTHER_NAMES)
}

/// Parses the table group from a schema's name, which must be a prefix, an underscore and digits.
fn parse_schema_group(schema: &[u8]) -> Option<u64> {
    let underscore = schema.iter().rposition(|&byte| byte == b'_')?;
    let (prefix, number) = (&schema[..underscore], &schema[underscore + 1..]);
    let is_number = number.iter().all(u8::is_ascii_digit);
    if prefix.is_empty() || prefix.eq_ignore_ascii_case(STAGING_SCHEMA) || !is_number {
        return None;
    }
    std::str::from_utf8(number).ok()?.parse().ok()
}
