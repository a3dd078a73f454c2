//! Servers that reply to each request by a script.

use crate::discovery::{host_json, list_json};
use crate::message::{read_message, response, Message};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with a request that it has read.
pub enum Reply {
    /// Sends these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Sends these bytes, shuts down its writing side and waits for the peer to close.
    SendAndClose(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Sends nothing and keeps the connection.
    NoAnswer,
    /// Runs this on the connection, then closes it.
    Custom(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// A response with status 200.
pub fn ok_reply(body: &str) -> Reply {
    Reply::Send(response("200 OK", "", body.as_bytes()))
}

/// Servers that share one script. The script gets the request and its index among the complete requests to
/// all of them; requests whose body is incomplete are ignored.
pub struct Servers {
    /// The listening addresses.
    pub addresses: Vec<SocketAddr>,
    /// All complete requests, in order of arrival.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// The number of connections accepted.
    pub connections: Arc<AtomicUsize>,
    /// The number of connections ended by `Reply::SendAndClose` that the node has closed in turn.
    pub closed_by_node: Arc<AtomicUsize>,
}

impl Servers {
    /// Starts `count` servers.
    pub fn new(count: usize, script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        let mut servers = Servers {
            addresses: Vec::new(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed_by_node: Arc::default(),
        };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            servers.addresses.push(listener.local_addr().unwrap());
            let (script, requests) = (script.clone(), servers.requests.clone());
            let (connections, closed_by_node) = (servers.connections.clone(), servers.closed_by_node.clone());
            thread::spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    connections.fetch_add(1, Ordering::SeqCst);
                    let (script, requests, closed_by_node) =
                        (script.clone(), requests.clone(), closed_by_node.clone());
                    thread::spawn(move || {
                        let mut last_reply_at: Option<Instant> = None;
                        while let Some(mut message) = read_message(&mut stream).filter(|m| m.is_complete) {
                            message.idle_before = last_reply_at.map_or(Duration::ZERO, |at| at.elapsed());
                            let request_index = {
                                let mut received = requests.lock().unwrap();
                                received.push(message.clone());
                                received.len() - 1
                            };
                            match script(request_index, &message) {
                                Reply::Send(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    last_reply_at = Some(Instant::now());
                                }
                                Reply::SendAndClose(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    let _ = stream.shutdown(Shutdown::Write);
                                    let _ = stream.read(&mut [0]);
                                    closed_by_node.fetch_add(1, Ordering::SeqCst);
                                    return;
                                }
                                Reply::Reset => return reset_connection(stream),
                                Reply::NoAnswer => {}
                                Reply::Custom(script) => return script(&mut stream),
                            }
                        }
                    });
                }
            });
        }
        servers
    }

    /// The number of complete requests received.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// The number of connections accepted.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// A complete discovery list of the servers, all active.
    pub fn list_json(&self, seq: u64) -> String {
        let hosts: Vec<_> = self
            .addresses
            .iter()
            .enumerate()
            .map(|(index, address)| host_json(&format!("s-{index}"), *address, "active"))
            .collect();
        list_json(seq, true, &hosts)
    }
}

/// Closes a connection with a TCP reset.
pub fn reset_connection(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// An address at which connections are refused. The port stays bound until the process ends, so that no other
/// socket gets it.
pub fn refusing_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// Starts a server that runs `script` on each connection, without reading a request first.
pub fn spawn_raw_server(script: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || script(stream));
        }
    });
    address
}

/// A server whose accept backlog is full: connection attempts to it neither succeed nor fail.
pub struct FullBacklogServer {
    /// The listening address.
    pub address: SocketAddr,
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl FullBacklogServer {
    /// Creates a listener and fills its backlog.
    pub fn new() -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
        }
        FullBacklogServer { address, listener, fillers }
    }

    /// Accepts connections from now on and answers each request with `body`.
    pub fn serve(self, body: &'static str) {
        let listener = self.drain_backlog();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    while read_message(&mut stream).is_some() {
                        let _ = stream.write_all(&response("200 OK", "", body.as_bytes()));
                    }
                });
            }
        });
    }

    fn drain_backlog(self) -> TcpListener {
        for _ in &self.fillers {
            let _ = self.listener.accept();
        }
        self.listener.into()
    }

    /// Accepts connections for `time` and returns all bytes received on them. A peer's kernel retransmits its
    /// SYN after about one second.
    pub fn accept_and_collect(self, time: Duration) -> Vec<u8> {
        let listener = self.drain_backlog();
        listener.set_nonblocking(true).unwrap();
        let (start, mut streams, mut received) = (Instant::now(), Vec::new(), Vec::new());
        while start.elapsed() < time {
            streams.extend(listener.accept().ok().map(|(stream, _)| stream));
            for stream in &mut streams {
                let _ = stream.set_nonblocking(true);
                let mut buffer = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    received.extend_from_slice(&buffer[..n]);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        received
    }
}

impl Default for FullBacklogServer {
    fn default() -> Self {
        Self::new()
    }
}
