//! A minimal proxy on hyper, the baseline of the benchmarks: one thread and pooled connections to one server,
//! without routing, load balancing, timeouts or retries.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

type IdleConnections = Rc<RefCell<Vec<SendRequest<Incoming>>>>;

async fn relay(
    server: SocketAddr,
    idle_connections: IdleConnections,
    request: Request<Incoming>,
) -> Result<Response<http_body_util::combinators::BoxBody<bytes::Bytes, hyper::Error>>, hyper::Error> {
    let mut sender = loop {
        let Some(sender) = idle_connections.borrow_mut().pop() else { break connect(server).await? };
        if sender.is_ready() {
            break sender;
        }
    };
    let (mut head, body) = request.into_parts();
    head.headers.remove(hyper::header::CONNECTION);
    let response = sender.send_request(Request::from_parts(head, body)).await?;
    let (mut head, body) = response.into_parts();
    head.headers.remove(hyper::header::CONNECTION);
    let body = body.collect().await?;
    // The connection can be reused once the answer has been read.
    if sender.ready().await.is_ok() {
        idle_connections.borrow_mut().push(sender);
    }
    Ok(Response::from_parts(head, body.map_err(|never| match never {}).boxed()))
}

async fn connect(server: SocketAddr) -> Result<SendRequest<Incoming>, hyper::Error> {
    let stream = loop {
        match TcpStream::connect(server).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

fn main() -> std::io::Result<()> {
    let server: SocketAddr =
        std::env::args().nth(1).and_then(|a| a.parse().ok()).expect("the address of the server");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("bare-relay: listening on {}", listener.local_addr()?);
        let idle_connections = IdleConnections::default();
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let idle_connections = idle_connections.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| relay(server, idle_connections.clone(), request));
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}
