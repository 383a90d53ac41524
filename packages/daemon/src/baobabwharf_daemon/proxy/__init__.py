"""Proxy the HTTP requests of a deployment to its endpoints unchanged.

It passes requests byte for byte and is used by baobabwharf_platform, whereas
baobabwharf_daemon.gateway and baobabwharf_daemon.forwarding serve the
product's own interface.
"""
