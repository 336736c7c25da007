//! The simulator's protocol on standard input and output: each line of events gets one line of actions, with one
//! aggregator per instance number (`who`).

mod error;
mod instance;
mod names;
mod server_list;

use std::collections::BTreeMap;
use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::rc::Rc;

use orchidvalve_aggregator_settings::Section;
use serde_json::{Value, json};

pub use error::AdapterError;
use instance::{Instance, InstanceEvent};
use server_list::ListedServer;

/// The instances of one simulation, and the server lists that events refer to.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<i64, Instance>,
    lists: BTreeMap<i64, Rc<Vec<ListedServer>>>,
}

impl Adapter {
    /// Groups the events of a line by instance, in the order in which the instances first appear, and runs a round of
    /// each.
    ///
    /// # Errors
    ///
    /// If the line cannot be parsed. An error that concerns one instance is reported in the output instead, and ends
    /// that instance.
    pub fn batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_str(line).map_err(|source| AdapterError::Malformed { source })?;
        let batch = Section::of("malformed line", &batch).map_err(AdapterError::field)?;
        let now = batch.integer("timeNs").map_err(AdapterError::field)?;
        let items = batch.get("news").and_then(Value::as_array).ok_or(AdapterError::NoEvents)?;
        let mut output = Vec::new();
        for (number, events) in self.by_instance(items)? {
            if let Err(error) = self.process_events(number, now, &events, &mut output) {
                self.instances.remove(&number);
                output.push(json!({"verb": "panic", "who": number, "bodyText": error.to_string()}));
            }
        }
        Ok(json!({ "output": output }))
    }

    /// Groups the events by instance. Server lists are stored for all instances.
    fn by_instance<'a>(
        &mut self,
        items: &'a [Value],
    ) -> Result<Vec<(i64, Vec<InstanceEvent<'a>>)>, AdapterError> {
        let mut by_instance: Vec<(i64, Vec<InstanceEvent>)> = Vec::new();
        for item in items {
            let verb = item.get("verb").and_then(Value::as_str).unwrap_or("message");
            let item = Section::of(verb, item).map_err(AdapterError::field)?;
            if item.text("verb").map_err(AdapterError::field)? == "census" {
                let list = Rc::new(server_list::servers(&item)?);
                self.lists.insert(item.integer("ref").map_err(AdapterError::field)?, list);
                continue;
            }
            let number = item.integer("who").map_err(AdapterError::field)?;
            let list = item.get("ref").and_then(Value::as_i64).and_then(|n| self.lists.get(&n).cloned());
            let event = InstanceEvent { item, list };
            match by_instance.iter_mut().find(|(of, _)| *of == number) {
                Some((_, of_instance)) => of_instance.push(event),
                None => by_instance.push((number, vec![event])),
            }
        }
        Ok(by_instance)
    }

    /// Processes the events of one instance. A restart among them ends the aggregator and starts another one.
    fn process_events(
        &mut self,
        number: i64,
        now: i64,
        events: &[InstanceEvent],
        output: &mut Vec<Value>,
    ) -> Result<(), AdapterError> {
        let mut remaining = events;
        while let Some(first) = remaining.first() {
            match first.item.text("verb").map_err(AdapterError::field)? {
                "detach" => {
                    self.instances.remove(&number);
                    remaining = &remaining[1..];
                    continue;
                }
                "boot" => {
                    self.instances.insert(number, Instance::start(number, &first.item)?);
                    remaining = &remaining[1..];
                }
                _ => {}
            }
            let ends_incarnation = |event: &InstanceEvent| {
                matches!(event.item.get("verb").and_then(Value::as_str), Some("boot" | "detach"))
            };
            let incarnation = remaining.iter().position(ends_incarnation).unwrap_or(remaining.len());
            let instance =
                self.instances.get_mut(&number).ok_or(AdapterError::NotStarted { instance: number })?;
            output.extend(instance.round(now, &remaining[..incarnation])?);
            remaining = &remaining[incarnation..];
        }
        Ok(())
    }
}

/// Writes one line of actions for each line of events, until the input ends.
///
/// # Errors
///
/// If a line cannot be parsed, or the input or output fails.
pub fn serve(input: impl BufRead, mut out: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    for line in input.lines() {
        let line = line.map_err(|source| AdapterError::Read { source })?;
        let reply = adapter.batch(&line)?;
        writeln!(out, "{reply}")
            .and_then(|()| out.flush())
            .map_err(|source| AdapterError::Write { source })?;
    }
    Ok(())
}

/// Serves standard input and output. An error is written to standard error.
pub fn run() -> ExitCode {
    match serve(std::io::stdin().lock(), BufWriter::new(std::io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orchidvalve-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
