//! Sends a request to one address after another until there is a conclusive response.
//!
//! All requests of this crate can be sent again safely: the system recognises a change that it has already made.

use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use derive_more::{Display, Error, From};
use serde_json::Value;

use crate::error::CommandError;
use crate::exchange::{ExchangeError, Request, Response, exchange};

/// The maximum number of redirects that are followed within one attempt.
const MAX_REDIRECTS: u32 = 2;
/// Requests with a body of at least this size, in bytes, use [`Timing::large_body_timeout`].
const LARGE_BODY_BYTES: usize = 64 << 10;
/// Status of a redirect that keeps method and body (RFC 9110, section 15.4.8).
const TEMPORARY_REDIRECT: u16 = 307;

/// Timeouts, pauses and the number of attempts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// An attempt fails if the address sends nothing for this long.
    pub response_timeout: Duration,
    /// Same as `response_timeout`, for requests with large bodies.
    pub large_body_timeout: Duration,
    /// Pause before the second attempt; it doubles with each further attempt.
    pub initial_backoff: Duration,
    /// The longest pause between two attempts.
    pub max_backoff: Duration,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Interval at which the state of a retirement is queried.
    pub poll_interval: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            response_timeout: Duration::from_secs(1),
            large_body_timeout: Duration::from_secs(3),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
            max_attempts: 8,
            poll_interval: Duration::from_millis(500),
        }
    }
}

/// Why an attempt had no conclusive response.
#[derive(Debug, Display, Error, From)]
pub enum AttemptError {
    /// There was no complete response.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// A redirect has no usable `Location` header.
    #[display("answered 307 without a usable Location")]
    #[from(ignore)]
    NoLocation,
    /// There were more redirects than `MAX_REDIRECTS`.
    #[display("redirected more than twice")]
    #[from(ignore)]
    TooManyRedirects,
    /// The status does not decide the request.
    #[display("answered {status}{}", reason.as_ref().map_or(String::new(), |text| format!(" ({text})")))]
    #[from(ignore)]
    Inconclusive {
        /// Status code of the response.
        status: u16,
        /// The reason in the response, if any.
        reason: Option<String>,
    },
}

/// A response that decides the request, with the address that sent it.
#[derive(Debug)]
pub(crate) struct Conclusive {
    pub address: SocketAddrV4,
    pub status: u16,
    pub body: Vec<u8>,
}

impl Conclusive {
    /// Returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns an error if the status rejects the request. `unexplained` is the reason if the response has none.
    pub fn success(self, unexplained: &str) -> Result<Vec<u8>, CommandError> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        let reason = reason_of(&self.body).unwrap_or_else(|| unexplained.to_owned());
        Err(CommandError::Rejected { address: self.address, status: self.status, reason })
    }

    /// Parses the body of a successful response as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Self::success`], or if the body is not JSON.
    pub fn document(self, unexplained: &str) -> Result<Value, CommandError> {
        let body = self.success(unexplained)?;
        serde_json::from_slice(&body)
            .map_err(|error| CommandError::UnexpectedResponse { reason: error.to_string() })
    }
}

/// Returns the reason in a response: its `error` field, or its whole text.
fn reason_of(body: &[u8]) -> Option<String> {
    let document: Option<Value> = serde_json::from_slice(body).ok();
    let explained = document.as_ref().and_then(|d| d.get("error")).and_then(Value::as_str);
    let text = explained.or_else(|| std::str::from_utf8(body).ok())?.trim();
    (!text.is_empty()).then(|| text.to_owned())
}

/// Sends the request to one address after another until there is a conclusive response.
///
/// # Errors
///
/// Returns an error if no attempt within `timing` had a conclusive response.
pub(crate) fn send(
    addresses: &[SocketAddrV4],
    request: &Request,
    timing: &Timing,
) -> Result<Conclusive, CommandError> {
    let large = request.body.len() >= LARGE_BODY_BYTES;
    let timeout = if large { timing.large_body_timeout } else { timing.response_timeout };
    let mut backoff = timing.initial_backoff;
    let mut attempts = 1;
    loop {
        let address = addresses[(attempts as usize - 1) % addresses.len()];
        let reason = match attempt(address, request, timeout) {
            Ok(conclusive) => return Ok(conclusive),
            Err(reason) => reason,
        };
        if attempts >= timing.max_attempts {
            return Err(CommandError::NoResponse { attempts, address, reason });
        }
        attempts += 1;
        thread::sleep(backoff);
        backoff = (backoff * 2).min(timing.max_backoff);
    }
}

/// Makes one attempt and follows its redirects.
fn attempt(first: SocketAddrV4, request: &Request, timeout: Duration) -> Result<Conclusive, AttemptError> {
    let mut address = first;
    for _ in 0..=MAX_REDIRECTS {
        let response = exchange(address, request, timeout)?;
        match response.head.status {
            TEMPORARY_REDIRECT => address = redirect_target(&response).ok_or(AttemptError::NoLocation)?,
            status if is_conclusive(status) => {
                return Ok(Conclusive { address, status, body: response.body });
            }
            status => {
                return Err(AttemptError::Inconclusive { status, reason: reason_of(&response.body) });
            }
        }
    }
    Err(AttemptError::TooManyRedirects)
}

fn redirect_target(response: &Response) -> Option<SocketAddrV4> {
    response.head.headers.get("location")?.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Returns whether the status decides the request. Other statuses leave the result open or request a retry.
fn is_conclusive(status: u16) -> bool {
    matches!(status, 200..=299 | 400..=499) && !matches!(status, 408 | 429)
}
