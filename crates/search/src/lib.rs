//! An OpenSearch-style query language without I/O and clocks. Requests are parsed and checked against the fields of an
//! index ([`query`], [`request`]), converted to one canonical form, evaluated over documents ([`evaluate`]), and routed
//! to shards as configured in the operator's file ([`routes`]). The results of shards are merged ([`response`]).
//!
//! Based on the public REST documentation of OpenSearch 2.x. Anything that is not supported is rejected with a
//! [`error::SearchError`] that names its path; nothing is guessed. `docs/search.md` lists what is supported and what
//! not.
//!
//! ```
//! use orchidvalve_search::{mapping::Mapping, request::SearchRequest};
//!
//! let mapping = Mapping::from_names(&[("customer", "keyword"), ("start", "date")]).unwrap();
//! let read = |body: &str| SearchRequest::read(body.as_bytes(), "job-history", &mapping, 0);
//! let (one, other) = (read(r#"{"query":{"term":{"customer":"c7"}}}"#).unwrap(),
//!     read(r#"{"size":10,"query":{"bool":{"must":{"term":{"customer":{"value":"c7"}}}}}}"#).unwrap());
//! assert_eq!(one.canonical(), other.canonical());
//! let error = read(r#"{"query":{"bool":{"filter":[{"term":{"colour":"red"}}]}}}"#).unwrap_err();
//! assert_eq!(error.path, "query.bool.filter[0].term.colour");
//! ```

pub mod date;
pub mod error;
pub mod evaluate;
pub mod glob;
pub mod json;
pub mod mapping;
pub mod query;
pub mod request;
pub mod response;
pub mod routes;
