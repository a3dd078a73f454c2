//! A scripted discovery service of the platform.

use crate::message::read_message;
use crate::WAIT_TIMEOUT;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The JSON of a host in a discovery list.
pub fn host_json(name: &str, address: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"a","class":"std","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// The JSON of a discovery list.
pub fn list_json(seq: u64, is_complete: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{is_complete},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery service. Each watch first gets the next opening line (the last one is repeated), then the
/// lines that the test pushes.
pub struct Discovery {
    /// The listening address.
    pub address: SocketAddr,
    /// The number of watches opened.
    pub watch_count: Arc<AtomicUsize>,
    watch_senders: Arc<Mutex<Vec<mpsc::Sender<String>>>>,
}

impl Discovery {
    /// Starts the service. With `sends_heartbeats`, an idle watch gets an empty line every 2 s, as the
    /// protocol demands.
    pub fn new(opening_lines: Vec<String>, sends_heartbeats: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            watch_count: Arc::default(),
            watch_senders: Arc::default(),
        };
        let (watch_count, watch_senders) = (discovery.watch_count.clone(), discovery.watch_senders.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if read_message(&mut stream).is_none() {
                    continue;
                }
                let (sender, lines) = mpsc::channel::<String>();
                let opening_line =
                    &opening_lines[watch_count.load(Ordering::SeqCst).min(opening_lines.len() - 1)];
                sender.send(opening_line.clone()).unwrap();
                watch_senders.lock().unwrap().push(sender);
                watch_count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    loop {
                        let line = match lines.recv_timeout(Duration::from_secs(2)) {
                            Ok(line) => line,
                            Err(mpsc::RecvTimeoutError::Timeout) if sends_heartbeats => String::new(),
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

    /// Sends a line on the newest watch.
    pub fn push_line(&self, line: String) {
        let _ = self.watch_senders.lock().unwrap().last().unwrap().send(line);
    }

    /// The number of watches opened.
    pub fn watch_count(&self) -> usize {
        self.watch_count.load(Ordering::SeqCst)
    }
}

/// A discovery service whose calls the test answers by hand.
pub struct ManualDiscovery {
    /// The listening address.
    pub address: SocketAddr,
    calls: mpsc::Receiver<ReceivedCall>,
    is_closing: Arc<AtomicBool>,
    accept_thread: thread::JoinHandle<()>,
}

/// A call of the node. Its connection is closed on drop.
pub struct ReceivedCall {
    /// The request target: path and query.
    pub target: String,
    stream: TcpStream,
}

impl ManualDiscovery {
    /// Listens on a free port.
    pub fn listen() -> Self {
        Self::listen_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Listens on this address.
    pub fn listen_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::channel();
        let is_closing = Arc::new(AtomicBool::new(false));
        let stops_accepting = is_closing.clone();
        let accept_thread = thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if stops_accepting.load(Ordering::SeqCst) {
                    return;
                }
                if let Some(message) = read_message(&mut stream) {
                    let target = message.head.split(' ').nth(1).unwrap_or_default().to_owned();
                    if sender.send(ReceivedCall { target, stream }).is_err() {
                        return;
                    }
                }
            }
        });
        ManualDiscovery { address, calls, is_closing, accept_thread }
    }

    /// Stops listening and closes all calls that the test has not taken.
    pub fn close(self) {
        self.is_closing.store(true, Ordering::SeqCst);
        // Unblocks `accept`.
        drop(TcpStream::connect(self.address));
        self.accept_thread.join().unwrap();
    }

    /// Waits for the next call.
    ///
    /// # Panics
    /// Where none arrives within 20 s.
    pub fn next_call(&self) -> ReceivedCall {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("the node calls discovery")
    }

    /// Waits this long for the next call.
    pub fn next_call_within(&self, time: Duration) -> Option<ReceivedCall> {
        self.calls.recv_timeout(time).ok()
    }

    /// Waits for a call and returns the newest one that has arrived; older ones stay open, unanswered, in
    /// `unanswered`.
    pub fn newest_call(&self, unanswered: &mut Vec<ReceivedCall>) -> ReceivedCall {
        let mut newest = self.next_call();
        while let Ok(newer) = self.calls.try_recv() {
            unanswered.push(std::mem::replace(&mut newest, newer));
        }
        newest
    }
}

impl ReceivedCall {
    /// Sends the response head of a watch and a first chunk.
    pub fn start_watch(&mut self, text: &str) {
        let _ = self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.write_chunk(text);
    }

    /// Sends a chunk.
    pub fn write_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        let _ = self.stream.write_all(chunk.as_bytes());
    }

    /// Sends these bytes without chunk framing.
    pub fn write_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Resets the connection.
    pub fn reset(self) {
        crate::servers::reset_connection(self.stream);
    }
}
