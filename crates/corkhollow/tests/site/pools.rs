//! Pools: attempts, refusals, backups, caps, drains, reloads and the program's end.

use super::*;

/// What a class permits, it gets; a body that is not kept is sent once.
#[test]
fn attempts_follow_the_class_and_the_body() {
    for (method, body, status, runs) in
        [("GET", 0, 200, 2), ("PUT", 10, 200, 2), ("POST", 10, 503, 1), ("PUT", 100_000, 503, 1)]
    {
        let servers = Servers::new(2, |n, _| match n {
            0 => Reply::Send(response("503 Busy", "X-Whose: server\r\n", b"busy")),
            _ => ok_reply("fine"),
        });
        let classes = "[[class]]\nname = \"again\"\neffect = \"safe\"\nmethods = [\"GET\", \"PUT\"]";
        let node = Node::start_with_operator_file(&site(&servers.addresses, "", "", classes));
        let mut request =
            format!("{method} / HTTP/1.1\r\nHost: a\r\nContent-Length: {body}\r\n\r\n").into_bytes();
        request.resize(request.len() + body, b'x');
        let answer = node.send_raw(&request).unwrap();
        let whose = answer.header("x-whose");
        assert_eq!((answer.status(), servers.request_count()), (status, runs), "{method} of {body}");
        assert_eq!(whose.is_some(), status == 503, "the server's own answer passes: {answer:?}");
    }
}

/// Given up means answered, at once, with the reason and when to come back.
#[test]
fn what_is_given_up_is_answered_at_once() {
    let reason = |answer: &Message| {
        let text = String::from_utf8(answer.body.clone()).unwrap();
        assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{text}");
        let value: String = text.split("\"reason\":\"").nth(1).unwrap().split('"').next().unwrap().into();
        value
    };
    let at_once = |node: &Node, request: &str, status: u16, why: &str| {
        let start = Instant::now();
        let answer = node.send_raw(&asked(request)).unwrap();
        assert_eq!((answer.status(), reason(&answer).as_str()), (status, why), "{request}");
        assert!(start.elapsed() < Duration::from_secs(2), "{request}: {:?}", start.elapsed());
        answer
    };
    let refused = at_once(&plain(&[]), "GET / HTTP/1.1", 503, "refused");
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
    at_once(&plain(&[refusing_address(), refusing_address()]), "POST / HTTP/1.1", 503, "refused");
    let reset = Servers::new(2, |_, _| Reply::Reset);
    at_once(&plain(&reset.addresses), "POST / HTTP/1.1", 502, "failed");
    assert_eq!(reset.request_count(), 1);
    let silent = Servers::new(2, |_, _| Reply::NoAnswer);
    let class = "[[class]]\nname = \"write\"\neffect = \"unsafe\"\naim = \"300ms\"\ndeadline = \"400ms\"";
    let node = Node::start_with_operator_file(&site(&silent.addresses, "", "", class));
    at_once(&node, "POST / HTTP/1.1", 504, "late");
    assert_eq!(silent.request_count(), 1);
}

/// Who reads the log knows servers by their names.
#[test]
fn the_log_names_servers() {
    let bad = Servers::new(1, |_, _| Reply::Send(response("503 Busy", "", b"")));
    // The pause after the first failure goes by the longest deadline of all classes.
    let class = |name: &str| {
        format!("[[class]]\nname = \"{name}\"\neffect = \"safe\"\naim = \"50ms\"\ndeadline = \"100ms\"\n")
    };
    let node = Node::start_with_operator_file(&format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{}{}\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{}\", name = \"broken\" }}]\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n",
        class("read"),
        class("write"),
        bad.addresses[0]
    ));
    let said = || {
        node.log.lock().unwrap().iter().any(|l| l.contains("pool boxes: server broken: ejected after Error"))
    };
    wait_until("it says so", || {
        node.get("/", "");
        std::thread::sleep(Duration::from_millis(5));
        said()
    });
}

