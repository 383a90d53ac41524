"""Send requests to endpoints and, once, to other VMs."""
