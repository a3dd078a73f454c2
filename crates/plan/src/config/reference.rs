//! Generates the reference of all configuration keys from the schema.

use super::schema::{KeyDefault, Kind, Table, CONFIG};
use std::fmt::Write;

/// All tables and keys of the configuration file, as Markdown.
pub fn render_markdown() -> String {
    let mut out = String::new();
    render_tables("", &CONFIG, &mut out);
    out
}

fn render_tables(path: &str, table: &Table, out: &mut String) {
    if !path.is_empty() {
        let _ = writeln!(out, "### {path}\n\n{}\n", table.doc);
        out.push_str("| key | allowed | default | description |\n| --- | --- | --- | --- |\n");
        for key in table.keys {
            let default = match key.default {
                KeyDefault::Required => "required".to_owned(),
                KeyDefault::Value(value) => format!("`{value}`"),
                KeyDefault::Described(text) => text.to_owned(),
            };
            let allowed = key.kind.allowed().replace('|', "\\|");
            let _ = writeln!(out, "| `{}` | {allowed} | {default} | {} |", key.name, key.doc);
        }
        out.push('\n');
    }
    for key in table.keys {
        let subpath = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match key.kind {
            Kind::Table(inner) => {
                render_tables(&format!("`[{}]`", strip_markup(&subpath(key.name))), inner, out)
            }
            Kind::ArrayOfTables(inner) => {
                render_tables(&format!("`[[{}]]`", strip_markup(&subpath(key.name))), inner, out)
            }
            _ => {}
        }
    }
}

/// Strips the heading's markup from a table path.
fn strip_markup(path: &str) -> String {
    path.replace(['`', '[', ']'], "")
}
