//! Scripted servers that record each complete request.

use crate::connection::{Connection, Message};
use crate::records::{AttemptRecord, Recorder, Treatment};
use corkhollow_test_support::SeededRng;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Mean time that a server takes for a request.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(8);
/// How long a hanging server keeps a connection without answering.
const HANG_TIME: Duration = Duration::from_secs(8);
/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const LONG_ANSWER_BYTES: usize = 400_000;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers, at times in an unusual form.
    Normal,
    /// Answers 250 ms later than usual.
    Slow,
    /// Reads requests without answering.
    Hangs,
    /// Resets the connection during a request.
    Resets,
    /// Answers with status 500.
    Fails,
    /// Rejects requests as not processed.
    Rejects,
    /// Closes the connection after each response.
    Closes,
}

/// All servers of a run.
pub struct Servers {
    /// The listening addresses.
    pub addresses: Vec<SocketAddr>,
    behaviours: Vec<Mutex<Behaviour>>,
    late_servers: Mutex<Vec<(usize, FullBacklog)>>,
    recorder: Arc<Recorder>,
}

/// A listener whose accept backlog is full: connections to it are not established until it is opened.
struct FullBacklog {
    socket: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    fn new() -> std::io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        let address = socket.local_addr()?.as_socket().expect("an IP address");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            fillers.push(filler);
        }
        Ok(FullBacklog { socket, fillers })
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
    /// Starts `prompt_servers` servers that accept connections immediately and `late_servers` servers that
    /// accept them once opened.
    pub fn start(
        prompt_servers: usize,
        late_servers: usize,
        seed: u64,
        recorder: Arc<Recorder>,
    ) -> std::io::Result<Arc<Self>> {
        let mut servers = Servers {
            addresses: Vec::new(),
            behaviours: (0..prompt_servers + late_servers).map(|_| Mutex::new(Behaviour::Normal)).collect(),
            late_servers: Mutex::default(),
            recorder,
        };
        let mut listeners = Vec::new();
        for _ in 0..prompt_servers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            servers.addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        for index in prompt_servers..prompt_servers + late_servers {
            let backlog = FullBacklog::new()?;
            servers.addresses.push(backlog.socket.local_addr()?.as_socket().expect("an IP address"));
            servers.late_servers.lock().unwrap_or_else(PoisonError::into_inner).push((index, backlog));
        }
        let servers = Arc::new(servers);
        for (index, listener) in listeners.into_iter().enumerate() {
            servers.clone().listen(index, listener, seed);
        }
        Ok(servers)
    }

    /// Makes a late server accept connections.
    pub fn open(self: &Arc<Self>, index: usize, seed: u64) {
        let mut late_servers = self.late_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let at = late_servers.iter().position(|(server, _)| *server == index);
        if let Some((_, backlog)) = at.map(|at| late_servers.swap_remove(at)) {
            self.clone().listen(index, backlog.open(), seed);
        }
    }

    /// Changes the behaviour of a server.
    pub fn set_behaviour(&self, server: usize, behaviour: Behaviour) {
        *self.behaviours[server].lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    fn listen(self: Arc<Self>, index: usize, listener: TcpListener, seed: u64) {
        thread::spawn(move || {
            let mut connection_rngs = SeededRng::new(seed ^ (index as u64) << 32);
            for stream in listener.incoming().flatten() {
                let (servers, rng) = (self.clone(), SeededRng::new(connection_rngs.next_u64()));
                thread::spawn(move || servers.serve(index, Connection::new(stream), rng));
            }
        });
    }

    fn serve(&self, server: usize, mut connection: Connection, mut rng: SeededRng) {
        while let Ok(request) = connection.read(Instant::now() + IDLE_TIMEOUT, false) {
            let behaviour = *self.behaviours[server].lock().unwrap_or_else(PoisonError::into_inner);
            let Some(id) = request.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok())
            else {
                return;
            };
            let attempt = self.record_attempt(server, id, &request, behaviour);
            let keeps_connection = match behaviour {
                Behaviour::Hangs => {
                    let _ = connection.wait_for_activity(Instant::now() + HANG_TIME);
                    self.record_attempt_end(attempt);
                    false
                }
                Behaviour::Resets => {
                    thread::sleep(rng.next_duration(MEAN_SERVICE_TIME));
                    self.record_attempt_end(attempt);
                    return connection.reset();
                }
                Behaviour::Fails => self.answer(attempt, &mut connection, "500 No", "", b""),
                Behaviour::Rejects => {
                    self.answer(attempt, &mut connection, "503 Busy", "X-Not-Processed: 1\r\n", b"")
                }
                Behaviour::Normal | Behaviour::Slow | Behaviour::Closes => {
                    let extra_ms = if behaviour == Behaviour::Slow { 250 } else { 0 };
                    thread::sleep(rng.next_duration(MEAN_SERVICE_TIME) + Duration::from_millis(extra_ms));
                    let long = request.head.contains("/long");
                    self.answer_success(attempt, id, long, &mut connection, &mut rng)
                        && behaviour != Behaviour::Closes
                }
            };
            if !keeps_connection {
                return;
            }
        }
    }

    /// Answers with status 200, in one of the forms that HTTP allows; false where the connection cannot be
    /// kept.
    fn answer_success(
        &self,
        attempt: usize,
        id: u64,
        long: bool,
        connection: &mut Connection,
        rng: &mut SeededRng,
    ) -> bool {
        let mut body = format!("id={id:x} ").into_bytes();
        if long {
            body.resize(LONG_ANSWER_BYTES, b'x');
        }
        match rng.next_u64() % 40 {
            0 if !long => {
                self.record_attempt_end(attempt);
                let _ = connection.write(b"HTTP/1.1 200 OK\r\n\r\n") && connection.write(&body);
                false
            }
            1 => {
                let size = body.len();
                let mut chunked = format!("{size:x}\r\n").into_bytes();
                chunked.extend(body);
                chunked.extend(b"\r\n0\r\n\r\n");
                self.record_attempt_end(attempt);
                connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    && connection.write(&chunked)
            }
            2 => {
                let extra_response = response("200 OK", "", &body);
                let written = self.answer(attempt, connection, "200 OK", "", &body);
                thread::sleep(Duration::from_millis(1 + rng.next_u64() % 6));
                written && connection.write(&extra_response)
            }
            _ => self.answer(attempt, connection, "200 OK", "", &body),
        }
    }

    fn record_attempt(&self, server: usize, id: u64, request: &Message, behaviour: Behaviour) -> usize {
        let received_at = self.recorder.now();
        let first_byte_at = received_at.saturating_sub(request.first_byte_at.elapsed());
        let announced = request.header("x-timeout-ms").and_then(|timeout| timeout.parse().ok());
        let treatment = match behaviour {
            Behaviour::Rejects => Treatment::Rejected,
            _ => Treatment::Executed,
        };
        let record = AttemptRecord {
            id,
            server,
            first_byte_at,
            received_at,
            ended_at: None,
            announced_timeout: announced.map(Duration::from_millis),
            treatment,
        };
        let mut records = self.recorder.lock();
        records.attempts.push(record);
        records.attempts.len() - 1
    }

    /// Records the end of an attempt, before the peer can notice it.
    fn record_attempt_end(&self, attempt: usize) {
        let now = self.recorder.now();
        self.recorder.lock().attempts[attempt].ended_at.get_or_insert(now);
    }

    fn answer(
        &self,
        attempt: usize,
        connection: &mut Connection,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> bool {
        self.record_attempt_end(attempt);
        connection.write(&response(status, headers, body))
    }
}

fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    corkhollow_test_support::response(status, headers, body)
}
