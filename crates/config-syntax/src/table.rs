//! Tables of directives, against which statements are checked.

use crate::error::{suggest, ConfigError, Location};
use crate::grammar::{Statement, Word};
use crate::value::{Value, ValueKind};

/// A word behind a directive's values that takes a value itself.
pub type DirectiveOption = (&'static str, ValueKind);

/// One directive.
#[derive(Debug)]
pub struct Directive {
    /// Its name, the first word of its statements.
    pub name: &'static str,
    /// The values that it takes, in order.
    pub values: &'static [ValueKind],
    /// One or more further values, all of one kind.
    pub rest: Option<ValueKind>,
    /// Behind the values, a word and its value each, in any order; none is needed.
    pub options: &'static [DirectiveOption],
    /// Behind the values, another directive of this table.
    pub nested: Option<&'static [Directive]>,
    /// It takes a block, with directives of this table.
    pub block: Option<&'static [Directive]>,
    /// It may be given more than once.
    pub is_repeatable: bool,
    /// What holds where it isn't given, in words.
    pub default: &'static str,
    /// What it is for, in words.
    pub help: &'static str,
}

impl Directive {
    /// A directive with plain values, given once.
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

    /// The same, which may be given more than once.
    pub const fn repeatable(mut self) -> Self {
        self.is_repeatable = true;
        self
    }

    /// The same with one or more further values.
    pub const fn rest(mut self, kind: ValueKind) -> Self {
        self.rest = Some(kind);
        self
    }

    /// The same with options behind its values.
    pub const fn options(mut self, options: &'static [DirectiveOption]) -> Self {
        self.options = options;
        self
    }

    /// The same with another directive behind its values.
    pub const fn nested(mut self, table: &'static [Directive]) -> Self {
        self.nested = Some(table);
        self
    }

    /// The same with a block.
    pub const fn block(mut self, table: &'static [Directive]) -> Self {
        self.block = Some(table);
        self
    }

    /// How it is written.
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

    fn option(&self, word: &Word) -> Option<&'static DirectiveOption> {
        self.options.iter().find(|(name, _)| *name == word.text)
    }
}

/// A statement that fits its directive.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// The directive's name.
    pub name: &'static str,
    /// Where it stands.
    pub location: Location,
    /// The values, and behind them the further ones.
    pub values: Vec<Value>,
    /// The options that were given.
    pub options: Vec<(&'static str, Value)>,
    /// The directive behind its values.
    pub nested: Option<Box<Setting>>,
    /// The settings of its block.
    pub block: Vec<Setting>,
}

impl Setting {
    /// The value of an option, where it is given.
    pub fn option(&self, name: &str) -> Option<&Value> {
        let option = self.options.iter().find(|(known, _)| *known == name);
        option.map(|(_, value)| value)
    }

    /// A setting of its block.
    pub fn inner(&self, name: &str) -> Option<&Setting> {
        find(&self.block, name)
    }

    /// The first value of a setting of its block.
    pub fn inner_value(&self, name: &str) -> Option<&Value> {
        self.inner(name)?.values.first()
    }
}

/// The first setting of a directive.
pub fn find<'a>(settings: &'a [Setting], name: &str) -> Option<&'a Setting> {
    settings.iter().find(|setting| setting.name == name)
}

/// Checks statements against a table.
///
/// # Errors
///
/// The first statement that doesn't fit, with the remedy.
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
            reject_second(&settings, &setting)?;
        }
        settings.push(setting);
    }
    Ok(settings)
}

fn reject_second(settings: &[Setting], setting: &Setting) -> Result<(), ConfigError> {
    let Some(first) = find(settings, setting.name) else {
        return Ok(());
    };
    Err(ConfigError::new(
        setting.location.clone(),
        &format!("'{}' is given twice", setting.name),
        &format!("it stands at {} already; remove one", first.location),
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
            &format!("'{}' is no directive", word.text),
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
        first: &words[0],
        words: &words[1..],
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

/// Takes the words of one statement from the front, as its directive says.
struct Checker<'a> {
    directive: &'static Directive,
    first: &'a Word,
    /// What is not taken yet.
    words: &'a [Word],
}

impl Checker<'_> {
    fn take_values(&mut self) -> Result<Vec<Value>, ConfigError> {
        let mut values = Vec::new();
        for kind in self.directive.values {
            let Some((word, rest)) = self.words.split_first() else {
                return Err(self.error("lacks a value"));
            };
            values.push(parse_value(kind, word)?);
            self.words = rest;
        }
        let Some(kind) = &self.directive.rest else {
            return Ok(values);
        };
        let is_option = |word: &Word| self.directive.option(word).is_some();
        let first_option = self.words.iter().position(is_option);
        let (further, rest) = self
            .words
            .split_at(first_option.unwrap_or(self.words.len()));
        if further.is_empty() {
            return Err(self.error("lacks a value"));
        }
        for word in further {
            values.push(parse_value(kind, word)?);
        }
        self.words = rest;
        Ok(values)
    }

    fn take_options(&mut self) -> Result<Vec<(&'static str, Value)>, ConfigError> {
        let mut options: Vec<(&'static str, Value)> = Vec::new();
        while let Some((word, rest)) = self.words.split_first() {
            let Some((name, kind)) = self.directive.option(word) else {
                break;
            };
            if options.iter().any(|(known, _)| known == name) {
                return Err(ConfigError::new(
                    word.location.clone(),
                    &format!("'{name}' is given twice"),
                    "remove one",
                ));
            }
            let Some((value, rest)) = rest.split_first() else {
                return Err(self.error(&format!("lacks a value behind '{name}'")));
            };
            options.push((name, parse_value(kind, value)?));
            self.words = rest;
        }
        Ok(options)
    }

    /// Takes the directive behind the values, which the block then belongs to.
    fn take_nested(&self, block: Option<&[Statement]>) -> Result<Option<Setting>, ConfigError> {
        match (self.directive.nested, self.words.first()) {
            (Some(table), Some(word)) => {
                let directive = find_directive(word, table)?;
                check_statement(directive, self.words, block).map(Some)
            }
            (Some(_), None) => Err(self.error("lacks a directive behind its values")),
            (None, Some(extra)) => Err(ConfigError::new(
                extra.location.clone(),
                &format!(
                    "'{}' is more than '{}' takes",
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
            self.first.location.clone(),
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
            &format!("'{}' can't be used", word.text),
            &hint,
        )
    })
}
