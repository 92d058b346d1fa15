//! Statuses of HTTP responses.

use hyper::StatusCode;

/// Whether a status is one of a final response. No request asks for another protocol, and the numbers from 600 on
/// mean nothing.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
