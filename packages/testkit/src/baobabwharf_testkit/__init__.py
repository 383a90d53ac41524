"""Stand-in endpoint, load tool, fault proxy, fleet launcher and bench."""
