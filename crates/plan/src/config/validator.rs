//! Checks a TOML document against the schema and reports every problem with its position, not only the first.

use super::schema::{Key, KeyDefault, Kind, Table};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The severity of a diagnostic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is rejected.
    Error,
    /// The file is accepted, but is probably not what the operator intended.
    Warning,
}

/// A problem found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Whether it rejects the file.
    pub severity: Severity,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The path of the key, such as `route[2].path`; empty for TOML syntax errors.
    pub path: String,
    /// What is wrong, for the operator.
    pub message: String,
    /// The values that are allowed there; empty if the message says enough.
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

/// Collects the diagnostics of a file and maps its keys to positions.
#[derive(Debug)]
pub struct Validator<'t> {
    text: &'t str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    /// Byte range of each value by the path of its key; array items have their own entries.
    spans: BTreeMap<String, Range<usize>>,
    /// Diagnostics, in the order in which they were found.
    pub diagnostics: Vec<Diagnostic>,
}

impl<'t> Validator<'t> {
    /// Parses a text and checks it against a schema. The document is returned as far as it could be parsed.
    pub fn validate(text: &'t str, schema: &Table) -> (Self, Spanned<DeTable<'t>>) {
        let line_starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let mut validator = Validator { text, line_starts, spans: BTreeMap::new(), diagnostics: Vec::new() };
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let (line, column) = validator.line_and_column(error.span().map_or(0, |s| s.start));
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
        // A document recovered after a syntax error would give spurious diagnostics.
        if errors.is_empty() {
            validator.check_table("", document.span(), document.get_ref(), schema);
        }
        (validator, document)
    }

