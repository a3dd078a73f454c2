//! Reload at SIGHUP: requests under way during a reload, and files that are replaced quickly, partly written,
//! invalid or missing.

use corkhollow_test_support::*;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

fn request_bytes(request_line: &str, headers: &str) -> Vec<u8> {
    format!("{request_line} HTTP/1.1\r\nHost: a.org\r\n{headers}\r\n").into_bytes()
}

fn server_entries(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|address| format!("{{ address = \"{address}\" }}, ")).collect()
}

const LISTENER: &str =
    "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n";

/// A configuration with two pools, a class for each method, two tenants, and a route to each pool.
fn two_pool_config(one: &[SocketAddr], two: &[SocketAddr]) -> String {
    format!(
        "{LISTENER}[tenants]\nheader = \"x-tenant\"\ntenant = [{{ name = \"t1\", rate = 10.0 }}, {{ name = \"t2\", rate = 20.0 }}]\n\
         [[class]]\nname = \"reads\"\neffect = \"safe\"\nmethods = [\"GET\"]\n\
         [[class]]\nname = \"writes\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\n\
         [[pool]]\nname = \"one\"\nservers = [{}]\n[[pool]]\nname = \"two\"\nservers = [{}]\n\
         [[route]]\nname = \"first\"\npath_prefix = \"/1\"\npool = \"one\"\n[[route]]\nname = \"second\"\npath_prefix = \"/2\"\npool = \"two\"\n",
        server_entries(one),
        server_entries(two)
    )
}

/// Blocks all that wait for it until it is opened; it stays open.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, std::sync::Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let guard = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(guard, |is_open| !*is_open).unwrap());
    }
}

/// Servers that, until the gate opens, hold requests to `/wait`, fail those to `/fail` and pause within
/// answers to `/stream`.
fn gated_servers(gate: &Gate, name: &'static str) -> Servers {
    let gate = gate.clone();
    Servers::new(8, move |_, m| {
        let has_path = |path: &str| m.head.lines().next().unwrap_or_default().contains(path);
        if has_path("/wait") {
            gate.wait();
        } else if has_path("/fail") {
            // The first attempt comes while the gate is closed and fails; a retry is answered.
            if !*gate.0 .0.lock().unwrap() {
                gate.wait();
                return Reply::Send(response("503 Busy", "", b""));
            }
        } else if has_path("/stream") {
            let gate = gate.clone();
            return Reply::Custom(Box::new(move |stream| {
                let _ = stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\nConnection: close\r\n\r\n");
                let _ = stream.write_all(&[b'x'; 200_000]);
                gate.wait();
                let _ = stream.write_all(&[b'y'; 200_000]);
            }));
        }
        ok_reply(name)
    })
}

/// The configuration with one change to what a request under way depends on.
fn changed_config(change: &str, text: &str) -> String {
    let swap_texts = |a: &str, b: &str| text.replace(a, "\u{0}").replace(b, a).replace('\u{0}', b);
    let remove_section = |start_marker: &str, end_marker: &str| {
        let (start, end) = (text.find(start_marker).unwrap(), text.find(end_marker).unwrap());
        format!("{}{}", &text[..start], &text[end..])
    };
    match change {
        "nothing" => text.to_owned(),
        "the route and the pool removed" => {
            remove_section("[[pool]]\nname = \"one\"", "[[pool]]\nname = \"two\"")
                .replace("path_prefix = \"/1\"\npool = \"one\"", "path_prefix = \"/1\"\npool = \"two\"")
        }
        "the pool renamed" => text.replace("\"one\"", "\"uno\""),
        "the pools' names swapped" => swap_texts("\"one\"", "\"two\""),
        "the pool's settings changed" => {
            text.replace("name = \"one\"\n", "name = \"one\"\nmax_attempts = 1\nmax_waiting = 3\n")
        }
        "the classes removed" => remove_section("[[class]]", "[[pool]]\nname = \"one\""),
        "the classes' names swapped" => swap_texts("\"reads\"", "\"writes\""),
        "the classes' effects swapped" => swap_texts("\"safe\"", "\"unsafe\""),
        "the tenants removed" => remove_section("[tenants]", "[[class]]"),
        "the tenants' names swapped" => swap_texts("\"t1\"", "\"t2\""),
        "the routes swapped" => swap_texts("\"/1\"", "\"/2\""),
        "all routes answered" => {
            text.replace("pool = \"one\"\n[[route]]", "answer = { status = 200, body = \"told\" }\n[[route]]")
        }
        _ => panic!("{change}"),
    }
}

