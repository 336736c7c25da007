//! Why each decision fell: notes taken where it falls, so that the trace cannot differ from it. Off, nothing is kept.
//!
//! A note is a line of words, `AT KIND ...`, which [`Note::line`] writes and [`Note::read`] reads back; the host says where
//! the lines go. Notes that only repeat what was last said of the same thing are left out, as a retrieval that waits
//! waits for the same reason in every round.

use std::collections::BTreeMap;

use crate::interface::{Nanos, PartIx, ReplicaIx, RetrievalIx};

macro_rules! reasons {
    ($(#[$about:meta])* $name:ident { $($reason:ident = $word:literal: $help:literal,)* }) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $(#[doc = $help] $reason,)*
        }

        impl $name {
            pub fn word(self) -> &'static str {
                match self { $($name::$reason => $word,)* }
            }

            pub fn help(self) -> &'static str {
                match self { $($name::$reason => $help,)* }
            }

            pub fn read(word: &str) -> Option<$name> {
                match word { $($word => Some($name::$reason),)* _ => None }
            }
        }
    };
}

reasons! {
    /// Why a retrieval ended without an answer.
    Refused {
        TimeUp = "time-up": "its time was up",
        Lost = "lost": "parts that may not be launched again leave less than its floor",
        CrowdedOut = "crowded-out": "it was never let in, and an ordinary answer would now come too late",
        Kills = "kills": "its launches broke off at several replicas",
    }
}

reasons! {
    /// Why a part was launched.
    Launched {
        First = "first": "its first",
        Again = "again": "the launches before it have ended without a value",
        Stranded = "stranded": "the replica that has it was set aside",
        Copy = "copy": "a copy near its retrieval's end",
    }
}

reasons! {
    /// Why a holder of a part was not considered, or did not get it.
    PassedOver {
        Aside = "aside": "set aside",
        Doubted = "doubted": "named by an old list only, and has not answered its probes yet",
        Trial = "trial": "on trial, and has its one part",
        Errs = "errs": "answered that grade with an error lately",
        Queue = "queue": "told of a long queue",
        Tried = "tried": "tried before, and another was not",
        Counts = "counts": "an earlier launch of the part there still counts",
        Cold = "cold": "cold, and its share is spent",
        Backlog = "backlog": "what it holds of ours would take too long",
    }
}

reasons! {
    /// Why a replica was set aside.
    SetAside {
        Silent = "silent": "it answers nothing",
        Failing = "failing": "its last launches failed",
        Lagging = "lagging": "it is far slower than the others",
    }
}

reasons! {
    /// Where a list of replicas is from that the front goes by.
    ListFrom {
        Known = "known": "the list of its configuration",
        Disk = "disk": "the list it remembered on disk",
        Peer = "peer": "a list that another front told",
        Discovery = "discovery": "discovery's own list",
        Nothing = "nothing": "nothing answered: it serves from what it has",
    }
}

reasons! {
    /// Why a part that wants a launch got none.
    Held {
        Ration = "ration": "the ration of further launches is spent",
        NoHolder = "no-holder": "no holder is left to take it",
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Taken: its grade, and whether its client asks again.
    Taken(RetrievalIx, usize, bool),
    /// A part of it, by its shard.
    Part(PartIx, RetrievalIx, usize),
    /// Not let in: so many of its parts find room, and the least time that a holder of one that does not would take.
    Waits(RetrievalIx, usize, Nanos),
    Launch(PartIx, ReplicaIx, Launched),
    Over(PartIx, ReplicaIx, PassedOver),
    Held(PartIx, Held),
    Aside(ReplicaIx, SetAside),
    Back(ReplicaIx),
    /// Answered: whether marked whole.
    Answered(RetrievalIx, bool),
    /// Ended without an answer, and whether as a dismissal.
    Ended(RetrievalIx, Refused, bool),
    /// A list gone by from now on: its age (ns), the replicas it names, and by how many steps they are doubted.
    List(ListFrom, Nanos, usize, u32),
    /// What the round went by, where it changed much: the median part time, the usual longest, patience.
    Usual(Nanos, Nanos, Nanos),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    pub at: Nanos,
    pub what: What,
}

impl Note {
    pub fn line(&self) -> String {
        let at = self.at;
        match self.what {
            What::Taken(r, grade, again) => format!("{at} taken {} {grade} {}", r.0, u8::from(again)),
            What::Part(p, r, shard) => format!("{at} part {} {} {shard}", p.0, r.0),
            What::Waits(r, room, least) => format!("{at} waits {} {room} {least}", r.0),
            What::Launch(p, s, why) => format!("{at} launch {} {} {}", p.0, s.0, why.word()),
            What::Over(p, s, why) => format!("{at} over {} {} {}", p.0, s.0, why.word()),
            What::Held(p, why) => format!("{at} held {} {}", p.0, why.word()),
            What::Aside(s, why) => format!("{at} aside {} {}", s.0, why.word()),
            What::Back(s) => format!("{at} back {}", s.0),
            What::Answered(r, whole) => format!("{at} answered {} {}", r.0, u8::from(whole)),
            What::Ended(r, why, dismissed) => {
                format!("{at} ended {} {} {}", r.0, why.word(), u8::from(dismissed))
            }
            What::List(from, age, members, doubt) => {
                format!("{at} list {} {age} {members} {doubt}", from.word())
            }
            What::Usual(half, longest, patience) => format!("{at} usual {half} {longest} {patience}"),
        }
    }

    /// None for a line that is no note.
    pub fn read(line: &str) -> Option<Note> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let (at, kind, rest) = (words.first()?.parse().ok()?, *words.get(1)?, &words[2..]);
        let number = |n: usize| rest.get(n).and_then(|w| w.parse::<usize>().ok());
        let time = |n: usize| rest.get(n).and_then(|w| w.parse::<Nanos>().ok());
        let word = |n: usize| rest.get(n).copied();
        let what = match kind {
            "taken" => What::Taken(RetrievalIx(number(0)?), number(1)?, number(2)? == 1),
            "part" => What::Part(PartIx(number(0)?), RetrievalIx(number(1)?), number(2)?),
            "waits" => What::Waits(RetrievalIx(number(0)?), number(1)?, time(2)?),
            "launch" => What::Launch(PartIx(number(0)?), ReplicaIx(number(1)?), Launched::read(word(2)?)?),
            "over" => What::Over(PartIx(number(0)?), ReplicaIx(number(1)?), PassedOver::read(word(2)?)?),
            "held" => What::Held(PartIx(number(0)?), Held::read(word(1)?)?),
            "aside" => What::Aside(ReplicaIx(number(0)?), SetAside::read(word(1)?)?),
            "back" => What::Back(ReplicaIx(number(0)?)),
            "answered" => What::Answered(RetrievalIx(number(0)?), number(1)? == 1),
            "ended" => What::Ended(RetrievalIx(number(0)?), Refused::read(word(1)?)?, number(2)? == 1),
            "list" => {
                What::List(ListFrom::read(word(0)?)?, time(1)?, number(2)?, u32::try_from(number(3)?).ok()?)
            }
            "usual" => What::Usual(time(0)?, time(1)?, time(2)?),
            _ => return None,
        };
        Some(Note { at, what })
    }
}

