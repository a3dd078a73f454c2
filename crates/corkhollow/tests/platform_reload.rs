//! Reload of the platform's file at SIGHUP with requests under way: it is applied whole or rejected whole.

use corkhollow_test_support::*;
use std::io::Write;

const EXTRA_CLASS: &str = r#"{"name":"extra","aimNs":1000000000,"giveUpNs":2000000000,"worth":2.0,"effect":"pure","group":"all","windowNs":1000000000}"#;

/// The node's configuration with `change` applied to its list of classes.
fn config_with_classes(discovery: &Discovery, change: impl Fn(&str) -> String) -> String {
    let text = platform_config(discovery.address, &NodeOptions::default());
    let (before, rest) = text.split_once("\"classes\":[").unwrap();
    let (classes, after) = rest.split_once("],").unwrap();
    format!("{before}\"classes\":[{}],{after}", change(classes))
}

fn wait_until_applied(node: &Node, count: f64) {
    wait_until("the file is applied", || node.metric("gw_sighup_applied") == Some(count));
}

#[test]
fn classes_are_added_and_removed_and_connections_stay() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let mut kept_client = node.connect();
    kept_client.write_all(&get_request("/safe/1", "")).unwrap();
    assert_eq!(read_message(&mut kept_client).unwrap().status(), 200);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 404);
    // In front of the others, so that their positions in the settings change.
    node.reload(&config_with_classes(&discovery, |classes| format!("{EXTRA_CLASS},{classes}")));
    wait_until_applied(&node, 1.0);
    for path in ["/extra/1", "/safe/1"] {
        assert_eq!(node.get(path, "").unwrap().status(), 200, "{path}");
    }
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    assert_eq!(node.metric("gw_succeeded{service=\"extra\"}"), Some(1.0));
    assert_eq!(node.metric("gw_succeeded{service=\"once\"}"), Some(1.0));
    node.reload(&config_with_classes(&discovery, |_| EXTRA_CLASS.to_owned()));
    wait_until_applied(&node, 2.0);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 404);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 200);
    // The client's connection and the watch on discovery outlast both reloads.
    kept_client.write_all(&get_request("/extra/1", "")).unwrap();
    assert_eq!(read_message(&mut kept_client).unwrap().status(), 200);
    assert_eq!(discovery.watch_count(), 1, "the list of servers was requested again");
}

/// A request that was accepted as unsafe is not retried although its class has become safe since; later
/// requests are.
#[test]
fn a_changed_effect_applies_to_later_requests_only() {
    let (reset_first, reset_signal) = std::sync::mpsc::channel::<()>();
    let reset_signal = std::sync::Mutex::new(Some(reset_signal));
    let servers = Servers::new(2, move |n, _| match n {
        0 => {
            let reset_signal = reset_signal.lock().unwrap().take();
            Reply::Custom(Box::new(move |stream| {
                let _ = reset_signal.unwrap().recv();
                reset_connection(stream.try_clone().unwrap());
            }))
        }
        1 => Reply::Reset,
        _ => ok_reply("fine"),
    });
    let (node, discovery) = Node::start_with_servers(&servers);
    let mut unsafe_client = node.connect();
    unsafe_client.write_all(&post_request("/once/1", b"body")).unwrap();
    wait_until("the server has the request", || servers.request_count() == 1);
    node.reload(&config_with_classes(&discovery, |classes| classes.replace("side_effect", "pure")));
    wait_until_applied(&node, 1.0);
    reset_first.send(()).unwrap();
    assert_eq!(read_message(&mut unsafe_client).unwrap().status(), 502);
    assert_eq!(servers.request_count(), 1);
    assert_eq!(node.post("/once/2", b"body").unwrap().status(), 200);
    assert_eq!(
        servers.request_count(),
        3,
        "a request of the class that is safe by now is retried after a reset"
    );
}

/// A class that is safe to repeat, with deadlines that make indices of dropped classes old within 0.1 s.
const SHORT_CLASS: &str = r#"{"name":"short","aimNs":1000000,"giveUpNs":1000000,"worth":2.0,"effect":"pure","group":"all","windowNs":1000000000}"#;

/// Sends the head and half of the body of a POST request.
fn send_half(node: &Node, path: &str) -> (std::net::TcpStream, Vec<u8>) {
    let mut client = node.connect();
    let bytes = post_request(path, &[b'x'; 2_000]);
    let (beginning, rest) = bytes.split_at(bytes.len() - 1_000);
    client.write_all(beginning).unwrap();
    (client, rest.to_vec())
}

/// Guards against a second run of an unsafe request: while its body arrives its class is dropped, and a class
/// that is safe to repeat is added later. The server resets each connection once it has the whole request.
#[test]
fn a_request_keeps_its_class_while_its_body_arrives_across_reloads() {
    for brings_class_back in [true, false] {
        let servers = Servers::new(4, |_, _| Reply::Reset);
        let (node, discovery) = Node::start_with_servers(&servers);
        let (mut client, rest) = send_half(&node, "/once/1");
        wait_until("the head is read", || node.metric("gw_body_bytes").is_some_and(|bytes| bytes > 0.0));
        node.reload(&config_with_classes(&discovery, |_| SHORT_CLASS.to_owned()));
        wait_until_applied(&node, 1.0);
        // An index was reused once its class had been dropped for 100 of the longest deadlines.
        std::thread::sleep(std::time::Duration::from_millis(150));
        node.reload(&config_with_classes(&discovery, |classes| {
            let (safe, once) = classes.split_once("},").unwrap();
            match brings_class_back {
                true => format!("{once},{safe}}},{EXTRA_CLASS},{SHORT_CLASS}"),
                false => format!("{safe}}},{EXTRA_CLASS},{SHORT_CLASS}"),
            }
        }));
        wait_until_applied(&node, 2.0);
        client.write_all(&rest).unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!(servers.request_count(), 1, "runs of an unsafe request; back: {brings_class_back}");
        assert_eq!(answer.status(), 502);
    }
}

