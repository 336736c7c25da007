//! A control plane of a single process that runs inside the test process, its operators, and the stop signal.
//!
//! Tests that use this module have their own `main`: the signal must reach no thread except that of the process's event
//! loop, so it is blocked before any other thread starts. They print their outcomes as the standard harness does, since
//! `.ci/verdict.py` counts each test by name and each test program by its closing line.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Command, ExitCode};
use std::thread;

use orchidvalve_bootstrap::MachineOptions;
use orchidvalve_control_plane::process::ControlOptions;
use serde_json::json;

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().expect("bound").port())
}

/// Returns the options of the only machine of a control plane with tolerance 0: it may exit as soon as it is signalled.
pub fn options(control_address: SocketAddrV4, test: &str) -> ControlOptions {
    let internal_address = free_address();
    let data_directory = std::env::temp_dir().join(format!("orchidvalve-{test}-{}", std::process::id()));
    ControlOptions {
        machine: MachineOptions {
            name: "control-north-1".to_owned(),
            zone: "north".to_owned(),
            cpu_share: 1.0,
            internal_address,
            internal_listener: internal_address,
            source: None,
            data_directory,
            disk_bytes: 64 << 20,
            grace_ms: 8_000,
        },
        control_address,
        seeds: vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, control_address.port())],
        bootstrap: true,
        tolerance: 0,
        platform: None,
        lease_ms: 1_000,
        catch_up_ms: 4_400,
        enabled_platform_roles: Vec::new(),
        platform_calls_per_second: 10.0,
        usage_window_ms: 5_000,
        usage_report_deadline_ms: 10_000,
    }
}

/// Returns a request that puts a configuration with `filling` bytes of filling on top of the previous version.
pub fn put(version: u64, filling: usize) -> Vec<u8> {
    let document = json!({
        "config-version": version, "routes": [], "services": [], "filling": "x".repeat(filling),
    });
    let body = document.to_string();
    let base = version - 1;
    let head = format!(
        "PUT /v1/configuration HTTP/1.1\r\nHost: control\r\nIf-Match: {base}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// Sends a request, and returns all bytes until the connection ends; empty if the process does not accept it yet.
pub fn call(address: SocketAddrV4, request: &[u8], sent: impl FnOnce()) -> String {
    let mut answer = Vec::new();
    if let Ok(mut connection) = TcpStream::connect(address)
        && connection.write_all(request).is_ok()
    {
        sent();
        // After a reset, the bytes read before it still count.
        let _ = connection.read_to_end(&mut answer);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends SIGTERM to this process.
pub fn tell_to_stop() {
    let process = std::process::id().to_string();
    let status = Command::new("kill").args(["-TERM", &process]).status().expect("kill runs");
    assert!(status.success());
}

/// Puts the first configuration as soon as the process accepts requests.
pub fn put_first(address: SocketAddrV4) {
    while !call(address, &put(1, 0), || {}).starts_with("HTTP/1.1 200") {
        thread::yield_now();
    }
}

/// Prints the outcome of the only test of a program in the format of the standard harness.
pub fn report(name: &str, passed: bool, details: &str) -> ExitCode {
    println!("\nrunning 1 test");
    if passed {
        println!("test {name} ... ok\n\ntest result: ok. 1 passed; 0 failed");
        return ExitCode::SUCCESS;
    }
    println!("test {name} ... FAILED\n\n{details}\n\ntest result: FAILED. 0 passed; 1 failed");
    ExitCode::FAILURE
}
