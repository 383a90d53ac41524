"""Routing, placement, rate limits and retries of a deployment's requests."""
