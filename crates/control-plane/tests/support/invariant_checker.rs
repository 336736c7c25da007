//! Checks the invariants of control nodes: no acknowledged change is lost, one change per base, refused changes
//! never take effect, reads are linearizable, and all subscribers receive one sequence of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use orchidvalve_control_plane::peer_messages::RequestOutcome;
use orchidvalve_control_state::{Applied, Change, ControlState, StateSnapshot};
use orchidvalve_protocol::frames::{decode, encode};

/// Index of a change in the order in which clients first sent them; one change may have several attempts.
pub type ChangeNumber = usize;

/// A change that clients have sent.
#[derive(Debug)]
pub struct SentChange {
    pub change: Change,
    /// The encoded change, as it is sent and committed.
    pub encoded: Rc<[u8]>,
    pub acknowledged: bool,
    pub refused: bool,
}

/// The process that reports committed changes: machine and start number.
pub type Reporter = (usize, u32);

#[derive(Default)]
pub struct InvariantChecker {
    /// Whether only sequence numbers are compared, and not the states.
    pub skips_state_comparison: bool,
    /// Every committed change in order, from sequence number 1, and the state after it.
    committed_changes: Vec<(Rc<[u8]>, StateSnapshot)>,
    state: ControlState,
    /// Encoded changes of the configuration that are or were current.
    in_force: BTreeSet<Rc<[u8]>>,
    /// Encoded changes that were refused.
    refused_changes: BTreeSet<Rc<[u8]>>,
    /// The last sequence number that each process reported as committed.
    reported: BTreeMap<Reporter, u64>,
    pub changes: Vec<SentChange>,
    /// The acknowledged change on top of each base version.
    acknowledged_by_base: BTreeMap<u64, ChangeNumber>,
    /// The view and process that held each term of the singleton roles.
    terms: BTreeMap<u64, (u64, Reporter)>,
    /// A read that begins now must see at least this change: the latest one that was acknowledged or read. A later
    /// change that some machine knows to be committed counts only once a client or a read has observed it.
    floor: u64,
    /// Sequence number of each change of the configuration that took effect, by its encoded bytes.
    sequence_numbers: BTreeMap<Rc<[u8]>, u64>,
    /// Sequence number of the change that introduced each version of each model's weights.
    version_changes: BTreeMap<(String, u64), u64>,
    pub violation: Option<String>,
    pub acknowledged: u64,
    pub refused: u64,
    pub unclear: u64,
    pub reads: u64,
    pub checkpoints: u64,
}

impl InvariantChecker {
    pub fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Records that a machine holds its singleton roles under this term. No other process ever holds the same term, and
    /// terms increase with the views and, within one view, with the starts of its head. A former head may see the commit
    /// of its term late, after that of its successor; the successor's term is higher all the same.
    pub fn holds_term(&mut self, reporter: Reporter, epoch: u64, term: u64) {
        let holder = (epoch, reporter);
        match self.terms.get(&term) {
            Some(known) if *known == holder => return,
            Some(known) => self.fail(format!("{holder:?} holds term {term}, which {known:?} had")),
            None => {}
        }
        let below = self.terms.range(..term).next_back().filter(|(_, lower)| !follows(lower, &holder));
        let above = self.terms.range(term + 1..).next().filter(|(_, higher)| !follows(&holder, higher));
        if let Some((other, known)) = below.or(above) {
            self.fail(format!("{holder:?} holds term {term} beside term {other} of {known:?}"));
        }
        self.terms.insert(term, holder);
    }

    pub fn end(&self) -> u64 {
        self.committed_changes.len() as u64
    }

    pub fn floor(&self) -> u64 {
        self.floor
    }

    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Checks and records changes that a machine reports as committed.
    pub fn committed(&mut self, reporter: Reporter, first: u64, changes: &[Rc<[u8]>]) {
        let reported = self.reported.get(&reporter).copied().unwrap_or(0);
        let restarts = matches!(decode(&changes[0]), Some(Change::Checkpoint(_)));
        if first <= reported || (first > reported + 1 && reported > 0 && !restarts) {
            self.fail(format!("{reporter:?} reported change {first} after {reported}"));
        }
        for (offset, change) in changes.iter().enumerate() {
            self.committed_one(reporter, first + offset as u64, change);
        }
        self.reported.insert(reporter, first + changes.len() as u64 - 1);
    }

    fn committed_one(&mut self, reporter: Reporter, sequence: u64, change: &Rc<[u8]>) {
        match self.committed_changes.get(sequence as usize - 1) {
            Some((known, _)) if known == change => {}
            Some(_) => {
                self.fail(format!("{reporter:?} reported another change {sequence} than was committed"));
            }
            None if sequence == self.end() + 1 => self.append_committed(change),
            None => self.fail(format!("{reporter:?} reported change {sequence}, {} are known", self.end())),
        }
    }

    fn append_committed(&mut self, payload: &Rc<[u8]>) {
        let Some(change) = decode::<Change>(payload) else {
            return self.fail("a committed change cannot be decoded".to_owned());
        };
        let number = self.end() + 1;
        match self.state.apply(&change) {
            Ok(Applied::Changed) => {}
            // The change that begins a term leaves the state unchanged: only its sequence number matters.
            Ok(Applied::Unchanged) if change == Change::BeginTerm => {}
            Ok(Applied::Unchanged) => self.fail(format!("change {number} was committed but changes nothing")),
            Err(error) => self.fail(format!("change {number} was committed but cannot be applied: {error}")),
        }
        match change {
            Change::Checkpoint(_) => self.checkpoints += 1,
            Change::NameVersion { model, version } => {
                self.version_changes.insert((model, version), number);
            }
            Change::Replace { .. } | Change::Patch { .. } => {
                self.sequence_numbers.insert(payload.clone(), number);
                self.in_force.insert(payload.clone());
                if self.refused_changes.contains(payload) {
                    self.fail(format!("change {number} had been refused and took effect"));
                }
            }
            _ => {}
        }
        let snapshot =
            if self.skips_state_comparison { StateSnapshot::default() } else { self.state.snapshot() };
        self.committed_changes.push((payload.clone(), snapshot));
    }

