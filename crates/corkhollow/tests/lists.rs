//! What the node makes of discovery at close range: how lists are cut, when calls are silent, what a restart finds.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One list on many lines.
fn indented(list: &str) -> String {
    list.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}")
}

/// An old server and a new one; lists of the old alone, and of both when the old has to go.
struct Change {
    old: Servers,
    new: Servers,
}

impl Change {
    fn new() -> Self {
        Change { old: Servers::new(1, |_, _| ok_reply("old")), new: Servers::new(1, |_, _| ok_reply("new")) }
    }

    /// A node on this configuration that watches, and has been told of the old one.
    fn watched(&self, config: impl Fn(SocketAddr) -> String) -> (Node, ManualDiscovery, ReceivedCall) {
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

/// Lists are asked for, and deadlines are long: neither may keep the node from what it has missed.
fn asked(discovery: SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

#[test]
fn lists_may_come_indented() {
    let (agent, change) = (ManualDiscovery::listen(), Change::new());
    let node = Node::start(agent.address, &NodeOptions::default());
    let mut watch = agent.next_call();
    watch.start_watch(&indented(&change.before()));
    node.wait_until_ready();
    assert!(served_by(&node, "old"));
    // Two in one piece, with a heartbeat between, and the second cut in the middle of a name.
    let (first, second) = (indented(&change.before()), indented(&change.after(2, false)));
    let cut = second.find("s-1").unwrap() + 2;
    watch.write_chunk(&format!("{first}\n\n{}", &second[..cut]));
    watch.write_chunk(&second[cut..]);
    wait_until("the list is taken in", || served_by(&node, "new"));
    let seen = change.old.request_count();
    assert!((0..20).all(|_| served_by(&node, "new")));
    assert_eq!(change.old.request_count(), seen);
    assert!(agent.next_call_within(Duration::from_millis(300)).is_none(), "one watch does");
}

/// A list that was cut short swallows neither the heartbeats nor the lists behind it: the watch is opened anew.
#[test]
fn a_list_cut_short_ends_its_watch() {
    let change = Change::new();
    let (node, agent, mut watch) =
        change.watched(|discovery| platform_config(discovery, &NodeOptions::default()));
    let list = change.after(2, false);
    let list = list.trim_end();
    for end in ["\n", "\n\n"] {
        for cut in [1, list.find("hosts").unwrap() + 8, list.find("leaving").unwrap() + 3, list.len() - 1] {
            watch.write_chunk(&format!("{}{end}", &list[..cut]));
            watch.write_chunk(&change.before());
            watch.write_chunk(&change.before());
            watch = agent.next_call();
            watch.start_watch("\n");
        }
    }
    // Nothing follows but heartbeats: that is silence.
    watch.write_chunk(&list[..list.len() - 1]);
    let begun = Instant::now();
    watch = loop {
        watch.write_chunk("\n");
        if let Some(next) = agent.next_call_within(Duration::from_millis(200)) {
            break next;
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "the node waits for the rest for ever");
    };
    watch.start_watch(list);
    wait_until("the list is taken in", || served_by(&node, "new"));
}

/// While discovery is down the agent is silent, and what it gets when that is over counts as told at once. It answers calls
/// that come from then on; those that came before stay silent.
#[test]
fn what_an_agent_gets_after_a_silence_is_fetched_at_once() {
    let change = Change::new();
    let (node, agent, watch) =
        change.watched(|discovery| platform_config(discovery, &NodeOptions::default()));
    drop(watch);
    let mut silent = vec![agent.next_call()];
    let asked = Instant::now();
    let mut watch = agent.newest_call(&mut silent);
    let waited = asked.elapsed();
    watch.start_watch(&change.after(2, false));
    wait_until("the list is taken in", || served_by(&node, "new"));
    assert!(waited < Duration::from_millis(1200), "the next call came {waited:?} after a silent one");
}

/// However often calls have failed, the next one comes soon: the agent is on the node's own machine and answers at no cost.
#[test]
fn an_agent_that_refuses_is_asked_again_soon() {
    let change = Change::new();
    let (node, agent, mut watch) =
        change.watched(|discovery| platform_config(discovery, &NodeOptions::default()));
    for _ in 0..10 {
        watch.reset();
        watch = agent.next_call();
    }
    let failed = Instant::now();
    watch.reset();
    watch = agent.next_call();
    let waited = failed.elapsed();
    watch.start_watch(&change.after(2, false));
    wait_until("the list is taken in", || served_by(&node, "new"));
    assert!(waited < Duration::from_millis(400), "the next call came after {waited:?}");
}

/// A watch on lists that are asked for falls silent. What it misses counts as told 6 s later, however long requests may
/// take, and a call may have to wait in turn for 2 s of that.
#[test]
fn a_silent_watch_on_asked_lists_is_opened_again_in_time() {
    let change = Change::new();
    let (node, agent, mut watch) = change.watched(asked);
    // It stands for a while, as watches do, and the silence begins.
    watch.write_chunk("\n");
    let silent = Instant::now();
    let mut next = agent.next_call();
    assert!(silent.elapsed() < Duration::from_millis(3700), "{:?}", silent.elapsed());
    next.start_watch(&change.after(2, false));
    wait_until("the list is taken in", || served_by(&node, "new"));
}

/// Calls that fail are made again, later the second time, but never later than what they would tell counts as told.
#[test]
fn asked_lists_are_asked_for_again_in_time() {
    let (agent, change) = (ManualDiscovery::listen(), Change::new());
    let node = Node::start_with_platform_file(&asked(agent.address));
    let mut failed = Instant::now();
    for k in 0..4 {
        agent.next_call().reset();
        let waited = failed.elapsed();
        assert!(k == 0 || waited < Duration::from_millis(3500), "call {k} came after {waited:?}");
        failed = Instant::now();
    }
    agent.next_call().start_watch(&change.before());
    node.wait_until_ready();
}

/// What the agent has counts as told from a new process's first moment: requests that come before its answer wait for it,
/// and none goes by the list of the earlier life.
#[test]
fn a_new_process_hears_the_agent_before_it_serves() {
    let (agent, change) = (ManualDiscovery::listen(), Change::new());
    let known = NodeOptions { known_servers_json: change.before(), ..NodeOptions::default() };
    let node = Node::start(agent.address, &known);
    let mut watch = agent.next_call();
    let mut client = node.connect();
    client.write_all(&post_request("/once/1", b"")).unwrap();
    // An answer may take this long and still be in time.
    std::thread::sleep(Duration::from_millis(60));
    watch.start_watch(&change.after(2, true));
    assert_eq!(read_message(&mut client).unwrap().body, b"new");
    assert_eq!(change.old.request_count(), 0);
    // Where it stays silent, the list of the earlier life has to do.
    let agent = ManualDiscovery::listen();
    let node = Node::start(agent.address, &known);
    assert!(served_by(&node, "old"));
}
