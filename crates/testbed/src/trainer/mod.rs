//! A trainer: submits a batch job for each step, reads its results, cancels it, and announces new versions.

mod calls;
mod group_progress;
mod groups;
mod job;
mod keys;
mod responses;
mod result_reading;
mod settings;
mod stats;
mod steps;
mod version_announcement;

pub use settings::{BatchSettings, ItemSettings, ReviewTimes, StepSettings, TrainerSettings};
pub use stats::{SharedTrainerStats, TrainerStats};
pub use steps::Trainer;
