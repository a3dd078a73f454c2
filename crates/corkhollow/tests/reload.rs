//! SIGHUP: what is under way while a new file takes over, and files that come one after another, in parts, or not at all.

use corkhollow_test_support::*;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

fn asked(line: &str, more: &str) -> Vec<u8> {
    format!("{line} HTTP/1.1\r\nHost: a.org\r\n{more}\r\n").into_bytes()
}

fn listed(dials: &[SocketAddr]) -> String {
    dials.iter().map(|dial| format!("{{ address = \"{dial}\" }}, ")).collect()
}

const LISTENER: &str =
    "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n";

/// Two pools of servers, a class for each method, some tenants, and a route to each pool.
fn site(one: &[SocketAddr], two: &[SocketAddr]) -> String {
    format!(
        "{LISTENER}[tenants]\nheader = \"x-tenant\"\ntenant = [{{ name = \"t1\", rate = 10.0 }}, {{ name = \"t2\", rate = 20.0 }}]\n\
         [[class]]\nname = \"reads\"\neffect = \"safe\"\nmethods = [\"GET\"]\n\
         [[class]]\nname = \"writes\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\n\
         [[pool]]\nname = \"one\"\nservers = [{}]\n[[pool]]\nname = \"two\"\nservers = [{}]\n\
         [[route]]\nname = \"first\"\npath_prefix = \"/1\"\npool = \"one\"\n[[route]]\nname = \"second\"\npath_prefix = \"/2\"\npool = \"two\"\n",
        listed(one),
        listed(two)
    )
}

/// A gate that opens for all at once and stays open.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, std::sync::Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let shut = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(shut, |open| !*open).unwrap());
    }
}