    /// Line and column, both from 1, of a byte offset.
    fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        (line, self.text[start..offset].chars().count() + 1)
    }

    /// Reports a problem with a key. If the key is absent, the position is that of the closest enclosing value.
    pub fn report(&mut self, severity: Severity, path: &str, message: String, allowed: String) {
        let mut ancestor = path;
        let offset = loop {
            if let Some(span) = self.spans.get(ancestor) {
                break span.start;
            }
            match ancestor.rfind(['.', '[']) {
                Some(end) => ancestor = &ancestor[..end],
                None => break 0,
            }
        };
        let (line, column) = self.line_and_column(offset);
        self.diagnostics.push(Diagnostic { severity, line, column, path: path.to_owned(), message, allowed });
    }

    /// Reports an error.
    pub fn error(&mut self, path: &str, message: impl Into<String>) {
        self.report(Severity::Error, path, message.into(), String::new());
    }

    /// Whether any diagnostic is an error.
    pub fn has_errors(&self) -> bool {
        self.diagnostics.iter().any(|d| d.severity == Severity::Error)
    }

    fn check_table(&mut self, path: &str, span: Range<usize>, table: &DeTable<'_>, schema: &Table) {
        self.spans.insert(path.to_owned(), span);
        let subpath = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let key_path = subpath(name);
            match schema.keys.iter().find(|k| k.name == name) {
                Some(known) => self.check_value(&key_path, value, &known.kind),
                None => {
                    self.spans.insert(key_path.clone(), key.span());
                    let names: Vec<_> = schema.keys.iter().map(|k| k.name).collect();
                    let message = match closest_match(name, &names) {
                        Some(name) => format!("unknown key; did you mean `{name}`?"),
                        None => "unknown key".to_owned(),
                    };
                    self.report(Severity::Error, &key_path, message, names.join(", "));
                }
            }
        }
        let missing = |k: &&Key| k.default == KeyDefault::Required && !table.contains_key(k.name);
        for key in schema.keys.iter().filter(missing) {
            let message = format!("`{}` is missing", key.name);
            self.report(Severity::Error, &subpath(key.name), message, key.kind.allowed());
        }
    }

    fn check_value(&mut self, path: &str, value: &Spanned<DeValue<'_>>, kind: &Kind) {
        self.spans.insert(path.to_owned(), value.span());
        let problem = match (kind, value.get_ref()) {
            (Kind::Text(format), DeValue::String(text)) => (format.check)(text).err(),
            (Kind::OneOf(allowed), DeValue::String(text)) => {
                let is_allowed = allowed.contains(&text.as_ref());
                (!is_allowed).then(|| match closest_match(text, allowed) {
                    Some(name) => format!("{text:?} is not known; did you mean {name:?}?"),
                    None => format!("{text:?} is not known"),
                })
            }
            (Kind::Boolean, DeValue::Boolean(_)) => None,
            (Kind::Integer(min, max), DeValue::Integer(n)) => {
                let in_range = parse_integer(n).is_some_and(|n| (*min..=*max).contains(&n));
                (!in_range).then(|| format!("{n} is out of range"))
            }
            (Kind::OneOfIntegers(allowed), DeValue::Integer(n)) => {
                let is_allowed = parse_integer(n).is_some_and(|n| allowed.contains(&n));
                (!is_allowed).then(|| format!("{n} is not one of the allowed values"))
            }
            (Kind::Number(min, max), DeValue::Integer(_) | DeValue::Float(_)) => {
                let number = match value.get_ref() {
                    DeValue::Integer(n) => parse_integer(n).map(|n| n as f64),
                    DeValue::Float(n) => n.as_str().parse::<f64>().ok(),
                    _ => None,
                };
                let in_range = number.is_some_and(|n| (*min..=*max).contains(&n));
                (!in_range).then(|| "the number is out of range".to_owned())
            }
            (Kind::Array(item_kind), DeValue::Array(items)) => {
                for (index, item) in items.iter().enumerate() {
                    self.check_value(&format!("{path}[{index}]"), item, item_kind);
                }
                None
            }
            (Kind::Table(schema), DeValue::Table(table)) => {
                self.check_table(path, value.span(), table, schema);
                None
            }
            (Kind::ArrayOfTables(schema), DeValue::Array(items)) => {
                for (index, item) in items.iter().enumerate() {
                    let item_path = format!("{path}[{index}]");
                    match item.get_ref() {
                        DeValue::Table(table) => self.check_table(&item_path, item.span(), table, schema),
                        other => {
                            self.spans.insert(item_path.clone(), item.span());
                            let message = format!("this is {}", describe_type(other));
                            self.report(Severity::Error, &item_path, message, "a table".to_owned());
                        }
                    }
                }
                None
            }
            (Kind::Map(key_format, value_format), DeValue::Table(table)) => {
                for (key, item) in table {
                    let key_path = format!("{path}.{}", key.get_ref());
                    if let Err(message) = (key_format.check)(key.get_ref()) {
                        self.spans.insert(key_path.clone(), key.span());
                        self.report(Severity::Error, &key_path, message, key_format.allowed.to_owned());
                    } else {
                        self.check_value(&key_path, item, &Kind::Text(value_format));
                    }
                }
                None
            }
            (_, other) => Some(format!("this is {}", describe_type(other))),
        };
        if let Some(message) = problem {
            self.report(Severity::Error, path, message, kind.allowed());
        }
    }
}

fn parse_integer(n: &toml::de::DeInteger<'_>) -> Option<i64> {
    i64::from_str_radix(n.as_str(), n.radix()).ok()
}

fn describe_type(value: &DeValue<'_>) -> String {
    match value.type_str() {
        "integer" => "an integer".to_owned(),
        "array" => "an array".to_owned(),
        "string" => "a string".to_owned(),
        other => format!("a {other}"),
    }
}

/// The known name closest to a misspelt one, if any is close enough to suggest.
fn closest_match<'n>(name: &str, names: &[&'n str]) -> Option<&'n str> {
    let closest = names.iter().map(|known| (edit_distance(name, known), *known)).min()?;
    (closest.0 <= 2 && closest.0 < closest.1.len().max(3) / 2 + 1).then_some(closest.1)
}

/// The Levenshtein distance between two strings.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    // Bounds the work for overlong input, which matches no key anyway.
    for (i, x) in a.chars().take(100).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
