//! Work that is done away from the thread that serves.

use std::panic::{catch_unwind, AssertUnwindSafe};
use tokio::sync::oneshot;

/// The name of the threads that do such work.
const NAME: &str = "background";

/// The work has panicked: what it says of that.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Panicked(pub String);

/// Work that is under way.
#[derive(Debug)]
pub struct Task<T>(oneshot::Receiver<Result<T, Panicked>>);

/// Begins a piece of work on a thread of its own.
///
/// # Errors
/// Where the system has no thread left; the work has not begun then.
pub fn spawn<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> std::io::Result<Task<T>> {
    let (sender, receiver) = oneshot::channel();
    let whole = move || {
        // What it has touched is dropped with it, or handed over whole.
        let result = catch_unwind(AssertUnwindSafe(work)).map_err(|panic| {
            let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
            Panicked(text.or_else(|| panic.downcast_ref().cloned()).unwrap_or_default())
        });
        let _ = sender.send(result);
    };
    std::thread::Builder::new().name(NAME.to_owned()).spawn(whole)?;
    Ok(Task(receiver))
}

impl<T> Task<T> {
    /// Waits for its end. It may be asked again where the waiting was broken off, and not once it has told.
    ///
    /// # Errors
    /// Where the work has panicked.
    pub async fn join(&mut self) -> Result<T, Panicked> {
        (&mut self.0).await.unwrap_or_else(|_| Err(Panicked("it was lost".to_owned())))
    }
}

/// Leaves it to whoever asked for the work to tell of its panics, in a line of their own; all others are told
/// of as before.
pub fn silence_panic_messages() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() != Some(NAME) {
            usual(panic);
        }
    }));
}
