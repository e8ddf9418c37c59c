"""Calls to a cell of processes, and counters of its backend servers."""

import concurrent.futures
import http.client
from dataclasses import dataclass

from bench.common import KEY, read_counters
from harness.cell import Cell
from ibisplank.process import GUARD_S
from ibisplank.version import Server

SERVICE = 'echo'
#: Time within which a change takes effect at all entries. The requirement is
#: "within seconds".
IN_FORCE_S = 3.0
#: Time until the slots of a dead member are in use again: detection of its
#: silence, fence period, guard time and a margin.
RECOVERED_S = 3.0 + 2.0 + GUARD_S + 3.0


@dataclass(frozen=True)
class ReceivedAnswer:
    """Answer that a caller received.

    Attributes
    ----------
    status : int
        HTTP status, 0 if the connection failed.
    refusal : str
        Value of the `ibisplank-refusal` header.
    ran : str
        Value of the `ibisplank-ran` header.
    body : bytes
        Body of the answer.
    """

    status: int
    refusal: str
    ran: str
    body: bytes


def call(
    address: str,
    method: str = 'GET',
    path: str = '/x',
    body: bytes = b'',
    request_id: str = '',
    deadline_ms: int = 2000,
) -> ReceivedAnswer:
    """Send one call to an entry."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=15)
    headers = {
        'Authorization': f'Bearer {KEY}',
        'ibisplank-deadline-ms': str(deadline_ms),
    }
    if request_id:
        headers['ibisplank-request-id'] = request_id
    try:
        connection.request(method, f'/{SERVICE}{path}', body, headers)
        response = connection.getresponse()
        return ReceivedAnswer(
            response.status,
            response.getheader('ibisplank-refusal', ''),
            response.getheader('ibisplank-ran', ''),
            response.read(),
        )
    except (OSError, http.client.HTTPException):
        return ReceivedAnswer(0, '', '', b'')
    finally:
        connection.close()


def send_many(
    cell: Cell,
    count: int,
    *,
    method: str = 'GET',
    deadline_ms: int = 5000,
) -> list[ReceivedAnswer]:
    """Send calls to all running entries in turn, 16 at a time."""
    live = [each for each in cell.members if each.entry.poll() is None]
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        futures = [
            pool.submit(
                call,
                live[number % len(live)].listen,
                method,
                deadline_ms=deadline_ms,
            )
            for number in range(count)
        ]
        return [each.result() for each in futures]


def count_overruns(cell: Cell) -> int:
    """Return the number of calls that exceeded the slots of their server."""
    return sum(read_counters(cell, each).overruns for each in cell.servers)


def count_calls(cell: Cell, servers: list[Server]) -> int:
    return sum(read_counters(cell, each).calls for each in servers)
