"""Decide how requests of a deployment are routed, paced and repeated."""
