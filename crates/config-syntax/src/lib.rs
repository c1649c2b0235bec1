//! Line-based settings: `directive value...`, blocks in braces, comments behind `#`, `include
//! FILE`.
//!
//! [`grammar`] splits text into statements, [`value`] reads single values with their units,
//! [`table`] checks statements against a table of directives and gives typed settings. The
//! operator's file and scenarios of the stand-ins are two such tables. Nothing here does I/O:
//! includes are asked of the caller.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod fault;
pub mod grammar;
pub mod table;
pub mod value;

pub use fault::{Fault, Place};
pub use table::{reference, Setting, Spec};
pub use value::{Kind, Value};

use grammar::Statement;

/// Files within files, and files in all: an include that names itself ends here.
const MAX_DEPTH: usize = 8;
const MAX_FILES: usize = 64;

/// Gives the name and the text of an included file, by the name of the one that includes it and its
/// own.
pub type Open = dyn Fn(&str, &str) -> Result<(String, String), String>;

/// Reads a text and all that it includes, and checks it against a table.
pub fn read(
    file: &str,
    text: &str,
    table: &'static [Spec],
    open: &Open,
) -> Result<Vec<Setting>, Fault> {
    let mut files = 1;
    let statements = included(file, text, 0, &mut files, open)?;
    table::check(&statements, table)
}

fn included(
    file: &str,
    text: &str,
    depth: usize,
    files: &mut usize,
    open: &Open,
) -> Result<Vec<Statement>, Fault> {
    let mut whole = Vec::new();
    for statement in grammar::parse(file, text)? {
        if statement.words[0].text != "include" {
            whole.push(statement);
            continue;
        }
        let place = statement.words[0].place.clone();
        let [_, name] = &statement.words[..] else {
            return Err(Fault::new(
                place,
                "include takes one file",
                "write: include FILE",
            ));
        };
        *files += 1;
        if depth + 1 >= MAX_DEPTH || *files > MAX_FILES {
            let hint = format!("{MAX_DEPTH} files deep and {MAX_FILES} in all may be included");
            return Err(Fault::new(
                place,
                "too many files include each other",
                &hint,
            ));
        }
        let (path, text) = open(file, &name.text).map_err(|e| {
            let what = format!("'{}' can't be read: {e}", name.text);
            Fault::new(
                name.place.clone(),
                &what,
                "paths are relative to the file that includes",
            )
        })?;
        whole.extend(included(&path, &text, depth + 1, files, open)?);
    }
    Ok(whole)
}

/// Includes from the file system, relative to the file that names them.
pub fn from_files(file: &str, name: &str) -> Result<(String, String), String> {
    let path = std::path::Path::new(file)
        .parent()
        .unwrap_or(std::path::Path::new(""))
        .join(name);
    let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    Ok((path.display().to_string(), text))
}
