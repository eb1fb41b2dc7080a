//! Tests of the command line tool and its library.

mod harness;
mod test_calls;
mod test_documents;
mod test_explain;
mod test_failures;
mod test_losses;
mod test_waiting;
