"""Raft consensus as a state machine that does no I/O of its own."""
