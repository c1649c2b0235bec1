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

use tokens::{tokenize, Token};

/// Prefix of schemas that don't belong to a table group, even if a number follows the prefix.
const STAGING_SCHEMA: &str = "staging";

/// Returns the table group that the statement reads or writes, or `None` if it names none. If it
/// names several, the first one after a keyword such as `FROM` counts.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokenize(statement);
    let mut fallback_group = None;
    let mut expects_tables = false;
    let mut position = 0;
    while position < tokens.len() {
        let Token::Name(name) = &tokens[position] else {
            position += 1;
            continue;
        };
        let path = read_path(&tokens[position..]);
        position += 2 * path.len() - 1;
        if path.len() == 1 {
            if tokens.get(position) != Some(&Token::Dot) {
                expects_tables = expects_tables_after(name, expects_tables);
            }
            continue;
        }
        // In the name of a table, the last part is the table and the one before it the schema.
        let group = if expects_tables {
            parse_schema_group(path[path.len() - 2])
        } else {
            path.iter().find_map(|name| parse_schema_group(name))
        };
        if expects_tables && group.is_some() {
            return group;
        }
        fallback_group = fallback_group.or(group);
    }
    fallback_group
}

/// Returns the parts of a dotted name. The first token must be a name.
fn read_path(tokens: &[Token]) -> Vec<&str> {
    let mut path = Vec::new();
    let mut rest = tokens;
    while let [Token::Name(name), following @ ..] = rest {
        path.push(name.as_str());
        match following {
            [Token::Dot, after_dot @ ..] => rest = after_dot,
            _ => break,
        }
    }
    path
}

/// Returns whether the names after `word` are tables. A word that is none of the keywords below
/// leaves this as it was before the word.
fn expects_tables_after(word: &str, expected_before: bool) -> bool {
    match word.to_ascii_lowercase().as_str() {
        "select" | "where" | "on" | "set" | "values" | "group" | "order" | "having" | "limit" => {
            false
        }
        "from" | "join" | "into" | "update" | "table" | "copy" | "using" => true,
        _ => expected_before,
    }
}

/// Parses the table group from a schema's name, which must be a prefix, an underscore and digits.
fn parse_schema_group(schema: &str) -> Option<u64> {
    let (prefix, number) = schema.rsplit_once('_')?;
    let is_number = number.bytes().all(|byte| byte.is_ascii_digit());
    if prefix.is_empty() || prefix.eq_ignore_ascii_case(STAGING_SCHEMA) || !is_number {
        return None;
    }
    number.parse().ok()
}
