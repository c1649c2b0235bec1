//! Tables of directives, and the check of statements against a table.

use crate::error::{suggest, ConfigError, Location};
use crate::grammar::{Statement, Word};
use crate::value::{Value, ValueKind};

/// A named option after a directive's values, and the kind of the option's value.
pub type DirectiveOption = (&'static str, ValueKind);

/// The definition of a directive: its arguments, its default and its purpose.
#[derive(Debug)]
pub struct Directive {
    /// The first word of the directive's statements.
    pub name: &'static str,
    /// Kinds of the required values, in order.
    pub values: &'static [ValueKind],
    /// Kind of the one or more further values after `values`; `None` if there are none.
    pub rest: Option<ValueKind>,
    /// Named options after the values, in any order. All are optional.
    pub options: &'static [DirectiveOption],
    /// Directives one of which must follow the values in the same statement; `None` if no directive
    /// may follow.
    pub nested: Option<&'static [Directive]>,
    /// Table of the directives in the block; `None` if the directive has no block.
    pub block: Option<&'static [Directive]>,
    /// Whether the directive may be given more than once.
    pub is_repeatable: bool,
    /// Description of what applies if the directive is not given.
    pub default: &'static str,
    /// Description of what the directive sets.
    pub help: &'static str,
}

impl Directive {
    /// Creates a directive that has only required values and may be given once.
    pub const fn new(
        name: &'static str,
        values: &'static [ValueKind],
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Directive {
            name,
            values,
            rest: None,
            options: &[],
            nested: None,
            block: None,
            is_repeatable: false,
            default,
            help,
        }
    }

    /// Allows the directive to be given more than once.
    pub const fn repeatable(mut self) -> Self {
        self.is_repeatable = true;
        self
    }

    /// Requires one or more further values after the required ones.
    pub const fn rest(mut self, kind: ValueKind) -> Self {
        self.rest = Some(kind);
        self
    }

    /// Allows options after the values.
    pub const fn options(mut self, options: &'static [DirectiveOption]) -> Self {
        self.options = options;
        self
    }

    /// Requires another directive after the values.
    pub const fn nested(mut self, table: &'static [Directive]) -> Self {
        self.nested = Some(table);
        self
    }

    /// Requires a block.
    pub const fn block(mut self, table: &'static [Directive]) -> Self {
        self.block = Some(table);
        self
    }

    /// Returns the directive's syntax, such as `record-dir PATH`.
    pub fn usage(&self) -> String {
        let mut usage = self.name.to_string();
        for kind in self.values {
            usage += &format!(" {}", kind.placeholder());
        }
        if let Some(kind) = &self.rest {
            usage += &format!(" {}...", kind.placeholder());
        }
        for (name, kind) in self.options {
            usage += &format!(" [{name} {}]", kind.placeholder());
        }
        if self.nested.is_some() {
            usage += " DIRECTIVE...";
        }
        if self.block.is_some() {
            usage += " { ... }";
        }
        usage
    }

    fn find_option(&self, word: &Word) -> Option<&'static DirectiveOption> {
        self.options.iter().find(|(name, _)| *name == word.text)
    }
}

/// A statement that was checked against its directive.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Name of the directive.
    pub name: &'static str,
    /// Location of the directive's name.
    pub location: Location,
    /// The required values, followed by those that [`Directive::rest`] allows.
    pub values: Vec<Value>,
    /// The given options, in the order in which the statement lists them.
    pub options: Vec<(&'static str, Value)>,
    /// The directive after the values; `None` if this directive doesn't take another.
    pub nested: Option<Box<Setting>>,
    /// The settings in the block; empty without a block.
    pub block: Vec<Setting>,
}

impl Setting {
    /// Returns the value of an option, or `None` if it is not given.
    pub fn option(&self, name: &str) -> Option<&Value> {
        let option = self.options.iter().find(|(option, _)| *option == name);
        option.map(|(_, value)| value)
    }

    /// Returns the first setting of a directive in the block.
    pub fn inner(&self, name: &str) -> Option<&Setting> {
        find(&self.block, name)
    }

    /// Returns the first value of the first setting of a directive in the block.
    pub fn inner_value(&self, name: &str) -> Option<&Value> {
        self.inner(name)?.values.first()
    }
}

/// Returns the first setting of a directive.
pub fn find<'a>(settings: &'a [Setting], name: &str) -> Option<&'a Setting> {
    settings.iter().find(|setting| setting.name == name)
}

/// Checks statements against a table.
///
/// # Errors
///
/// Returns the location of the first invalid statement, with the remedy.
pub fn check(
    statements: &[Statement],
    table: &'static [Directive],
) -> Result<Vec<Setting>, ConfigError> {
    let mut settings: Vec<Setting> = Vec::new();
    for statement in statements {
        let block = statement.block.as_deref();
        let directive = find_directive(&statement.words[0], table)?;
        let setting = check_statement(directive, &statement.words, block)?;
        if !directive.is_repeatable {
            reject_duplicate(&settings, &setting)?;
        }
        settings.push(setting);
    }
    Ok(settings)
}