/// A reload changes or removes the route, pool, class or tenant of requests that wait, are retried or stream:
/// each goes on by the old file and gets one answer; later requests go by the new file.
#[test]
fn a_reload_changes_no_rule_of_requests_under_way() {
    let run_case = |(change, expected_body): (&str, &str)| {
        let gate = Gate::default();
        let (one, two) = (gated_servers(&gate, "one"), gated_servers(&gate, "two"));
        let text = two_pool_config(&one.addresses, &two.addresses);
        let node = Node::start_with_operator_file(&text);
        let send = |request: &[u8]| {
            let mut client = node.connect();
            client.write_all(request).unwrap();
            client
        };
        let mut waiting = send(&request_bytes("POST /1/wait", "X-Tenant: t1\r\nContent-Length: 0\r\n"));
        let mut retried = send(&request_bytes("GET /1/fail", "X-Tenant: t2\r\n"));
        let mut not_retried = send(&request_bytes("POST /1/fail", "X-Tenant: t2\r\nContent-Length: 0\r\n"));
        let mut streaming = send(&request_bytes("GET /1/stream", ""));
        let mut first_byte = [0; 1];
        streaming.read_exact(&mut first_byte).unwrap();
        wait_until("all requests are under way", || one.request_count() == 4);
        node.reload(&changed_config(change, &text));
        node.wait_for_log("reloaded: ", 1);
        let later_answer = node.send_raw(&request_bytes("GET /1/now", "X-Tenant: t1\r\n")).unwrap();
        assert_eq!(
            later_answer.body,
            expected_body.as_bytes(),
            "{change}: a later request goes by the new file"
        );
        gate.open();
        assert_eq!(read_message(&mut waiting).expect("an answer").body, b"one", "{change}");
        assert_eq!(
            read_message(&mut retried).expect("an answer").status(),
            200,
            "{change}: the safe request is retried"
        );
        assert_eq!(
            read_message(&mut not_retried).expect("an answer").status(),
            503,
            "{change}: the unsafe request is not retried"
        );
        let mut rest = Vec::new();
        let mut buffer = [0; 65536];
        while rest.len() < 400_000 {
            match streaming.read(&mut buffer) {
                Ok(n @ 1..) => rest.extend_from_slice(&buffer[..n]),
                _ => break,
            }
        }
        assert!(rest.ends_with(&[b'y'; 1000]) && rest.len() > 400_000, "{change}: {} bytes", rest.len());
        let requests: Vec<_> = [&one, &two].iter().flat_map(|s| s.requests.lock().unwrap().clone()).collect();
        let count_requests =
            |request_line: &str| requests.iter().filter(|m| m.head.starts_with(request_line)).count();
        assert_eq!(
            [count_requests("POST /1/wait"), count_requests("POST /1/fail"), count_requests("GET /1/stream")],
            [1, 1, 1],
            "{change}"
        );
        assert_eq!(count_requests("GET /1/fail"), 2, "{change}");
    };
    std::thread::scope(|all| {
        for case in [
            ("nothing", "one"),
            ("the route and the pool removed", "two"),
            ("the pool renamed", "one"),
            ("the pools' names swapped", "one"),
            ("the pool's settings changed", "one"),
            ("the classes removed", "one"),
            ("the classes' names swapped", "one"),
            ("the classes' effects swapped", "one"),
            ("the tenants removed", "one"),
            ("the tenants' names swapped", "one"),
            ("the routes swapped", "two"),
            ("all routes answered", "told"),
        ] {
            all.spawn(move || run_case(case));
        }
    });
}

