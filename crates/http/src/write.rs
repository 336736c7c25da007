//! Serialization of heads, bodies and chunks into a buffer.

/// Writes a request line; header lines and [`write_head_end`] follow.
pub fn write_request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Writes a status line; header lines and [`write_head_end`] follow.
pub fn write_status_line(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(b"HTTP/1.1 ");
    write_number(out, u64::from(status));
    out.push(b' ');
    out.extend_from_slice(reason_phrase(status).as_bytes());
    out.extend_from_slice(b"\r\n");
}

/// Appends a header line.
pub fn write_header(out: &mut Vec<u8>, name: &str, value: &str) {
    for part in [name, ": ", value, "\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Appends a header line whose value is a decimal number.
pub fn write_number_header(out: &mut Vec<u8>, name: &str, value: u64) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    write_number(out, value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the empty line that ends the head of a message.
pub fn write_head_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Appends a decimal number.
pub fn write_number(out: &mut Vec<u8>, value: u64) {
    const MAX_DIGITS: usize = 20;
    let mut digits = [0; MAX_DIGITS];
    let (mut rest, mut start) = (value, MAX_DIGITS);
    loop {
        start -= 1;
        digits[start] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out.extend_from_slice(&digits[start..]);
}

/// Appends a chunk of a chunked body. An empty chunk would end the body, so nothing is written for it.
pub fn write_chunk(out: &mut Vec<u8>, chunk: &[u8]) {
    if chunk.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    out.extend_from_slice(chunk);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// Writes a complete response with a body of known length. `close` announces that the connection ends after it.
pub fn write_response(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) {
    write_status_line(out, status);
    for (name, value) in headers {
        write_header(out, name, value);
    }
    if close {
        write_header(out, "Connection", "close");
    }
    write_number_header(out, "Content-Length", body.len() as u64);
    write_head_end(out);
    out.extend_from_slice(body);
}

/// The reason phrase of a status line (RFC 9110, section 15). Clients ignore it.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
