//! Scripted peers of a real node on loopback sockets: discovery, servers and clients of a few lines each.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far more than anything here takes: a test that gets this far has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for a condition.
pub fn until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A message as it came: its head and its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its head, with the blank line.
    pub head: String,
    /// Its body as it came.
    pub body: Vec<u8>,
    /// The body came to its end.
    pub whole: bool,
    /// How long its connection had stood idle, as a server sees it; nothing for the first.
    pub rested: Duration,
}

impl Message {
    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.clone().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }
}

/// Reads one message; none where the connection ends before its head does.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let mut message = Message {
        head: String::from_utf8(head).ok()?,
        body: Vec::new(),
        whole: true,
        rested: Duration::ZERO,
    };
    if message.header("transfer-encoding").is_some() {
        let mut lines = BufReader::new(stream);
        loop {
            let mut line = String::new();
            let _ = lines.read_line(&mut line);
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break message.whole = false };
            let mut chunk = vec![0; size + 2];
            if lines.read_exact(&mut chunk).is_err() {
                break message.whole = false;
            }
            message.body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|l| l.parse::<u64>().ok()) {
        let _ = stream.take(length).read_to_end(&mut message.body);
        message.whole = message.body.len() as u64 == length;
    }
    Some(message)
}

/// The bytes of an answer with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend(body);
    out
}

/// What a server does with the request that it has just read.
pub enum Reply {
    /// Writes this and goes on.
    Say(Vec<u8>),
    /// Writes this and ends its side.
    Last(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Says nothing and keeps the connection.
    Silence,
}

/// A good answer.
pub fn ok(body: &str) -> Reply {
    Reply::Say(response("200 OK", "", body.as_bytes()))
}

/// Some servers that share one script: it gets the number of the request, counted over all of them, and the
/// request. Requests that never come whole do not count.
pub struct Servers {
    /// Where they listen.
    pub dials: Vec<SocketAddr>,
    /// All whole requests, in the order in which they came.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted.
    pub connections: Arc<AtomicUsize>,
    /// Connections ended by `Reply::Last` that the node has closed too.
    pub closed: Arc<AtomicUsize>,
}

impl Servers {
    /// As many servers, all with this script.
    pub fn new(count: usize, script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        let mut servers = Servers {
            dials: Vec::new(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            servers.dials.push(listener.local_addr().unwrap());
            let (script, requests) = (script.clone(), servers.requests.clone());
            let (connections, closed) = (servers.connections.clone(), servers.closed.clone());
            thread::spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    connections.fetch_add(1, Ordering::SeqCst);
                    let (script, requests, closed) = (script.clone(), requests.clone(), closed.clone());
                    thread::spawn(move || {
                        let mut said: Option<Instant> = None;
                        while let Some(mut message) = read(&mut stream).filter(|m| m.whole) {
                            message.rested = said.map_or(Duration::ZERO, |at| at.elapsed());
                            let number = {
                                let mut all = requests.lock().unwrap();
                                all.push(message.clone());
                                all.len() - 1
                            };
                            match script(number, &message) {
                                Reply::Say(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    said = Some(Instant::now());
                                }
                                Reply::Last(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    let _ = stream.shutdown(Shutdown::Write);
                                    let _ = stream.read(&mut [0]);
                                    closed.fetch_add(1, Ordering::SeqCst);
                                    return;
                                }
                                Reply::Reset => return reset(stream),
                                Reply::Silence => {}
                            }
                        }
                    });
                }
            });
        }
        servers
    }

    /// Whole requests so far.
    pub fn seen(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Connections so far.
    pub fn connected(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// All of them as a whole list.
    pub fn list(&self, seq: u64) -> String {
        let all: Vec<_> =
            self.dials.iter().enumerate().map(|(k, d)| host(&format!("s-{k}"), *d, "active")).collect();
        list(seq, true, &all)
    }
}

/// Closes a connection so that the other side sees a reset.
pub fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// The address of a server that refuses connections.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// One server in the words of discovery.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"std","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A line of discovery.
pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// Discovery: every watch gets the next of the opening lines (the last again and again), and then what is said.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Watches opened so far.
    pub watches: Arc<AtomicUsize>,
    say: Arc<Mutex<Vec<mpsc::Sender<String>>>>,
}

