//! New settings at SIGHUP on the platform: taken whole or turned down whole, under open requests.

use corkhollow_test_support::*;
use std::io::Write;

const EXTRA: &str = r#"{"name":"extra","aimNs":1000000000,"giveUpNs":2000000000,"worth":2.0,"effect":"pure","group":"all","windowNs":1000000000}"#;

/// The node's configuration with its classes as `change` has them.
fn changed(discovery: &Discovery, change: impl Fn(&str) -> String) -> String {
    let text = platform_config(discovery.address, &NodeOptions::default());
    let (before, rest) = text.split_once("\"classes\":[").unwrap();
    let (classes, after) = rest.split_once("],").unwrap();
    format!("{before}\"classes\":[{}],{after}", change(classes))
}

fn applied(node: &Node, count: f64) {
    wait_until("the file is taken", || node.metric("gw_sighup_applied") == Some(count));
}

#[test]
fn classes_come_and_go() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let mut kept = node.connect();
    kept.write_all(&get_request("/safe/1", "")).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 404);
    // In front of the others: their places in the settings change.
    node.reload(&changed(&discovery, |classes| format!("{EXTRA},{classes}")));
    applied(&node, 1.0);
    for path in ["/extra/1", "/safe/1"] {
        assert_eq!(node.get(path, "").unwrap().status(), 200, "{path}");
    }
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    assert_eq!(node.metric("gw_succeeded{service=\"extra\"}"), Some(1.0));
    assert_eq!(node.metric("gw_succeeded{service=\"once\"}"), Some(1.0));
    node.reload(&changed(&discovery, |_| EXTRA.to_owned()));
    applied(&node, 2.0);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 404);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 200);
    // A client's connection and what the node has of servers' outlast both.
    kept.write_all(&get_request("/extra/1", "")).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    assert_eq!(discovery.watch_count(), 1, "the list was asked for anew");
}

/// What was taken as unsafe is not sent again because its class is safe by now; what comes later is.
#[test]
fn an_effect_changes_for_what_comes_later() {
    let (say, heard) = std::sync::mpsc::channel::<()>();
    let heard = std::sync::Mutex::new(Some(heard));
    let servers = Servers::new(2, move |n, _| match n {
        0 => {
            let heard = heard.lock().unwrap().take();
            Reply::Custom(Box::new(move |stream| {
                let _ = heard.unwrap().recv();
                reset_connection(stream.try_clone().unwrap());
            }))
        }
        1 => Reply::Reset,
        _ => ok_reply("fine"),
    });
    let (node, discovery) = Node::start_with_servers(&servers);
    let mut open = node.connect();
    open.write_all(&post_request("/once/1", b"body")).unwrap();
    wait_until("the server has the request", || servers.request_count() == 1);
    node.reload(&changed(&discovery, |classes| classes.replace("side_effect", "pure")));
    applied(&node, 1.0);
    say.send(()).unwrap();
    assert_eq!(read_message(&mut open).unwrap().status(), 502);
    assert_eq!(servers.request_count(), 1);
    assert_eq!(node.post("/once/2", b"body").unwrap().status(), 200);
    assert_eq!(servers.request_count(), 3, "a reset of what is safe by now is followed by another attempt");
}

#[test]
fn a_file_that_cannot_be_used_is_turned_down_whole() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let good = changed(&discovery, |classes| format!("{EXTRA},{classes}"));
    let bad = [
        String::new(),
        good[..good.len() / 2].to_owned(),
        good.replace("\"maxAttempts\":3,", ""),
        good.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
        good.replace("\"maxAttempts\":3", "\"maxAttempts\":\"3\""),
        good.replace("\"giveUpNs\":2000000000", "\"giveUpNs\":-5"),
        good.replace("\"giveUpNs\":2000000000", "\"giveUpNs\":\"soon\""),
        good.replace("\"giveUpNs\":2000000000,", ""),
        good.replace("\"discovery\":", "\"elsewhere\":"),
        good.replace("\"settings\":", "\"others\":"),
        good.replace("\"name\":\"extra\"", "\"name\":\"safe\""),
    ];
    for (k, text) in bad.iter().enumerate() {
        node.reload(text);
        let turned_down = (k + 1) as f64;
        wait_until("the file is turned down", || node.metric("gw_sighup_rejected") == Some(turned_down));
        assert_eq!(node.get("/extra/1", "").unwrap().status(), 404, "file {k}");
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200, "file {k}");
    }
    assert_eq!(node.metric("gw_sighup_applied"), Some(0.0));
    node.reload(&good);
    applied(&node, 1.0);
    assert_eq!(node.get("/extra/1", "").unwrap().status(), 200);
}

/// Other times for connections to servers are taken over by the pool that is there, with its connections.
#[test]
fn a_pool_outlives_other_times_for_its_connections() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    let connected = servers.connection_count();
    let told = platform_config(
        discovery.address,
        &NodeOptions { idle_timeout_ms: 60_000, ..NodeOptions::default() },
    );
    node.reload(&told.replace("\"connectTimeoutNs\":120000000", "\"connectTimeoutNs\":250000000"));
    applied(&node, 1.0);
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    assert_eq!(
        (servers.connection_count(), discovery.watch_count()),
        (connected, 1),
        "the pool was begun anew"
    );
}

/// A quick class and one of 150 times its work, of one worth, before 20 idle servers, one caller at a time. The second was
/// served once in 60 times, and a class that came by SIGHUP once in 300, with every server idle.
#[test]
fn nothing_is_refused_beside_idle_servers() {
    let servers = Servers::new(20, |_, m| match m.head.starts_with("GET /extra/slow") {
        true => Reply::Custom(Box::new(|stream| {
            std::thread::sleep(std::time::Duration::from_millis(150));
            let _ = stream.write_all(&response("200 OK", "Connection: close\r\n", b"late"));
        })),
        false => ok_reply("fine"),
    });
    let (node, discovery) = Node::start_with_servers(&servers);
    let served =
        |path: &str, count: usize| (0..count).filter(|_| node.get(path, "").unwrap().status() == 200).count();
    assert_eq!(served("/safe/1", 200), 200);
    for (k, worth) in ["5.0", "2.0", "0.5"].into_iter().enumerate() {
        let extra = EXTRA.replace("\"worth\":2.0", &format!("\"worth\":{worth}"));
        node.reload(&changed(&discovery, |classes| format!("{classes},{extra}")));
        applied(&node, (k + 1) as f64);
        assert_eq!(served("/extra/1", 20), 20, "worth {worth}, as quick as the old one");
        assert_eq!(served("/safe/1", 100), 100, "worth {worth}");
        assert_eq!(served("/extra/slow", 20), 20, "worth {worth}, slow");
    }
    assert_eq!(node.metric("gw_declined{service=\"extra\"}"), Some(0.0));
}
