//! The platform's discovery.

use crate::message::read;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
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
