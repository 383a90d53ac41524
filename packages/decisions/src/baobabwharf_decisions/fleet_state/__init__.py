"""The replicated state machine: configuration, request ids, leases, claims."""
