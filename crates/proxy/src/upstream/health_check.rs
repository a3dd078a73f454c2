//! Active checks: `GET` on a path of each server, on a connection of its own.

use super::pool::Pool;
use corkhollow_plan::plan::HealthCheck;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderValue};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Checks that run at once, at most.
const AT_ONCE: usize = 32;

/// Checks the servers of a pool round after round, as long as there is a pool.
pub(super) async fn run(pool: Weak<Pool>, check: HealthCheck, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6368_6563);
    loop {
        let Some(servers) = pool.upgrade().map(|p| p.to_check()) else { return };
        let mut running = JoinSet::new();
        for (name, address) in servers {
            if running.len() >= AT_ONCE {
                told(&pool, running.join_next().await);
            }
            let check = check.clone();
            running.spawn_local(async move {
                let limit = Duration::from_nanos(check.timeout);
                let passed = tokio::time::timeout(limit, passes(address, &check)).await.unwrap_or(false);
                (name, passed)
            });
        }
        while let Some(done) = running.join_next().await {
            told(&pool, Some(done));
        }
        // Nodes that were started together must not check together.
        let spread = 0.75 + 0.5 * f64::from(rng.next_u32()) / f64::from(u32::MAX);
        tokio::time::sleep(Duration::from_nanos(check.interval).mul_f64(spread)).await;
    }
}

fn told(pool: &Weak<Pool>, done: Option<Result<(String, bool), tokio::task::JoinError>>) {
    if let (Some(pool), Some(Ok((name, passed)))) = (pool.upgrade(), done) {
        pool.checked(&name, passed);
    }
}

async fn passes(address: SocketAddr, check: &HealthCheck) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else { return false };
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = check.path.parse().unwrap_or_default();
    let host = HeaderValue::try_from(address.to_string()).ok();
    request.headers_mut().extend(host.map(|h| (header::HOST, h)));
    let answer = sender.send_request(request).await;
    driver.abort();
    answer.is_ok_and(|a| check.status.contains(&a.status().as_u16()))
}
