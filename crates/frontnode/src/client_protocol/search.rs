//! An OpenSearch-style API for clients: `_search`, `_count`, `_msearch` and `_create` on the indices that the
//! operator's routes name. `docs/search.md` lists what is mapped and what is rejected.

use std::cell::Cell;
use std::rc::Rc;

use orchidvalve::interface::Nanos;
use orchidvalve_search::error::{SearchError, error_body};
use orchidvalve_search::json::{Cursor, Json};
use orchidvalve_search::request::{CreateRequest, SearchRequest, parse_time};
use orchidvalve_search::response::{MergedResult, merge};
use orchidvalve_search::routes::{Index, Routes, ShardWeight};
use serde_json::{Value, json};

use super::{ClientProtocol, Interpretation};
use crate::config::NodeConfig;
use crate::http::{self, Message};
use crate::queries::QueryRequest;
use crate::reply::{self, Outcome, Reply, ReplyFormat};

/// The maximum number of searches in one `_msearch`.
const MAX_SEARCHES: usize = 64;
/// The maximum length of a document id. OpenSearch allows 512 bytes; this limit is that of an idempotency key.
const MAX_ID_BYTES: usize = 200;
const MAX_OPAQUE_ID_BYTES: usize = 200;

/// The search API: the operator's routes and the generator of query ids.
pub struct SearchProtocol {
    routes: Rc<Routes>,
    seed: u64,
    queries: Cell<u64>,
}

/// A request with its decoded parameters.
struct SearchCall<'a> {
    message: &'a Message<'a>,
    parameters: Vec<(String, String)>,
    since: Nanos,
    config: &'a NodeConfig,
}

impl SearchCall<'_> {
    /// Rejects parameters that are not among `known`.
    fn check_parameters(&self, known: &[&str]) -> Result<(), SearchError> {
        match self.parameters.iter().find(|(name, _)| !known.contains(&&**name)) {
            Some((name, _)) => {
                Err(SearchError::argument("", format!("the parameter [{name}] is not supported here")))
            }
            None => Ok(()),
        }
    }

    fn parameter(&self, name: &str) -> Result<Option<&str>, SearchError> {
        let mut named = self.parameters.iter().filter(|(n, _)| n == name);
        match (named.next(), named.next()) {
            (Some(_), Some(_)) => Err(SearchError::argument(name, "the parameter is there twice")),
            (found, _) => Ok(found.map(|(_, value)| &**value)),
        }
    }

    fn time(&self, name: &str) -> Result<Option<Nanos>, SearchError> {
        let given = self.parameter(name)?;
        given.map(|text| parse_time(text).map_err(|e| SearchError::argument(name, e))).transpose()
    }

    fn flag(&self, name: &str) -> Result<Option<bool>, SearchError> {
        match self.parameter(name)? {
            None => Ok(None),
            Some("true" | "") => Ok(Some(true)),
            Some("false") => Ok(Some(false)),
            Some(other) => {
                Err(SearchError::argument(name, format!("should be true or false, not '{other}'")))
            }
        }
    }

    /// Returns the header line with the client's own id, which is sent back with the response.
    fn opaque_id_header(&self) -> Result<String, SearchError> {
        match self.message.header("X-Opaque-Id") {
            None => Ok(String::new()),
            Some(id) if id.len() <= MAX_OPAQUE_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic()) => {
                Ok(format!("X-Opaque-Id: {id}\r\n"))
            }
            Some(_) => Err(SearchError::argument(
                "X-Opaque-Id",
                format!("should be up to {MAX_OPAQUE_ID_BYTES} plain characters"),
            )),
        }
    }

    fn tenant(&self) -> Result<usize, SearchError> {
        if self.config.tenants.is_empty() {
            return Ok(0);
        }
        let invalid = |what: String| SearchError::argument("Tenant", what);
        let name =
            self.message.header("Tenant").ok_or_else(|| invalid("missing, or there twice".to_owned()))?;
        let tenant = self.config.tenants.iter().position(|t| t == name);
        tenant.ok_or_else(|| invalid(format!("unknown tenant '{name}'")))
    }

    fn is_retry(&self) -> bool {
        self.message.header("Client-Retry").is_some_and(|v| v == "1")
    }

    /// Returns the time of the request in milliseconds since the Unix epoch, used for `now` in dates.
    fn now(&self) -> i64 {
        self.since / 1_000_000
    }

    fn deadline(&self, service_class: usize, timeout: Option<Nanos>) -> Nanos {
        self.since.saturating_add(timeout.unwrap_or(self.config.service_classes[service_class].deadline))
    }
}

