//! Shared reading of the platform's store within a data centre.
//!
//! One instance of a data centre, the reader, polls the store for the records of a scope. The
//! others take the changes from it, so that the calls to the store do not grow with the number of
//! instances. The choice of the reader is a hint: any instance answers with what it has and with
//! the age of that, and an instance whose records get too old reads the store itself. Revisions of
//! the store order all changes, so records never go back, whichever instance they come from.
//!
//! Decisions are made without I/O in `belief_age`, `feed_log`, `feed_message` and `reader_choice`;
//! `feed_client` and `feed_server` carry the messages.

pub mod belief_age;
pub mod feed_batch;
pub mod feed_client;
pub mod feed_log;
pub mod feed_message;
pub mod feed_server;
pub mod feed_table;
pub mod reader_choice;
