//! The reference of a table of directives as Markdown.

use crate::table::Directive;
use crate::value::ValueKind;

/// A directive that contains other directives, and the table of the contained ones.
type InnerTable<'a> = (&'a Directive, &'a [Directive]);

/// Returns one Markdown table for `table`, followed by one for each nested table of directives,
/// level by level.
pub fn reference(table: &[Directive]) -> String {
    let mut page = String::new();
    let mut level = write_rows(table, &mut page);
    while !level.is_empty() {
        let mut next_level = Vec::new();
        for (directive, table) in level {
            page += &format!("\nWithin `{}`:\n\n", directive.usage());
            next_level.extend(write_rows(table, &mut page));
        }
        level = next_level;
    }
    page
}

/// Appends the rows for one table and returns the tables nested in it.
fn write_rows<'a>(table: &'a [Directive], page: &mut String) -> Vec<InnerTable<'a>> {
    *page += "| directive | values | default | meaning |\n| --- | --- | --- | --- |\n";
    let mut inner = Vec::new();
    for directive in table {
        let usage = escape(&directive.usage());
        let values = escape(&describe_values(directive));
        let (default, help) = (directive.default, directive.help);
        *page += &format!("| `{usage}` | {values} | {default} | {help} |\n");
        if let Some(table) = directive.block.or(directive.nested) {
            inner.push((directive, table));
        }
    }
    inner
}

fn describe_values(directive: &Directive) -> String {
    let values = directive.values.iter().chain(directive.rest.iter());
    let mut descriptions: Vec<String> = values.map(ValueKind::expected).collect();
    for (name, kind) in directive.options {
        descriptions.push(format!("`{name}`: {}", kind.expected()));
    }
    descriptions.join("; ")
}

fn escape(text: &str) -> String {
    text.replace('|', "\\|")
}