impl ClientProtocol for SearchProtocol {
    fn interpret<'a>(
        &self,
        message: &'a Message<'a>,
        since: Nanos,
        config: &NodeConfig,
    ) -> Option<Interpretation<'a>> {
        let (path, query) = message.path.split_once('?').unwrap_or((message.path, ""));
        let segments: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
        let interpretation = parse_parameters(query).and_then(|parameters| {
            self.route(&segments, &SearchCall { message, parameters, since, config }).transpose()
        })?;
        // An error response also carries the client's own id, if that is valid.
        let refuse = |error: SearchError| {
            let call = SearchCall { message, parameters: Vec::new(), since, config };
            Interpretation::Answered(error_reply(&error, &call.opaque_id_header().unwrap_or_default()))
        };
        Some(interpretation.unwrap_or_else(refuse))
    }
}

/// Decodes the parameters of a query string. Returns `None` if one cannot be decoded.
fn parse_parameters(query: &str) -> Option<Vec<(String, String)>> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let read = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        Some((http::percent_decode(name, true)?, http::percent_decode(value, true)?))
    };
    pairs.map(read).collect()
}

fn error_reply(error: &SearchError, opaque_id_header: &str) -> Reply {
    let mut reply = Reply::json(error.status, error.body().to_string());
    reply.headers.push_str(opaque_id_header);
    reply
}

impl SearchProtocol {
    /// Returns the protocol for the indices of `routes`. The ids of queries are derived from `seed`, which should
    /// differ between nodes.
    pub fn new(routes: Rc<Routes>, seed: u64) -> SearchProtocol {
        SearchProtocol { routes, seed, queries: Cell::new(0) }
    }

