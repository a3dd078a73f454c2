//! Runs long work on background threads, away from the thread that serves requests.

use std::panic::{catch_unwind, AssertUnwindSafe};
use tokio::sync::oneshot;

/// Name of the background threads.
const THREAD_NAME: &str = "background";

/// The work panicked, with this message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Panicked(pub String);

/// Work that runs on a background thread.
#[derive(Debug)]
pub struct Task<T>(oneshot::Receiver<Result<T, Panicked>>);

/// Runs a closure on a new background thread.
///
/// # Errors
/// If the system is out of threads; the closure is dropped without being run.
pub fn spawn<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> std::io::Result<Task<T>> {
    let (sender, receiver) = oneshot::channel();
    let run = move || {
        // Unwind safe: all that the closure has touched is dropped with it or returned complete.
        let result = catch_unwind(AssertUnwindSafe(work)).map_err(|panic| {
            let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
            Panicked(text.or_else(|| panic.downcast_ref().cloned()).unwrap_or_default())
        });
        let _ = sender.send(result);
    };
    std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(run)?;
    Ok(Task(receiver))
}

impl<T> Task<T> {
    /// Waits for the result. Cancel safe, but must not be called again after it has returned.
    ///
    /// # Errors
    /// If the work panicked.
    pub async fn join(&mut self) -> Result<T, Panicked> {
        (&mut self.0)
            .await
            .unwrap_or_else(|_| Err(Panicked("the background thread ended without a result".to_owned())))
    }
}

/// Suppresses the panic message of background threads, whose panics [`Task::join`] reports. Other threads
/// keep the current panic hook.
pub fn silence_panic_messages() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() != Some(THREAD_NAME) {
            previous_hook(panic);
        }
    }));
}
