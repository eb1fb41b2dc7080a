//! Fenced orders to engines.
