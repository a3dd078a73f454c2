//! Pools: attempts, refusals, backup servers, connection limits, drains, reloads and shutdown.

use super::*;

/// Requests of a safe class are retried, unless their body is too long to be buffered.
#[test]
fn attempts_depend_on_the_class_and_on_whether_the_body_is_buffered() {
    for (method, body_bytes, status, attempts) in
        [("GET", 0, 200, 2), ("PUT", 10, 200, 2), ("POST", 10, 503, 1), ("PUT", 100_000, 503, 1)]
    {
        let servers = Servers::new(2, |n, _| match n {
            0 => Reply::Send(response("503 Busy", "X-Whose: server\r\n", b"busy")),
            _ => ok_reply("fine"),
        });
        let classes = "[[class]]\nname = \"again\"\neffect = \"safe\"\nmethods = [\"GET\", \"PUT\"]";
        let node = Node::start_with_operator_file(&config(&servers.addresses, "", "", classes));
        let mut request =
            format!("{method} / HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n").into_bytes();
        request.resize(request.len() + body_bytes, b'x');
        let answer = node.send_raw(&request).unwrap();
        let server_mark = answer.header("x-whose");
        assert_eq!(
            (answer.status(), servers.request_count()),
            (status, attempts),
            "{method} of {body_bytes} bytes"
        );
        assert_eq!(server_mark.is_some(), status == 503, "the final 503 must be the server's: {answer:?}");
    }
}

/// A refusal also has a Retry-After header.
#[test]
fn a_failed_request_is_answered_at_once_with_its_reason() {
    let reason = |answer: &Message| {
        let text = String::from_utf8(answer.body.clone()).unwrap();
        assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{text}");
        let value: String = text.split("\"reason\":\"").nth(1).unwrap().split('"').next().unwrap().into();
        value
    };
    let assert_failure = |node: &Node, request: &str, status: u16, expected_reason: &str| {
        let start = Instant::now();
        let answer = node.send_raw(&request_bytes(request)).unwrap();
        assert_eq!((answer.status(), reason(&answer).as_str()), (status, expected_reason), "{request}");
        assert!(start.elapsed() < Duration::from_secs(2), "{request}: {:?}", start.elapsed());
        answer
    };
    let refused = assert_failure(&start_with_default_config(&[]), "GET / HTTP/1.1", 503, "refused");
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
    assert_failure(
        &start_with_default_config(&[refusing_address(), refusing_address()]),
        "POST / HTTP/1.1",
        503,
        "refused",
    );
    let reset = Servers::new(2, |_, _| Reply::Reset);
    assert_failure(&start_with_default_config(&reset.addresses), "POST / HTTP/1.1", 502, "failed");
    assert_eq!(reset.request_count(), 1);
    let silent = Servers::new(2, |_, _| Reply::NoAnswer);
    let class = "[[class]]\nname = \"write\"\neffect = \"unsafe\"\naim = \"300ms\"\ndeadline = \"400ms\"";
    let node = Node::start_with_operator_file(&config(&silent.addresses, "", "", class));
    assert_failure(&node, "POST / HTTP/1.1", 504, "late");
    assert_eq!(silent.request_count(), 1);
}

#[test]
fn the_log_names_an_ejected_server() {
    let failing = Servers::new(1, |_, _| Reply::Send(response("503 Busy", "", b"")));
    // The first ejection lasts for a time derived from the longest deadline of all classes.
    let class = |name: &str| {
        format!("[[class]]\nname = \"{name}\"\neffect = \"safe\"\naim = \"50ms\"\ndeadline = \"100ms\"\n")
    };
    let node = Node::start_with_operator_file(&format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{}{}\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{}\", name = \"broken\" }}]\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n",
        class("read"),
        class("write"),
        failing.addresses[0]
    ));
    let is_logged = || {
        node.log.lock().unwrap().iter().any(|l| l.contains("pool boxes: server broken: ejected after Error"))
    };
    wait_until("the ejection is logged", || {
        node.get("/", "");
        std::thread::sleep(Duration::from_millis(5));
        is_logged()
    });
}

