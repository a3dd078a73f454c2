//! Work away from the thread that serves.

use corkhollow_proxy::background::{spawn, Panicked};
use std::sync::mpsc;
use std::time::Duration;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// A panic ends the work alone, and says why.
#[test]
fn a_panic_is_told() {
    runtime().block_on(async {
        for told in ["a text", "two"] {
            let mut running = spawn(move || -> u32 { panic!("{told} and {}", 1) }).unwrap();
            assert_eq!(running.join().await, Err(Panicked(format!("{told} and 1"))));
        }
        let mut running = spawn(|| -> u32 { panic!("plain") }).unwrap();
        assert_eq!(running.join().await, Err(Panicked("plain".to_owned())));
        assert_eq!(spawn(|| 7).unwrap().join().await, Ok(7));
    });
}

/// Whoever waits can do other things, and ask again.
#[test]
fn waiting_may_be_broken_off() {
    let (go, gate) = mpsc::channel::<()>();
    runtime().block_on(async {
        let mut running = spawn(move || gate.recv().is_ok()).unwrap();
        for _ in 0..3 {
            let early = tokio::time::timeout(Duration::from_millis(1), running.join()).await;
            assert!(early.is_err(), "it cannot be done");
        }
        go.send(()).unwrap();
        assert_eq!(running.join().await, Ok(true));
    });
}