#[test]
fn backups_serve_while_nobody_else_can() {
    let (main, spare) = (Servers::new(1, |_, _| ok_reply("main")), Servers::new(1, |_, _| ok_reply("spare")));
    let up = Arc::new(AtomicUsize::new(1));
    let shown = up.clone();
    let checked = Servers::new(1, move |_, _| match shown.load(SeqCst) {
        0 => Reply::Send(response("500 Down", "", b"")),
        _ => ok_reply("main"),
    });
    drop(main);
    let pool = format!(
        "servers = [{{ address = \"{}\" }}, {{ address = \"{}\", backup = true }}]\n\
         check = {{ path = \"/up\", every = \"20ms\", rise = 1, fall = 1 }}",
        checked.addresses[0], spare.addresses[0]
    );
    let text = site(&[], "", "", "").replace("servers = []\n", &format!("{pool}\n"));
    let node = Node::start_with_operator_file(&text);
    let body = || node.send_raw(&asked("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
    for _ in 0..20 {
        assert_eq!(body(), b"main");
    }
    up.store(0, SeqCst);
    node.wait_for_log("health checks mark server", 1);
    for _ in 0..20 {
        assert_eq!(body(), b"spare");
    }
    up.store(1, SeqCst);
    node.wait_for_log("health checks mark server", 2);
    wait_until("the main server is back", || body() == b"main");
}

#[test]
fn a_watched_file_is_followed() {
    let (one, two) = (Servers::new(1, |_, _| ok_reply("one")), Servers::new(1, |_, _| ok_reply("two")));
    let path = std::env::temp_dir().join(format!("corkhollow-watched-{}.toml", std::process::id()));
    let put = |text: &str| std::fs::write(&path, text).unwrap();
    let list = |dial: SocketAddr| format!("[[servers]]\naddress = \"{dial}\"\n");
    put(&list(one.addresses[0]));
    let watch = format!("watch = {:?}\n", path.display().to_string());
    let node = Node::start_with_operator_file(&site(&[], "", "", "").replace("servers = []\n", &watch));
    let body = || node.send_raw(&asked("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
    wait_until("the first list is read", || body() == b"one");
    put("[[servers]]\naddress = \"nowhere\"\n");
    node.wait_for_log("rejected, keeping the previous list: 2:11: error: servers[0].address", 1);
    assert_eq!(body(), b"one");
    put(&list(two.addresses[0]));
    wait_until("the new list is read", || body() == b"two");
    put("servers = []\n");
    wait_until("an empty list refuses", || node.send_raw(&asked("GET / HTTP/1.1")).unwrap().status() == 503);
    std::fs::remove_file(&path).unwrap();
}

/// More than a pool may hold waits, more than may wait is refused at once, and whoever waits is served.
#[test]
fn connections_are_capped_and_waiting_too() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok_reply("fine")
    });
    let node = Node::start_with_operator_file(&site(
        &servers.addresses,
        "",
        "max_connections = 1\nmax_waiting = 1\nmax_attempts = 1",
        "",
    ));
    let ask = || {
        let mut client = node.connect();
        client.write_all(&asked("POST / HTTP/1.1")).unwrap();
        client
    };
    let mut first = ask();
    wait_until("the first is under way", || servers.request_count() == 1);
    let mut others = [ask(), ask(), ask()];
    let mut refused = 0;
    for client in &mut others {
        client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        refused += usize::from(read_message(client).is_some_and(|m| m.status() == 503));
    }
    assert!(refused >= 2, "{refused}");
    assert_eq!((servers.connection_count(), servers.request_count()), (1, 1), "no other got through");
    drop(go);
    assert_eq!(read_message(&mut first).unwrap().status(), 200);
    wait_until("the next is served", || node.send_raw(&asked("POST / HTTP/1.1")).unwrap().status() == 200);
}

/// One server in two pools, and one address under two names: each is a server of its own.
#[test]
fn a_server_may_stand_in_two_places() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let dial = servers.addresses[0];
    let twice = format!("[[pool]]\nname = \"more\"\nservers = [{{ address = \"{dial}\", name = \"a\" }}, {{ address = \"{dial}\", name = \"b\" }}]\n[[route]]\nname = \"more\"\npath_prefix = \"/more\"\npool = \"more\"");
    let node = Node::start_with_operator_file(&site(&servers.addresses, "", "", &twice));
    for path in ["/", "/more", "/more/x", "/x"] {
        assert_eq!(node.send_raw(&asked(&format!("GET {path} HTTP/1.1"))).unwrap().status(), 200, "{path}");
    }
}