/// What a repetition is told by: kind and number of what a note is about.
type About = (u8, usize, usize);

/// Takes notes while it is on.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    on: bool,
    notes: Vec<Note>,
    /// What was last said of a thing that may be said of again in the next round.
    last: BTreeMap<About, What>,
}

impl Trace {
    pub fn switch(&mut self, on: bool) {
        *self = Trace { on, ..Trace::default() };
    }

    pub fn is_on(&self) -> bool {
        self.on
    }

    /// The note is only made where it is wanted.
    pub fn note(&mut self, at: Nanos, what: impl FnOnce() -> What) {
        if !self.on {
            return;
        }
        let what = what();
        let repeats = match what {
            What::Waits(r, ..) => Some((0, r.0, 0)),
            What::Over(p, s, _) => Some((1, p.0, s.0)),
            What::Held(p, _) => Some((2, p.0, 0)),
            What::Usual(..) => Some((3, 0, 0)),
            _ => None,
        };
        if let Some(about) = repeats {
            let same = |before: &What| match (*before, what) {
                // How long it would take changes every round; what matters is how many find room.
                (What::Waits(_, a, _), What::Waits(_, b, _)) => a == b,
                (What::Usual(a, b, c), What::Usual(x, y, z)) => near(a, x) && near(b, y) && near(c, z),
                (a, b) => a == b,
            };
            if self.last.get(&about).is_some_and(same) {
                return;
            }
            self.last.insert(about, what);
        }
        self.notes.push(Note { at, what });
    }

    /// Takes out what was noted; what is over is not remembered.
    pub fn take(&mut self, first: (RetrievalIx, PartIx)) -> Vec<Note> {
        let (retrieval, part) = first;
        self.last.retain(|&(kind, number, _), _| match kind {
            0 => number >= retrieval.0,
            1 | 2 => number >= part.0,
            _ => true,
        });
        std::mem::take(&mut self.notes)
    }
}

fn near(a: Nanos, b: Nanos) -> bool {
    (a - b).abs() * 4 <= a.max(b)
}

#[cfg(test)]
mod stories {
    use super::*;

    #[test]
    fn every_note_is_read_back_as_it_was() {
        let (r, p, s) = (RetrievalIx(7), PartIx(9), ReplicaIx(3));
        for what in [
            What::Taken(r, 2, true),
            What::Part(p, r, 5),
            What::Waits(r, 1, 40),
            What::Launch(p, s, Launched::Stranded),
            What::Over(p, s, PassedOver::Backlog),
            What::Held(p, Held::Ration),
            What::Aside(s, SetAside::Lagging),
            What::Back(s),
            What::Answered(r, false),
            What::Ended(r, Refused::CrowdedOut, true),
            What::Usual(1, 2, 3),
            What::List(ListFrom::Peer, 4, 5, 6),
        ] {
            let note = Note { at: -5, what };
            assert_eq!(Note::read(&note.line()), Some(note), "{}", note.line());
        }
        for bad in ["", "5", "5 taken", "5 taken 1 x 1", "5 over 1 2 bored", "five back 1", "5 unknown 1"] {
            assert_eq!(Note::read(bad), None, "{bad}");
        }
    }

    #[test]
    fn what_only_repeats_is_left_out_and_nothing_is_kept_while_off() {
        let mut trace = Trace::default();
        let waits = |room| move || What::Waits(RetrievalIx(1), room, 10);
        trace.note(0, waits(0));
        let first = (RetrievalIx(0), PartIx(0));
        assert!(trace.take(first).is_empty());
        trace.switch(true);
        for (at, room) in [(1, 0), (2, 0), (3, 1), (4, 1), (5, 0)] {
            trace.note(at, waits(room));
        }
        let at: Vec<Nanos> = trace.take(first).iter().map(|n| n.at).collect();
        assert_eq!(at, [1, 3, 5]);
        trace.note(6, waits(0));
        assert!(trace.take(first).is_empty(), "it was said before");
        // Its number is behind the first one open: it is over, and forgotten.
        trace.take((RetrievalIx(2), PartIx(0)));
        trace.note(7, waits(0));
        assert_eq!(trace.take(first).len(), 1);
    }
}
