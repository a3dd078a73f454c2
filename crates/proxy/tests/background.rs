//! Background tasks.

use corkhollow_proxy::background::{spawn, Panicked};
use std::sync::mpsc;
use std::time::Duration;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

#[test]
fn a_panic_is_returned_with_its_message() {
    runtime().block_on(async {
        for text in ["a text", "two"] {
            let mut task = spawn(move || -> u32 { panic!("{text} and {}", 1) }).unwrap();
            assert_eq!(task.join().await, Err(Panicked(format!("{text} and 1"))));
        }
        let mut task = spawn(|| -> u32 { panic!("plain") }).unwrap();
        assert_eq!(task.join().await, Err(Panicked("plain".to_owned())));
        assert_eq!(spawn(|| 7).unwrap().join().await, Ok(7));
    });
}

#[test]
fn join_can_be_cancelled_and_called_again() {
    let (go, gate) = mpsc::channel::<()>();
    runtime().block_on(async {
        let mut task = spawn(move || gate.recv().is_ok()).unwrap();
        for _ in 0..3 {
            let early = tokio::time::timeout(Duration::from_millis(1), task.join()).await;
            assert!(early.is_err(), "the task cannot be done yet");
        }
        go.send(()).unwrap();
        assert_eq!(task.join().await, Ok(true));
    });
}