/// A new file takes over between two requests: a pool goes, a listener moves, a class changes its effect; what is
/// under way ends on what it began with. A bad file changes nothing.
#[test]
fn a_whole_new_file_takes_over() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let old = Servers::new(2, move |_, m| {
        if m.head.contains("/slow") {
            let _ = gate.lock().unwrap().recv();
        }
        match m.head.contains("/fail") {
            true => Reply::Send(response("503 Busy", "", b"")),
            false => ok_reply("old"),
        }
    });
    let new = Servers::new(2, |_, _| ok_reply("new"));
    let second = "[[listener]]\nname = \"side\"\naddress = \"127.0.0.1:0\"\n";
    let class =
        |effect: &str| format!("[[class]]\nname = \"all\"\neffect = \"{effect}\"\nmethods = [\"POST\"]\n");
    let mut node = Node::start_with_operator_file(&format!(
        "{second}{}",
        site(&old.addresses, "", "", &class("unsafe"))
    ));
    let (web, side) = (node.listeners["web"], node.listeners["side"]);
    node.address = web;
    assert_eq!(node.send_raw(&asked("POST /fail HTTP/1.1")).unwrap().status(), 503);
    assert_eq!(old.request_count(), 1, "unsafe: once");
    let mut kept = TcpStream::connect(side).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    kept.write_all(&asked("GET /x HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().body, b"old");
    let mut slow = node.connect();
    slow.write_all(&asked("POST /slow HTTP/1.1")).unwrap();
    wait_until("the slow one is under way", || {
        old.requests.lock().unwrap().iter().any(|m| m.head.contains("/slow"))
    });

    for (k, bad) in ["[[listener]]\n", "nonsense", ""].into_iter().enumerate() {
        node.reload(bad);
        node.wait_for_log("not reloaded", k + 1);
        assert_eq!(node.send_raw(&asked("GET / HTTP/1.1")).unwrap().body, b"old");
    }

    // Its class is safe now, its pool has another name, `side` is gone and `web` has moved.
    let moved = site(&new.addresses, "", "", &class("safe"))
        .replace("boxes", "others")
        .replace("name = \"web\"\naddress = \"127.0.0.1:0\"", "name = \"web\"\naddress = \"[::1]:0\"");
    node.reload(&moved);
    node.wait_for_log("reloaded: listeners: 1, routes: 1, pools: 1", 1);
    let line = node.log.lock().unwrap().iter().rfind(|l| l.contains("listener web listening on")).cloned();
    node.address = line.unwrap().rsplit(' ').next().unwrap().parse().unwrap();
    assert!(node.address.is_ipv6());
    assert_eq!(node.send_raw(&asked("GET / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(
        kept.read(&mut [0]).unwrap(),
        0,
        "idle connections of a listener that is gone are closed in order"
    );
    wait_until("the old port is closed", || TcpStream::connect(side).is_err());
    go.send(()).unwrap();
    let answer = read_message(&mut slow).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"old"[..]), "on what it began with");

    let failing =
        Servers::new(
            2,
            |n, _| if n == 0 { Reply::Send(response("503 No", "", b"")) } else { ok_reply("new") },
        );
    node.reload(&moved.replace(&server_list(&new.addresses), &server_list(&failing.addresses)));
    node.wait_for_log("reloaded: listeners: 1", 2);
    assert_eq!(node.send_raw(&asked("POST / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(failing.request_count(), 2, "safe: once more");
}

/// Under load, reloads lose nothing.
#[test]
fn reloads_under_load_lose_nothing() {
    let servers = Servers::new(4, |_, _| ok_reply("fine"));
    let node = Node::start_with_operator_file(&site(&servers.addresses, "", "", ""));
    let address = node.address;
    let done = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let done = done.clone();
            std::thread::spawn(move || {
                let mut served = 0;
                while done.load(SeqCst) == 0 {
                    let mut client = TcpStream::connect(address).unwrap();
                    for _ in 0..20 {
                        client.write_all(&asked("POST /x HTTP/1.1")).unwrap();
                        let answer = read_message(&mut client).expect("an answer");
                        assert_eq!(answer.status(), 200, "{answer:?}");
                        served += 1;
                    }
                }
                served
            })
        })
        .collect();
    for k in 0..10 {
        let pool = if k % 2 == 0 { "max_attempts = 2" } else { "" };
        node.reload(&site(&servers.addresses[k % 3..], "", pool, ""));
        node.wait_for_log("corkhollow: reloaded: ", k + 1);
    }
    done.store(1, SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served >= 80, "{served}");
}

#[test]
fn a_terminated_program_finishes_what_it_has() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok_reply("fine")
    });
    let mut node = plain(&servers.addresses);
    let mut client = node.connect();
    client.write_all(&asked("POST / HTTP/1.1")).unwrap();
    wait_until("it is under way", || servers.request_count() == 1);
    node.signal("-TERM");
    go.send(()).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 200);
    assert!(node.wait_for_exit().success());
}

