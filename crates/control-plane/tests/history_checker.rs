//! The linearizability check of the operators' history: constructed histories, and a comparison with `stateright`.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

mod support;

use support::history::{Answer, Contradiction, History, RecordedRead, Stamp};

/// The outcome of a change in a constructed history, with the stamp of its response.
#[derive(Clone, Copy, Debug)]
enum End {
    Accepted(Stamp),
    OtherVersion(Stamp),
    Invalid(Stamp),
    Unknown,
}

struct ConstructedHistory(History);

impl ConstructedHistory {
    fn new() -> ConstructedHistory {
        ConstructedHistory(History::default())
    }

    fn change(mut self, base: u64, version: u64, called: Stamp, end: End) -> ConstructedHistory {
        self.push(base, version, true, called, end);
        self
    }

    fn push(&mut self, base: u64, version: u64, proper: bool, called: Stamp, end: End) -> usize {
        let index = self.0.call(base, version, proper);
        let change = &mut self.0.changes[index];
        change.called = called;
        change.answer = match end {
            End::Accepted(at) => Answer::Accepted { at },
            End::OtherVersion(at) => Answer::OtherVersion { since: called, at },
            End::Invalid(at) => Answer::Invalid { at },
            End::Unknown => Answer::Unknown,
        };
        index
    }

    fn read(mut self, seen: Option<usize>, called: Stamp, returned: Stamp) -> ConstructedHistory {
        self.0.reads.push(RecordedRead { called, returned, seen });
        self
    }

    /// Marks the last change as sent more than once, with another attempt that has no outcome.
    fn with_open_attempt(mut self) -> ConstructedHistory {
        self.0.changes.last_mut().expect("a change").has_open_attempt = true;
        self
    }
}

use End::{Accepted, Invalid, OtherVersion, Unknown};

#[rstest]
#[case::empty(ConstructedHistory::new())]
#[case::one_after_the_other(ConstructedHistory::new().change(0, 1, 1, Accepted(2)).change(1, 2, 3, Accepted(4)))]
#[case::race(ConstructedHistory::new().change(0, 1, 1, Accepted(4)).change(0, 1, 2, OtherVersion(5)))]
#[case::unclear_took_effect(
    ConstructedHistory::new().change(0, 1, 1, Unknown).change(1, 2, 3, Accepted(4)).read(Some(1), 5, 6)
)]
#[case::unclear_took_effect_late(
    ConstructedHistory::new().change(0, 1, 1, Unknown).read(None, 2, 3).read(Some(0), 4, 5)
)]
#[case::unclear_explains_a_refusal(ConstructedHistory::new().change(0, 1, 1, Unknown).change(0, 2, 2, OtherVersion(3)))]
#[case::read_beside_a_change(ConstructedHistory::new().change(0, 1, 1, Accepted(4)).read(None, 2, 3))]
#[case::base_not_there_yet(
    ConstructedHistory::new().change(1, 2, 1, OtherVersion(2)).change(0, 1, 3, Accepted(4)).change(1, 3, 5, Accepted(6))
)]
#[case::late_copy_of_a_change_refused_before_its_base(
    ConstructedHistory::new().change(0, 1, 3, Accepted(4)).change(1, 2, 1, OtherVersion(2)).with_open_attempt().read(Some(1), 5, 6)
)]
fn linearizable_histories_are_accepted(#[case] history: ConstructedHistory) {
    assert_eq!(history.0.check(), Ok(()));
}

fn no_order(after: Option<usize>, version: u64) -> Contradiction {
    Contradiction::NoOrder { after, version }
}

