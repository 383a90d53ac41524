"""Provide the replicated state machine that consensus applies commands to."""