/// No bytes from a peer end the program, and it serves on.
#[test]
fn no_bytes_from_a_peer_end_it() {
    let noise = |seed: u64, n: usize| -> Vec<u8> {
        let mut x = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let words: [&[u8]; 12] = [
            b"GET / HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"\r\n",
            b"Content-Length: 5\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"5\r\nhello\r\n",
            b"0\r\n\r\n",
            b"\0",
            b"\xff\xfe",
            b"Expect: 100-continue\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b": ",
        ];
        (0..n)
            .flat_map(|_| {
                x ^= x << 13;
                x ^= x >> 7;
                x ^= x << 17;
                words[(x % 12) as usize].to_vec()
            })
            .collect()
    };
    let turn = Arc::new(AtomicUsize::new(0));
    let counter = turn.clone();
    let dial = spawn_raw_server(move |mut stream| {
        let _ = read_message(&mut stream);
        let k = counter.fetch_add(1, SeqCst) as u64;
        let start: &[u8] = if k.is_multiple_of(2) { b"HTTP/1.1 200 OK\r\n" } else { b"" };
        let _ = stream.write_all(&[start, &noise(k, 12)].concat());
    });
    let good = Servers::new(1, |_, _| ok_reply("fine"));
    let routes = format!("[[pool]]\nname = \"good\"\nservers = [{}]\n[[route]]\nname = \"good\"\npath = \"/good\"\npool = \"good\"", server_list(&good.addresses));
    let node = Node::start_with_operator_file(&site(&[dial], "", "", &routes));
    for k in 0..150 {
        let mut client = node.connect();
        let _ = client.write_all(&noise(1000 + k, 8));
        half_close(&client);
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
    }
    for k in 0..50 {
        let mut client = node.connect();
        let _ = client.write_all(&asked(&format!("POST /{k} HTTP/1.1\r\nConnection: close")));
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
        assert!(out.starts_with(b"HTTP/1.1 "), "{k}");
    }
    assert_eq!(node.send_raw(&asked("GET /good HTTP/1.1")).unwrap().body, b"fine");
}

/// Before anything is learnt of how long answers take, a burst is no overload.
#[test]
fn a_first_burst_is_served() {
    let servers = Servers::new(1, |_, _| {
        std::thread::sleep(Duration::from_millis(20));
        ok_reply("fine")
    });
    let node = plain(&servers.addresses);
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|c| c.write_all(&asked("GET / HTTP/1.1")).unwrap());
    let status = |c: &mut TcpStream| read_message(c).map_or(0, |m| m.status());
    let served = clients.iter_mut().map(status).filter(|s| *s == 200).count();
    assert_eq!(served, 48);
    // A pool of machines that do one thing at a time says so, and then late answers are refused at once.
    let node = Node::start_with_operator_file(&site(&servers.addresses, "", "concurrency = 1", ""));
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|c| c.write_all(&asked("GET / HTTP/1.1")).unwrap());
    let refused = clients.iter_mut().map(status).filter(|s| *s == 503).count();
    assert!(refused > 0);
}

/// All servers of a pool drain: what they have in hand is finished, what comes is refused at once.
#[test]
fn a_pool_whose_servers_all_drain_refuses_at_once() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(2, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok_reply("fine")
    });
    let text = site(&servers.addresses, "", "", "");
    let node = Node::start_with_operator_file(&text);
    let mut client = node.connect();
    client.write_all(&asked("POST / HTTP/1.1")).unwrap();
    wait_until("it is under way", || servers.request_count() == 1);
    node.reload(&text.replace("\" }, ", "\", drain = true }, "));
    node.wait_for_log("corkhollow: reloaded: ", 1);
    let start = Instant::now();
    let refused = node.send_raw(&asked("POST / HTTP/1.1")).unwrap();
    assert_eq!((refused.status(), refused.header("retry-after").is_some()), (503, true));
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    go.send(()).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 200);
    assert_eq!(servers.request_count(), 1, "nothing new reached a draining server");
}
