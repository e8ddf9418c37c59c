"""Header names of the platform, and header lookup."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers in calls and answers, in lower case.

    Attributes
    ----------
    request_id : bytes
        Id of the call, which its answer repeats.
    deadline_ms : bytes
        Milliseconds that the caller will wait.
    target_server : bytes
        The only backend server that may run the call.
    signature : bytes
        Signature of a backend server; an answer without it is not passed on
        as a success.
    not_run : bytes
        Set in answers to calls that did not run.
    server_load : bytes
        Running and waiting calls, slots and slowdown of a backend server.
    rate_limit : bytes
        Calls per second that a backend server accepts from all gateways
        together; unlimited if absent.
    warmup_left : bytes
        Remaining warm-up time of a backend server in seconds.
    server_id : bytes
        Backend server that sends the answer.
    leaving : bytes
        Set to 1 in answers of a backend server that leaves.
    retry_after : bytes
        Seconds for which a backend server that refuses a call with status 503
        wants nothing from this gateway.
    """

    request_id: bytes
    deadline_ms: bytes
    target_server: bytes
    signature: bytes
    not_run: bytes
    server_load: bytes
    rate_limit: bytes
    warmup_left: bytes
    server_id: bytes
    leaving: bytes
    retry_after: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name.

    >>> find_header([(b'A', b'1')], b'a')
    b'1'
    """
    for each, text in headers:
        if each.lower() == name:
            return text
    return None
