//! Tables of directives: statements are checked against one, and its reference page is made from
//! it.

use crate::fault::{suggest, Fault, Place};
use crate::grammar::{Statement, Word};
use crate::value::{Kind, Value};

/// One directive.
#[derive(Debug)]
pub struct Spec {
    pub name: &'static str,
    /// The values that it takes, in order.
    pub values: &'static [Kind],
    /// One or more further values, all of one kind.
    pub rest: Option<Kind>,
    /// Behind the values, a word and its value each, in any order, none needed.
    pub options: &'static [(&'static str, Kind)],
    /// Behind the values, another directive of this table.
    pub nested: Option<&'static [Spec]>,
    /// It takes a block, with directives of this table.
    pub block: Option<&'static [Spec]>,
    /// It may be given more than once.
    pub many: bool,
    /// What holds where it isn't given.
    pub usual: &'static str,
    pub help: &'static str,
}

impl Spec {
    /// A directive with plain values, given once.
    pub const fn new(
        name: &'static str,
        values: &'static [Kind],
        usual: &'static str,
        help: &'static str,
    ) -> Self {
        Spec {
            name,
            values,
            rest: None,
            options: &[],
            nested: None,
            block: None,
            many: false,
            usual,
            help,
        }
    }

    pub const fn many(mut self) -> Self {
        self.many = true;
        self
    }

    pub const fn rest(mut self, kind: Kind) -> Self {
        self.rest = Some(kind);
        self
    }

    pub const fn options(mut self, options: &'static [(&'static str, Kind)]) -> Self {
        self.options = options;
        self
    }

    pub const fn nested(mut self, table: &'static [Spec]) -> Self {
        self.nested = Some(table);
        self
    }

    pub const fn block(mut self, table: &'static [Spec]) -> Self {
        self.block = Some(table);
        self
    }

    /// How it is written.
    pub fn usage(&self) -> String {
        let mut usage = self.name.to_string();
        self.values
            .iter()
            .for_each(|kind| usage += &format!(" {}", kind.form()));
        self.rest
            .iter()
            .for_each(|kind| usage += &format!(" {}...", kind.form()));
        self.options
            .iter()
            .for_each(|(name, kind)| usage += &format!(" [{name} {}]", kind.form()));
        if self.nested.is_some() {
            usage += " DIRECTIVE...";
        }
        if self.block.is_some() {
            usage += " { ... }";
        }
        usage
    }
}

/// A statement that fits its directive.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    pub name: &'static str,
    pub place: Place,
    /// The values, and behind them the further ones.
    pub values: Vec<Value>,
    pub options: Vec<(&'static str, Value)>,
    pub nested: Option<Box<Setting>>,
    pub block: Vec<Setting>,
}

impl Setting {
    pub fn option(&self, name: &str) -> Option<&Value> {
        self.options
            .iter()
            .find(|(own, _)| *own == name)
            .map(|(_, value)| value)
    }

    /// A setting of its block.
    pub fn inner(&self, name: &str) -> Option<&Setting> {
        find(&self.block, name)
    }

    /// The first value of a setting of its block.
    pub fn inner_value(&self, name: &str) -> Option<&Value> {
        self.inner(name).and_then(|setting| setting.values.first())
    }
}

/// The first setting of a name.
pub fn find<'a>(settings: &'a [Setting], name: &str) -> Option<&'a Setting> {
    settings.iter().find(|setting| setting.name == name)
}

pub fn check(statements: &[Statement], table: &'static [Spec]) -> Result<Vec<Setting>, Fault> {
    let mut settings: Vec<Setting> = Vec::new();
    for statement in statements {
        let setting = one(&statement.words, statement.block.as_deref(), table)?;
        let spec = table.iter().find(|spec| spec.name == setting.name);
        let before = settings.iter().find(|own| own.name == setting.name);
        if let Some(before) = before.filter(|_| spec.is_some_and(|spec| !spec.many)) {
            let what = format!("'{}' is given twice", setting.name);
            let hint = format!("it stands at {} already; remove one", before.place);
            return Err(Fault::new(setting.place, &what, &hint));
        }
        settings.push(setting);
    }
    Ok(settings)
}

fn value(kind: &Kind, word: &Word) -> Result<Value, Fault> {
    kind.read(&word.text).ok_or_else(|| {
        let hint = match kind {
            Kind::Choice(words) => suggest(&word.text, words.iter().copied()),
            kind => format!("expected {}", kind.expected()),
        };
        Fault::new(
            word.place.clone(),
            &format!("'{}' can't be used", word.text),
            &hint,
        )
    })
}

