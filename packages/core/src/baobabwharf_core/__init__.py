"""Ids, clock, refusals, state charts, configuration model and wire codec."""
