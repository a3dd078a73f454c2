//! The sites that a request has passed: a loop is refused, and so is a way that is too long.

/// Names that a list may hold at most, whatever the settings say.
const MAX_SITES: usize = 16;
/// The longest name, in bytes.
const MAX_SITE_NAME_BYTES: usize = 64;

/// The sites that a request has passed, the first one first. It travels as one header line: names with `, ` between.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hops(Vec<String>);

/// Why a request may not go further. It has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// It has been here.
    #[error("it has passed {0} already")]
    Loop(String),
    /// It has passed as many sites as it may.
    #[error("it has passed {0} sites already, and no more are allowed")]
    TooMany(usize),
}

/// A line that is no list of sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a list of sites is at most 16 names of letters, digits, `-`, `_` and `.`, each at most 64 long, with commas")]
pub struct InvalidHops;

impl Hops {
    /// Reads the header line of a request; an empty one is an empty list.
    ///
    /// # Errors
    /// Where the line is none that a gateway writes.
    pub fn parse(line: &str) -> Result<Self, InvalidHops> {
        if line.trim().is_empty() {
            return Ok(Hops::default());
        }
        let parse_name = |name: &str| {
            let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            let is_valid =
                !name.is_empty() && name.len() <= MAX_SITE_NAME_BYTES && name.bytes().all(is_allowed);
            is_valid.then(|| name.to_owned()).ok_or(InvalidHops)
        };
        // Counted before anything is kept: a peer's line must not cost memory.
        if line.split(',').nth(MAX_SITES).is_some() {
            return Err(InvalidHops);
        }
        line.split(',').map(|name| parse_name(name.trim())).collect::<Result<_, _>>().map(Hops)
    }

    /// How many sites it has passed.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it has passed none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The list with which a request leaves `own` for `next`.
    ///
    /// # Errors
    /// Where it has been at either, or the list would be longer than `most`.
    pub fn forwarded(&self, local_site: &str, next_site: &str, max_hops: usize) -> Result<Hops, HopError> {
        if let Some(seen) = self.0.iter().find(|name| *name == local_site || *name == next_site) {
            return Err(HopError::Loop(seen.clone()));
        }
        if self.0.len() >= max_hops.min(MAX_SITES) {
            return Err(HopError::TooMany(self.0.len()));
        }
        let mut sites = self.0.clone();
        sites.push(local_site.to_owned());
        Ok(Hops(sites))
    }

    /// Whether a request with this list may be taken at `own`.
    ///
    /// # Errors
    /// Where it has been here, or has passed more than `most`.
    pub fn check_arrival(&self, local_site: &str, max_hops: usize) -> Result<(), HopError> {
        match self.0.iter().find(|name| *name == local_site) {
            Some(seen) => Err(HopError::Loop(seen.clone())),
            None if self.0.len() > max_hops => Err(HopError::TooMany(self.0.len())),
            None => Ok(()),
        }
    }
}

impl std::fmt::Display for Hops {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join(", "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn loops_and_too_many_hops_are_refused() {
        let first = Hops::default().forwarded("perth", "depot", 2).unwrap();
        assert_eq!(first.to_string(), "perth");
        assert_eq!(first.check_arrival("depot", 2), Ok(()));
        assert_eq!(first.check_arrival("perth", 2), Err(HopError::Loop("perth".into())));
        assert_eq!(first.forwarded("depot", "perth", 2), Err(HopError::Loop("perth".into())));
        let second = first.forwarded("depot", "north", 2).unwrap();
        assert_eq!(second.forwarded("north", "east", 2), Err(HopError::TooMany(2)));
        assert_eq!(second.check_arrival("east", 1), Err(HopError::TooMany(2)));
    }

    #[test]
    fn malformed_hop_lists_are_refused() {
        let long_name = "x".repeat(65);
        let many_names = vec!["a"; 17].join(",");
        for line in ["a,,b", ",", "a b", "a;b", "ä", &long_name, &many_names] {
            assert_eq!(Hops::parse(line), Err(InvalidHops), "{line}");
        }
        assert_eq!(Hops::parse(" ").unwrap().len(), 0);
    }

    proptest! {
        #[test]
        fn a_formatted_hop_list_parses_to_the_same_list(names in prop::collection::vec("[a-zA-Z0-9._-]{1,64}", 0..=16)) {
            let hops = Hops(names);
            prop_assert_eq!(Hops::parse(&hops.to_string()), Ok(hops));
        }

        #[test]
        fn parsing_arbitrary_text_does_not_panic(line in "\\PC*") {
            if let Ok(hops) = Hops::parse(&line) {
                prop_assert!(hops.len() <= MAX_SITES);
            }
        }
    }
}
