//! Holds a file against the schema: every fault with its place, not only the first.

use super::schema::{Key, KeyDefault, Kind, Table};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// How grave a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is not used.
    Error,
    /// The file is used; this is probably not what was meant.
    Warning,
}

/// Something wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// How grave it is.
    pub severity: Severity,
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The path of the key, such as `route[2].path`; empty for what is no TOML.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed there; empty where that goes without saying.
    pub allowed: String,
}

impl std::fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let severity = if self.severity == Severity::Error { "error" } else { "warning" };
        write!(f, "{}:{}: {severity}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// Where the values of a file stand, and what was found wrong with it.
#[derive(Debug)]
pub struct Validator<'t> {
    text: &'t str,
    /// Where each line begins.
    lines: Vec<usize>,
    /// By the path of the key, the place of its value; for a list of tables, of each table.
    places: BTreeMap<String, Range<usize>>,
    /// What is wrong, in the order in which it was found.
    pub diagnostics: Vec<Diagnostic>,
}

impl<'t> Validator<'t> {
    /// Reads a text and holds it against a schema. What it holds comes with it, as far as it could be read.
    pub fn read(text: &'t str, schema: &Table) -> (Self, Spanned<DeTable<'t>>) {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let mut validator = Validator { text, lines, places: BTreeMap::new(), diagnostics: Vec::new() };
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let (line, column) = validator.position(error.span().map_or(0, |s| s.start));
            let message = error.message().to_owned();
            let (path, allowed) = (String::new(), String::new());
            validator.diagnostics.push(Diagnostic {
                severity: Severity::Error,
                line,
                column,
                path,
                message,
                allowed,
            });
        }
        // What was recovered from a broken text would give faults that are none.
        if errors.is_empty() {
            validator.table("", document.span(), document.get_ref(), schema);
        }
        (validator, document)
    }

    /// Line and column of a byte.
    fn position(&self, at: usize) -> (usize, usize) {
        let mut at = at.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let line = self.lines.partition_point(|start| *start <= at);
        let start = self.lines[line - 1];
        (line, self.text[start..at].chars().count() + 1)
    }

    /// Notes a fault at a key that is, or should be, there. It stands at the nearest key that is.
    pub fn note(&mut self, severity: Severity, path: &str, message: String, allowed: String) {
        let mut near = path;
        let at = loop {
            if let Some(place) = self.places.get(near) {
                break place.start;
            }
            match near.rfind(['.', '[']) {
                Some(cut) => near = &near[..cut],
                None => break 0,
            }
        };
        let (line, column) = self.position(at);
        self.diagnostics.push(Diagnostic { severity, line, column, path: path.to_owned(), message, allowed });
    }

    /// Notes an error.
    pub fn error(&mut self, path: &str, what: impl Into<String>) {
        self.note(Severity::Error, path, what.into(), String::new());
    }

    /// Whether anything found forbids the file's use.
    pub fn has_errors(&self) -> bool {
        self.diagnostics.iter().any(|f| f.severity == Severity::Error)
    }

    fn table(&mut self, path: &str, span: Range<usize>, table: &DeTable<'_>, schema: &Table) {
        self.places.insert(path.to_owned(), span);
        let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let at = under(name);
            match schema.keys.iter().find(|f| f.name == name) {
                Some(field) => self.value(&at, value, &field.kind),
                None => {
                    self.places.insert(at.clone(), key.span());
                    let names: Vec<_> = schema.keys.iter().map(|f| f.name).collect();
                    let what = match nearest(name, &names) {
                        Some(near) => format!("unknown key; did you mean `{near}`?"),
                        None => "unknown key".to_owned(),
                    };
                    self.note(Severity::Error, &at, what, names.join(", "));
                }
            }
        }
        let missing = |f: &&Key| f.default == KeyDefault::Required && !table.contains_key(f.name);
        for field in schema.keys.iter().filter(missing) {
            let what = format!("`{}` is missing", field.name);
            self.note(Severity::Error, &under(field.name), what, field.kind.allowed());
        }
    }

    fn value(&mut self, path: &str, value: &Spanned<DeValue<'_>>, kind: &Kind) {
        self.places.insert(path.to_owned(), value.span());
        let problem = match (kind, value.get_ref()) {
            (Kind::Text(form), DeValue::String(text)) => (form.check)(text).err(),
            (Kind::OneOf(texts), DeValue::String(text)) => {
                let known = texts.contains(&text.as_ref());
                (!known).then(|| match nearest(text, texts) {
                    Some(near) => format!("{text:?} is not known; did you mean {near:?}?"),
                    None => format!("{text:?} is not known"),
                })
            }
            (Kind::Boolean, DeValue::Boolean(_)) => None,
            (Kind::Integer(least, most), DeValue::Integer(n)) => {
                let fits = whole(n).is_some_and(|n| (*least..=*most).contains(&n));
                (!fits).then(|| format!("{n} is out of range"))
            }
            (Kind::OneOfIntegers(all), DeValue::Integer(n)) => {
                let fits = whole(n).is_some_and(|n| all.contains(&n));
                (!fits).then(|| format!("{n} is not one of them"))
            }
            (Kind::Number(least, most), DeValue::Integer(_) | DeValue::Float(_)) => {
                let number = match value.get_ref() {
                    DeValue::Integer(n) => whole(n).map(|n| n as f64),
                    DeValue::Float(n) => n.as_str().parse::<f64>().ok(),
                    _ => None,
                };
                let fits = number.is_some_and(|n| (*least..=*most).contains(&n));
                (!fits).then(|| "the number is out of range".to_owned())
            }
            (Kind::Array(of), DeValue::Array(items)) => {
                for (k, item) in items.iter().enumerate() {
                    self.value(&format!("{path}[{k}]"), item, of);
                }
                None
            }
            (Kind::Table(schema), DeValue::Table(table)) => {
                self.table(path, value.span(), table, schema);
                None
            }
            (Kind::ArrayOfTables(schema), DeValue::Array(items)) => {
                for (k, item) in items.iter().enumerate() {
                    let at = format!("{path}[{k}]");
                    match item.get_ref() {
                        DeValue::Table(table) => self.table(&at, item.span(), table, schema),
                        other => {
                            self.places.insert(at.clone(), item.span());
                            let what = format!("this is {}", article(other));
                            self.note(Severity::Error, &at, what, "a table".to_owned());
                        }
                    }
                }
                None
            }
            (Kind::Map(keys, values), DeValue::Table(table)) => {
                for (key, item) in table {
                    let at = format!("{path}.{}", key.get_ref());
                    if let Err(what) = (keys.check)(key.get_ref()) {
                        self.places.insert(at.clone(), key.span());
                        self.note(Severity::Error, &at, what, keys.allowed.to_owned());
                    } else {
                        self.value(&at, item, &Kind::Text(values));
                    }
                }
                None
            }
            (_, other) => Some(format!("this is {}", article(other))),
        };
        if let Some(what) = problem {
            self.note(Severity::Error, path, what, kind.allowed());
        }
    }
}

fn whole(n: &toml::de::DeInteger<'_>) -> Option<i64> {
    i64::from_str_radix(n.as_str(), n.radix()).ok()
}

fn article(value: &DeValue<'_>) -> String {
    match value.type_str() {
        "integer" => "a whole number".to_owned(),
        "array" => "a list".to_owned(),
        "string" => "a text".to_owned(),
        other => format!("a {other}"),
    }
}

/// The known name that a misspelt one most resembles.
fn nearest<'n>(name: &str, names: &[&'n str]) -> Option<&'n str> {
    let near = names.iter().map(|known| (distance(name, known), *known)).min()?;
    (near.0 <= 2 && near.0 < near.1.len().max(3) / 2 + 1).then_some(near.1)
}

/// Edits of one character that lead from one text to the other (Levenshtein).
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    // A name is short; what is much longer resembles none.
    for (i, x) in a.chars().take(100).enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = substituted.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
