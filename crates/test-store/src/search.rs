//! The server side of the search API.

use std::io;
use std::net::TcpStream;

use orchidvalve_search::error::error_body;
use serde_json::value::RawValue;
use serde_json::{Value, json};

use crate::connection::{read_more, write_response};
use crate::{Fault, StoreState, lock};

const MAX_HEADERS: usize = 32;

struct Request {
    method: String,
    segments: Vec<String>,
    parameters: Vec<(String, String)>,
    opaque_id: Option<String>,
    body: Vec<u8>,
}

struct Response {
    status: u16,
    body: Value,
    fault: Option<Fault>,
}

/// Responds to the requests of a connection until it ends.
pub(crate) fn serve(state: &StoreState, socket: &TcpStream) -> io::Result<()> {
    let mut inbox = Vec::new();
    loop {
        let request = read_request(socket, &mut inbox)?;
        let Response { status, body, fault } = respond(state, &request);
        let body = match fault {
            Some(Fault::Garbled) => "<html>".to_owned(),
            _ => body.to_string(),
        };
        let opaque_id = request.opaque_id.map(|id| format!("X-Opaque-Id: {id}\r\n")).unwrap_or_default();
        let head = format!("HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{opaque_id}");
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        write_response(state, socket, format!("{head}{body}").as_bytes(), head.len(), fault)?;
    }
}

fn read_request(socket: &TcpStream, inbox: &mut Vec<u8>) -> io::Result<Request> {
    loop {
        if let Some((request, length)) = parse_request(inbox)? {
            inbox.drain(..length);
            return Ok(request);
        }
        read_more(socket, inbox)?;
    }
}

/// Parses the first request of a buffer, and returns it with its length in bytes, or `None` if it is incomplete.
fn parse_request(inbox: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) = head.parse(inbox).map_err(|_| malformed())? else {
        return Ok(None);
    };
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::to_owned)
    };
    let body_length = header("content-length").map_or(Ok(0), |length| length.parse::<usize>());
    let length = head_length + body_length.map_err(|_| malformed())?;
    if inbox.len() < length {
        return Ok(None);
    }
    let path = head.path.unwrap_or("/");
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let parameter = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (name.to_owned(), percent_decode(value))
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        segments: path.split('/').skip(1).map(percent_decode).collect(),
        parameters: query.split('&').filter(|pair| !pair.is_empty()).map(parameter).collect(),
        opaque_id: header("x-opaque-id"),
        body: inbox[head_length..length].to_vec(),
    };
    Ok(Some((request, length)))
}

fn percent_decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        let mut digit = || rest.next().and_then(|byte| char::from(byte).to_digit(16)).unwrap_or(0);
        bytes.push(if byte == b'%' { (digit() * 16 + digit()) as u8 } else { byte });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn error_response(kind: &str, reason: &str, status: u16, fault: Option<Fault>) -> Response {
    Response { status, body: error_body(kind, reason, status), fault }
}

fn respond(state: &StoreState, request: &Request) -> Response {
    let Request { method, segments, parameters, body, .. } = request;
    let parameter = |name: &str| parameters.iter().find(|(other, _)| other == name).map(|(_, v)| &**v);
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (&**method, &segments[..]) {
        ("GET", ["_nodes", "_local", "stats", "thread_pool"]) => health_check_response(state),
        ("POST", [index, "_search"]) => {
            let shard = parameter("preference").and_then(|value| value.strip_prefix("_shards:"));
            let (Some(Ok(shard)), Ok(raw)) =
                (shard.map(str::parse), serde_json::from_slice::<Box<RawValue>>(body))
            else {
                return error_response("illegal_argument_exception", "a slice and a body", 400, None);
            };
            let payload = format!("{{\"search\":{{\"index\":\"{index}\",\"body\":{raw}}}}}");
            search(state, &payload, shard)
        }
        ("PUT", [index, "_create", id]) => {
            let raw = serde_json::from_slice::<Value>(body).unwrap_or_default();
            let payload = json!({"create": {"index": index, "id": id, "document": raw}}).to_string();
            let routes = lock(&state.documents).routes.clone();
            let index = routes.index(index);
            match index.and_then(|index| index.document_shard(id, parameter("routing"))) {
                Ok(shard) => create(state, &payload, id, shard),
                Err(error) => Response { status: error.status, body: error.body(), fault: None },
            }
        }
        _ => error_response("illegal_argument_exception", "no such path", 404, None),
    }
}

fn health_check_response(state: &StoreState) -> Response {
    let fault = state.health_check();
    let observations = lock(&state.observations);
    let pool = json!({"threads": 4, "queue": 0, "active": 0, "rejected": observations.rejected,
                      "completed": observations.completed, "largest": 4});
    let status = if fault == Some(Fault::Error) { 503 } else { 200 };
    Response { status, body: json!({"nodes": {"standin": {"thread_pool": {"search": pool}}}}), fault }
}

/// Returns the response to a shard request that is rejected or fails before execution, if its fault says so.
fn response_before_run(state: &StoreState, fault: Option<Fault>) -> Option<Response> {
    match fault {
        Some(Fault::Rejected) => {
            lock(&state.observations).rejected += 1;
            Some(error_response("rejected_execution_exception", "the queue is full", 429, fault))
        }
        Some(Fault::Error) => Some(error_response("no_shard_available_action_exception", "none", 503, fault)),
        _ => None,
    }
}

fn search(state: &StoreState, payload: &str, shard: usize) -> Response {
    let fault = state.shard_request(payload);
    if let Some(response) = response_before_run(state, fault) {
        return response;
    }
    let result = lock(&state.documents).run(payload, shard);
    lock(&state.observations).completed += 1;
    match result {
        Err(error) => error_response("parsing_exception", &error.to_string(), 400, fault),
        Ok(result) => {
            let failed = u64::from(fault == Some(Fault::Incomplete));
            let shards = json!({"total": 1, "successful": 1 - failed, "skipped": 0, "failed": failed});
            let hits: Value = serde_json::from_str(&result.value).unwrap_or_default();
            let timed_out = fault == Some(Fault::TimedOut);
            let body = json!({"took": 1, "timed_out": timed_out, "_shards": shards, "hits": hits});
            Response { status: 200, body, fault }
        }
    }
}

fn create(state: &StoreState, payload: &str, id: &str, shard: usize) -> Response {
    let fault = state.shard_request(payload);
    if let Some(response) = response_before_run(state, fault) {
        return response;
    }
    let result = lock(&state.documents).run(payload, shard);
    lock(&state.observations).completed += 1;
    match result {
        Err(error) => error_response("parsing_exception", &error.to_string(), 400, fault),
        Ok(result) if result.created => {
            let body = json!({"_id": id, "_version": 1, "result": "created"});
            Response { status: 201, body, fault }
        }
        Ok(_) => error_response("version_conflict_engine_exception", "it is there", 409, fault),
    }
}
