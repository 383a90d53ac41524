"""Run the Raft core and the state machine on simulated time and faults."""
