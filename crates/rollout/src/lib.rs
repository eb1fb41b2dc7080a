//! The rollout state machine: stages, evidence, brake, endings.
