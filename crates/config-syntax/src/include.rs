//! The `include` directive, which inserts the statements of another file.

use std::io;
use std::path::Path;

use crate::error::ConfigError;
use crate::grammar::{self, Statement};

/// Maximum depth of nested files, counting the first one. The limit also stops a file that includes
/// itself.
const MAX_DEPTH: usize = 8;
/// Maximum number of files, counting the first one.
const MAX_FILES: usize = 64;

/// The name and the text of an included file.
pub struct IncludedFile {
    /// Path of the file as shown in errors. Include directives in this file are resolved relative
    /// to the directory of this path.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// Reads an included file. The arguments are the name of the including file and the path in the
/// include directive.
pub type OpenInclude = dyn Fn(&str, &str) -> io::Result<IncludedFile>;

/// Reads an included file from the file system. The path `name` is relative to the directory of the
/// including file, `file`.
///
/// # Errors
///
/// Returns an error if the file can't be read or is not UTF-8.
pub fn open_include_file(file: &str, name: &str) -> io::Result<IncludedFile> {
    let directory = Path::new(file).parent().unwrap_or(Path::new(""));
    let path = directory.join(name);
    let text = std::fs::read_to_string(&path)?;
    Ok(IncludedFile {
        name: path.display().to_string(),
        text,
    })
}

/// Parses a text and replaces each include directive by the statements of the included file.
pub(crate) fn parse_with_includes(
    file: &str,
    text: &str,
    open: &OpenInclude,
) -> Result<Vec<Statement>, ConfigError> {
    let mut resolver = IncludeResolver {
        open,
        file_count: 1,
    };
    resolver.parse_file(file, text, 0)
}

struct IncludeResolver<'a> {
    open: &'a OpenInclude,
    file_count: usize,
}

impl IncludeResolver<'_> {
    fn parse_file(
        &mut self,
        file: &str,
        text: &str,
        depth: usize,
    ) -> Result<Vec<Statement>, ConfigError> {
        let mut statements = Vec::new();
        for statement in grammar::parse(file, text)? {
            if statement.words[0].text == "include" {
                statements.extend(self.parse_included(file, &statement, depth + 1)?);
            } else {
                statements.push(statement);
            }
        }
        Ok(statements)
    }

    fn parse_included(
        &mut self,
        file: &str,
        statement: &Statement,
        depth: usize,
    ) -> Result<Vec<Statement>, ConfigError> {
        let location = &statement.words[0].location;
        let [_, name] = &statement.words[..] else {
            return Err(ConfigError::new(
                location.clone(),
                "include takes exactly one file",
                "write: include FILE",
            ));
        };
        self.file_count += 1;
        if depth >= MAX_DEPTH || self.file_count > MAX_FILES {
            return Err(ConfigError::new(
                location.clone(),
                "too many included files",
                &format!("the maximum is {MAX_DEPTH} nested files and {MAX_FILES} files in total"),
            ));
        }
        let included = (self.open)(file, &name.text).map_err(|error| {
            ConfigError::new(
                name.location.clone(),
                &format!("'{}' can't be read: {error}", name.text),
                "paths are relative to the including file",
            )
        })?;
        self.parse_file(&included.name, &included.text, depth)
    }
}