/// A configuration with this many routes, half as many tenants and 30 pools; its last route answers with
/// `answer`.
fn large_config(addresses: &[SocketAddr], routes: usize, answer: &str) -> String {
    let mut text = String::from("[tenants]\n");
    for k in 0..routes / 2 {
        let _ = writeln!(text, "[[tenants.tenant]]\nname = \"tenant-{k}\"\nrate = 5.0");
    }
    for k in 0..30 {
        let _ = writeln!(text, "[[pool]]\nname = \"pool-{k}\"\nservers = [{}]", server_entries(addresses));
    }
    for k in 0..routes {
        let _ = writeln!(
            text,
            "[[route]]\nname = \"route-{k}\"\npath_prefix = \"/part-{k}\"\npool = \"pool-{}\"",
            k % 30
        );
    }
    let _ = writeln!(text, "[[route]]\nname = \"last\"\nanswer = {{ status = 200, body = \"{answer}\" }}");
    // The listener comes last, so that a truncated file is invalid.
    text + LISTENER
}

/// Replaces the node's configuration file atomically and sends SIGHUP.
fn replace_config(node: &Node, text: &str) {
    let new_path = node.config_path().with_extension("new");
    std::fs::write(&new_path, text).unwrap();
    std::fs::rename(new_path, node.config_path()).unwrap();
    node.signal("-HUP");
}

/// The body that the last route answers with, which tells which file is in force.
fn last_route_answer(node: &Node) -> String {
    String::from_utf8(node.send_raw(&request_bytes("GET /word", "")).expect("an answer").body).unwrap()
}

fn log_lines(node: &Node, text: &str) -> Vec<String> {
    node.log.lock().unwrap().iter().filter(|line| line.contains(text)).cloned().collect()
}

/// Parses the number between two texts of a line.
fn number_between(line: &str, prefix: &str, suffix: &str) -> f64 {
    let (_, rest) = line.split_once(prefix).unwrap_or_else(|| panic!("no {prefix} in {line}"));
    rest.split(suffix).next().unwrap().trim().parse().unwrap_or_else(|_| panic!("{prefix} in {line}"))
}

/// A large file is read, checked and compiled off the serving thread: no request waits for half of the
/// reload's time. Only pools that differ are touched, and the log and the metrics agree on what changed and
/// how long each step took.
#[test]
fn requests_are_served_during_a_large_reload() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = large_config(&servers.addresses, 12_000, "old");
    let node = Node::start_with_operator_file(&text);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|all| {
        let client = all.spawn(|| {
            let mut stream = node.connect();
            let mut longest = Duration::ZERO;
            while !is_over.load(SeqCst) {
                let begun = Instant::now();
                stream.write_all(&request_bytes("GET /part-7/x", "")).unwrap();
                assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
                longest = longest.max(begun.elapsed());
            }
            longest
        });
        let begun = Instant::now();
        node.reload(&text.replace("\"old\"", "\"new\""));
        node.wait_for_log("reloaded: ", 1);
        let reload_time = begun.elapsed();
        is_over.store(true, SeqCst);
        let longest = client.join().unwrap();
        assert!(longest < reload_time / 2, "a request took {longest:?} of {reload_time:?}");
    });
    assert_eq!(last_route_answer(&node), "new");
    let line = &log_lines(&node, "reloaded: ")[0];
    assert!(line.contains("; routes: 1 changed; pools touched: 0;"), "{line}");
    let step_seconds = |step: &str| node.metric(&format!("gw_reload_seconds{{step=\"{step}\"}}")).unwrap();
    for (step, prefix) in [("read", "checked in "), ("compare", "compared in "), ("swap", "in force in ")] {
        let (metric_ms, logged_ms) = (step_seconds(step) * 1e3, number_between(line, prefix, " ms"));
        assert!((metric_ms - logged_ms).abs() < 0.06, "{step}: {metric_ms}, {logged_ms}");
    }
    let version = line.split("version ").nth(1).unwrap().split(' ').next().unwrap();
    assert_eq!(node.metric(&format!("gw_config_version{{version=\"{version}\"}}")), Some(1.0));
    assert_eq!(node.metric("gw_reload_pools"), Some(0.0));

    // Each file differs from the one in force in a tenant, a server, a weight or a route.
    let with_new_answer = text.replace("\"old\"", "\"new\"");
    let dial = servers.addresses[0];
    let replace_first = |text: &str, from: &str, to: &str| text.replacen(from, to, 1);
    for (k, (changed_file, expected)) in [
        (with_new_answer.replacen("rate = 5.0", "rate = 6.0", 1), "; tenants: 1 changed; pools touched: 0;"),
        (
            replace_first(&with_new_answer, &format!("{{ address = \"{dial}\" }}, "), ""),
            "; tenants: 1 changed; pools: 1 changed; servers: 1 removed; pools touched: 1;",
        ),
        (
            replace_first(
                &with_new_answer,
                &format!("{{ address = \"{dial}\" }}, "),
                &format!("{{ address = \"{dial}\", weight = 2.0 }}, "),
            ),
            "; pools: 1 changed; servers: 1 added; pools touched: 1;",
        ),
        (
            with_new_answer.replace("route-7\"", "route-x\""),
            "; pools: 1 changed; servers: 1 changed; routes: 1 added, 1 removed; pools touched: 1;",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        node.reload(&changed_file);
        node.wait_for_log("reloaded: ", k + 2);
        let line = log_lines(&node, "reloaded: ").pop().unwrap();
        assert!(line.contains(expected), "{line}, not {expected}");
        assert_eq!(last_route_answer(&node), "new");
    }
}