#[rstest]
#[case::two_confirmed_on_one_base(
    ConstructedHistory::new().change(0, 1, 1, Accepted(5)).change(0, 2, 2, Accepted(6)),
    no_order(Some(0), 1)
)]
#[case::two_confirmed_under_one_number(
    ConstructedHistory::new().change(0, 1, 1, Accepted(5)).change(0, 1, 2, Accepted(6)),
    Contradiction::SameVersion(0, 1)
)]
#[case::resend_refused_though_it_had_taken_effect(
    ConstructedHistory::new().change(0, 1, 1, OtherVersion(6)).with_open_attempt().read(Some(0), 7, 8),
    no_order(None, 0)
)]
#[case::resend_refused_and_built_on(
    ConstructedHistory::new().change(0, 1, 1, OtherVersion(6)).change(1, 2, 7, Accepted(8)),
    no_order(None, 0)
)]
#[case::read_older_than_an_acknowledged_change(
    ConstructedHistory::new().change(0, 1, 1, Accepted(2)).change(1, 2, 3, Accepted(4)).read(Some(0), 5, 6),
    no_order(Some(0), 1)
)]
#[case::no_configuration_after_one_was_acknowledged(
    ConstructedHistory::new().change(0, 1, 1, Accepted(2)).read(None, 3, 4),
    no_order(None, 0)
)]
#[case::reads_that_go_back(
    ConstructedHistory::new().change(0, 1, 1, Unknown).change(1, 2, 2, Unknown).read(Some(1), 3, 4).read(Some(0), 5, 6),
    no_order(Some(0), 1)
)]
#[case::refused_though_its_base_was_current(
    ConstructedHistory::new().change(0, 1, 1, Accepted(2)).change(1, 2, 3, OtherVersion(4)),
    no_order(Some(0), 1)
)]
#[case::refused_though_its_base_was_current_until_later(
    ConstructedHistory::new().change(0, 1, 1, Accepted(2)).change(1, 2, 3, OtherVersion(4)).change(1, 3, 5, Accepted(6)),
    no_order(Some(0), 1)
)]
#[case::first_change_refused(ConstructedHistory::new().change(0, 1, 1, OtherVersion(2)), no_order(None, 0))]
#[case::proper_change_called_invalid(
    ConstructedHistory::new().change(0, 1, 1, Invalid(2)),
    Contradiction::ProperInvalid(0)
)]
#[case::read_of_a_change_before_it_was_sent(
    ConstructedHistory::new().change(0, 1, 3, Unknown).read(Some(0), 1, 2),
    no_order(None, 0)
)]
#[case::acknowledged_before_its_base(
    ConstructedHistory::new().change(1, 2, 1, Accepted(2)).change(0, 1, 3, Accepted(4)),
    no_order(Some(1), 1)
)]
#[case::gap_in_the_chain(
    ConstructedHistory::new().change(0, 1, 1, Accepted(2)).change(2, 3, 3, Accepted(4)),
    no_order(Some(0), 1)
)]
fn other_histories_are_rejected(#[case] history: ConstructedHistory, #[case] expected: Contradiction) {
    assert_eq!(history.0.check(), Err(expected));
}

#[test]
fn a_change_that_is_not_proper_may_not_be_accepted() {
    let mut history = ConstructedHistory::new();
    history.push(0, 1, false, 1, Accepted(2));
    assert_eq!(history.0.check(), Err(Contradiction::ImproperAccepted(0)));
}

/// The register as a sequential specification for `stateright`.
#[derive(Clone, Debug, PartialEq)]
struct Register {
    version: u64,
    latest: Option<usize>,
}

#[derive(Clone, Debug)]
enum Call {
    Change { index: usize, base: u64, version: u64, proper: bool },
    Read,
}

#[derive(Clone, Debug, PartialEq)]
enum Return {
    Accepted,
    OtherVersion,
    Invalid,
    Seen(Option<usize>),
}

impl SequentialSpec for Register {
    type Op = Call;
    type Ret = Return;

    fn invoke(&mut self, call: &Call) -> Return {
        match call {
            Call::Read => Return::Seen(self.latest),
            Call::Change { base, .. } if *base != self.version => Return::OtherVersion,
            Call::Change { proper: false, .. } => Return::Invalid,
            Call::Change { index, version, .. } => {
                (self.version, self.latest) = (*version, Some(*index));
                Return::Accepted
            }
        }
    }

    fn is_valid_step(&mut self, call: &Call, returned: &Return) -> bool {
        let improper = matches!(call, Call::Change { proper: false, .. });
        (improper && *returned == Return::Invalid) || self.invoke(call) == *returned
    }
}

/// An operation of a random history, with the stamps of its invocation and of its response.
#[derive(Debug)]
struct RandomCall {
    call: Call,
    called: Stamp,
    returned: Option<(Stamp, Return)>,
}