/// Servers before which requests wait, fail at first or stream until the gate opens.
fn held(gate: &Gate, name: &'static str) -> Servers {
    let gate = gate.clone();
    Servers::new(8, move |_, m| {
        let asked = |word: &str| m.head.lines().next().unwrap_or_default().contains(word);
        if asked("/wait") {
            gate.wait();
        } else if asked("/fail") {
            // Whoever comes first finds the gate shut; what comes again is served.
            if !*gate.0 .0.lock().unwrap() {
                gate.wait();
                return Reply::Send(response("503 Busy", "", b""));
            }
        } else if asked("/stream") {
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

/// What a file may make of the things that a request under way goes by.
fn changed(what: &str, text: &str) -> String {
    let swap = |a: &str, b: &str| text.replace(a, "\u{0}").replace(b, a).replace('\u{0}', b);
    let without = |from: &str, to: &str| {
        let (start, end) = (text.find(from).unwrap(), text.find(to).unwrap());
        format!("{}{}", &text[..start], &text[end..])
    };
    match what {
        "nothing" => text.to_owned(),
        "the route and the pool removed" => without("[[pool]]\nname = \"one\"", "[[pool]]\nname = \"two\"")
            .replace("path_prefix = \"/1\"\npool = \"one\"", "path_prefix = \"/1\"\npool = \"two\""),
        "the pool renamed" => text.replace("\"one\"", "\"uno\""),
        "the pools' names swapped" => swap("\"one\"", "\"two\""),
        "the pool's settings changed" => {
            text.replace("name = \"one\"\n", "name = \"one\"\nmax_attempts = 1\nmax_waiting = 3\n")
        }
        "the classes removed" => without("[[class]]", "[[pool]]\nname = \"one\""),
        "the classes' names swapped" => swap("\"reads\"", "\"writes\""),
        "the classes' effects swapped" => swap("\"safe\"", "\"unsafe\""),
        "the tenants removed" => without("[tenants]", "[[class]]"),
        "the tenants' names swapped" => swap("\"t1\"", "\"t2\""),
        "the routes swapped" => swap("\"/1\"", "\"/2\""),
        "all routes answered" => {
            text.replace("pool = \"one\"\n[[route]]", "answer = { status = 200, body = \"told\" }\n[[route]]")
        }
        _ => panic!("{what}"),
    }
}

/// Requests that wait, that are to be tried again, and that stream, while what they go by changes: each keeps its rules and has its
/// one answer; those that come behind go by the new file.
#[test]
fn what_is_under_way_keeps_its_rules() {
    let play = |(what, next): (&str, &str)| {
        let gate = Gate::default();
        let (one, two) = (held(&gate, "one"), held(&gate, "two"));
        let text = site(&one.addresses, &two.addresses);
        let node = Node::start_with_operator_file(&text);
        let send = |request: &[u8]| {
            let mut client = node.connect();
            client.write_all(request).unwrap();
            client
        };
        let mut waits = send(&asked("POST /1/wait", "X-Tenant: t1\r\nContent-Length: 0\r\n"));
        let mut fails = send(&asked("GET /1/fail", "X-Tenant: t2\r\n"));
        let mut unsafe_fails = send(&asked("POST /1/fail", "X-Tenant: t2\r\nContent-Length: 0\r\n"));
        let mut streams = send(&asked("GET /1/stream", ""));
        let mut first = [0; 1];
        streams.read_exact(&mut first).unwrap();
        wait_until("all are under way", || one.request_count() == 4);
        node.reload(&changed(what, &text));
        node.wait_for_log("reloaded: ", 1);
        let now = node.send_raw(&asked("GET /1/now", "X-Tenant: t1\r\n")).unwrap();
        assert_eq!(now.body, next.as_bytes(), "{what}: who comes behind goes by the new file");
        gate.open();
        assert_eq!(read_message(&mut waits).expect("an answer").body, b"one", "{what}");
        assert_eq!(read_message(&mut fails).expect("an answer").status(), 200, "{what}: it is tried again");
        assert_eq!(
            read_message(&mut unsafe_fails).expect("an answer").status(),
            503,
            "{what}: it is not tried again"
        );
        let mut rest = Vec::new();
        let mut buffer = [0; 65536];
        while rest.len() < 400_000 {
            match streams.read(&mut buffer) {
                Ok(n @ 1..) => rest.extend_from_slice(&buffer[..n]),
                _ => break,
            }
        }
        assert!(rest.ends_with(&[b'y'; 1000]) && rest.len() > 400_000, "{what}: {} bytes", rest.len());
        let requests: Vec<_> = [&one, &two].iter().flat_map(|s| s.requests.lock().unwrap().clone()).collect();
        let seen = |line: &str| requests.iter().filter(|m| m.head.starts_with(line)).count();
        assert_eq!([seen("POST /1/wait"), seen("POST /1/fail"), seen("GET /1/stream")], [1, 1, 1], "{what}");
        assert_eq!(seen("GET /1/fail"), 2, "{what}");
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
            all.spawn(move || play(case));
        }
    });
}

/// A file with this many routes and tenants besides; its last route answers with a word.
fn large(dials: &[SocketAddr], routes: usize, word: &str) -> String {
    let mut text = String::from("[tenants]\n");
    for k in 0..routes / 2 {
        let _ = writeln!(text, "[[tenants.tenant]]\nname = \"tenant-{k}\"\nrate = 5.0");
    }
    for k in 0..30 {
        let _ = writeln!(text, "[[pool]]\nname = \"pool-{k}\"\nservers = [{}]", listed(dials));
    }
    for k in 0..routes {
        let _ = writeln!(
            text,
            "[[route]]\nname = \"route-{k}\"\npath_prefix = \"/part-{k}\"\npool = \"pool-{}\"",
            k % 30
        );
    }
    let _ = writeln!(text, "[[route]]\nname = \"last\"\nanswer = {{ status = 200, body = \"{word}\" }}");
    // A part of the file is no file: it has no listener.
    text + LISTENER
}

/// Puts a file in place of the node's in one step, and tells it so.
fn replace(node: &Node, text: &str) {
    let new = node.config_path().with_extension("new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, node.config_path()).unwrap();
    node.signal("-HUP");
}

/// What the last route answers.
fn word(node: &Node) -> String {
    String::from_utf8(node.send_raw(&asked("GET /word", "")).expect("an answer").body).unwrap()
}

fn lines(node: &Node, words: &str) -> Vec<String> {
    node.log.lock().unwrap().iter().filter(|line| line.contains(words)).cloned().collect()
}

/// A number that stands in a line between two words.
fn number(line: &str, before: &str, behind: &str) -> f64 {
    let (_, rest) = line.split_once(before).unwrap_or_else(|| panic!("no {before} in {line}"));
    rest.split(behind).next().unwrap().trim().parse().unwrap_or_else(|_| panic!("{before} in {line}"))
}

/// A large file is read, checked and compiled while requests are served: none waits for as much as half of the time which that
/// takes, where each would wait for all of it if the thread that serves did it. Only what differs is touched; the log and the figures tell what that was.
#[test]
fn requests_go_on_while_a_file_is_compiled() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = large(&servers.addresses, 12_000, "old");
    let node = Node::start_with_operator_file(&text);
    let over = AtomicBool::new(false);
    std::thread::scope(|all| {
        let client = all.spawn(|| {
            let mut stream = node.connect();
            let mut longest = Duration::ZERO;
            while !over.load(SeqCst) {
                let begun = Instant::now();
                stream.write_all(&asked("GET /part-7/x", "")).unwrap();
                assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
                longest = longest.max(begun.elapsed());
            }
            longest
        });
        let begun = Instant::now();
        node.reload(&text.replace("\"old\"", "\"new\""));
        node.wait_for_log("reloaded: ", 1);
        let took = begun.elapsed();
        over.store(true, SeqCst);
        let longest = client.join().unwrap();
        assert!(longest < took / 2, "a request took {longest:?} of {took:?}");
    });
    assert_eq!(word(&node), "new");
    let told = &lines(&node, "reloaded: ")[0];
    assert!(told.contains("; routes: 1 changed; pools touched: 0;"), "{told}");
    let figure = |step: &str| node.metric(&format!("gw_reload_seconds{{step=\"{step}\"}}")).unwrap();
    for (step, before) in [("read", "checked in "), ("compare", "compared in "), ("swap", "in force in ")] {
        let (shown, told) = (figure(step) * 1e3, number(told, before, " ms"));
        assert!((shown - told).abs() < 0.06, "{step}: {shown}, {told}");
    }
    let version = told.split("version ").nth(1).unwrap().split(' ').next().unwrap();
    assert_eq!(node.metric(&format!("gw_config_version{{version=\"{version}\"}}")), Some(1.0));
    assert_eq!(node.metric("gw_reload_pools"), Some(0.0));

    // One tenant, one server, one weight; and back to what was there before.
    let new = text.replace("\"old\"", "\"new\"");
    let dial = servers.addresses[0];
    let first = |text: &str, from: &str, to: &str| text.replacen(from, to, 1);
    for (k, (changed, words)) in [
        (new.replacen("rate = 5.0", "rate = 6.0", 1), "; tenants: 1 changed; pools touched: 0;"),
        (
            first(&new, &format!("{{ address = \"{dial}\" }}, "), ""),
            "; tenants: 1 changed; pools: 1 changed; servers: 1 removed; pools touched: 1;",
        ),
        (
            first(
                &new,
                &format!("{{ address = \"{dial}\" }}, "),
                &format!("{{ address = \"{dial}\", weight = 2.0 }}, "),
            ),
            "; pools: 1 changed; servers: 1 added; pools touched: 1;",
        ),
        (
            new.replace("route-7\"", "route-x\""),
            "; pools: 1 changed; servers: 1 changed; routes: 1 added, 1 removed; pools touched: 1;",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        node.reload(&changed);
        node.wait_for_log("reloaded: ", k + 2);
        let told = lines(&node, "reloaded: ").pop().unwrap();
        assert!(told.contains(words), "{told}, not {words}");
        assert_eq!(word(&node), "new");
    }
}

/// Twenty files in a second: the last is in force in the end, no request is lost, and not all are compiled one after another.
#[test]
fn of_many_files_the_last_is_in_force() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = large(&servers.addresses, 2_000, "w0");
    let node = Node::start_with_operator_file(&text);
    let over = AtomicBool::new(false);
    std::thread::scope(|all| {
        let client = all.spawn(|| {
            let mut stream = node.connect();
            while !over.load(SeqCst) {
                stream.write_all(&asked("GET /part-7/x", "")).unwrap();
                assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
            }
        });
        for k in 1..=20 {
            replace(&node, &text.replace("\"w0\"", &format!("\"w{k}\"")));
            std::thread::sleep(Duration::from_millis(20));
        }
        wait_until("the last is in force", || word(&node) == "w20");
        over.store(true, SeqCst);
        client.join().unwrap();
    });
    // Nothing comes behind it.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(word(&node), "w20");
    let told = lines(&node, "reloaded: ").len();
    assert!((1..20).contains(&told), "{told} were put in force");
    assert_eq!(lines(&node, "not reloaded"), Vec::<String>::new());
    assert_eq!(node.metric("gw_sighup_applied"), Some(told as f64));
}

/// Files that never stop coming do not keep all of them out.
#[test]
fn files_that_go_on_coming_are_taken_in_between() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large(&servers.addresses, 3_000, "w0");
    let node = Node::start_with_operator_file(&text);
    let over = AtomicBool::new(false);
    std::thread::scope(|all| {
        // Each one comes long before the one before it can have been compiled.
        all.spawn(|| {
            while !over.load(SeqCst) {
                node.signal("-HUP");
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let begun = Instant::now();
        while lines(&node, "reloaded: ").len() < 3 {
            assert!(begun.elapsed() < Duration::from_secs(60), "{:?}", node.log.lock().unwrap());
            std::thread::sleep(Duration::from_millis(5));
        }
        over.store(true, SeqCst);
    });
}

/// A broken file right behind a good one is turned down, in one line; the good one stays in force, and so does what comes next.
#[test]
fn a_broken_file_behind_a_good_one_changes_nothing() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large(&servers.addresses, 200, "old");
    let node = Node::start_with_operator_file(&text);
    node.reload(&text.replace("\"old\"", "\"good\""));
    node.wait_for_log("reloaded: ", 1);
    let good = text.replace("\"old\"", "\"good\"");
    for (k, broken) in [
        good.replacen("pool-3", "pool-x", 1),
        good.replace("[[route]]", "[[rout]]"),
        good[..good.len() / 2].to_owned(),
        String::from_utf8_lossy(&[0xff; 40]).into_owned(),
        good.replacen("name = \"pool-4\"", "name = \"pool-5\"", 1),
    ]
    .into_iter()
    .enumerate()
    {
        node.reload(&broken);
        node.wait_for_log("not reloaded: ", k + 1);
        assert_eq!(word(&node), "good");
        assert_eq!(node.send_raw(&asked("GET /part-3/x", "")).unwrap().body, b"fine");
    }
    // Bytes that are no text, and no file at all.
    std::fs::write(node.config_path(), [b'#', 0xff, 0xfe]).unwrap();
    node.signal("-HUP");
    node.wait_for_log("not reloaded: ", 6);
    std::fs::remove_file(node.config_path()).unwrap();
    node.signal("-HUP");
    node.wait_for_log("not reloaded: ", 7);
    assert_eq!(word(&node), "good");
    node.reload(&text);
    node.wait_for_log("reloaded: listeners: 1", 2);
    assert_eq!(word(&node), "old");
    assert_eq!(node.metric("gw_sighup_rejected"), Some(7.0));
}

/// A file that is written while it is read: what is in force is one of the two files or the other, never a part or a mixture.
#[test]
fn a_file_that_changes_while_it_is_read_is_taken_whole_or_not_at_all() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let files = ["aaa", "bbb"].map(|word| large(&servers.addresses, 1_500, word));
    let node = Node::start_with_operator_file(&files[0]);
    let over = AtomicBool::new(false);
    std::thread::scope(|all| {
        all.spawn(|| {
            for k in 0.. {
                if over.load(SeqCst) {
                    return;
                }
                // In place and in pieces, as no editor should.
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
            let word = word(&node);
            assert!(["aaa", "bbb"].contains(&word.as_str()), "{word}");
        }
        over.store(true, SeqCst);
    });
    // Each version that was in force is that of one of the two.
    node.reload(&files[0]);
    wait_until("the first is in force", || word(&node) == "aaa");
    let versions: std::collections::BTreeSet<_> = lines(&node, "reloaded: listeners")
        .iter()
        .map(|line| line.split("version ").nth(1).unwrap().split(' ').next().unwrap().to_owned())
        .collect();
    assert!((1..=2).contains(&versions.len()), "{versions:?}");
}

/// SIGTERM behind SIGHUP: the end does not wait for the file.
#[test]
fn the_end_does_not_wait_for_a_file() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let text = large(&servers.addresses, 6_000, "old");
    let mut node = Node::start_with_operator_file(&text);
    node.reload(&text);
    node.wait_for_log("reloaded: ", 1);
    let compiled = number(&lines(&node, "reloaded: ")[0], "checked in ", " ms");
    let (sent, end) = mpsc::channel();
    node.signal("-HUP");
    let told = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    sent.send(told.elapsed()).unwrap();
    let took = end.recv().unwrap().as_secs_f64() * 1e3;
    // Half a second is what clients have to hear of the end.
    assert!(took < 700.0 + compiled / 2.0, "{took} ms, where a file takes {compiled} ms");
    assert!(TcpStream::connect(node.address).is_err());
}
