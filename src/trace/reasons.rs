//! Reasons of decisions. `docs/trace.md` documents the words, and `orchidvalve why` parses them and prints their help
//! texts.

macro_rules! reasons {
    ($(#[$about:meta])* $name:ident { $($(#[$doc:meta])* $reason:ident = $word:literal: $help:literal,)* }) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $($(#[$doc])* $reason,)*
        }

        impl $name {
            /// Returns the word in trace lines.
            pub fn word(self) -> &'static str {
                match self { $($name::$reason => $word,)* }
            }

            /// Returns the explanation that `orchidvalve why` prints.
            pub fn help(self) -> &'static str {
                match self { $($name::$reason => $help,)* }
            }

            /// Parses a word of a trace line. Returns `None` if it is no reason of this kind.
            pub fn read(word: &str) -> Option<$name> {
                match word { $($word => Some($name::$reason),)* _ => None }
            }
        }
    };
}

reasons! {
    /// Why a query ended without an answer.
    QueryEndReason {
        /// Its deadline passed, or a response would no longer earn anything.
        DeadlinePassed = "time-up": "its time was up",
        /// Too many of its shard requests can no longer be answered to reach its smallest completeness.
        ShardsLost = "lost": "parts that may not be launched again leave less than its floor",
        /// It was never admitted, and a response of usual latency would now be too late.
        NeverAdmitted = "crowded-out": "it was never let in, and an ordinary answer would now come too late",
        /// Connections were lost at several replicas that it was sent to.
        BreaksReplicas = "kills": "its launches broke off at several replicas",
    }
}

reasons! {
    /// Why an attempt started.
    AttemptReason {
        /// It is the first attempt of its shard request.
        First = "first": "its first",
        /// The attempts before it have ended without a result.
        Retry = "again": "the launches before it have ended without a value",
        /// The replica of the attempt in flight was ejected.
        ReplicaEjected = "stranded": "the replica that has it was set aside",
        /// It is a hedge near the end of its query.
        Hedge = "copy": "a copy near its retrieval's end",
    }
}

reasons! {
    /// Why a replica that holds a shard got no attempt of a shard request.
    ExclusionReason {
        /// The replica is ejected.
        Ejected = "aside": "set aside",
        /// Only an outdated list names the replica, and it has not answered its health checks yet.
        Unverified = "doubted": "named by an old list only, and has not answered its probes yet",
        /// The replica is on trial after an ejection, with its one shard request in flight.
        OnTrial = "trial": "on trial, and has its one part",
        /// The replica recently answered this service class with an error.
        ClassFails = "errs": "answered that grade with an error lately",
        /// The replica reported a long queue.
        LongQueue = "queue": "told of a long queue",
        /// The replica was tried before, and another one was not.
        AlreadyTried = "tried": "tried before, and another was not",
        /// An earlier attempt of the shard request at the replica still counts as in flight.
        AttemptCounts = "counts": "an earlier launch of the part there still counts",
        /// The replica is warming up, and its quota is used up.
        WarmingUp = "cold": "cold, and its share is spent",
        /// The replica's backlog of this front node's requests is too large.
        Backlog = "backlog": "what it holds of ours would take too long",
    }
}

reasons! {
    /// Why a replica was ejected.
    EjectionReason {
        /// The replica answers nothing.
        Unresponsive = "silent": "it answers nothing",
        /// Its last attempts failed.
        Failing = "failing": "its last launches failed",
        /// The replica is far slower than the others.
        Slow = "lagging": "it is far slower than the others",
    }
}

reasons! {
    /// The source of the list of replicas that a front node uses.
    MembershipSource {
        /// The front node's configuration.
        Configuration = "known": "the list of its configuration",
        /// The list that the front node saved on disk.
        Disk = "disk": "the list it remembered on disk",
        /// Another front node.
        Peer = "peer": "a list that another front told",
        /// Discovery itself.
        Discovery = "discovery": "discovery's own list",
        /// No source responded: the front node serves with the list that it has.
        Nowhere = "nothing": "nothing answered: it serves from what it has",
    }
}

reasons! {
    /// Why a shard request that needs an attempt got none.
    WithholdReason {
        /// The retry budget is used up.
        RetryBudgetSpent = "ration": "the ration of further launches is spent",
        /// There is no replica that could get it.
        NoReplica = "no-holder": "no holder is left to take it",
    }
}
