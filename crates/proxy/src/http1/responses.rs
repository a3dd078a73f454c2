//! Response helpers shared by all dialects.

use crate::body::AnswerBody;
use hyper::header::{self, HeaderValue};
use hyper::Response;

/// Adds `Connection: close`, so that hyper closes the connection after this answer.
pub(super) fn with_connection_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
