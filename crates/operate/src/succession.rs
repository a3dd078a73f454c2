//! Replacement of one process by another that accepts from the same listening socket (hot restart).

/// Which other processes share the listening socket with this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    /// An older process is still serving; it will be told to terminate.
    pub has_predecessor: bool,
    /// A newer process has started; it continues when this one terminates.
    pub has_successor: bool,
    /// Another successor started before this one: this process waits until that one serves alone or has
    /// ended.
    pub is_queued: bool,
}

impl Succession {
    /// Share of the node's limits that this process may use. Two processes that overlap split the limits; a
    /// queued one gets none.
    pub fn limit_share(&self) -> f64 {
        match (self.has_predecessor || self.has_successor, self.is_queued) {
            (_, true) => 0.0,
            (true, false) => 0.5,
            (false, false) => 1.0,
        }
    }

    /// Whether this process accepts connections from the shared socket. While there is a predecessor, it does
    /// so only once it is ready: until then the predecessor can serve them at once.
    pub fn accepts_connections(&self, ready: bool) -> bool {
        !self.is_queued && (ready || !self.has_predecessor)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limit_shares_of_all_processes_sum_to_one() {
        let shares = |processes: &[(bool, bool, bool)]| -> f64 {
            processes
                .iter()
                .map(|&(has_predecessor, has_successor, is_queued)| {
                    Succession { has_predecessor, has_successor, is_queued }.limit_share()
                })
                .sum()
        };
        let (predecessor, first_successor, queued) =
            ((false, true, false), (true, false, false), (true, false, true));
        assert_eq!(shares(&[predecessor, first_successor, queued]), 1.0);
        assert_eq!(shares(&[predecessor, first_successor]), 1.0);
        assert_eq!(Succession::default().limit_share(), 1.0);
    }

    #[test]
    fn process_that_is_not_ready_leaves_connections_to_its_predecessor() {
        let successor = Succession { has_predecessor: true, ..Succession::default() };
        assert!(!successor.accepts_connections(false) && successor.accepts_connections(true));
        let queued = Succession { is_queued: true, ..successor };
        assert!(
            !queued.accepts_connections(true) && !queued.accepts_connections(false),
            "a queued process must not accept"
        );
        assert!(
            Succession::default().accepts_connections(false),
            "without a predecessor it must answer that it is not ready"
        );
    }
}
