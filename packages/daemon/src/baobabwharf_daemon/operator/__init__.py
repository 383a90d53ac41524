"""Serve operators over HTTP."""
