//! Flap damping: members that leave the chain repeatedly, as in a network partition that only some members observe,
//! are kept out of the chain for a while.

use orchidvalve_protocol::identity::MemberId;

use crate::timing::{DAMPING_STEP, DAMPING_WINDOW, Milliseconds};
use crate::view::View;

#[derive(Clone, Debug)]
struct Removal {
    member: MemberId,
    at: Milliseconds,
    /// Number of removals, each within [`DAMPING_WINDOW`] of the previous one.
    count: u32,
}

/// Recent removals from the chain that this process has observed.
#[derive(Clone, Debug, Default)]
pub struct FlapDamping {
    removals: Vec<Removal>,
}

impl FlapDamping {
    /// Records which members left the chain between two views.
    pub fn view_changed(&mut self, now: Milliseconds, previous: &View, next: &View) {
        self.removals.retain(|removal| now - removal.at < DAMPING_WINDOW);
        for member in previous.chain.iter().filter(|member| !next.in_chain(**member)) {
            match self.removals.iter_mut().find(|removal| removal.member == *member) {
                Some(removal) => *removal = Removal { at: now, count: removal.count + 1, ..*removal },
                None => self.removals.push(Removal { member: *member, at: now, count: 1 }),
            }
        }
    }

    /// Returns true while `member` must stay out of the chain. The time is zero as long as no member has left the chain
    /// twice, then doubles with each further repetition. The repetitions of all members are added up, because a
    /// network partition between two members may make them leave in turns. The time ends at most `limit` after the
    /// removal.
    pub fn suppresses(&self, now: Milliseconds, member: MemberId, limit: Milliseconds) -> bool {
        let repetitions: u32 = self.removals.iter().map(|removal| removal.count - 1).sum();
        let removal = self.removals.iter().find(|removal| removal.member == member);
        removal.is_some_and(|removal| {
            repetitions > 0 && now < removal.at + suppression_time(repetitions).min(limit)
        })
    }
}

fn suppression_time(repetitions: u32) -> Milliseconds {
    DAMPING_STEP << (repetitions - 1).min(16)
}
