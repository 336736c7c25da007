//! Batch jobs, their items and their results: parsing, validation and encoding.
//!
//! Nothing here performs I/O, reads a clock or draws random numbers. Documents are parsed from bytes, and pages of
//! results are written to buffers of the caller.

pub mod job;
mod json;
pub mod results;
mod text;

pub use job::{Job, JobError, JobOrigin};
pub use results::{ItemResult, ItemState};
