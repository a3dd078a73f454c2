//! Parts of answers that all dialects share.

use crate::body::AnswerBody;
use hyper::header::{self, HeaderValue};
use hyper::Response;

/// Ends the connection behind an answer.
pub(super) fn with_connection_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
