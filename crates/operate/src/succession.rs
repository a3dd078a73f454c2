//! How one process replaces another that serves the same clients from the same listening socket.

/// Which other processes serve the same clients at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    /// One that was there before; it will be told to end.
    pub has_predecessor: bool,
    /// One that has come since; it goes on when this one ends.
    pub has_successor: bool,
    /// Another one has come to the older one's place first: this one's turn is when that one serves alone or has gone.
    pub is_queued: bool,
}

impl Succession {
    /// Part of the node's limits that this process may use: the limits are for the two together that may serve at once.
    /// One that waits holds next to nothing.
    pub fn limit_share(&self) -> f64 {
        match (self.has_predecessor || self.has_successor, self.is_queued) {
            (_, true) => 0.0,
            (true, false) => 0.5,
            (false, false) => 1.0,
        }
    }

    /// Whether connections are taken from the socket that all share. While the older one is there, this one leaves
    /// them alone until it can serve them: they would only wait here.
    pub fn accepts_connections(&self, ready: bool) -> bool {
        !self.is_queued && (ready || !self.has_predecessor)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_processes_together_keep_to_the_limits() {
        let shares = |all: &[(bool, bool, bool)]| -> f64 {
            all.iter()
                .map(|&(has_predecessor, has_successor, is_queued)| {
                    Succession { has_predecessor, has_successor, is_queued }.limit_share()
                })
                .sum()
        };
        let (old, next, third) = ((false, true, false), (true, false, false), (true, false, true));
        assert_eq!(shares(&[old, next, third]), 1.0);
        assert_eq!(shares(&[old, next]), 1.0);
        assert_eq!(Succession::default().limit_share(), 1.0);
    }

    #[test]
    fn one_that_is_not_ready_leaves_clients_to_the_other() {
        let beside = Succession { has_predecessor: true, ..Succession::default() };
        assert!(!beside.accepts_connections(false) && beside.accepts_connections(true));
        let third = Succession { is_queued: true, ..beside };
        assert!(!third.accepts_connections(true) && !third.accepts_connections(false), "it is not its turn");
        assert!(
            Succession::default().accepts_connections(false),
            "alone, it has to tell clients that it is not ready"
        );
    }
}
