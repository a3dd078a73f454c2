//! The list of sites that a request has passed through, used to refuse loops and too many hops.

/// Upper bound on the length of a list, whatever the configured hop limit.
const MAX_SITES: usize = 16;
const MAX_SITE_NAME_BYTES: usize = 64;

/// The sites that a request has passed through, oldest first. Sent as a header value: names separated by `,
/// `.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hops(Vec<String>);

/// Why a request is refused because of its hop list. It has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// The request has already passed through this site.
    #[error("the request has already passed through site {0}")]
    Loop(String),
    /// The request has passed through the given number of sites, and the hop limit allows no more.
    #[error("the request has passed through {0} sites, and the hop limit allows no more")]
    TooMany(usize),
}

/// A header value is not a valid hop list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid hop list: expected at most 16 comma-separated site names of 1 to 64 letters, digits, `-`, `_` or `.`")]
pub struct InvalidHops;

impl Hops {
    /// Parses the header value of a request; a blank value is an empty list.
    ///
    /// # Errors
    /// If a name is empty, too long or has other characters, or if there are too many names.
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
        // Counted before any name is copied, so that a long header does not allocate.
        if line.split(',').nth(MAX_SITES).is_some() {
            return Err(InvalidHops);
        }
        line.split(',').map(|name| parse_name(name.trim())).collect::<Result<_, _>>().map(Hops)
    }

    /// Returns the number of sites that the request has passed through.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the request has passed through no site yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the list that a request carries from `local_site` to `next_site`.
    ///
    /// # Errors
    /// If the request has passed through either site, or the new list would be longer than `max_hops`.
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

    /// Checks whether `local_site` may accept a request that arrived with this list.
    ///
    /// # Errors
    /// If the request has passed through `local_site`, or through more than `max_hops` sites.
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
        fn a_formatted_hop_list_parses_to_the_same_list(
            names in prop::collection::vec("[a-zA-Z0-9._-]{1,64}", 0..=16)
        ) {
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