/// Returns a history that a register produced; with a probability of 0.6, one response is altered.
fn random_calls(random: &mut Pcg64Mcg) -> Vec<RandomCall> {
    let count = random.random_range(1..=6);
    let mut stamps: Vec<Stamp> = (1..=2 * count as Stamp).collect();
    for index in (1..stamps.len()).rev() {
        stamps.swap(index, random.random_range(0..=index));
    }
    let mut register = Register { version: 0, latest: None };
    let mut calls: Vec<RandomCall> = Vec::new();
    let mut spans: Vec<(Stamp, Stamp)> =
        stamps.chunks(2).map(|pair| (pair[0].min(pair[1]), pair[0].max(pair[1]))).collect();
    spans.sort_unstable_by_key(|(called, returned)| random.random_range(*called..=*returned));
    for (index, (called, returned)) in spans.into_iter().enumerate() {
        let call = if random.random_bool(0.3) {
            Call::Read
        } else {
            let base = if random.random_bool(0.7) { register.version } else { random.random_range(0..4) };
            let version = base + random.random_range(1..3);
            Call::Change { index, base, version, proper: random.random_bool(0.9) }
        };
        // An operation without a known outcome took effect or not, with equal probability.
        let unclear = random.random_bool(0.2);
        let answer =
            if unclear && random.random_bool(0.5) { Return::Invalid } else { register.invoke(&call) };
        calls.push(RandomCall { call, called, returned: (!unclear).then_some((returned, answer)) });
    }
    if random.random_bool(0.6) {
        alter_one_response(&mut calls, random);
    }
    calls
}

fn alter_one_response(calls: &mut [RandomCall], random: &mut Pcg64Mcg) {
    let index = random.random_range(0..calls.len());
    let seen = random.random_range(0..=calls.len());
    let Some((_, answer)) = &mut calls[index].returned else { return };
    *answer = match answer {
        Return::Seen(_) => Return::Seen(seen.checked_sub(1)),
        Return::Accepted => Return::OtherVersion,
        Return::OtherVersion => Return::Accepted,
        Return::Invalid => Return::OtherVersion,
    };
    // A read can only return a change of the history, not another read.
    if let Return::Seen(Some(change)) = calls[index].returned.as_ref().expect("answered").1
        && matches!(calls[change].call, Call::Read)
    {
        calls[index].returned = None;
    }
}

fn stateright_accepts(calls: &[RandomCall]) -> bool {
    let mut events: Vec<(Stamp, usize, bool)> = Vec::new();
    for (thread, call) in calls.iter().enumerate() {
        events.push((call.called, thread, true));
        events.extend(call.returned.iter().map(|(at, _)| (*at, thread, false)));
    }
    events.sort_unstable();
    let mut tester = LinearizabilityTester::new(Register { version: 0, latest: None });
    for (_, thread, begins) in events {
        let call = &calls[thread];
        if begins {
            tester.on_invoke(thread, call.call.clone()).expect("one call each");
        } else if let Some((_, answer)) = &call.returned {
            tester.on_return(thread, answer.clone()).expect("the call is under way");
        }
    }
    tester.is_consistent()
}

fn check_accepts(calls: &[RandomCall]) -> bool {
    let mut history = ConstructedHistory::new();
    let mut indices = Vec::new();
    for RandomCall { call, called, returned } in calls {
        let Call::Change { base, version, proper, .. } = call else {
            indices.push(usize::MAX);
            continue;
        };
        let end = match returned {
            None | Some((_, Return::Seen(_))) => Unknown,
            Some((at, Return::Accepted)) => Accepted(*at),
            Some((at, Return::OtherVersion)) => OtherVersion(*at),
            Some((at, Return::Invalid)) => Invalid(*at),
        };
        indices.push(history.push(*base, *version, *proper, *called, end));
    }
    for RandomCall { call, called, returned } in calls {
        if let (Call::Read, Some((at, Return::Seen(seen)))) = (call, returned) {
            history = history.read(seen.map(|call| indices[call]), *called, *at);
        }
    }
    history.0.check().is_ok()
}

/// Small consistent and altered histories: the check and `stateright` come to the same verdict.
#[test]
fn the_check_agrees_with_stateright() {
    let mut verdicts = [0, 0];
    for seed in 0..6_000 {
        let calls = random_calls(&mut Pcg64Mcg::seed_from_u64(seed));
        let expected = stateright_accepts(&calls);
        assert_eq!(check_accepts(&calls), expected, "seed {seed}: {calls:#?}");
        verdicts[usize::from(expected)] += 1;
    }
    println!("{} histories are not linearizable, {} are", verdicts[0], verdicts[1]);
    assert!(verdicts.iter().all(|count| *count > 1_000), "{verdicts:?}");
}
