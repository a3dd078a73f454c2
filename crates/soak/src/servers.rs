//! Scripted servers that write down each request that reaches them whole.

use crate::connection::{Connection, Message};
use crate::ledger::{AttemptRecord, Ledger, Treatment};
use corkhollow_test_support::SeededRng;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The mean time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// How long a hanging server says nothing.
const HANGS_FOR: Duration = Duration::from_secs(8);
/// A connection is kept for this long.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// The body of a long answer.
const LONG_ANSWER: usize = 400_000;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers, now and then in an unusual way.
    Usual,
    /// It takes a quarter of a second longer.
    Slow,
    /// It reads and says nothing.
    Hangs,
    /// It resets connections under requests.
    Resets,
    /// It answers with an error of its own.
    Fails,
    /// It turns requests away.
    TurnsAway,
    /// It closes each connection behind an answer.
    Closes,
}

/// All servers of a run.
pub struct Servers {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    behaviours: Vec<Mutex<Behaviour>>,
    late: Mutex<Vec<(usize, Backlog)>>,
    ledger: Arc<Ledger>,
}

/// A listener whose backlog is full: connections to it do not come up before it is opened.
struct Backlog {
    socket: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl Backlog {
    fn new() -> std::io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        let address = socket.local_addr()?.as_socket().expect("an IP address");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            fillers.push(filler);
        }
        Ok(Backlog { socket, fillers })
    }

    fn open(self) -> TcpListener {
        for _ in &self.fillers {
            let _ = self.socket.accept();
        }
        let _ = self.socket.listen(128);
        self.socket.into()
    }
}

impl Servers {
    /// So many servers that take connections at once, and so many that do once they are opened.
    pub fn start(usual: usize, late: usize, seed: u64, ledger: Arc<Ledger>) -> std::io::Result<Arc<Self>> {
        let mut servers = Servers {
            addresses: Vec::new(),
            behaviours: (0..usual + late).map(|_| Mutex::new(Behaviour::Usual)).collect(),
            late: Mutex::default(),
            ledger,
        };
        let mut listeners = Vec::new();
        for _ in 0..usual {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            servers.addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        for number in usual..usual + late {
            let backlog = Backlog::new()?;
            servers.addresses.push(backlog.socket.local_addr()?.as_socket().expect("an IP address"));
            servers.late.lock().unwrap_or_else(PoisonError::into_inner).push((number, backlog));
        }
        let servers = Arc::new(servers);
        for (number, listener) in listeners.into_iter().enumerate() {
            servers.clone().listen(number, listener, seed);
        }
        Ok(servers)
    }

    /// From here on a late server takes connections.
    pub fn open(self: &Arc<Self>, number: usize, seed: u64) {
        let mut late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        let at = late.iter().position(|(late, _)| *late == number);
        if let Some((_, backlog)) = at.map(|at| late.swap_remove(at)) {
            self.clone().listen(number, backlog.open(), seed);
        }
    }

    /// Sets a server's behaviour.
    pub fn set_behaviour(&self, server: usize, behaviour: Behaviour) {
        *self.behaviours[server].lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    fn listen(self: Arc<Self>, number: usize, listener: TcpListener, seed: u64) {
        thread::spawn(move || {
            let mut draws = SeededRng::new(seed ^ (number as u64) << 32);
            for stream in listener.incoming().flatten() {
                let (servers, draw) = (self.clone(), SeededRng::new(draws.next_u64()));
                thread::spawn(move || servers.serve(number, Connection::new(stream), draw));
            }
        });
    }

    fn serve(&self, server: usize, mut connection: Connection, mut draw: SeededRng) {
        while let Ok(request) = connection.read(Instant::now() + KEPT_FOR, false) {
            let behaviour = *self.behaviours[server].lock().unwrap_or_else(PoisonError::into_inner);
            let Some(id) = request.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok())
            else {
                return;
            };
            let attempt = self.write_down(server, id, &request, behaviour);
            let keeps = match behaviour {
                Behaviour::Hangs => {
                    let _ = connection.stirs(Instant::now() + HANGS_FOR);
                    self.end(attempt);
                    false
                }
                Behaviour::Resets => {
                    thread::sleep(draw.next_duration(SERVICE_TIME));
                    self.end(attempt);
                    return connection.reset();
                }
                Behaviour::Fails => self.answer(attempt, &mut connection, "500 No", "", b""),
                Behaviour::TurnsAway => {
                    self.answer(attempt, &mut connection, "503 Busy", "X-Not-Processed: 1\r\n", b"")
                }
                Behaviour::Usual | Behaviour::Slow | Behaviour::Closes => {
                    let more = if behaviour == Behaviour::Slow { 250 } else { 0 };
                    thread::sleep(draw.next_duration(SERVICE_TIME) + Duration::from_millis(more));
                    let long = request.head.contains("/long");
                    self.serve_one(attempt, id, long, &mut connection, &mut draw)
                        && behaviour != Behaviour::Closes
                }
            };
            if !keeps {
                return;
            }
        }
    }

    /// Answers well, in one of the forms that HTTP allows; whether the connection goes on.
    fn serve_one(
        &self,
        attempt: usize,
        id: u64,
        long: bool,
        connection: &mut Connection,
        draw: &mut SeededRng,
    ) -> bool {
        let mut body = format!("id={id:x} ").into_bytes();
        if long {
            body.resize(LONG_ANSWER, b'x');
        }
        match draw.next_u64() % 40 {
            0 if !long => {
                self.end(attempt);
                let _ = connection.write(b"HTTP/1.1 200 OK\r\n\r\n") && connection.write(&body);
                false
            }
            1 => {
                let size = body.len();
                let mut chunked = format!("{size:x}\r\n").into_bytes();
                chunked.extend(body);
                chunked.extend(b"\r\n0\r\n\r\n");
                self.end(attempt);
                connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    && connection.write(&chunked)
            }
            2 => {
                let again = response("200 OK", "", &body);
                let written = self.answer(attempt, connection, "200 OK", "", &body);
                thread::sleep(Duration::from_millis(1 + draw.next_u64() % 6));
                written && connection.write(&again)
            }
            _ => self.answer(attempt, connection, "200 OK", "", &body),
        }
    }

    fn write_down(&self, server: usize, id: u64, request: &Message, behaviour: Behaviour) -> usize {
        let whole_at = self.ledger.now();
        let first_byte_at = whole_at.saturating_sub(request.first_byte.elapsed());
        let announced = request.header("x-timeout-ms").and_then(|timeout| timeout.parse().ok());
        let treatment = match behaviour {
            Behaviour::TurnsAway => Treatment::TurnedAway,
            _ => Treatment::Ran,
        };
        let record = AttemptRecord {
            id,
            server,
            first_byte_at,
            whole_at,
            ended_at: None,
            announced_timeout: announced.map(Duration::from_millis),
            treatment,
        };
        let mut records = self.ledger.lock();
        records.attempts.push(record);
        records.attempts.len() - 1
    }

    /// The server is done with an attempt: noted before its client can know.
    fn end(&self, attempt: usize) {
        let now = self.ledger.now();
        self.ledger.lock().attempts[attempt].ended_at.get_or_insert(now);
    }

    fn answer(
        &self,
        attempt: usize,
        connection: &mut Connection,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> bool {
        self.end(attempt);
        connection.write(&response(status, headers, body))
    }
}

fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    corkhollow_test_support::response(status, headers, body)
}
