//! The protocols of clients, a file each: a door turns a message into what is asked, with the form that its
//! answers take.

pub mod own;
pub mod search;

use orchidvalve::interface::Nanos;

use crate::config::Plan;
use crate::desk::Asked;
use crate::forms::{Bind, Reply};
use crate::http::Message;

/// What a message comes to.
pub enum Heard<'a> {
    /// It is answered already.
    Said(Reply),
    /// Retrievals, each alone or refused; and what makes one message of their answers.
    Asked(Vec<Result<Asked<'a>, Reply>>, Bind),
}

pub trait Door {
    /// None where the path is not this door's. `since`: when the message began to come.
    fn hear<'a>(&self, message: &'a Message<'a>, since: Nanos, plan: &Plan) -> Option<Heard<'a>>;
}

/// Those that the plan opens, in the order in which they are asked whose a message is.
pub fn all(plan: &Plan) -> Vec<Box<dyn Door>> {
    let mut doors: Vec<Box<dyn Door>> = vec![Box::new(own::Own)];
    if let Some(routes) = &plan.routes {
        doors.push(Box::new(search::SearchDoor::new(routes.clone(), plan.seed)));
    }
    doors
}
