//! Reasons why a message cannot be read, and the status code that a client receives for each.

use derive_more::{Display, Error};

/// The reason why a message cannot be read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum HttpError {
    /// The bytes are not a valid message, or the message is ambiguous.
    #[display("not an HTTP/1.1 message: correct the request and send it on a new connection")]
    Malformed,
    /// The head exceeds the size limit or has too many header lines.
    #[display("the header is too long: send less than the limit")]
    HeaderTooLong,
    /// The body exceeds the size limit, or its announced length does.
    #[display("the body is too long: send less than the limit")]
    BodyTooLong,
    /// The transfer coding is not `chunked`.
    #[display("the transfer coding isn't known: send a length or chunks")]
    UnknownCoding,
}

impl HttpError {
    /// The status code of the response to a client (RFC 9110, section 15).
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeaderTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::UnknownCoding => 501,
        }
    }
}