/// Of 20 files in quick succession the last is in force in the end, no request is lost, and some files in
/// between are skipped.
#[test]
fn the_last_of_many_quick_reloads_is_in_force() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = large_config(&servers.addresses, 2_000, "w0");
    let node = Node::start_with_operator_file(&text);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|all| {
        let client = all.spawn(|| {
            let mut stream = node.connect();
            while !is_over.load(SeqCst) {
                stream.write_all(&request_bytes("GET /part-7/x", "")).unwrap();
                assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
            }
        });
        for k in 1..=20 {
            replace_config(&node, &text.replace("\"w0\"", &format!("\"w{k}\"")));
            std::thread::sleep(Duration::from_millis(20));
        }
        wait_until("the last file is in force", || last_route_answer(&node) == "w20");
        is_over.store(true, SeqCst);
        client.join().unwrap();
    });
    // No earlier file is applied after it.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(last_route_answer(&node), "w20");
    let reloads = log_lines(&node, "reloaded: ").len();
    assert!((1..20).contains(&reloads), "{reloads} files were applied");
    assert_eq!(log_lines(&node, "not reloaded"), Vec::<String>::new());
    assert_eq!(node.metric("gw_sighup_applied"), Some(reloads as f64));
}

/// Reloads complete although a new SIGHUP arrives before each can have been compiled.
#[test]
fn reloads_complete_while_sighups_keep_arriving() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large_config(&servers.addresses, 3_000, "w0");
    let node = Node::start_with_operator_file(&text);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|all| {
        // Far faster than a file of this size compiles.
        all.spawn(|| {
            while !is_over.load(SeqCst) {
                node.signal("-HUP");
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let begun = Instant::now();
        while log_lines(&node, "reloaded: ").len() < 3 {
            assert!(begun.elapsed() < Duration::from_secs(60), "{:?}", node.log.lock().unwrap());
            std::thread::sleep(Duration::from_millis(5));
        }
        is_over.store(true, SeqCst);
    });
}

/// An invalid, non-UTF-8 or missing file is rejected with one log line and the file in force stays; a later
/// valid file is applied.
#[test]
fn an_invalid_file_after_a_valid_one_changes_nothing() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large_config(&servers.addresses, 200, "old");
    let node = Node::start_with_operator_file(&text);
    node.reload(&text.replace("\"old\"", "\"good\""));
    node.wait_for_log("reloaded: ", 1);
    let valid = text.replace("\"old\"", "\"good\"");
    for (k, invalid) in [
        valid.replacen("pool-3", "pool-x", 1),
        valid.replace("[[route]]", "[[rout]]"),
        valid[..valid.len() / 2].to_owned(),
        String::from_utf8_lossy(&[0xff; 40]).into_owned(),
        valid.replacen("name = \"pool-4\"", "name = \"pool-5\"", 1),
    ]
    .into_iter()
    .enumerate()
    {
        node.reload(&invalid);
        node.wait_for_log("not reloaded: ", k + 1);
        assert_eq!(last_route_answer(&node), "good");
        assert_eq!(node.send_raw(&request_bytes("GET /part-3/x", "")).unwrap().body, b"fine");
    }
    // Bytes that are not UTF-8, then no file at all.
    std::fs::write(node.config_path(), [b'#', 0xff, 0xfe]).unwrap();
    node.signal("-HUP");
    node.wait_for_log("not reloaded: ", 6);
    std::fs::remove_file(node.config_path()).unwrap();
    node.signal("-HUP");
    node.wait_for_log("not reloaded: ", 7);
    assert_eq!(last_route_answer(&node), "good");
    node.reload(&text);
    node.wait_for_log("reloaded: listeners: 1", 2);
    assert_eq!(last_route_answer(&node), "old");
    assert_eq!(node.metric("gw_sighup_rejected"), Some(7.0));
}

