"""Serve callers and endpoints over HTTP.

This is the product's own interface; its requests are sent to endpoints by
baobabwharf_daemon.forwarding, whereas baobabwharf_daemon.proxy passes on the
requests of a deployment.
"""
