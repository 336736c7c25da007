//! Writes the aggregator's trace to a file or to standard error, one line per record, with the names behind the
//! aggregator's numbers. `orchidvalve why` reads the trace. It is disabled unless a path is configured.

use std::fs::File;
use std::io::{self, BufWriter, Write};

use orchidvalve::interface::{Nanos, QueryIndex, ReplicaIndex};
use orchidvalve::trace::{TraceEvent, TraceRecord};

use crate::log;
use crate::queries::QueryTable;

/// The prefix of trace lines, which distinguishes them from log lines.
pub const LINE_PREFIX: &str = "~ ";

const BUFFER_BYTES: usize = 64 << 10;

/// The writer of a trace.
pub struct TraceWriter {
    out: BufWriter<Box<dyn Write>>,
}

impl TraceWriter {
    /// Opens the file at `path`; `-` is standard error.
    ///
    /// # Errors
    ///
    /// If the file cannot be created.
    pub fn open(path: &str) -> io::Result<TraceWriter> {
        let out: Box<dyn Write> = match path {
            "-" => Box::new(io::stderr()),
            path => Box::new(File::create(path)?),
        };
        Ok(TraceWriter { out: BufWriter::with_capacity(BUFFER_BYTES, out) })
    }

    /// Writes the name of a new replica.
    pub fn name_replica(&mut self, at: Nanos, ix: ReplicaIndex, id: &str) {
        self.write_line(&format!("{at} replica {} {}", ix.0, id.escape_default()));
    }

    fn name_query(&mut self, at: Nanos, ix: QueryIndex, id: &str) {
        self.write_line(&format!("{at} retrieval {} {}", ix.0, id.escape_default()));
    }

    fn write_line(&mut self, line: &str) {
        // A failed write must not stop the node. The log's rate limit bounds the error messages.
        if let Err(error) = writeln!(self.out, "{LINE_PREFIX}{line}") {
            log!("cannot write the trace: {error}");
        }
    }

    /// Writes the trace records of a round.
    pub fn write(&mut self, records: &[TraceRecord], queries: &QueryTable) {
        for record in records {
            if let TraceEvent::QueryReceived { query: ix, .. } = record.event
                && let Some(query) = queries.query(ix)
            {
                let id = query.id.clone();
                self.name_query(record.at, ix, &id);
            }
            self.write_line(&record.line());
        }
        if !records.is_empty()
            && let Err(error) = self.out.flush()
        {
            log!("cannot write the trace: {error}");
        }
    }
}
