//! Discovery of the kind that pushes lists: an agent that answers at once with what it has.

use crate::http::Reader;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub health: &'static str,
}

struct State {
    seq: u64,
    hosts: Vec<Host>,
}

/// The agent.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State { seq: 41, hosts })),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    /// The whole list, as one line.
    pub fn list(&self) -> (u64, String) {
        let state = self.state.lock().unwrap();
        let hosts: Vec<_> = state
            .hosts
            .iter()
            .map(|host| {
                format!(
                    r#"{{"host":"{}","dial":"{}","site":"belmont","class":"std-1","block":0,"health":"{}","share":1.0,"born_ms":0}}"#,
                    host.name, host.dial, host.health
                )
            })
            .collect();
        (state.seq, format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, state.seq, hosts.join(",")))
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let mut out = stream;
        while let Some(request) = reader.message(false)? {
            if !request.target().contains("follow=1") {
                let (_, list) = self.list();
                write!(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                )?;
                continue;
            }
            out.write_all(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
            )?;
            let mut told = 0;
            let mut last_line = Instant::now();
            loop {
                let (seq, list) = self.list();
                if seq != told {
                    write!(out, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
                    (told, last_line) = (seq, Instant::now());
                } else if last_line.elapsed() >= Duration::from_secs(2) {
                    out.write_all(b"1\r\n\n\r\n")?;
                    last_line = Instant::now();
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }
}