    /// Checks that the state of a machine after change `applied`, the last one it reported, equals the expected state.
    pub fn check_state(&mut self, reporter: Reporter, state: &ControlState, applied: u64) {
        if let Err(difference) = self.compare(state, applied) {
            self.fail(format!("{reporter:?} {difference}"));
        }
    }

    /// Checks the state of a subscriber of the feed in the same way.
    pub fn check_subscriber(&mut self, subscriber: usize, state: &ControlState, sequence: u64) {
        if let Err(difference) = self.compare(state, sequence) {
            self.fail(format!("subscriber {subscriber} {difference}"));
        }
    }

    fn compare(&self, state: &ControlState, applied: u64) -> Result<(), String> {
        if applied > self.end() {
            return Err(format!("is at {applied}, {} are known", self.end()));
        }
        if self.skips_state_comparison {
            return Ok(());
        }
        let snapshot = state.snapshot();
        let is_expected = match applied.checked_sub(1) {
            None => snapshot == StateSnapshot::default(),
            Some(index) => snapshot == self.committed_changes[index as usize].1,
        };
        if is_expected { Ok(()) } else { Err(format!("has another state as of change {applied}")) }
    }

    /// Whether a change of the configuration is or was current.
    pub fn is_in_force(&self, number: ChangeNumber) -> bool {
        self.in_force.contains(&self.changes[number].encoded)
    }

    /// Records a refusal because the base is not current; it may become current later. `was_in_force` is as of the arrival.
    pub fn refused_for_now(&mut self, number: ChangeNumber, was_in_force: bool) {
        self.refused += 1;
        if was_in_force {
            self.fail(format!("change {number} was refused but took effect"));
        }
    }

    pub fn send(&mut self, change: Change) -> ChangeNumber {
        let encoded = Rc::from(encode(&change));
        self.changes.push(SentChange { change, encoded, acknowledged: false, refused: false });
        self.changes.len() - 1
    }

    /// Checks and records the outcome of a change that a client received.
    pub fn answered(&mut self, number: ChangeNumber, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Done => self.acknowledge(number),
            RequestOutcome::Unknown => self.unclear += 1,
            RequestOutcome::VersionConflict { .. } | RequestOutcome::Invalid { .. } => self.refuse(number),
            RequestOutcome::NotFound { .. } | RequestOutcome::Conflict { .. } => {}
        }
    }

    fn acknowledge(&mut self, number: ChangeNumber) {
        self.acknowledged += 1;
        self.floor = self.floor.max(self.effective_at(number));
        if self.changes[number].refused {
            self.fail(format!("change {number} was acknowledged after it had been refused"));
        }
        self.changes[number].acknowledged = true;
        let change = &self.changes[number].change;
        match change {
            Change::Replace { base, .. } | Change::Patch { base, .. } => {
                if !self.is_in_force(number) {
                    self.fail(format!("change {number} was acknowledged but is not committed"));
                } else if *self.acknowledged_by_base.entry(*base).or_insert(number) != number {
                    let other = self.acknowledged_by_base[base];
                    self.fail(format!("changes {other} and {number} on the same base were acknowledged"));
                }
            }
            // Every model starts with version 1.
            Change::NameVersion { model, version }
                if self.state.versions().get(model).unwrap_or(&1) < version =>
            {
                self.fail(format!("version {version} was acknowledged but is not recorded"));
            }
            _ => {}
        }
    }

    /// Returns the sequence number at which the requested change took effect, or 0 if that is not committed.
    fn effective_at(&self, number: ChangeNumber) -> u64 {
        let sent = &self.changes[number];
        let committed = match &sent.change {
            // Versions increase, so the first version at or above the requested one made it current.
            Change::NameVersion { model, version } => {
                let at_least = (model.clone(), *version)..=(model.clone(), u64::MAX);
                self.version_changes.range(at_least).next().map(|(_, number)| number)
            }
            _ => self.sequence_numbers.get(&sent.encoded),
        };
        committed.copied().unwrap_or(0)
    }

    fn refuse(&mut self, number: ChangeNumber) {
        self.refused += 1;
        let encoded = self.changes[number].encoded.clone();
        if self.in_force.contains(&encoded) {
            self.fail(format!("change {number} was refused but took effect"));
        }
        self.refused_changes.insert(encoded);
        self.changes[number].refused = true;
    }

    /// Checks a read that began when the floor was `floor` and returned the state after change `applied`.
    pub fn read(&mut self, floor: u64, applied: u64) {
        self.reads += 1;
        if applied < floor {
            self.fail(format!("a read saw change {applied} but began after {floor} had been acknowledged"));
        }
        self.floor = self.floor.max(applied);
    }
}

/// Whether the second holder of a term follows the first: in a later view, or as a later start of the same head.
fn follows(
    (epoch, (machine, start)): &(u64, Reporter),
    (next_epoch, (next_machine, next_start)): &(u64, Reporter),
) -> bool {
    epoch < next_epoch || (epoch == next_epoch && machine == next_machine && start < next_start)
}
