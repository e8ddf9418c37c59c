"""Functions to pick ports and to wait for, pause and stop processes."""

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import time
from collections.abc import Iterator

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
LOOPBACK = '127.0.0.1'
FIRST_PORT = 10000
PORT_COUNT = 20000
PORT_STEP = 97
_port_offsets = itertools.count()


def stop_all(processes: list[subprocess.Popen[bytes]]) -> None:
    """Stop processes gracefully; kill those that exceed the time limit.

    Paused processes are resumed first, so that they can handle SIGTERM.
    """
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def pick_port() -> int:
    """Return a free port below the range of ephemeral ports.

    The system assigns ephemeral ports to outgoing connections; none of these
    can therefore take the port before the server binds it.
    """
    for offset in _port_offsets:
        port = FIRST_PORT + (os.getpid() * PORT_STEP + offset) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port
    raise OSError('no free port')


def wait_for(check: object, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a function until it returns a true value.

    Raises
    ------
    TimeoutError
        If the function returns no true value within the timeout.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if check():  # type: ignore[operator]
            return
        time.sleep(POLL_S)
    raise TimeoutError(
        'condition not met before the timeout; see the log of the cell'
    )


@contextlib.contextmanager
def paused(process: subprocess.Popen[bytes]) -> Iterator[None]:
    """Suspend a process with SIGSTOP within the context."""
    os.kill(process.pid, signal.SIGSTOP)
    try:
        yield
    finally:
        os.kill(process.pid, signal.SIGCONT)
