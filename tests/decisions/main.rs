//! Scenarios for each known failure of the decisions, one concern per module.

mod admission;
mod completion;
mod ejection;
mod hedging;
mod host;
mod load;
mod membership;
mod retry;
mod selection;
mod slow_start;
mod trace;