/// A request whose head arrived while one attempt was allowed gets no second one under a later file.
#[test]
fn a_request_keeps_its_number_of_attempts_while_its_body_arrives_across_a_reload() {
    let servers = Servers::new(4, |_, _| Reply::Reset);
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let config = platform_config(discovery.address, &NodeOptions::default());
    let node = Node::start_with_platform_file(&config.replace("\"maxAttempts\":3", "\"maxAttempts\":1"));
    node.wait_until_ready();
    let (mut client, rest) = send_half(&node, "/safe/1");
    wait_until("the head is read", || node.metric("gw_body_bytes").is_some_and(|bytes| bytes > 0.0));
    node.reload(&config);
    wait_until_applied(&node, 1.0);
    client.write_all(&rest).unwrap();
    assert_ne!(read_message(&mut client).unwrap().status(), 200);
    assert_eq!(servers.request_count(), 1);
}

#[test]
fn an_invalid_file_is_rejected_whole() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let valid = config_with_classes(&discovery, |classes| format!("{EXTRA_CLASS},{classes}"));
    let invalid = [
        String::new(),
        valid[..valid.len() / 2].to_owned(),
        valid.replace("\"maxAttempts\":3,", ""),
        valid.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
        valid.replace("\"maxAttempts\":3", "\"maxAttempts\":\"3\""),
        valid.replace("\"giveUpNs\":2000000000", "\"giveUpNs\":-5"),
        valid.replace("\"giveUpNs\":2000000000", "\"giveUpNs\":\"soon\""),
        valid.replace("\"giveUpNs\":2000000000,", ""),
        valid.replace("\"discovery\":", "\"elsewhere\":"),
        valid.replace("\"settings\":", "\"others\":"),
        valid.replace("\"name\":\"extra\"", "\"name\":\"safe\""),
    ];
    for (k, text) in invalid.iter().enumerate() {
        node.reload(text);
        let rejected = (k + 1) as f64;
        wait_until("the file is rejected", || node.metric("gw_sighup_rejected") == Some(rejected));
        assert_eq!(node.get("/extra/1", "").unwrap().status(), 404, "file {k}");
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200, "file {k}");
    }
    assert_eq!(node.metric("gw_sighup_applied"), Some(0.0));
    node.reload(&valid);
    wait_until_applied(&node, 1.0);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 200);
}

/// A pool whose connection timeouts change keeps its open connections and its watch on discovery.
#[test]
fn a_pool_keeps_its_connections_when_its_timeouts_change() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    let connected = servers.connection_count();
    let config = platform_config(
        discovery.address,
        &NodeOptions { idle_timeout_ms: 60_000, ..NodeOptions::default() },
    );
    node.reload(&config.replace("\"connectTimeoutNs\":120000000", "\"connectTimeoutNs\":250000000"));
    wait_until_applied(&node, 1.0);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    assert_eq!((servers.connection_count(), discovery.watch_count()), (connected, 1), "the pool was rebuilt");
}

/// Admission refuses no request while all servers are idle: neither of a class that a reload has just added,
/// nor of one whose requests take 150 ms beside a fast class.
#[test]
fn no_request_is_refused_while_servers_are_idle() {
    let servers = Servers::new(20, |_, m| match m.head.starts_with("GET /extra/slow") {
        true => Reply::Custom(Box::new(|stream| {
            std::thread::sleep(std::time::Duration::from_millis(150));
            let _ = stream.write_all(&response("200 OK", "Connection: close\r\n", b"late"));
        })),
        false => ok_reply("fine"),
    });
    let (node, discovery) = Node::start_with_servers(&servers);
    let count_served =
        |path: &str, count: usize| (0..count).filter(|_| node.get(path, "").unwrap().status() == 200).count();
    assert_eq!(count_served("/safe/1", 200), 200);
    for (k, worth) in ["5.0", "2.0", "0.5"].into_iter().enumerate() {
        let extra = EXTRA_CLASS.replace("\"worth\":2.0", &format!("\"worth\":{worth}"));
        node.reload(&config_with_classes(&discovery, |classes| format!("{classes},{extra}")));
        wait_until_applied(&node, (k + 1) as f64);
        assert_eq!(count_served("/extra/1", 20), 20, "worth {worth}, as fast as the old class");
        assert_eq!(count_served("/safe/1", 100), 100, "worth {worth}");
        assert_eq!(count_served("/extra/slow", 20), 20, "worth {worth}, slow");
    }
    assert_eq!(node.metric("gw_declined{service=\"extra\"}"), Some(0.0));
}

/// Guards against a request that runs twice: its id was forgotten with the pool that a new configuration replaced.
#[test]
fn an_id_is_rejected_by_the_pool_that_replaces_the_one_that_has_it() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let request = post_request("/once/1", b"body");
    assert_eq!(node.send_raw(&request).unwrap().status(), 200);
    let config = platform_config(discovery.address, &NodeOptions::default());
    node.reload(&config.replace("\"automatic\"", "\"subscribe\""));
    wait_until_applied(&node, 1.0);
    wait_until("the new pool serves", || {
        node.get("/safe/1", "").is_some_and(|answer| answer.status() == 200)
    });
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
}
