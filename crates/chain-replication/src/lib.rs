//! Chain replication of a numbered log, without I/O.
//!
//! The members of a [`ChainView`] hold copies of one log. New entries enter at the head, travel down the
//! chain one durable copy at a time and are committed once the tail has them on its disk. The views are decided
//! outside this crate, one per epoch. This crate makes the logs of the members of a view equal, passes the entries
//! on, fills the logs of learners that join later, and confirms that a view is still current (barriers, for
//! linearizable reads).
//!
//! It follows van Renesse and Schneider 2004: the head orders the changes, an entry is committed once it is on the disk
//! of the tail (section 3), and the chain survives the loss of a member through a view without it. Unlike there, every
//! member serves reads, after a barrier.
//!
//! [`Replica`] is the state machine of one member, with one file each for receiving, sending, committing and barriers.
//! Its parts: `predecessor` is the state of the link to the neighbour that sends the entries, `progress` with
//! `inflights` that of the link to each receiver, [`EpochRuns`] compares two logs without their content, `barrier`
//! confirms views.
//!
//! The component that decides the views must guarantee:
//! - at most one view is ever decided per epoch;
//! - the head of a view was reported as synchronized ([`Output::Synchronized`]) in an earlier view and has been
//!   a member in all views since; in the very first view all logs are empty;
//! - members keep their order, new ones join at the tail;
//! - a learner becomes a member only after [`Output::LearnerCaughtUp`].

mod barrier;
mod entry;
mod epoch_runs;
mod inflights;
mod limits;
mod message;
mod output;
mod payload;
mod predecessor;
mod progress;
mod replica;
mod sequence;
mod view;

pub use entry::{Entry, LogReader, RecoveredLog};
pub use epoch_runs::{EpochRun, EpochRuns};
pub use limits::{BATCH_BYTES, CONFIRM_RESEND_MS, Milliseconds, PROBE_MS, RESEND_MS, WINDOW_BYTES};
pub use message::Message;
pub use output::{Output, Violation};
pub use replica::Replica;
pub use sequence::{BarrierId, Epoch, PositionId, RoundNumber, Sequence};
pub use view::ChainView;
