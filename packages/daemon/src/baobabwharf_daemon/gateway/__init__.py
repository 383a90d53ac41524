"""HTTP listeners for callers and endpoints."""
