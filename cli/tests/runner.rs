//! Tests of the command line tool.

mod instance;
mod test_documents;
mod test_failures;
mod test_waiting;
