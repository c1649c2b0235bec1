//! Files that include others.

use std::io;
use std::path::Path;

use crate::error::ConfigError;
use crate::grammar::{self, Statement};

/// Files within files: an include that names itself ends here.
const MAX_DEPTH: usize = 8;
/// Files in all.
const MAX_FILES: usize = 64;

/// The name and the text of an included file.
pub struct IncludedFile {
    /// Its name in errors, and what its own includes are relative to.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// Opens an included file, by the name of the one that includes it and its own.
pub type OpenInclude = dyn Fn(&str, &str) -> io::Result<IncludedFile>;

/// Opens a file of the file system, relative to the file that includes it.
///
/// # Errors
///
/// The file can't be read.
pub fn open_include_file(file: &str, name: &str) -> io::Result<IncludedFile> {
    let directory = Path::new(file).parent().unwrap_or(Path::new(""));
    let path = directory.join(name);
    let text = std::fs::read_to_string(&path)?;
    Ok(IncludedFile {
        name: path.display().to_string(),
        text,
    })
}

/// The statements of a text, with those of included files in the place of their includes.
pub(crate) fn parse_with_includes(
    file: &str,
    text: &str,
    open: &OpenInclude,
) -> Result<Vec<Statement>, ConfigError> {
    let mut reader = Reader {
        open,
        file_count: 1,
    };
    reader.read(file, text, 0)
}

struct Reader<'a> {
    open: &'a OpenInclude,
    file_count: usize,
}

impl Reader<'_> {
    fn read(
        &mut self,
        file: &str,
        text: &str,
        depth: usize,
    ) -> Result<Vec<Statement>, ConfigError> {
        let mut statements = Vec::new();
        for statement in grammar::parse(file, text)? {
            if statement.words[0].text == "include" {
                statements.extend(self.include(file, &statement, depth + 1)?);
            } else {
                statements.push(statement);
            }
        }
        Ok(statements)
    }

    fn include(
        &mut self,
        file: &str,
        statement: &Statement,
        depth: usize,
    ) -> Result<Vec<Statement>, ConfigError> {
        let location = &statement.words[0].location;
        let [_, name] = &statement.words[..] else {
            return Err(ConfigError::new(
                location.clone(),
                "include takes one file",
                "write: include FILE",
            ));
        };
        self.file_count += 1;
        if depth >= MAX_DEPTH || self.file_count > MAX_FILES {
            return Err(ConfigError::new(
                location.clone(),
                "too many files include each other",
                &format!("{MAX_DEPTH} files deep and {MAX_FILES} in all may be included"),
            ));
        }
        let included = (self.open)(file, &name.text).map_err(|error| {
            ConfigError::new(
                name.location.clone(),
                &format!("'{}' can't be read: {error}", name.text),
                "paths are relative to the file that includes",
            )
        })?;
        self.read(&included.name, &included.text, depth)
    }
}
