//! Discovery's lists: how they are framed and truncated, calls that stay silent or fail, and the first list
//! after a restart.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Spreads a list over many lines.
fn indented(list: &str) -> String {
    list.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}")
}

/// A change of discovery's list: first the old server alone, then the old one drains and a new one is active.
struct ListChange {
    old: Servers,
    new: Servers,
}

impl ListChange {
    fn new() -> Self {
        ListChange {
            old: Servers::new(1, |_, _| ok_reply("old")),
            new: Servers::new(1, |_, _| ok_reply("new")),
        }
    }

    /// A node with this configuration that watches discovery and has received the first list.
    fn start_watching_node(
        &self,
        config: impl Fn(SocketAddr) -> String,
    ) -> (Node, ManualDiscovery, ReceivedCall) {
        let agent = ManualDiscovery::listen();
        let node = Node::start_with_platform_file(&config(agent.address));
        let mut watch = agent.next_call();
        watch.start_watch(&self.before());
        node.wait_until_ready();
        (node, agent, watch)
    }

    fn before(&self) -> String {
        self.old.list_json(1) + "\n"
    }

    fn after(&self, seq: u64, whole: bool) -> String {
        let hosts = [
            host_json("s-0", self.old.addresses[0], "leaving"),
            host_json("s-1", self.new.addresses[0], "active"),
        ];
        list_json(seq, whole, &hosts) + "\n"
    }
}

fn served_by(node: &Node, name: &str) -> bool {
    node.post("/once/1", b"").is_some_and(|m| m.body == name.as_bytes())
}

