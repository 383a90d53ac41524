"""Start, signal and stop child processes by their pid."""

import asyncio
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

_KILL_TIMEOUT_S = 5.0
_MS_PER_S = 1000
_KB_PER_MB = 1024


def anonymous_memory_mb(pid: int) -> int:
    """Return the memory of a process in MB, without the files it maps."""
    status = Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'^RssAnon:\s+(\d+) kB$', status, re.MULTILINE)
    return int(found.group(1)) // _KB_PER_MB if found else 0


class ManagedProcess:
    """Run a Python module as a process with its log in a file."""

    def __init__(self, module: str, arguments: list[str], log: Path) -> None:
        self._command = [sys.executable, '-m', module, *arguments]
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the pid of the running process, or 0."""
        return self._process.pid if self._process else 0

    @property
    def running(self) -> bool:
        """Return whether the process runs or is suspended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while it runs."""
        return self._process.poll() if self._process else None

    @property
    def log(self) -> Path:
        """Return the path of the log."""
        return self._log

    def start(self) -> None:
        """Start the process; its output is added to the log."""
        with self._log.open('ab') as output:
            self._process = self._spawn(output)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(_KILL_TIMEOUT_S)

    def suspend(self) -> None:
        """Suspend the process until it is resumed."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_ms: int) -> int | None:
        """Return the exit code, or None if it still runs at the timeout."""
        process = self._process
        if process is None:
            return None
        try:
            return await asyncio.to_thread(process.wait, timeout_ms / _MS_PER_S)
        except subprocess.TimeoutExpired:
            return None

    async def terminate(self, timeout_ms: int) -> int | None:
        """Stop gracefully; after the timeout kill and return None."""
        self.send_signal(signal.SIGTERM)
        self.resume()
        code = await self.wait(timeout_ms)
        if code is None:
            self.kill()
        return code

    def _spawn(self, output: IO[bytes]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            self._command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            # A signal to the process group of the terminal must not end it.
            start_new_session=True,
        )