impl Discovery {
    /// With `beat`, an empty line comes every 2 s, as it should.
    pub fn new(openings: Vec<String>, beat: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            watches: Arc::default(),
            say: Arc::default(),
        };
        let (watches, say) = (discovery.watches.clone(), discovery.say.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if read(&mut stream).is_none() {
                    continue;
                }
                let (sender, lines) = mpsc::channel::<String>();
                let opening = &openings[watches.load(Ordering::SeqCst).min(openings.len() - 1)];
                sender.send(opening.clone()).unwrap();
                say.lock().unwrap().push(sender);
                watches.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    loop {
                        let line = match lines.recv_timeout(Duration::from_secs(2)) {
                            Ok(line) => line,
                            Err(mpsc::RecvTimeoutError::Timeout) if beat => String::new(),
                            Err(mpsc::RecvTimeoutError::Timeout) => continue,
                            Err(_) => return,
                        };
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        if stream.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        discovery
    }

    /// Says a line on the newest watch.
    pub fn say(&self, line: String) {
        let _ = self.say.lock().unwrap().last().unwrap().send(line);
    }

    /// Watches so far.
    pub fn watched(&self) -> usize {
        self.watches.load(Ordering::SeqCst)
    }
}

/// What a platform configuration says.
pub struct Options {
    /// Its memory limit.
    pub memory_mb: u64,
    /// Its limit on descriptors.
    pub sockets: u64,
    /// The list of servers that it had, as JSON.
    pub known: String,
    /// How long a kept connection lives.
    pub idle_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { memory_mb: 192, sockets: 1024, known: String::from("null"), idle_ms: 10_000 }
    }
}

/// A platform configuration with a class `safe` and a class `once`.
pub fn config(discovery: SocketAddr, o: &Options) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aimNs":1000000000,"giveUpNs":3000000000,"worth":5.0,"effect":"{effect}","group":"all","windowNs":1000000000}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},
        "settings":{{"groupSize":1,"ordinal":0,"registryMode":"automatic","zone":0,"zones":["a"],"skus":["std"],
        "classes":[{},{}],
        "caps":{{"cancelling":true,"connIdleNs":{},"connectTimeoutNs":120000000,"maxAttempts":3,
        "maxRetryAfterNs":2000000000,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":false}},
        "guarantees":{{"coldFrom":0.14,"fallNs":2000000000,"rampTimeNs":23000000000,"tipMultiple":3.0}}}}}}"#,
        o.memory_mb,
        o.sockets,
        o.known,
        class("safe", "pure"),
        class("once", "side_effect"),
        o.idle_ms * 1_000_000,
    )
}

/// The program under test: beside the test that runs, in the folder that cargo builds into.
fn program() -> PathBuf {
    let mut path = std::env::current_exe().expect("the test knows where it is");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("corkhollow")
}

/// A node of its own, from the built program.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has logged.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    /// Runs the program on this platform configuration; where its file is.
    pub fn spawn(config: &str) -> (Child, PathBuf) {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("corkhollow-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new(program());
        command.arg("run");
        (command.env("GW_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("the node starts"), path)
    }

    /// Starts it and waits until it listens.
    pub fn start(discovery: SocketAddr, options: &Options) -> Self {
        let (mut child, config) = Self::spawn(&config(discovery, options));
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let address = loop {
            let line = lines.next().expect("the node says where it listens").unwrap();
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().unwrap();
            }
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines_of = log.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| lines_of.lock().unwrap().push(l)));
        Node { child, config, address, log }
    }

    /// A node that has taken in these servers.
    pub fn with(servers: &Servers) -> (Self, Discovery) {
        let discovery = Discovery::new(vec![servers.list(1)], true);
        let node = Self::start(discovery.address, &Options::default());
        node.ready();
        (node, discovery)
    }

    /// Waits until it takes clients.
    pub fn ready(&self) {
        until("the node is ready", || self.get("/up", "").is_some_and(|m| m.status() == 200));
    }

    /// A new connection to it.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// Sends raw bytes on a new connection and reads the answer.
    pub fn raw(&self, bytes: &[u8]) -> Option<Message> {
        let mut stream = self.connect();
        let _ = stream.write_all(bytes);
        read(&mut stream)
    }

    /// A request without a body, on a new connection.
    pub fn get(&self, path: &str, headers: &str) -> Option<Message> {
        self.raw(&get(path, headers))
    }

    /// A request with a body, on a new connection.
    pub fn post(&self, path: &str, body: &[u8]) -> Option<Message> {
        self.raw(&post(path, body))
    }

    /// Replaces the file of its configuration and tells it so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Waits until its log has this many lines that hold these words.
    pub fn says(&self, words: &str, count: usize) {
        until(words, || self.log.lock().unwrap().iter().filter(|l| l.contains(words)).count() >= count);
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Waits for its end.
    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A new id with every request.
fn id() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// The bytes of a request without a body, with an id of its own.
pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\n{headers}\r\n", id()).into_bytes()
}

/// The bytes of a request with a body, with an id of its own.
pub fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 2500\r\nContent-Length: {}\r\n\r\n",
        id(),
        body.len()
    )
    .into_bytes();
    out.extend(body);
    out
}

/// Ends the writing side only.
pub fn half_close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}