    /// Interprets a request by its method and path. Returns `None` if the path is not part of the API.
    fn route<'a>(
        &self,
        segments: &[&str],
        call: &SearchCall,
    ) -> Result<Option<Interpretation<'a>>, SearchError> {
        let method = call.message.method;
        let interpretation = match (method, segments) {
            ("GET" | "HEAD", [""]) => Interpretation::Answered(greeting(call.config, method)),
            ("HEAD", [index]) if !index.starts_with('_') => {
                let status = if self.routes.index(index).is_ok() { 200 } else { 404 };
                Interpretation::Answered(Reply::text(status, ""))
            }
            ("GET" | "POST", [index, "_search"]) => single(self.search(index, call)?),
            ("GET" | "POST", [index, "_count"]) => single(self.count(index, call)?),
            ("PUT" | "POST", [index, "_create", id]) => single(self.create(index, id, call)?),
            ("GET" | "POST", ["_msearch"]) => self.msearch(None, call)?,
            ("GET" | "POST", [index, "_msearch"]) => self.msearch(Some(index), call)?,
            (_, [_, "_search" | "_count" | "_msearch"] | [_, "_create", _] | ["_msearch"] | [""]) => {
                return Err(SearchError { status: 405, ..SearchError::argument("", "no such method here") });
            }
            (_, [_, action, ..]) if action.starts_with('_') => {
                return Err(SearchError::argument("", format!("[{action}] is not supported here")));
            }
            _ => return Ok(None),
        };
        Ok(Some(interpretation))
    }

    /// Returns a new query id. Ids are unique within a node, and collisions between nodes are very unlikely.
    fn id(&self) -> String {
        let n = self.queries.get();
        self.queries.set(n + 1);
        let mut mixed = self.seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ (mixed >> 31))
    }

    fn search<'a>(&self, index: &str, call: &SearchCall) -> Result<QueryRequest<'a>, SearchError> {
        call.check_parameters(&["routing", "preference", "timeout", "allow_partial_search_results"])?;
        let index = self.routes.index(index)?;
        let search = SearchRequest::read(&call.message.body, &index.name, &index.mapping, call.now())?;
        let options = SearchOptions {
            routing: call.parameter("routing")?,
            preference: call.parameter("preference")?,
            timeout: call.time("timeout")?,
            allow_partial: call.flag("allow_partial_search_results")?,
            counts_only: false,
            opaque_id_header: call.opaque_id_header()?,
        };
        self.query(index, search, options, call)
    }

    fn count<'a>(&self, index: &str, call: &SearchCall) -> Result<QueryRequest<'a>, SearchError> {
        call.check_parameters(&["routing", "preference"])?;
        let index = self.routes.index(index)?;
        let search = SearchRequest::count(&call.message.body, &index.name, &index.mapping, call.now())?;
        let options = SearchOptions {
            routing: call.parameter("routing")?,
            preference: call.parameter("preference")?,
            timeout: None,
            allow_partial: None,
            counts_only: true,
            opaque_id_header: call.opaque_id_header()?,
        };
        self.query(index, search, options, call)
    }

    fn query<'a>(
        &self,
        index: &Index,
        search: SearchRequest,
        options: SearchOptions,
        call: &SearchCall,
    ) -> Result<QueryRequest<'a>, SearchError> {
        if options.timeout.is_some() && search.timeout.is_some() {
            return Err(SearchError::argument("timeout", "said in the body and beside it"));
        }
        let timeout = options.timeout.or(search.timeout);
        let payload = search.canonical();
        let all_or_nothing = options.allow_partial == Some(false);
        Ok(QueryRequest {
            id: self.id().into(),
            service_class: index.class,
            tenant: call.tenant()?,
            deadline: call.deadline(index.class, timeout),
            estimated_work: 0,
            is_retry: call.is_retry(),
            min_weight: if all_or_nothing { 1.0 } else { 0.0 },
            idempotency_key: None,
            payload: payload.into(),
            shards: index.shard_weights(options.routing, options.preference)?,
            reply_format: Box::new(SearchFormat {
                search,
                all_or_nothing,
                counts_only: options.counts_only,
                opaque_id_header: options.opaque_id_header,
            }),
        })
    }

    fn create<'a>(&self, index: &str, id: &str, call: &SearchCall) -> Result<QueryRequest<'a>, SearchError> {
        call.check_parameters(&["routing", "timeout"])?;
        let index = self.routes.index(index)?;
        let Some(service_class) = index.create else {
            return Err(SearchError::argument("", format!("'{}' takes no documents here", index.name)));
        };
        let id = http::percent_decode(id, false).filter(|id| {
            let plain = |b: u8| b.is_ascii_graphic() && b != b',';
            (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(plain)
        });
        let invalid = || format!("should be 1 to {MAX_ID_BYTES} plain characters without spaces and commas");
        let id = id.ok_or_else(|| SearchError::argument("_id", invalid()))?;
        let routing = call.parameter("routing")?;
        let shard = index.document_shard(&id, routing)?;
        let create = CreateRequest::read(&call.message.body, &index.name, &id, routing, &index.mapping)?;
        let timeout = call.time("timeout")?;
        Ok(QueryRequest {
            id: self.id().into(),
            service_class,
            tenant: call.tenant()?,
            deadline: call.deadline(service_class, timeout),
            estimated_work: 0,
            is_retry: call.is_retry(),
            min_weight: 0.0,
            idempotency_key: Some(id.clone().into()),
            payload: create.canonical().into(),
            shards: vec![ShardWeight { shard, weight: 1.0 }],
            reply_format: Box::new(CreateFormat {
                index: index.name.clone(),
                id,
                opaque_id_header: call.opaque_id_header()?,
            }),
        })
    }

    /// Interprets an `_msearch`: each pair of lines is a query, and a rejected one does not affect the others.
    fn msearch<'a>(&self, index: Option<&str>, call: &SearchCall) -> Result<Interpretation<'a>, SearchError> {
        call.check_parameters(&[])?;
        call.opaque_id_header()?;
        let body = std::str::from_utf8(&call.message.body);
        let body = body.map_err(|_| SearchError::argument("", "the body is no text"))?;
        let Some(body) = body.strip_suffix('\n') else {
            return Err(SearchError::argument("", "the body should end with a new line"));
        };
        let lines: Vec<&str> = body.split('\n').map(|line| line.strip_suffix('\r').unwrap_or(line)).collect();
        if !lines.len().is_multiple_of(2) {
            return Err(SearchError::argument("", "the last search has a header and no body"));
        }
        if lines.len() / 2 > MAX_SEARCHES {
            return Err(SearchError::argument("", format!("more than {MAX_SEARCHES} searches at once")));
        }
        let queries = lines.chunks(2).map(|pair| {
            let query = self.msearch_line(index, pair[0], pair[1], call);
            query.map_err(|error| error_reply(&error, ""))
        });
        Ok(Interpretation::Queries { queries: queries.collect(), combine: combine_msearch })
    }

    fn msearch_line<'a>(
        &self,
        index: Option<&str>,
        head: &str,
        body: &str,
        call: &SearchCall,
    ) -> Result<QueryRequest<'a>, SearchError> {
        let head = if head.trim().is_empty() { "{}" } else { head };
        let head = Json::read(head.as_bytes())?;
        let head = Cursor::root(&head);
        let known = ["index", "routing", "preference", "allow_partial_search_results"];
        head.check_keys("a header", &known, &[])?;
        let named = head.get("index");
        let name = match (&named, index) {
            (Some(at), _) => match at.items_or_self()[..] {
                [one] => one.as_str()?.to_owned(),
                _ => return Err(at.error("should name one index")),
            },
            (None, Some(index)) => index.to_owned(),
            (None, None) => return Err(SearchError::argument("index", "missing")),
        };
        let text = |name| head.get(name).map(|at| at.as_str().map(str::to_owned)).transpose();
        let (routing, preference) = (text("routing")?, text("preference")?);
        let partial = head.get("allow_partial_search_results").map(|at| at.as_bool()).transpose()?;
        let index = self.routes.index(&name)?;
        let search = SearchRequest::read(body.as_bytes(), &index.name, &index.mapping, call.now())?;
        let options = SearchOptions {
            routing: routing.as_deref(),
            preference: preference.as_deref(),
            timeout: None,
            allow_partial: partial,
            counts_only: false,
            opaque_id_header: String::new(),
        };
        self.query(index, search, options, call)
    }
}

