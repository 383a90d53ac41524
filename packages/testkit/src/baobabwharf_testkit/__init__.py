"""Simulated endpoints, load clients, fault proxy, fleets and benchmarks."""
