"""Proxy the HTTP requests of a deployment to its endpoints unchanged."""
