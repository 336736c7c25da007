//! The trace of a run: all outputs of all machines as encoded bytes, each with its time and machine.

use musli::Encode;
use musli::mode::Binary;
use orchidvalve_consensus::Output;
use orchidvalve_golden::Trace;

use super::Simulation;

impl Simulation {
    /// Runs to the end like `run`; returns the hash of all outputs.
    pub fn run_traced(&mut self) -> u64 {
        self.trace = Some(Trace::new());
        self.run();
        self.trace.take().map_or(0, |trace| trace.finish())
    }

    pub(super) fn record(&mut self, machine: usize, output: &Output) {
        let Some(trace) = &mut self.trace else { return };
        trace.add_number(self.now);
        add(trace, &self.machines[machine].me);
        match output {
            Output::Send { to, message } => {
                trace.add_number(0);
                add(trace, to);
                let mut bytes = Vec::new();
                message.encode(&mut bytes).expect("a message can be encoded");
                trace.add(&bytes);
            }
            Output::Persist { write_number, state } => {
                trace.add_number(1);
                trace.add_number(write_number.get());
                add(trace, state);
            }
            Output::ViewChanged(view) => {
                trace.add_number(2);
                add(trace, view);
            }
        }
    }
}

fn add<T: Encode<Binary>>(trace: &mut Trace, value: &T) {
    trace.add(&musli::storage::to_vec(value).expect("can be encoded"));
}
