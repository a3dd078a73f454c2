//! The reference of all keys, for the operators' guide, made from the schema.

use super::schema::{KeyDefault, Kind, Table, CONFIG};
use std::fmt::Write;

/// All tables and keys, as Markdown.
pub fn render_markdown() -> String {
    let mut out = String::new();
    tables("", &CONFIG, &mut out);
    out
}

fn tables(path: &str, table: &Table, out: &mut String) {
    if !path.is_empty() {
        let _ = writeln!(out, "### {path}\n\n{}\n", table.doc);
        out.push_str("| key | what is allowed | without it | what it does |\n| --- | --- | --- | --- |\n");
        for field in table.keys {
            let default = match field.default {
                KeyDefault::Required => "must be there".to_owned(),
                KeyDefault::Value(value) => format!("`{value}`"),
                KeyDefault::Described(words) => words.to_owned(),
            };
            let allowed = field.kind.allowed().replace('|', "\\|");
            let _ = writeln!(out, "| `{}` | {allowed} | {default} | {} |", field.name, field.doc);
        }
        out.push('\n');
    }
    for field in table.keys {
        let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match field.kind {
            Kind::Table(inner) => tables(&format!("`[{}]`", bare(&under(field.name))), inner, out),
            Kind::ArrayOfTables(inner) => tables(&format!("`[[{}]]`", bare(&under(field.name))), inner, out),
            _ => {}
        }
    }
}

/// A path without the marks of the headings that it was made from.
fn bare(path: &str) -> String {
    path.replace(['`', '[', ']'], "")
}
