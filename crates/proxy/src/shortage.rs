//! Waits for connections and memory that clients hold who have stopped in the middle of a request.

use corkhollow_plan::limits::Budget;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long a request waits for what others give up for it.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// What is given up is released once the tasks that hold it have run.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(1);

/// Acquires something of which the budget has none left; `None` if no client gives some up in time.
pub async fn reclaim<T>(budget: &Budget, mut acquire: impl FnMut() -> Option<T>) -> Option<T> {
    let give_up_at = Instant::now() + RECLAIM_TIMEOUT;
    while budget.reclaim() && Instant::now() < give_up_at {
        sleep(RECLAIM_INTERVAL).await;
        if let Some(acquired) = acquire() {
            return Some(acquired);
        }
    }
    None
}
