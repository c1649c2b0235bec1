//! The group of tables of a SQL statement: the number behind the underscore in the name of the
//! schema that it reads or writes, as 17 in `sales_17.orders`.
//!
//! Names in strings and comments don't count, nor the schema `staging`. No grammar is needed for
//! that: the statement is cut into tokens, and a schema is a name with a dot behind it. One that
//! follows a word which names tables goes before others, since an alias may look like one.
//!
//! ```
//! use eideryard_sql_tables::table_group;
//!
//! assert_eq!(table_group(b"SELECT * FROM sales_17.orders"), Some(17));
//! ```

mod tokens;

use tokens::{tokenize, Token};

/// The schema whose number names no group.
const STAGING_SCHEMA: &str = "staging";

/// The group of tables that the statement reads or writes, where it names one.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokenize(statement);
    let mut group_elsewhere = None;
    let mut names_tables = false;
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
                names_tables = names_tables_behind(name, names_tables);
            }
            continue;
        }
        // Where tables are named the last is the table, and the schema stands before it.
        let group = if names_tables {
            schema_group(path[path.len() - 2])
        } else {
            path.iter().find_map(|name| schema_group(name))
        };
        if names_tables && group.is_some() {
            return group;
        }
        group_elsewhere = group_elsewhere.or(group);
    }
    group_elsewhere
}

/// The names that dots join, from the first token on, which is one.
fn read_path(tokens: &[Token]) -> Vec<&str> {
    let mut path = Vec::new();
    let mut rest = tokens;
    while let [Token::Name(name), behind @ ..] = rest {
        path.push(name.as_str());
        match behind {
            [Token::Dot, after_dot @ ..] => rest = after_dot,
            _ => break,
        }
    }
    path
}

/// Whether the names behind a word are those of tables.
fn names_tables_behind(word: &str, before: bool) -> bool {
    match word.to_ascii_lowercase().as_str() {
        "select" | "where" | "on" | "set" | "values" | "group" | "order" | "having" | "limit" => {
            false
        }
        "from" | "join" | "into" | "update" | "table" | "copy" | "using" => true,
        _ => before,
    }
}

/// The number in a schema's name: a word, an underscore, digits.
fn schema_group(schema: &str) -> Option<u64> {
    let (word, number) = schema.rsplit_once('_')?;
    let is_number = number.bytes().all(|byte| byte.is_ascii_digit());
    if word.is_empty() || word.eq_ignore_ascii_case(STAGING_SCHEMA) || !is_number {
        return None;
    }
    number.parse().ok()
}
