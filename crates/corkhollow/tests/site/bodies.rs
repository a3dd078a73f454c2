//! Bodies and interim answers on their way, and clients that leave in them.

use super::*;

/// A route that answers by itself reads a short body, so that the connection goes on; behind a long one it says that it
/// closes, and the client gets the answer also where it sends all of its body first.
#[test]
fn an_answer_reaches_a_client_whose_body_nobody_wants() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let routes = "[[route]]\nname = \"own\"\npath_prefix = \"/own\"\nanswer = { status = 405 }";
    let node = Node::start_with_operator_file(&site(&servers.addresses, "", "", routes));
    let mut client = node.connect();
    for _ in 0..3 {
        let chunked = "POST /own HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        client.write_all(chunked.as_bytes()).unwrap();
        client.write_all(b"5\r\nhello\r\n0\r\n\r\n").unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (405, None));
    }
    for head in ["Content-Length: 6000000", "Transfer-Encoding: chunked"] {
        let mut client = node.connect();
        client.write_all(format!("POST /own HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n").as_bytes()).unwrap();
        let chunk = [b"ea60\r\n".to_vec(), vec![b'x'; 60_000], b"\r\n".to_vec()].concat();
        for _ in 0..100 {
            let sent = if head.starts_with('C') { &chunk[6..60_006] } else { &chunk[..] };
            client.write_all(sent).expect("the client is cut off in its body");
        }
        let answer = read_message(&mut client).expect("the answer is lost");
        assert_eq!((answer.status(), answer.header("connection")), (405, Some("close")));
        half_close(&client);
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    let asks = "POST /own HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    assert!(
        whole(&node, asks.as_bytes()).starts_with("HTTP/1.1 405"),
        "a body is asked for that is not wanted"
    );
    assert_eq!(servers.request_count(), 0);
}

/// The answer is there before the body is whole: it goes to the client, whose connection then ends.
#[test]
fn an_answer_may_come_before_the_body_is_whole() {
    let servers = spawn_raw_server(|mut stream| {
        let mut some = [0; 1000];
        let _ = stream.read(&mut some);
        let _ = stream.write_all(&response("413 Too Large", "Connection: close\r\n", b"enough"));
        std::thread::sleep(Duration::from_millis(300));
    });
    let node = plain(&[servers]);
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
    client.write_all(&vec![b'x'; 200_000]).unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (413, &b"enough"[..]));
}

#[test]
fn a_server_is_asked_before_the_body_is() {
    let servers = spawn_raw_server(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        if !head.contains("expect: 100-continue") || head.starts_with("put /no") {
            let _ = stream.write_all(&response("403 No", "Connection: close\r\n", b"no"));
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        let mut body = [0; 4];
        if stream.read_exact(&mut body).is_ok() {
            let _ = stream.write_all(&response("200 OK", "Connection: close\r\n", &body));
        }
    });
    let node = plain(&[servers]);
    let ask = |path: &str| {
        let mut client = node.connect();
        write!(client, "PUT {path} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
            .unwrap();
        let interim = read_message(&mut client).unwrap();
        (client, interim)
    };
    let (mut client, interim) = ask("/yes");
    assert_eq!(interim.status(), 100);
    client.write_all(b"body").unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"body"[..]));
    let (_, refused) = ask("/no");
    assert_eq!(refused.status(), 403, "without the body's having been asked for");
}

#[test]
fn interim_answers_do_not_end_a_request() {
    let servers = Servers::new(1, |n, _| match n {
        0 => Reply::Send(
            [b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), response("200 OK", "", b"fine")].concat(),
        ),
        _ => Reply::SendAndClose(b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()),
    });
    let node = plain(&servers.addresses);
    let mut stream = node.connect();
    stream.write_all(&asked("GET / HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut stream).unwrap().status(), 103);
    let first = read_message(&mut stream).unwrap();
    assert_eq!((first.status(), &first.body[..]), (200, &b"fine"[..]));
    stream.write_all(&asked("POST / HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut stream).unwrap().status(), 102);
    assert_eq!(read_message(&mut stream).unwrap().status(), 502, "it said something, and died");
}

/// Interim answers are the client's (RFC 9110, 15.2), before the final one; not all of a flood, and not where the
/// client's version has none.
#[test]
fn interim_answers_pass_in_order() {
    let servers = Servers::new(1, |_, m| {
        let count = m.header("x-count").unwrap().parse().unwrap();
        let hint = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\nConnection: x-gone\r\nX-Gone: 1\r\n\r\n";
        Reply::Send(
            [hint.repeat(count).into_bytes(), response("200 OK", "", count.to_string().as_bytes())].concat(),
        )
    });
    let node = plain(&servers.addresses);
    for version in ["1.1", "1.0"] {
        let ask = |count: usize, end: &str| {
            format!("GET / HTTP/{version}\r\nHost: a\r\nX-Count: {count}\r\nConnection: {end}\r\n\r\n")
        };
        let text =
            [ask(2, "keep-alive"), ask(0, "keep-alive"), ask(500, "keep-alive"), ask(1, "close")].concat();
        let all = whole(&node, text.as_bytes()).to_lowercase();
        let statuses: String = all.split("http/1.1 ").skip(1).map(|m| &m[..1]).collect();
        match version {
            "1.1" => assert_eq!(statuses, format!("112{}{}212", 2, "1".repeat(16)), "{all}"),
            _ => assert!(!all.contains("early hints"), "{all}"),
        }
        assert!(!all.contains("x-gone"), "{all}");
        assert_eq!(all.matches("link: </a.css>").count(), all.matches(" 103 ").count());
    }
}

/// The head has gone out: all that is left is to let the client see that the rest is missing.
#[test]
fn an_answer_that_breaks_off_shows() {
    for (k, spoilt) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nxx\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        let servers = spawn_raw_server(move |mut stream| {
            let _ = read_message(&mut stream);
            let (head, body) = spoilt.split_once("\r\n\r\n").unwrap();
            let _ = stream.write_all(format!("{head}\r\n\r\n").as_bytes());
            std::thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(body.as_bytes());
        });
        let node = plain(&[servers]);
        let answer = node.send_raw(&asked("POST / HTTP/1.1")).unwrap();
        assert!(answer.status() == 200 && !answer.is_complete, "case {k}: {answer:?}");
    }
}

#[test]
fn a_client_that_leaves_in_its_body_costs_its_server_nothing() {
    let broken = Arc::new(AtomicUsize::new(0));
    let seen = broken.clone();
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let first = servers.addresses[0];
    let cut = spawn_raw_server(move |mut stream| {
        let Ok(mut inner) = TcpStream::connect(first) else { return };
        let mut all = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    all.extend(&chunk[..n]);
                    if all.starts_with(b"GET") && all.ends_with(b"\r\n\r\n") {
                        let _ = inner.write_all(&all);
                        let answer = read_message(&mut inner).unwrap();
                        let _ = stream.write_all(&response("200 OK", "", &answer.body));
                        all.clear();
                    }
                }
            }
        }
        if !all.is_empty() {
            seen.fetch_add(1, SeqCst);
        }
    });
    let node = plain(&[cut]);
    for k in 0..6 {
        let mut client = node.connect();
        write!(client, "PUT /{k} HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
        client.write_all(&vec![b'x'; 300_000]).unwrap();
        drop(client);
        wait_until("the server sees the cut", || broken.load(SeqCst) == k + 1);
        assert_eq!(node.send_raw(&asked("GET / HTTP/1.1")).unwrap().status(), 200, "after {k}");
    }
}
