//! Estimates of the load of replicas whose reports are old, on which choices and admission rest.
//!
//! An instance hears of a replica only in the answers to its own calls, and many instances choose at
//! the same moment. If all took a report at face value, they would overrun the replica that looks
//! idle, in turns. An old report therefore fades into the average load, and each call draws the load
//! of a replica from what the estimate leaves open, so that choices spread over replicas that look
//! alike.

pub mod load_history;
pub mod pace_history;
pub mod part_places;
pub mod service_times;
pub mod stream_times;
pub(super) mod wait_score;
