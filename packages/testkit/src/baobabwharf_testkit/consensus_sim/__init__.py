"""Simulate the Raft core and the state machine with seeded faults."""
