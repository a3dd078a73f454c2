//! Active health checks: `GET` on a path of each server, on a new connection for each check.

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

/// Checks of one pool that run at the same time.
const MAX_CONCURRENT_CHECKS: usize = 32;

/// Checks all servers of a pool at an interval, until the pool is dropped.
pub(super) async fn run(pool: Weak<Pool>, check: HealthCheck, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6368_6563);
    loop {
        let Some(servers) = pool.upgrade().map(|p| p.servers_to_check()) else { return };
        let mut running = JoinSet::new();
        for (name, address) in servers {
            if running.len() >= MAX_CONCURRENT_CHECKS {
                record_result(&pool, running.join_next().await);
            }
            let check = check.clone();
            running.spawn_local(async move {
                let timeout = Duration::from_nanos(check.timeout);
                let passed =
                    tokio::time::timeout(timeout, passes_check(address, &check)).await.unwrap_or(false);
                (name, passed)
            });
        }
        while let Some(done) = running.join_next().await {
            record_result(&pool, Some(done));
        }
        // Jitter, so that nodes that were started together do not check at the same time.
        let jitter = 0.75 + 0.5 * f64::from(rng.next_u32()) / f64::from(u32::MAX);
        tokio::time::sleep(Duration::from_nanos(check.interval).mul_f64(jitter)).await;
    }
}

fn record_result(pool: &Weak<Pool>, done: Option<Result<(String, bool), tokio::task::JoinError>>) {
    if let (Some(pool), Some(Ok((name, passed)))) = (pool.upgrade(), done) {
        pool.record_check(&name, passed);
    }
}

async fn passes_check(address: SocketAddr, check: &HealthCheck) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else { return false };
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = check.path.parse().unwrap_or_default();
    let host = HeaderValue::try_from(address.to_string()).ok();
    request.headers_mut().extend(host.map(|host| (header::HOST, host)));
    let answer = sender.send_request(request).await;
    driver.abort();
    answer.is_ok_and(|answer| check.status.contains(&answer.status().as_u16()))
}
