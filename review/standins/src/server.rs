//! A server of the platform: it begins a request when its last byte has come, and notes each run.

use crate::http::{Message, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request that a server has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub id: String,
    pub target: String,
    pub at_ms: u64,
    /// What the node has told of the time that is left.
    pub timeout_ms: Option<u64>,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Writes the answer to a request.
pub type Work = Arc<dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

/// Starts a server and returns its address.
pub fn start(name: &str, runs: &Runs, record: &Record, work: Work) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, runs, record) = (name.to_owned(), runs.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, record, work) = (name.clone(), runs.clone(), record.clone(), work.clone());
            thread::spawn(move || {
                let _ = serve(&name, stream, &runs, &record, &work);
            });
        }
    });
    Ok(address)
}

fn serve(name: &str, stream: TcpStream, runs: &Runs, record: &Record, work: &Work) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    let mut out = stream;
    while let Some(request) = reader.message(false)? {
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let run = Run {
            server: name.to_owned(),
            id,
            target: request.target().to_owned(),
            at_ms: record.now_ms(),
            timeout_ms: request.header("x-timeout-ms").and_then(|v| v.parse().ok()),
        };
        record.line(format!(
            "server {name} runs {} {} id={} body={} told X-Timeout-Ms: {}",
            request.method(),
            run.target,
            run.id,
            request.body.len(),
            run.timeout_ms.map_or("-".to_owned(), |ms| ms.to_string())
        ));
        runs.lock().unwrap().push(run);
        work(&request, &mut out)?;
    }
    Ok(())
}

/// An answer with a length.
pub fn answer_with_length(out: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
    let mut message = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    out.write_all(&message)
}
