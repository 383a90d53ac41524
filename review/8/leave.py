"""Send the DELETE of a server and kill the machine that acknowledges it.

A process of its own, so that the kill follows the answer within a millisecond.
"""

import os
import signal
import socket
import sys
import time


def main() -> None:
    address, name, pid = sys.argv[1], sys.argv[2], int(sys.argv[3])
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), 1) as connection:
        connection.settimeout(1)
        connection.sendall(
            f'DELETE /baobabwharf/instances/{name} HTTP/1.1\r\n'
            f'Host: {address}\r\nConnection: close\r\n\r\n'.encode()
        )
        answer = connection.recv(4096)
        acked = time.monotonic()
        if pid and answer.startswith(b'HTTP/1.1 200 '):
            os.kill(pid, signal.SIGKILL)
        killed = time.monotonic()
    print(answer[:12].decode('latin-1')[-3:], f'{(killed - acked) * 1000:.3f}')


main()
