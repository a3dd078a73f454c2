//! The version of the configuration file that a plan was compiled from.

/// The digest of a configuration file: two nodes with the same version run the same configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version([u8; 6]);

impl Version {
    /// The version of a file's content: the first 48 bits of its BLAKE3 digest.
    pub fn of(bytes: &[u8]) -> Self {
        let digest = blake3::hash(bytes);
        let mut first = [0; 6];
        first.copy_from_slice(&digest.as_bytes()[..6]);
        Version(first)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
