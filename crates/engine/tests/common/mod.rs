//! A message for tests of the state machine.

use corkhollow_balance::interface::Nanos;
use corkhollow_engine::{RequestMessage, UploadDeadline};

/// A message whose body is complete.
#[derive(Clone)]
pub struct TestMessage;

impl RequestMessage for TestMessage {
    fn is_body_consumed(&self) -> bool {
        false
    }
    fn upload_deadline(&self, _: Nanos, _: Nanos) -> Option<UploadDeadline> {
        None
    }
}
