"""Handle the signals sent to the process."""

import asyncio
import signal
from collections.abc import Callable

from baobabwharf_daemon.proxy.app import ProxyDaemon


def handle_signals(daemon: ProxyDaemon, reload: Callable[[], None]) -> None:
    """Stop the daemon on SIGTERM and SIGINT; call reload on SIGHUP."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
