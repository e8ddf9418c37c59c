"""Names of the headers that callers and backend servers exchange."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case.

    Attributes
    ----------
    deadline_ms : bytes
        Milliseconds that the caller will wait.
    target_server : bytes
        The only backend server that may run the call.
    signature : bytes
        Proof that an answer is a backend server's own.
    not_run : bytes
        Present in answers to calls that did not run.
    server_load : bytes
        Calls running and waiting, slots, and pace of a backend server.
    warmup_left : bytes
        Seconds for which a backend server stays cold.
    """

    request_id: bytes
    deadline_ms: bytes
    target_server: bytes
    signature: bytes
    not_run: bytes
    server_load: bytes
    warmup_left: bytes
    server_id: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first header of a name in lower case.

    >>> find_header([(b'A', b'1')], b'a')
    b'1'
    """
    for each, text in headers:
        if each.lower() == name:
            return text
    return None
