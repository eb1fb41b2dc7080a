//! The daemon as a library.
