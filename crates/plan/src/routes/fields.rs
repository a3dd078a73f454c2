//! Conditions on headers and query parameters.

use super::expression::Expression;

/// A condition on the values of one header or query parameter.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldMatch {
    /// The name; of a header in lower case.
    pub name: String,
    /// The condition.
    pub test: FieldTest,
}

/// The condition on the values of a name. If there are several values, one of them must match.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldTest {
    /// There is a value.
    Present,
    /// There is no value.
    Absent,
    /// The value is equal to this text.
    Equals(String),
    /// The value begins with this text.
    StartsWith(String),
    /// The whole value matches this expression.
    Matches(Expression),
}

impl FieldMatch {
    /// Whether the condition holds for these values.
    pub fn matches<'v>(&self, mut values: impl Iterator<Item = &'v [u8]>) -> bool {
        match &self.test {
            FieldTest::Present => values.next().is_some(),
            FieldTest::Absent => values.next().is_none(),
            FieldTest::Equals(text) => values.any(|v| v == text.as_bytes()),
            FieldTest::StartsWith(prefix) => values.any(|v| v.starts_with(prefix.as_bytes())),
            FieldTest::Matches(regex) => {
                values.any(|v| std::str::from_utf8(v).is_ok_and(|text| regex.is_match(text)))
            }
        }
    }

    /// Whether the condition holds for a query, given as the text after the `?`.
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

/// Decodes a name or value in application/x-www-form-urlencoded. Invalid escapes are kept unchanged.
fn decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let pair = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        let digits = pair.filter(|p| p.bytes().all(|b| b.is_ascii_hexdigit()));
        match digits.and_then(|p| u8::from_str_radix(p, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
                index += 1;
            }
        }
    }
    decoded
}

impl std::fmt::Display for FieldMatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = &self.name;
        match &self.test {
            FieldTest::Present => write!(f, "{name} is present"),
            FieldTest::Absent => write!(f, "{name} is absent"),
            FieldTest::Equals(text) => write!(f, "{name} is {text:?}"),
            FieldTest::StartsWith(prefix) => write!(f, "{name} begins with {prefix:?}"),
            FieldTest::Matches(regex) => write!(f, "{name} matches {regex}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn equals(name: &str, value: &str) -> FieldMatch {
        FieldMatch { name: name.into(), test: FieldTest::Equals(value.into()) }
    }

    #[test]
    fn query_parameters_are_decoded_before_matching() {
        for (query, expected) in [
            ("a=b+c", true),
            ("x=1&a=b%20c", true),
            ("%61=b%20c", true),
            ("a=b&a=b+c", true),
            ("a=b", false),
            ("", false),
            ("a", false),
        ] {
            assert_eq!(equals("a", "b c").matches_query(query), expected, "{query}");
        }
        let absent = FieldMatch { name: "a".into(), test: FieldTest::Absent };
        assert!(absent.matches_query("b=1") && !absent.matches_query("a"));
    }

    proptest! {
        #[test]
        fn arbitrary_queries_do_not_panic(query in ".{0,60}") {
            let _ = equals("a", "b").matches_query(&query);
        }
    }
}
