//! Servers that follow a script.

use crate::discovery::{host, list};
use crate::message::{read_message, response, Message};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with the request that it has just read.
pub enum Reply {
    /// Writes this and goes on.
    Send(Vec<u8>),
    /// Writes this and ends its side.
    SendAndClose(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Says nothing and keeps the connection.
    NoAnswer,
    /// Does as it likes with the connection, and ends it.
    Custom(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// A good answer.
pub fn ok_reply(body: &str) -> Reply {
    Reply::Send(response("200 OK", "", body.as_bytes()))
}

/// Some servers that share one script: it gets the number of the request, counted over all of them, and the
/// request. Requests that never come whole do not count.
pub struct Servers {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    /// All whole requests, in the order in which they came.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted.
    pub connections: Arc<AtomicUsize>,
    /// Connections ended by `Reply::Last` that the node has closed too.
    pub closed_by_node: Arc<AtomicUsize>,
}

impl Servers {
    /// As many servers, all with this script.
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
            let (connections, closed) = (servers.connections.clone(), servers.closed_by_node.clone());
            thread::spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    connections.fetch_add(1, Ordering::SeqCst);
                    let (script, requests, closed) = (script.clone(), requests.clone(), closed.clone());
                    thread::spawn(move || {
                        let mut said: Option<Instant> = None;
                        while let Some(mut message) = read_message(&mut stream).filter(|m| m.is_complete) {
                            message.idle_before = said.map_or(Duration::ZERO, |at| at.elapsed());
                            let number = {
                                let mut all = requests.lock().unwrap();
                                all.push(message.clone());
                                all.len() - 1
                            };
                            match script(number, &message) {
                                Reply::Send(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    said = Some(Instant::now());
                                }
                                Reply::SendAndClose(bytes) => {
                                    let _ = stream.write_all(&bytes);
                                    let _ = stream.shutdown(Shutdown::Write);
                                    let _ = stream.read(&mut [0]);
                                    closed.fetch_add(1, Ordering::SeqCst);
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

    /// Whole requests so far.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Connections so far.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// All of them as a whole list.
    pub fn list_json(&self, seq: u64) -> String {
        let all: Vec<_> =
            self.addresses.iter().enumerate().map(|(k, d)| host(&format!("s-{k}"), *d, "active")).collect();
        list(seq, true, &all)
    }
}

/// Closes a connection so that the other side sees a reset.
pub fn reset_connection(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// The address of a server that refuses connections.
pub fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A server that runs a script on each connection, from its first byte on.
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

/// A server whose backlog is full: connections to it neither come up nor fail.
pub struct FullBacklogServer {
    /// Where it listens.
    pub address: SocketAddr,
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl FullBacklogServer {
    /// One that takes nothing.
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

    /// From here on it takes connections, and gives each request this answer.
    pub fn serve(self, body: &'static str) {
        let listener = self.free();
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

    fn free(self) -> TcpListener {
        for _ in &self.fillers {
            let _ = self.listener.accept();
        }
        self.listener.into()
    }

    /// From here on it takes connections; the kernel of whoever waits for one tries again about a second after its last
    /// try. All that comes on them within this time, of all of them together.
    pub fn accept_and_collect(self, time: Duration) -> Vec<u8> {
        let listener = self.free();
        listener.set_nonblocking(true).unwrap();
        let (begun, mut streams, mut seen) = (Instant::now(), Vec::new(), Vec::new());
        while begun.elapsed() < time {
            streams.extend(listener.accept().ok().map(|(stream, _)| stream));
            for stream in &mut streams {
                let _ = stream.set_nonblocking(true);
                let mut some = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut some) {
                    seen.extend_from_slice(&some[..n]);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        seen
    }
}

impl Default for FullBacklogServer {
    fn default() -> Self {
        Self::new()
    }
}
