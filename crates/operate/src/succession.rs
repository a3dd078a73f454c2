//! How one process replaces another that serves the same clients from the same listening socket.

/// Which other processes serve the same clients at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    /// One that was there before; it will be told to end.
    pub older: bool,
    /// One that has come since; it goes on when this one ends.
    pub newer: bool,
}

impl Succession {
    /// Part of the node's limits that this process may use: the limits are for all of its processes together.
    pub fn share(&self) -> f64 {
        1.0 / (1.0 + f64::from(u8::from(self.older)) + f64::from(u8::from(self.newer)))
    }

    /// Whether connections are taken from the socket that all share. While the older one is there, this one leaves
    /// them alone until it can serve them: they would only wait here.
    pub fn accepts(&self, ready: bool) -> bool {
        ready || !self.older
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_processes_together_keep_to_the_limits() {
        let [first, second, third] = [(false, true), (true, true), (true, false)]
            .map(|(older, newer)| Succession { older, newer }.share());
        assert!(first + second <= 1.0 && second + third <= 1.0);
        assert_eq!(Succession::default().share(), 1.0);
    }

    #[test]
    fn one_that_is_not_ready_leaves_clients_to_the_other() {
        let beside = Succession { older: true, newer: false };
        assert!(!beside.accepts(false) && beside.accepts(true));
        assert!(Succession::default().accepts(false), "alone, it has to tell clients that it is not ready");
    }
}
