//! Streamed bodies, interim answers (1xx), and clients that disconnect within a body.

use super::*;

/// A route with a fixed answer reads a short body and keeps the connection. For a long body it announces the
/// close, and a client that sends its whole body first still gets the answer.
#[test]
fn a_fixed_answer_reaches_clients_that_send_short_and_long_bodies() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let routes = "[[route]]\nname = \"own\"\npath_prefix = \"/own\"\nanswer = { status = 405 }";
    let node = Node::start_with_operator_file(&config(&servers.addresses, "", "", routes));
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
            let part = if head.starts_with('C') { &chunk[6..60_006] } else { &chunk[..] };
            client.write_all(part).expect("the connection was closed within the body");
        }
        let answer = read_message(&mut client).expect("the client got no answer");
        assert_eq!((answer.status(), answer.header("connection")), (405, Some("close")));
        half_close(&client);
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    let expecting = "POST /own HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    assert!(
        send_and_read_to_end(&node, expecting.as_bytes()).starts_with("HTTP/1.1 405"),
        "100 Continue was sent for a body that is not read"
    );
    assert_eq!(servers.request_count(), 0);
}

#[test]
fn an_answer_before_the_end_of_the_request_body_is_passed_on() {
    let server = spawn_raw_server(|mut stream| {
        let mut part = [0; 1000];
        let _ = stream.read(&mut part);
        let _ = stream.write_all(&response("413 Too Large", "Connection: close\r\n", b"enough"));
        std::thread::sleep(Duration::from_millis(300));
    });
    let node = start_with_default_config(&[server]);
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
    client.write_all(&vec![b'x'; 200_000]).unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (413, &b"enough"[..]));
}

#[test]
fn a_client_gets_100_continue_only_after_the_server_sends_it() {
    let server = spawn_raw_server(|mut stream| {
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
    let node = start_with_default_config(&[server]);
    let put = |path: &str| {
        let mut client = node.connect();
        write!(client, "PUT {path} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
            .unwrap();
        let interim = read_message(&mut client).unwrap();
        (client, interim)
    };
    let (mut client, interim) = put("/yes");
    assert_eq!(interim.status(), 100);
    client.write_all(b"body").unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"body"[..]));
    let (_, refused) = put("/no");
    assert_eq!(refused.status(), 403, "the refusal reaches the client before it sends its body");
}

#[test]
fn an_interim_answer_is_passed_on_and_the_final_one_awaited() {
    let servers = Servers::new(1, |n, _| match n {
        0 => Reply::Send(
            [b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), response("200 OK", "", b"fine")].concat(),
        ),
        _ => Reply::SendAndClose(b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()),
    });
    let node = start_with_default_config(&servers.addresses);
    let mut stream = node.connect();
    stream.write_all(&request_bytes("GET / HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut stream).unwrap().status(), 103);
    let first = read_message(&mut stream).unwrap();
    assert_eq!((first.status(), &first.body[..]), (200, &b"fine"[..]));
    stream.write_all(&request_bytes("POST / HTTP/1.1")).unwrap();
    assert_eq!(read_message(&mut stream).unwrap().status(), 102);
    assert_eq!(
        read_message(&mut stream).unwrap().status(),
        502,
        "the server closed after its interim answer"
    );
}

/// Interim answers precede the final one (RFC 9110, section 15.2). A flood of them is limited, and HTTP/1.0
/// clients get none.
#[test]
fn interim_answers_are_passed_on_in_order_up_to_a_limit() {
    let servers = Servers::new(1, |_, m| {
        let count = m.header("x-count").unwrap().parse().unwrap();
        let hint = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\nConnection: x-gone\r\nX-Gone: 1\r\n\r\n";
        Reply::Send(
            [hint.repeat(count).into_bytes(), response("200 OK", "", count.to_string().as_bytes())].concat(),
        )
    });
    let node = start_with_default_config(&servers.addresses);
    for version in ["1.1", "1.0"] {
        let request_hints = |count: usize, connection: &str| {
            format!("GET / HTTP/{version}\r\nHost: a\r\nX-Count: {count}\r\nConnection: {connection}\r\n\r\n")
        };
        let pipelined = [
            request_hints(2, "keep-alive"),
            request_hints(0, "keep-alive"),
            request_hints(500, "keep-alive"),
            request_hints(1, "close"),
        ]
        .concat();
        let answers = send_and_read_to_end(&node, pipelined.as_bytes()).to_lowercase();
        let statuses: String = answers.split("http/1.1 ").skip(1).map(|m| &m[..1]).collect();
        match version {
            "1.1" => assert_eq!(statuses, format!("112{}{}212", 2, "1".repeat(16)), "{answers}"),
            _ => assert!(!answers.contains("early hints"), "{answers}"),
        }
        assert!(!answers.contains("x-gone"), "{answers}");
        assert_eq!(answers.matches("link: </a.css>").count(), answers.matches(" 103 ").count());
    }
}

/// The status is sent already: the client must see that the body is incomplete.
#[test]
fn a_truncated_answer_reaches_the_client_incomplete() {
    for (k, truncated) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nxx\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        let server = spawn_raw_server(move |mut stream| {
            let _ = read_message(&mut stream);
            let (head, body) = truncated.split_once("\r\n\r\n").unwrap();
            let _ = stream.write_all(format!("{head}\r\n\r\n").as_bytes());
            std::thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(body.as_bytes());
        });
        let node = start_with_default_config(&[server]);
        let answer = node.send_raw(&request_bytes("POST / HTTP/1.1")).unwrap();
        assert!(answer.status() == 200 && !answer.is_complete, "case {k}: {answer:?}");
    }
}

#[test]
fn a_client_disconnect_within_a_body_does_not_count_against_the_server() {
    let incomplete = Arc::new(AtomicUsize::new(0));
    let counter = incomplete.clone();
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let server = servers.addresses[0];
    let proxying_server = spawn_raw_server(move |mut stream| {
        let Ok(mut upstream) = TcpStream::connect(server) else { return };
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    received.extend(&chunk[..n]);
                    if received.starts_with(b"GET") && received.ends_with(b"\r\n\r\n") {
                        let _ = upstream.write_all(&received);
                        let answer = read_message(&mut upstream).unwrap();
                        let _ = stream.write_all(&response("200 OK", "", &answer.body));
                        received.clear();
                    }
                }
            }
        }
        if !received.is_empty() {
            counter.fetch_add(1, SeqCst);
        }
    });
    let node = start_with_default_config(&[proxying_server]);
    for k in 0..6 {
        let mut client = node.connect();
        write!(client, "PUT /{k} HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
        client.write_all(&vec![b'x'; 300_000]).unwrap();
        drop(client);
        wait_until("the server sees the disconnect", || incomplete.load(SeqCst) == k + 1);
        assert_eq!(
            node.send_raw(&request_bytes("GET / HTTP/1.1")).unwrap().status(),
            200,
            "after disconnect {k}"
        );
    }
}
