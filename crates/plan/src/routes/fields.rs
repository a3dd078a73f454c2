//! Conditions on headers and on the query.

use super::expression::Expression;

/// A condition on the values that stand under one name.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldMatch {
    /// The name: of a header in small letters, of a query parameter as it is.
    pub name: String,
    /// What has to hold.
    pub test: FieldTest,
}

/// What has to hold for the values under a name. Of several, one has to fit.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldTest {
    /// There is one.
    Present,
    /// There is none.
    Absent,
    /// It is this.
    Equals(String),
    /// It begins with this.
    StartsWith(String),
    /// The whole of it matches.
    Matches(Expression),
}

impl FieldMatch {
    /// Whether the condition holds for these values.
    pub fn matches<'v>(&self, mut values: impl Iterator<Item = &'v [u8]>) -> bool {
        match &self.test {
            FieldTest::Present => values.next().is_some(),
            FieldTest::Absent => values.next().is_none(),
            FieldTest::Equals(own) => values.any(|v| v == own.as_bytes()),
            FieldTest::StartsWith(own) => values.any(|v| v.starts_with(own.as_bytes())),
            FieldTest::Matches(regex) => {
                values.any(|v| std::str::from_utf8(v).is_ok_and(|text| regex.is_match(text)))
            }
        }
    }

    /// Whether the condition holds for a query, as it stands behind the `?`.
    pub fn matches_query(&self, query: &str) -> bool {
        let values: Vec<Vec<u8>> = query
            .split('&')
            .filter(|part| !part.is_empty())
            .map(|part| part.split_once('=').unwrap_or((part, "")))
            .filter(|(name, _)| decode(name) == self.name.as_bytes())
            .map(|(_, value)| decode(value))
            .collect();
        self.matches(values.iter().map(Vec::as_slice))
    }
}

/// Undoes escapes and `+` (application/x-www-form-urlencoded); what is no escape stays as it is.
fn decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let pair = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        let byte = pair.filter(|p| p.bytes().all(|b| b.is_ascii_hexdigit()));
        match byte.and_then(|p| u8::from_str_radix(p, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    out
}

impl std::fmt::Display for FieldMatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = &self.name;
        match &self.test {
            FieldTest::Present => write!(f, "{name} is there"),
            FieldTest::Absent => write!(f, "{name} is not there"),
            FieldTest::Equals(own) => write!(f, "{name} is {own:?}"),
            FieldTest::StartsWith(own) => write!(f, "{name} begins with {own:?}"),
            FieldTest::Matches(regex) => write!(f, "{name} matches {regex}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn is(name: &str, value: &str) -> FieldMatch {
        FieldMatch { name: name.into(), test: FieldTest::Equals(value.into()) }
    }

    #[test]
    fn queries_are_read_decoded() {
        for (query, hit) in [
            ("a=b+c", true),
            ("x=1&a=b%20c", true),
            ("%61=b%20c", true),
            ("a=b&a=b+c", true),
            ("a=b", false),
            ("", false),
            ("a", false),
        ] {
            assert_eq!(is("a", "b c").matches_query(query), hit, "{query}");
        }
        let absent = FieldMatch { name: "a".into(), test: FieldTest::Absent };
        assert!(absent.matches_query("b=1") && !absent.matches_query("a"));
    }

    proptest! {
        #[test]
        fn no_query_panics(query in ".{0,60}") {
            let _ = is("a", "b").matches_query(&query);
        }
    }
}
