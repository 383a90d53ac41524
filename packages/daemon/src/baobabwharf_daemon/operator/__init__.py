"""Operator interface over HTTP."""
