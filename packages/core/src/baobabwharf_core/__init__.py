"""Identifiers, clock, refusals, state charts, configuration and wire codec."""