fn reject_duplicate(settings: &[Setting], setting: &Setting) -> Result<(), ConfigError> {
    let Some(first) = find(settings, setting.name) else {
        return Ok(());
    };
    Err(ConfigError::new(
        setting.location.clone(),
        &format!("'{}' is given twice", setting.name),
        &format!("it is already set at {}; remove one", first.location),
    ))
}

fn find_directive(
    word: &Word,
    table: &'static [Directive],
) -> Result<&'static Directive, ConfigError> {
    let directive = table.iter().find(|directive| directive.name == word.text);
    directive.ok_or_else(|| {
        ConfigError::new(
            word.location.clone(),
            &format!("'{}' is not a directive", word.text),
            &suggest(&word.text, table.iter().map(|directive| directive.name)),
        )
    })
}

fn check_statement(
    directive: &'static Directive,
    words: &[Word],
    block: Option<&[Statement]>,
) -> Result<Setting, ConfigError> {
    let mut checker = Checker {
        directive,
        name: &words[0],
        remaining_words: &words[1..],
    };
    let values = checker.take_values()?;
    let options = checker.take_options()?;
    let nested = checker.take_nested(block)?;
    let block = match nested {
        Some(_) => Vec::new(),
        None => checker.take_block(block)?,
    };
    Ok(Setting {
        name: directive.name,
        location: words[0].location.clone(),
        values,
        options,
        nested: nested.map(Box::new),
        block,
    })
}

/// Takes the words of one statement from front to back, as the directive's definition requires.
struct Checker<'a> {
    directive: &'static Directive,
    name: &'a Word,
    remaining_words: &'a [Word],
}

impl Checker<'_> {
    fn take_values(&mut self) -> Result<Vec<Value>, ConfigError> {
        let mut values = Vec::new();
        for kind in self.directive.values {
            let Some((word, rest)) = self.remaining_words.split_first() else {
                return Err(self.error("lacks a value"));
            };
            values.push(parse_value(kind, word)?);
            self.remaining_words = rest;
        }
        let Some(kind) = &self.directive.rest else {
            return Ok(values);
        };
        let is_option = |word: &Word| self.directive.find_option(word).is_some();
        let first_option = self.remaining_words.iter().position(is_option);
        let (further, rest) = self
            .remaining_words
            .split_at(first_option.unwrap_or(self.remaining_words.len()));
        if further.is_empty() {
            return Err(self.error("lacks a value"));
        }
        for word in further {
            values.push(parse_value(kind, word)?);
        }
        self.remaining_words = rest;
        Ok(values)
    }

    fn take_options(&mut self) -> Result<Vec<(&'static str, Value)>, ConfigError> {
        let mut options: Vec<(&'static str, Value)> = Vec::new();
        while let Some((word, rest)) = self.remaining_words.split_first() {
            let Some((name, kind)) = self.directive.find_option(word) else {
                break;
            };
            if options.iter().any(|(given, _)| given == name) {
                return Err(ConfigError::new(
                    word.location.clone(),
                    &format!("'{name}' is given twice"),
                    "remove one",
                ));
            }
            let Some((value, rest)) = rest.split_first() else {
                return Err(self.error(&format!("lacks a value after '{name}'")));
            };
            options.push((name, parse_value(kind, value)?));
            self.remaining_words = rest;
        }
        Ok(options)
    }

    /// Takes the directive after the values. If there is one, the statement's block belongs to that
    /// directive.
    fn take_nested(&self, block: Option<&[Statement]>) -> Result<Option<Setting>, ConfigError> {
        match (self.directive.nested, self.remaining_words.first()) {
            (Some(table), Some(word)) => {
                let directive = find_directive(word, table)?;
                check_statement(directive, self.remaining_words, block).map(Some)
            }
            (Some(_), None) => Err(self.error("lacks a directive after its values")),
            (None, Some(extra)) => Err(ConfigError::new(
                extra.location.clone(),
                &format!(
                    "'{}' is one word more than '{}' takes",
                    extra.text, self.directive.name
                ),
                &self.usage(),
            )),
            (None, None) => Ok(None),
        }
    }

    fn take_block(&self, block: Option<&[Statement]>) -> Result<Vec<Setting>, ConfigError> {
        match (self.directive.block, block) {
            (Some(table), Some(block)) => check(block, table),
            (Some(_), None) => Err(self.error("lacks its block")),
            (None, Some(_)) => Err(self.error("takes no block")),
            (None, None) => Ok(Vec::new()),
        }
    }

    fn usage(&self) -> String {
        format!("write: {}", self.directive.usage())
    }

    fn error(&self, problem: &str) -> ConfigError {
        ConfigError::new(
            self.name.location.clone(),
            &format!("'{}' {problem}", self.directive.name),
            &self.usage(),
        )
    }
}

fn parse_value(kind: &ValueKind, word: &Word) -> Result<Value, ConfigError> {
    kind.parse(&word.text).ok_or_else(|| {
        let hint = match kind {
            ValueKind::Choice(words) => suggest(&word.text, words.iter().copied()),
            kind => format!("expected {}", kind.expected()),
        };
        ConfigError::new(
            word.location.clone(),
            &format!("'{}' is not a valid value", word.text),
            &hint,
        )
    })
}
