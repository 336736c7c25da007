//! The trace of a run: all outputs of all replicas as encoded bytes, each with its time and member.

use musli::Encode;
use musli::mode::Binary;
use orchidvalve_chain_replication::{Output, Violation};
use orchidvalve_golden::Trace;
use orchidvalve_protocol::identity::MemberId;

use super::world::World;

impl World {
    /// Creates a world that records its outputs.
    pub fn traced(seed: u64, machines: u8, minimum: usize) -> World {
        let mut world = World::new(seed, machines, minimum);
        world.trace = Some(Trace::new());
        world.collect();
        world
    }

    /// Adds the outputs of the replicas since the last call to the trace.
    pub fn record(&mut self) {
        let Some(trace) = &mut self.trace else { return };
        for host in &mut self.hosts {
            for output in host.outputs.replace(Vec::new()).unwrap_or_default() {
                trace.add_number(self.now);
                add(trace, &host.me);
                add_output(trace, &output);
            }
        }
    }
}

fn add_output(trace: &mut Trace, output: &Output) {
    match output {
        Output::Append(entry) => {
            trace.add_number(0);
            add(trace, entry);
        }
        Output::Truncate { after } => add_numbers(trace, &[1, *after]),
        Output::Reset { start, previous_epoch } => add_numbers(trace, &[2, *start, *previous_epoch]),
        Output::Send { to, message } => {
            trace.add_number(3);
            add(trace, to);
            add(trace, message);
        }
        Output::Committed { through } => add_numbers(trace, &[4, *through]),
        Output::Synchronized { epoch } => add_numbers(trace, &[5, *epoch]),
        Output::LearnerCaughtUp { member, epoch } => {
            add_numbers(trace, &[6, *epoch]);
            add(trace, member);
        }
        Output::Confirmed { barrier, committed } => add_numbers(trace, &[7, *barrier, *committed]),
        Output::Refused(Violation::CommittedEntry { from, sequence, epoch }) => {
            add_refused(trace, 0, *from, *sequence, *epoch);
        }
        Output::Refused(Violation::MatchedEntry { from, sequence, epoch }) => {
            add_refused(trace, 1, *from, *sequence, *epoch);
        }
    }
}

fn add_refused(trace: &mut Trace, kind: u64, from: MemberId, sequence: u64, epoch: u64) {
    add_numbers(trace, &[8, kind, sequence, epoch]);
    add(trace, &from);
}

fn add_numbers(trace: &mut Trace, numbers: &[u64]) {
    numbers.iter().for_each(|number| trace.add_number(*number));
}

fn add<T: Encode<Binary>>(trace: &mut Trace, value: &T) {
    trace.add(&musli::storage::to_vec(value).expect("can be encoded"));
}
