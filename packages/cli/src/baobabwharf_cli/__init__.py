"""Command line for operators, a client of the operator HTTP interface."""
