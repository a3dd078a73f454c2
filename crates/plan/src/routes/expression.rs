//! Regular expressions that can be compared for equality.

use regex::Regex;
use std::ops::Deref;

/// A regular expression, equal to another one with the same text.
#[derive(Clone, Debug)]
pub struct Expression(Regex);

impl From<Regex> for Expression {
    fn from(regex: Regex) -> Self {
        Expression(regex)
    }
}

impl Deref for Expression {
    type Target = Regex;

    fn deref(&self) -> &Regex {
        &self.0
    }
}

impl PartialEq for Expression {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_str() == other.0.as_str()
    }
}

impl std::fmt::Display for Expression {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
