//! `orchidvalve maintenance` against a stub node: responses that are broken are reported and never taken for the queue.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread;

const VIEW: &str = r#"{"version":3,"heard_ms_ago":1,"entries":[],"events":[]}"#;

/// Runs `maintenance list` against a node that sends this response.
fn list_with(response: String) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        stream.write_all(response.as_bytes()).unwrap();
    });
    let program = env!("CARGO_BIN_EXE_orchidvalve");
    let output = Command::new(program).args(["maintenance", "list", "--node", &node]).output().unwrap();
    server.join().unwrap();
    output
}

#[test]
fn a_valid_response_is_listed() {
    let output = list_with(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{VIEW}", VIEW.len()));
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("order 3"));
}

#[test]
fn a_broken_response_is_an_error() {
    let length = VIEW.len();
    let broken = [
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{VIEW}"),
        format!("HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: {length}\r\n\r\n{VIEW}"),
        format!("HTTP/1.1 200 OK\r\n\x7fName: v\r\nContent-Length: {length}\r\n\r\n{VIEW}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\nName: v\r\n\r\n{VIEW}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{VIEW}", length + 1),
    ];
    for response in broken {
        let output = list_with(response.clone());
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{}", response.escape_default());
        assert!(error.contains("malformed HTTP response"), "{}: {error}", response.escape_default());
    }
}