#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
fn one(
    words: &[Word],
    block: Option<&[Statement]>,
    table: &'static [Spec],
) -> Result<Setting, Fault> {
    let (first, mut left) = (&words[0], &words[1..]);
    let Some(spec) = table.iter().find(|spec| spec.name == first.text) else {
        let hint = suggest(&first.text, table.iter().map(|spec| spec.name));
        return Err(Fault::new(
            first.place.clone(),
            &format!("'{}' is no directive", first.text),
            &hint,
        ));
    };
    let usage = format!("write: {}", spec.usage());
    let missing = |what: &str| {
        Fault::new(
            first.place.clone(),
            &format!("'{}' {what}", spec.name),
            &usage,
        )
    };
    let mut values = Vec::new();
    for kind in spec.values {
        let (word, rest) = left.split_first().ok_or_else(|| missing("lacks a value"))?;
        values.push(value(kind, word)?);
        left = rest;
    }
    if let Some(kind) = &spec.rest {
        let is_option = |word: &Word| spec.options.iter().any(|(name, _)| *name == word.text);
        let count = left.iter().position(is_option).unwrap_or(left.len());
        if count == 0 {
            return Err(missing("lacks a value"));
        }
        for word in &left[..count] {
            values.push(value(kind, word)?);
        }
        left = &left[count..];
    }
    let mut options: Vec<(&'static str, Value)> = Vec::new();
    while let Some((name, kind)) = left
        .first()
        .and_then(|word| spec.options.iter().find(|(name, _)| *name == word.text))
    {
        if options.iter().any(|(own, _)| own == name) {
            return Err(Fault::new(
                left[0].place.clone(),
                &format!("'{name}' is given twice"),
                "remove one",
            ));
        }
        let word = left
            .get(1)
            .ok_or_else(|| missing(&format!("lacks a value behind '{name}'")))?;
        options.push((name, value(kind, word)?));
        left = &left[2..];
    }
    let (mut nested, mut inner) = (None, Vec::new());
    match (spec.nested, left.first()) {
        (Some(table), Some(_)) => nested = Some(Box::new(one(left, block, table)?)),
        (Some(_), None) => return Err(missing("lacks a directive behind its values")),
        (None, Some(extra)) => {
            let what = format!("'{}' is more than '{}' takes", extra.text, spec.name);
            return Err(Fault::new(extra.place.clone(), &what, &usage));
        }
        (None, None) => match (spec.block, block) {
            (Some(table), Some(block)) => inner = check(block, table)?,
            (Some(_), None) => return Err(missing("lacks its block")),
            (None, Some(_)) => return Err(missing("takes no block")),
            (None, None) => {}
        },
    }
    Ok(Setting {
        name: spec.name,
        place: first.place.clone(),
        values,
        options,
        nested,
        block: inner,
    })
}

/// The reference of a table, as Markdown.
pub fn reference(table: &[Spec]) -> String {
    let mut page = String::new();
    let mut inner: Vec<(&Spec, &[Spec])> = Vec::new();
    rows(table, &mut page, &mut inner);
    while !inner.is_empty() {
        for (spec, table) in std::mem::take(&mut inner) {
            page += &format!("\nWithin `{}`:\n\n", spec.usage());
            rows(table, &mut page, &mut inner);
        }
    }
    page
}

fn rows<'a>(table: &'a [Spec], page: &mut String, inner: &mut Vec<(&'a Spec, &'a [Spec])>) {
    *page += "| directive | values | without it | meaning |\n| --- | --- | --- | --- |\n";
    for spec in table {
        let kinds = spec
            .values
            .iter()
            .chain(spec.rest.iter())
            .map(Kind::expected);
        let options = spec
            .options
            .iter()
            .map(|(name, kind)| format!("`{name}`: {}", kind.expected()));
        let values = kinds.chain(options).collect::<Vec<_>>().join("; ");
        let (usage, usual, help) = (spec.usage().replace('|', "\\|"), spec.usual, spec.help);
        *page += &format!(
            "| `{usage}` | {} | {usual} | {help} |\n",
            values.replace('|', "\\|")
        );
        inner.extend(spec.block.or(spec.nested).map(|table| (spec, table)));
    }
}
