//! An agent of discovery on the node's own machine, as the protocol page describes it: it answers at once, pushes
//! changes on open watches and sends an empty line every 2 s.

use crate::http::Reader;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Host {
    /// The server's id.
    pub name: String,
    /// Its address.
    pub dial: SocketAddr,
    /// `active`, `leaving` or `left`.
    pub health: &'static str,
    /// Its cell.
    pub block: u16,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: u64,
}

impl Host {
    /// A server that has run for long.
    pub fn active(name: &str, dial: SocketAddr) -> Self {
        Host { name: name.to_owned(), dial, health: "active", block: 0, born_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"belmont","class":"std-1","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.block, self.health, self.born_ms
        )
    }
}

#[derive(Default)]
struct State {
    seq: u64,
    /// The last entry of each server, with the version that changed it.
    hosts: BTreeMap<String, (u64, Host)>,
}

impl State {
    fn list(&self, since: Option<u64>) -> String {
        let listed = self.hosts.values().filter(|(changed_at, host)| match since {
            Some(since) => *changed_at > since,
            None => host.health != "left",
        });
        let listed: Vec<_> = listed.map(|(_, host)| host.json()).collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, self.seq, since.is_none(), listed.join(","))
    }
}

/// The agent.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts with this list.
    pub fn start(hosts: Vec<Host>) -> Self {
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), (1, host))).collect();
        let state = Arc::new((Mutex::new(State { seq: 1, hosts }), Condvar::new()));
        Discovery { address: listen(state) }
    }
}

fn listen(state: Arc<(Mutex<State>, Condvar)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            thread::spawn(move || serve(stream, &state));
        }
    });
    address
}

fn serve(stream: TcpStream, state: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    let Ok((head, _)) = reader.read_message() else { return };
    let query = head.target().split_once('?').map_or("", |(_, query)| query).to_owned();
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let mut since: Option<u64> = value("since").and_then(|since| since.parse().ok());
    let lock = || state.0.lock().expect("no thread panics");
    if value("follow") != Some("1") {
        let list = lock().list(None);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let _ = writer.write_all(answer.as_bytes());
        return;
    }
    let mut send =
        |line: &str| writer.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok();
    let mut line = {
        let state = lock();
        let list = state.list(since);
        since = Some(state.seq);
        list
    };
    let mut is_open = {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut writer = &reader.stream;
        writer.write_all(head.as_bytes()).is_ok()
    };
    while is_open {
        is_open = send(&line);
        let state_now = lock();
        let (state_now, _) = state
            .1
            .wait_timeout_while(state_now, Duration::from_secs(2), |state| Some(state.seq) == since)
            .expect("no thread panics");
        line = if Some(state_now.seq) == since { String::new() } else { state_now.list(since) };
        since = Some(state_now.seq);
    }
}
