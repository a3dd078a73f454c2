//! A server that restarts is another process: attempts at the one before do not count for it.

mod common;

use common::*;
use corkhollow_balance::interface::*;

/// Guards against a new process that is taken for the old one: the resets that the old one's end causes ejected the
/// new one.
#[test]
fn attempts_that_end_with_the_old_process_do_not_eject_the_new_one() {
    const ATTEMPTS: usize = 2;
    for restarts in [true, false] {
        let mut node = TestNode::new(settings(Effect::Unsafe), servers(1), 1);
        let sent: Vec<_> = (0..ATTEMPTS)
            .map(|_| {
                let (id, actions) = node.request();
                (id, sent(&actions, id).expect("the request is sent"))
            })
            .collect();
        node.now += 10 * MS;
        if restarts {
            let restarted = Server { started_at: node.now, ..Server::warm(server(0)) };
            node.list(ListKind::Changes, vec![restarted]);
        }
        node.now += 10 * MS;
        for (id, server) in sent {
            node.outcome(id, server, 0, 20 * MS, Ending::Reset);
        }
        let (_, ejected) = node.balancer.server_counts(node.now);
        assert_eq!(ejected, usize::from(!restarts), "restarts: {restarts}");
    }
}
