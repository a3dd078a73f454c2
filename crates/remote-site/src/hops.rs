//! The sites that a request has passed: a loop is refused, and so is a way that is too long.

/// Names that a list may hold at most, whatever the settings say.
const MOST: usize = 16;
/// The longest name, in bytes.
const LONGEST: usize = 64;

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
pub struct BadHops;

impl Hops {
    /// Reads the header line of a request; an empty one is an empty list.
    ///
    /// # Errors
    /// Where the line is none that a gateway writes.
    pub fn parse(line: &str) -> Result<Self, BadHops> {
        if line.trim().is_empty() {
            return Ok(Hops::default());
        }
        let name = |name: &str| {
            let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            let good = !name.is_empty() && name.len() <= LONGEST && name.bytes().all(fits);
            good.then(|| name.to_owned()).ok_or(BadHops)
        };
        // Counted before anything is kept: a peer's line must not cost memory.
        if line.split(',').nth(MOST).is_some() {
            return Err(BadHops);
        }
        line.split(',').map(|n| name(n.trim())).collect::<Result<_, _>>().map(Hops)
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
    pub fn onwards(&self, own: &str, next: &str, most: usize) -> Result<Hops, HopError> {
        if let Some(seen) = self.0.iter().find(|name| *name == own || *name == next) {
            return Err(HopError::Loop(seen.clone()));
        }
        if self.0.len() >= most.min(MOST) {
            return Err(HopError::TooMany(self.0.len()));
        }
        let mut all = self.0.clone();
        all.push(own.to_owned());
        Ok(Hops(all))
    }

    /// Whether a request with this list may be taken at `own`.
    ///
    /// # Errors
    /// Where it has been here, or has passed more than `most`.
    pub fn here(&self, own: &str, most: usize) -> Result<(), HopError> {
        match self.0.iter().find(|name| *name == own) {
            Some(seen) => Err(HopError::Loop(seen.clone())),
            None if self.0.len() > most => Err(HopError::TooMany(self.0.len())),
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
    fn loops_and_long_ways_are_refused() {
        let first = Hops::default().onwards("perth", "depot", 2).unwrap();
        assert_eq!(first.to_string(), "perth");
        assert_eq!(first.here("depot", 2), Ok(()));
        assert_eq!(first.here("perth", 2), Err(HopError::Loop("perth".into())));
        assert_eq!(first.onwards("depot", "perth", 2), Err(HopError::Loop("perth".into())));
        let second = first.onwards("depot", "north", 2).unwrap();
        assert_eq!(second.onwards("north", "east", 2), Err(HopError::TooMany(2)));
        assert_eq!(second.here("east", 1), Err(HopError::TooMany(2)));
    }

    #[test]
    fn lists_that_no_gateway_writes_are_refused() {
        let long = "x".repeat(65);
        let many = vec!["a"; 17].join(",");
        for bad in ["a,,b", ",", "a b", "a;b", "ä", &long, &many] {
            assert_eq!(Hops::parse(bad), Err(BadHops), "{bad}");
        }
        assert_eq!(Hops::parse(" ").unwrap().len(), 0);
    }

    proptest! {
        #[test]
        fn what_is_written_is_read(names in prop::collection::vec("[a-zA-Z0-9._-]{1,64}", 0..=16)) {
            let hops = Hops(names);
            prop_assert_eq!(Hops::parse(&hops.to_string()), Ok(hops));
        }

        #[test]
        fn no_line_panics(line in "\\PC*") {
            if let Ok(hops) = Hops::parse(&line) {
                prop_assert!(hops.len() <= MOST);
            }
        }
    }
}
