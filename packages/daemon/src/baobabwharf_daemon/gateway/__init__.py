"""Serve callers and endpoints over HTTP."""