/// A file is rewritten in place while it is read: one of the two versions is in force, never a part or a
/// mixture.
#[test]
fn a_file_rewritten_while_it_is_read_is_applied_whole_or_not_at_all() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let files = ["aaa", "bbb"].map(|answer| large_config(&servers.addresses, 1_500, answer));
    let node = Node::start_with_operator_file(&files[0]);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|all| {
        all.spawn(|| {
            for k in 0.. {
                if is_over.load(SeqCst) {
                    return;
                }
                // In place and in pieces, so that a reader may see a part.
                let mut file = std::fs::File::create(node.config_path()).unwrap();
                for piece in files[k % 2].as_bytes().chunks(20_000) {
                    file.write_all(piece).unwrap();
                }
                drop(file);
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(3) {
            node.signal("-HUP");
            std::thread::sleep(Duration::from_millis(20));
            let answer = last_route_answer(&node);
            assert!(["aaa", "bbb"].contains(&answer.as_str()), "{answer}");
        }
        is_over.store(true, SeqCst);
    });
    // Only the versions of the two files were in force.
    node.reload(&files[0]);
    wait_until("the first file is in force", || last_route_answer(&node) == "aaa");
    let versions: std::collections::BTreeSet<_> = log_lines(&node, "reloaded: listeners")
        .iter()
        .map(|line| line.split("version ").nth(1).unwrap().split(' ').next().unwrap().to_owned())
        .collect();
    assert!((1..=2).contains(&versions.len()), "{versions:?}");
}

/// SIGTERM right after SIGHUP: shutdown does not wait until the file is compiled.
#[test]
fn shutdown_does_not_wait_for_a_reload() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large_config(&servers.addresses, 6_000, "old");
    let mut node = Node::start_with_operator_file(&text);
    node.reload(&text);
    node.wait_for_log("reloaded: ", 1);
    let compile_ms = number_between(&log_lines(&node, "reloaded: ")[0], "checked in ", " ms");
    let (sent, shutdown_time) = mpsc::channel();
    node.signal("-HUP");
    let signalled_at = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    sent.send(signalled_at.elapsed()).unwrap();
    let shutdown_ms = shutdown_time.recv().unwrap().as_secs_f64() * 1e3;
    // Clients have half a second to notice that connections close.
    assert!(
        shutdown_ms < 700.0 + compile_ms / 2.0,
        "{shutdown_ms} ms, where compiling the file takes {compile_ms} ms"
    );
    assert!(TcpStream::connect(node.address).is_err());
}
