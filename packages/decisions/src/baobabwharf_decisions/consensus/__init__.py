"""Raft without I/O: messages and time in; messages, records, entries out."""