/// A configuration in which the node requests lists and deadlines are 20 s; neither may delay a list.
fn requested_lists_config(discovery: SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

#[test]
fn lists_on_many_lines_and_split_chunks_are_read() {
    let (agent, change) = (ManualDiscovery::listen(), ListChange::new());
    let node = Node::start(agent.address, &NodeOptions::default());
    let mut watch = agent.next_call();
    watch.start_watch(&indented(&change.before()));
    node.wait_until_ready();
    assert!(served_by(&node, "old"));
    // Two lists in one chunk with a heartbeat between them; the second is split within a name.
    let (first, second) = (indented(&change.before()), indented(&change.after(2, false)));
    let cut = second.find("s-1").unwrap() + 2;
    watch.write_chunk(&format!("{first}\n\n{}", &second[..cut]));
    watch.write_chunk(&second[cut..]);
    wait_until("the list is applied", || served_by(&node, "new"));
    let old_count = change.old.request_count();
    assert!((0..20).all(|_| served_by(&node, "new")));
    assert_eq!(change.old.request_count(), old_count);
    assert!(agent.next_call_within(Duration::from_millis(300)).is_none(), "the watch is not opened again");
}

/// After a truncated list the watch is opened again, whether lists or only heartbeats follow.
#[test]
fn a_truncated_list_makes_the_node_open_a_new_watch() {
    let change = ListChange::new();
    let (node, agent, mut watch) =
        change.start_watching_node(|discovery| platform_config(discovery, &NodeOptions::default()));
    let list = change.after(2, false);
    let list = list.trim_end();
    for line_end in ["\n", "\n\n"] {
        for cut in [1, list.find("hosts").unwrap() + 8, list.find("leaving").unwrap() + 3, list.len() - 1] {
            watch.write_chunk(&format!("{}{line_end}", &list[..cut]));
            watch.write_chunk(&change.before());
            watch.write_chunk(&change.before());
            watch = agent.next_call();
            watch.start_watch("\n");
        }
    }
    // Heartbeats alone do not keep a watch with an incomplete list alive.
    watch.write_chunk(&list[..list.len() - 1]);
    let begun = Instant::now();
    watch = loop {
        watch.write_chunk("\n");
        if let Some(next) = agent.next_call_within(Duration::from_millis(200)) {
            break next;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "the node goes on waiting for the rest of the list"
        );
    };
    watch.start_watch(list);
    wait_until("the list is applied", || served_by(&node, "new"));
}

/// A local agent answers no call while discovery is down and only later calls afterwards: the node must call
/// again soon, instead of waiting for the silent calls.
#[test]
fn an_agent_that_was_silent_is_called_again_within_1200_ms() {
    let change = ListChange::new();
    let (node, agent, watch) =
        change.start_watching_node(|discovery| platform_config(discovery, &NodeOptions::default()));
    drop(watch);
    let mut silent = vec![agent.next_call()];
    let called_at = Instant::now();
    let mut watch = agent.newest_call(&mut silent);
    let waited = called_at.elapsed();
    watch.start_watch(&change.after(2, false));
    wait_until("the list is applied", || served_by(&node, "new"));
    assert!(waited < Duration::from_millis(1200), "the next call came {waited:?} after a silent one");
}

/// Calls to a local agent are not backed off: however many have failed, the next one follows soon.
#[test]
fn calls_to_an_agent_that_resets_them_are_not_backed_off() {
    let change = ListChange::new();
    let (node, agent, mut watch) =
        change.start_watching_node(|discovery| platform_config(discovery, &NodeOptions::default()));
    for _ in 0..10 {
        watch.reset();
        watch = agent.next_call();
    }
    let failed_at = Instant::now();
    watch.reset();
    watch = agent.next_call();
    let waited = failed_at.elapsed();
    watch.start_watch(&change.after(2, false));
    wait_until("the list is applied", || served_by(&node, "new"));
    assert!(waited < Duration::from_millis(400), "the next call came after {waited:?}");
}

/// A silent watch on requested lists is replaced within 3.7 s, however long deadlines are: the node must have
/// a list 6 s after it changed, and the call may wait for 2 s of that.
#[test]
fn a_silent_watch_on_requested_lists_is_replaced_in_time() {
    let change = ListChange::new();
    let (node, agent, mut watch) = change.start_watching_node(requested_lists_config);
    // A heartbeat, and nothing after it.
    watch.write_chunk("\n");
    let silent_since = Instant::now();
    let mut next_watch = agent.next_call();
    assert!(silent_since.elapsed() < Duration::from_millis(3700), "{:?}", silent_since.elapsed());
    next_watch.start_watch(&change.after(2, false));
    wait_until("the list is applied", || served_by(&node, "new"));
}

/// Failed calls for requested lists are repeated after a growing delay, but early enough for a list to be
/// received in time.
#[test]
fn failed_calls_for_requested_lists_are_repeated_in_time() {
    let (agent, change) = (ManualDiscovery::listen(), ListChange::new());
    let node = Node::start_with_platform_file(&requested_lists_config(agent.address));
    let mut failed_at = Instant::now();
    for k in 0..4 {
        agent.next_call().reset();
        let waited = failed_at.elapsed();
        assert!(k == 0 || waited < Duration::from_millis(3500), "call {k} came after {waited:?}");
        failed_at = Instant::now();
    }
    agent.next_call().start_watch(&change.before());
    node.wait_until_ready();
}

/// Requests to a new process wait for the agent's first list; none is sent by the list that was stored before
/// the restart, unless the agent does not answer.
#[test]
fn a_new_process_waits_for_the_first_list_before_it_serves() {
    let (agent, change) = (ManualDiscovery::listen(), ListChange::new());
    let known = NodeOptions { known_servers_json: change.before(), ..NodeOptions::default() };
    let node = Node::start(agent.address, &known);
    let mut watch = agent.next_call();
    let mut client = node.connect();
    client.write_all(&post_request("/once/1", b"")).unwrap();
    // Within the time that the node waits for the first list.
    std::thread::sleep(Duration::from_millis(60));
    watch.start_watch(&change.after(2, true));
    assert_eq!(read_message(&mut client).unwrap().body, b"new");
    assert_eq!(change.old.request_count(), 0);
    // Where the agent stays silent, the stored list is used.
    let agent = ManualDiscovery::listen();
    let node = Node::start(agent.address, &known);
    assert!(served_by(&node, "old"));
}
