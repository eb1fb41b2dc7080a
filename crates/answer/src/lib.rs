//! Continuity of an answer: splice, digest, resume, stall detection.