#[test]
fn backup_servers_serve_only_while_all_others_are_down() {
    let (main, backup) =
        (Servers::new(1, |_, _| ok_reply("main")), Servers::new(1, |_, _| ok_reply("spare")));
    let up = Arc::new(AtomicUsize::new(1));
    let server_up = up.clone();
    let primary = Servers::new(1, move |_, _| match server_up.load(SeqCst) {
        0 => Reply::Send(response("500 Down", "", b"")),
        _ => ok_reply("main"),
    });
    drop(main);
    let pool = format!(
        "servers = [{{ address = \"{}\" }}, {{ address = \"{}\", backup = true }}]\n\
         check = {{ path = \"/up\", every = \"20ms\", rise = 1, fall = 1 }}",
        primary.addresses[0], backup.addresses[0]
    );
    let text = config(&[], "", "", "").replace("servers = []\n", &format!("{pool}\n"));
    let node = Node::start_with_operator_file(&text);
    let body = || node.send_raw(&request_bytes("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
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
fn a_watched_server_list_is_applied_when_it_changes() {
    let (one, two) = (Servers::new(1, |_, _| ok_reply("one")), Servers::new(1, |_, _| ok_reply("two")));
    let path = std::env::temp_dir().join(format!("corkhollow-watched-{}.toml", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    let list = |address: SocketAddr| format!("[[servers]]\naddress = \"{address}\"\n");
    write(&list(one.addresses[0]));
    let watch = format!("watch = {:?}\n", path.display().to_string());
    let node = Node::start_with_operator_file(&config(&[], "", "", "").replace("servers = []\n", &watch));
    let body = || node.send_raw(&request_bytes("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
    wait_until("the first list is applied", || body() == b"one");
    write("[[servers]]\naddress = \"nowhere\"\n");
    node.wait_for_log("rejected, keeping the previous list: 2:11: error: servers[0].address", 1);
    assert_eq!(body(), b"one");
    write(&list(two.addresses[0]));
    wait_until("the new list is applied", || body() == b"two");
    write("servers = []\n");
    wait_until("requests are refused under an empty list", || {
        node.send_raw(&request_bytes("GET / HTTP/1.1")).unwrap().status() == 503
    });
    std::fs::remove_file(&path).unwrap();
}

/// Requests over `max_connections` wait, requests over `max_waiting` are refused at once, and the ones that
/// wait are served.
#[test]
fn connections_and_waiting_requests_of_a_pool_are_limited() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let servers = Servers::new(1, move |_, _| {
        let _ = released.lock().unwrap().recv();
        ok_reply("fine")
    });
    let node = Node::start_with_operator_file(&config(
        &servers.addresses,
        "",
        "max_connections = 1\nmax_waiting = 1\nmax_attempts = 1",
        "",
    ));
    let post = || {
        let mut client = node.connect();
        client.write_all(&request_bytes("POST / HTTP/1.1")).unwrap();
        client
    };
    let mut first = post();
    wait_until("the first request is in flight", || servers.request_count() == 1);
    let mut others = [post(), post(), post()];
    let mut refused = 0;
    for client in &mut others {
        client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        refused += usize::from(read_message(client).is_some_and(|m| m.status() == 503));
    }
    assert!(refused >= 2, "{refused} refused");
    assert_eq!(
        (servers.connection_count(), servers.request_count()),
        (1, 1),
        "a request over the limit reached the server"
    );
    drop(release);
    assert_eq!(read_message(&mut first).unwrap().status(), 200);
    wait_until("the next request is served", || {
        node.send_raw(&request_bytes("POST / HTTP/1.1")).unwrap().status() == 200
    });
}

/// One address in two pools, and under two names in one pool: each entry is a server of its own.
#[test]
fn one_address_may_be_listed_as_several_servers() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let address = servers.addresses[0];
    let second_pool = format!("[[pool]]\nname = \"more\"\nservers = [{{ address = \"{address}\", name = \"a\" }}, {{ address = \"{address}\", name = \"b\" }}]\n[[route]]\nname = \"more\"\npath_prefix = \"/more\"\npool = \"more\"");
    let node = Node::start_with_operator_file(&config(&servers.addresses, "", "", &second_pool));
    for path in ["/", "/more", "/more/x", "/x"] {
        assert_eq!(
            node.send_raw(&request_bytes(&format!("GET {path} HTTP/1.1"))).unwrap().status(),
            200,
            "{path}"
        );
    }
}

/// Requests in flight end under the configuration that they began with. An invalid file changes nothing.
#[test]
fn a_reload_replaces_listeners_pools_and_classes_for_new_requests() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let old = Servers::new(2, move |_, m| {
        if m.head.contains("/slow") {
            let _ = released.lock().unwrap().recv();
        }
        match m.head.contains("/fail") {
            true => Reply::Send(response("503 Busy", "", b"")),
            false => ok_reply("old"),
        }
    });
    let new = Servers::new(2, |_, _| ok_reply("new"));
    let second_listener = "[[listener]]\nname = \"side\"\naddress = \"127.0.0.1:0\"\n";
    let class =
        |effect: &str| format!("[[class]]\nname = \"all\"\neffect = \"{effect}\"\nmethods = [\"POST\"]\n");
    let mut node = Node::start_with_operator_file(&format!(
        "{second_listener}{}",
        config(&old.addresses, "", "", &class("unsafe"))
    ));
    let (web, side) = (node.listeners["web"], node.listeners["side"]);
    node.address = web;
    assert_eq!(node.send_raw(&request_bytes("POST /fail HTTP/1.1")).unwrap().status(), 503);
    assert_eq!(old.request_count(), 1, "a request of the unsafe class must not be retried");
    let mut idle = TcpStream::connect(side).unwrap();
    idle.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    idle.write_all(&request_bytes("GET /x HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut idle).unwrap().body, b"old");
    let mut slow = node.connect();
    slow.write_all(&request_bytes("POST /slow HTTP/1.1")).unwrap();
    wait_until("the slow request is in flight", || {
        old.requests.lock().unwrap().iter().any(|m| m.head.contains("/slow"))
    });

    for (k, invalid) in ["[[listener]]\n", "nonsense", ""].into_iter().enumerate() {
        node.reload(invalid);
        node.wait_for_log("not reloaded", k + 1);
        assert_eq!(node.send_raw(&request_bytes("GET / HTTP/1.1")).unwrap().body, b"old");
    }

    // The class becomes safe, the pool gets another name, `side` is removed and `web` gets another address.
    let moved = config(&new.addresses, "", "", &class("safe"))
        .replace("boxes", "others")
        .replace("name = \"web\"\naddress = \"127.0.0.1:0\"", "name = \"web\"\naddress = \"[::1]:0\"");
    node.reload(&moved);
    node.wait_for_log("reloaded: listeners: 1, routes: 1, pools: 1", 1);
    let line = node.log.lock().unwrap().iter().rfind(|l| l.contains("listener web listening on")).cloned();
    node.address = line.unwrap().rsplit(' ').next().unwrap().parse().unwrap();
    assert!(node.address.is_ipv6());
    assert_eq!(node.send_raw(&request_bytes("GET / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(
        idle.read(&mut [0]).unwrap(),
        0,
        "idle connections of a removed listener are closed without a reset"
    );
    wait_until("the port of the removed listener is closed", || TcpStream::connect(side).is_err());
    release.send(()).unwrap();
    let answer = read_message(&mut slow).unwrap();
    assert_eq!(
        (answer.status(), &answer.body[..]),
        (200, &b"old"[..]),
        "a request in flight stays with its old server"
    );

    let failing =
        Servers::new(
            2,
            |n, _| if n == 0 { Reply::Send(response("503 No", "", b"")) } else { ok_reply("new") },
        );
    node.reload(&moved.replace(&server_list(&new.addresses), &server_list(&failing.addresses)));
    node.wait_for_log("reloaded: listeners: 1", 2);
    assert_eq!(node.send_raw(&request_bytes("POST / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(failing.request_count(), 2, "a request of the safe class must be retried");
}

#[test]
fn reloads_under_load_lose_no_request() {
    let servers = Servers::new(4, |_, _| ok_reply("fine"));
    let node = Node::start_with_operator_file(&config(&servers.addresses, "", "", ""));
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
                        client.write_all(&request_bytes("POST /x HTTP/1.1")).unwrap();
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
        node.reload(&config(&servers.addresses[k % 3..], "", pool, ""));
        node.wait_for_log("corkhollow: reloaded: ", k + 1);
    }
    done.store(1, SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served >= 80, "{served} served");
}

#[test]
fn a_terminated_process_finishes_requests_in_flight() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let servers = Servers::new(1, move |_, _| {
        let _ = released.lock().unwrap().recv();
        ok_reply("fine")
    });
    let mut node = start_with_default_config(&servers.addresses);
    let mut client = node.connect();
    client.write_all(&request_bytes("POST / HTTP/1.1")).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    node.signal("-TERM");
    release.send(()).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 200);
    assert!(node.wait_for_exit().success());
}

#[test]
fn random_bytes_from_clients_and_servers_do_not_end_the_process() {
    let noise = |seed: u64, count: usize| -> Vec<u8> {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let fragments: [&[u8]; 12] = [
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
        (0..count)
            .flat_map(|_| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                fragments[(state % 12) as usize].to_vec()
            })
            .collect()
    };
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    let hostile_server = spawn_raw_server(move |mut stream| {
        let _ = read_message(&mut stream);
        let k = counter.fetch_add(1, SeqCst) as u64;
        let start: &[u8] = if k.is_multiple_of(2) { b"HTTP/1.1 200 OK\r\n" } else { b"" };
        let _ = stream.write_all(&[start, &noise(k, 12)].concat());
    });
    let good = Servers::new(1, |_, _| ok_reply("fine"));
    let routes = format!("[[pool]]\nname = \"good\"\nservers = [{}]\n[[route]]\nname = \"good\"\npath = \"/good\"\npool = \"good\"", server_list(&good.addresses));
    let node = Node::start_with_operator_file(&config(&[hostile_server], "", "", &routes));
    for k in 0..150 {
        let mut client = node.connect();
        let _ = client.write_all(&noise(1000 + k, 8));
        half_close(&client);
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
    }
    for k in 0..50 {
        let mut client = node.connect();
        let _ = client.write_all(&request_bytes(&format!("POST /{k} HTTP/1.1\r\nConnection: close")));
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
        assert!(out.starts_with(b"HTTP/1.1 "), "{k}");
    }
    assert_eq!(node.send_raw(&request_bytes("GET /good HTTP/1.1")).unwrap().body, b"fine");
}

/// Until answer times are known, a burst must not be taken for overload.
#[test]
fn an_initial_burst_is_served_unless_the_pool_limits_concurrency() {
    let servers = Servers::new(1, |_, _| {
        std::thread::sleep(Duration::from_millis(20));
        ok_reply("fine")
    });
    let node = start_with_default_config(&servers.addresses);
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|client| client.write_all(&request_bytes("GET / HTTP/1.1")).unwrap());
    let status = |client: &mut TcpStream| read_message(client).map_or(0, |m| m.status());
    let served = clients.iter_mut().map(status).filter(|s| *s == 200).count();
    assert_eq!(served, 48);
    // With servers of `concurrency = 1`, requests that cannot be answered in time are refused at once.
    let node = Node::start_with_operator_file(&config(&servers.addresses, "", "concurrency = 1", ""));
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|client| client.write_all(&request_bytes("GET / HTTP/1.1")).unwrap());
    let refused = clients.iter_mut().map(status).filter(|s| *s == 503).count();
    assert!(refused > 0);
}

/// Requests in flight are still finished.
#[test]
fn a_pool_whose_servers_all_drain_refuses_at_once() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let servers = Servers::new(2, move |_, _| {
        let _ = released.lock().unwrap().recv();
        ok_reply("fine")
    });
    let text = config(&servers.addresses, "", "", "");
    let node = Node::start_with_operator_file(&text);
    let mut client = node.connect();
    client.write_all(&request_bytes("POST / HTTP/1.1")).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    node.reload(&text.replace("\" }, ", "\", drain = true }, "));
    node.wait_for_log("corkhollow: reloaded: ", 1);
    let start = Instant::now();
    let refused = node.send_raw(&request_bytes("POST / HTTP/1.1")).unwrap();
    assert_eq!((refused.status(), refused.header("retry-after").is_some()), (503, true));
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    release.send(()).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 200);
    assert_eq!(servers.request_count(), 1, "a draining server got a new request");
}