/// The options of a search besides its body.
struct SearchOptions<'a> {
    routing: Option<&'a str>,
    preference: Option<&'a str>,
    timeout: Option<Nanos>,
    allow_partial: Option<bool>,
    counts_only: bool,
    opaque_id_header: String,
}

fn single<'a>(query: QueryRequest<'a>) -> Interpretation<'a> {
    Interpretation::Queries { queries: vec![Ok(query)], combine: reply::single }
}

/// Combines the responses to an `_msearch` into one, each with its status.
fn combine_msearch(replies: Vec<Reply>, elapsed: Nanos) -> Reply {
    let mut body = format!("{{\"took\":{},\"responses\":[", elapsed / 1_000_000).into_bytes();
    for (at, reply) in replies.into_iter().enumerate() {
        if at > 0 {
            body.push(b',');
        }
        // Error bodies already contain their status.
        match reply.body.strip_suffix(b"}").filter(|_| reply.status == 200) {
            Some(open) => {
                body.extend_from_slice(open);
                body.extend_from_slice(format!(",\"status\":{}}}", reply.status).as_bytes());
            }
            None => body.extend_from_slice(&reply.body),
        }
    }
    body.extend_from_slice(b"]}");
    Reply { status: 200, content_type: reply::JSON, headers: String::new(), body: body.into() }
}

fn greeting(config: &NodeConfig, method: &str) -> Reply {
    let version = json!({"distribution": "orchidvalve", "number": env!("CARGO_PKG_VERSION")});
    let body = json!({"name": config.name, "cluster_name": "orchidvalve", "version": version});
    Reply::json(200, if method == "HEAD" { String::new() } else { body.to_string() })
}

/// Returns the response to a query that ended without a result, or `None` if it was answered.
fn reply_without_answer(outcome: Outcome) -> Option<Reply> {
    let (kind, reason, status, wait) = match outcome {
        Outcome::Answered { .. } => return None,
        Outcome::Rejected(wait) => {
            ("rejected_execution_exception", "dismissed: trying again is harmless", 429, wait)
        }
        // Not 504: clients retry that status automatically, which is safe only for some service classes.
        Outcome::Expired => ("given_up_exception", "given up: parts of it may have run", 500, 0),
        Outcome::DuplicateId => ("version_conflict_engine_exception", "it is open already", 409, 0),
        Outcome::Overloaded => ("rejected_execution_exception", "too much is open", 429, 0),
    };
    Some(Reply::json(status, error_body(kind, reason, status).to_string()).retry_after(wait))
}

struct SearchFormat {
    search: SearchRequest,
    all_or_nothing: bool,
    counts_only: bool,
    opaque_id_header: String,
}

impl SearchFormat {
    fn answer(&self, merged: &MergedResult, elapsed: Nanos) -> Reply {
        let index = &*self.search.index;
        if self.all_or_nothing && !merged.missing.is_empty() {
            let mut body: Value =
                error_body("search_phase_execution_exception", "not all slices could be used", 500);
            body["error"]["failed_shards"] = merged.shards(index)["failures"].clone();
            return Reply::json(500, body.to_string());
        }
        let body =
            if self.counts_only { merged.count(index) } else { merged.response(index, elapsed / 1_000_000) };
        Reply::json(200, body)
    }
}

impl ReplyFormat for SearchFormat {
    fn reply(&self, outcome: Outcome, elapsed: Nanos) -> Reply {
        let mut reply = match outcome {
            Outcome::Answered { shards, .. } => self.answer(&merge(&self.search, shards), elapsed),
            other => reply_without_answer(other).unwrap_or_else(|| Reply::json(500, String::new())),
        };
        reply.headers.push_str(&self.opaque_id_header);
        reply
    }
}

struct CreateFormat {
    index: String,
    id: String,
    opaque_id_header: String,
}

impl ReplyFormat for CreateFormat {
    fn reply(&self, outcome: Outcome, _: Nanos) -> Reply {
        let mut reply = reply_without_answer(outcome).unwrap_or_else(|| {
            let shards = json!({"total": 1, "successful": 1, "failed": 0});
            let body = json!({"_index": self.index, "_id": self.id, "result": "created", "_shards": shards});
            Reply::json(201, body.to_string())
        });
        reply.headers.push_str(&self.opaque_id_header);
        reply
    }
}
