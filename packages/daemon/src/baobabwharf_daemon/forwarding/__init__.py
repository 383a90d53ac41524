"""Send requests to endpoints; forward them at most once to another VM.

It serves the requests that baobabwharf_daemon.gateway receives through the
product's own interface; baobabwharf_daemon.proxy does not use it.
"""
