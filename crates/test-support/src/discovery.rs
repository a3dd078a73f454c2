//! The platform's discovery.

use crate::message::read_message;
use crate::WAIT_TIMEOUT;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

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
                if read_message(&mut stream).is_none() {
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

/// Discovery whose calls a test answers itself, one by one: it stands at each point of each call.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    calls: mpsc::Receiver<Call>,
    closes: Arc<AtomicBool>,
    listening: thread::JoinHandle<()>,
}

/// A call that has come. Dropped, its connection is closed.
pub struct Call {
    /// What was asked for: path and query.
    pub target: String,
    stream: TcpStream,
}

impl Agent {
    /// Takes calls.
    pub fn listen() -> Self {
        Self::listen_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// The same, at this address.
    pub fn listen_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::channel();
        let closes = Arc::new(AtomicBool::new(false));
        let closed = closes.clone();
        let listening = thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Some(message) = read_message(&mut stream) {
                    let target = message.head.split(' ').nth(1).unwrap_or_default().to_owned();
                    if sender.send(Call { target, stream }).is_err() {
                        return;
                    }
                }
            }
        });
        Agent { address, calls, closes, listening }
    }

    /// Refuses connections from here on, and ends all calls that nobody has taken.
    pub fn close(self) {
        self.closes.store(true, Ordering::SeqCst);
        // It may be waiting for a connection.
        drop(TcpStream::connect(self.address));
        self.listening.join().unwrap();
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("the node calls")
    }

    /// A call that comes within this.
    pub fn call_within(&self, time: Duration) -> Option<Call> {
        self.calls.recv_timeout(time).ok()
    }

    /// The newest of the calls that have come by now, and of the next one where none has; the others go on being silent.
    pub fn newest(&self, silent: &mut Vec<Call>) -> Call {
        let mut newest = self.call();
        while let Ok(newer) = self.calls.try_recv() {
            silent.push(std::mem::replace(&mut newest, newer));
        }
        newest
    }
}

impl Call {
    /// Begins the answer of a watch, and says this on it.
    pub fn watch(&mut self, words: &str) {
        let _ = self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.say(words);
    }

    /// Says more, as it stands.
    pub fn say(&mut self, words: &str) {
        let chunk = format!("{:x}\r\n{words}\r\n", words.len());
        let _ = self.stream.write_all(chunk.as_bytes());
    }

    /// Writes these bytes as they stand.
    pub fn raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        crate::servers::reset_connection(self.stream);
    }
}
