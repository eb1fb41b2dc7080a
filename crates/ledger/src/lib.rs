//! Calls that may not be repeated: a sharded append log of intents and results.
