"""Exceptions of ibisplank.

Messages for operators and callers say how to resolve the error.
"""

from collections.abc import Sequence

from ibisplank.ids import RefusalKind, RunStatus


class IbisplankError(Exception):
    """Base class of the exceptions that ibisplank defines."""


class SettingError(IbisplankError):
    """A flag, environment variable, settings file or contract is invalid."""


class UndecodableRow(IbisplankError):
    """A row of the platform's store can't be decoded or has invalid content.

    Attributes
    ----------
    field : str
        Name of the row or field.
    """

    def __init__(self, field: str, reason: str) -> None:
        self.field = field
        super().__init__(f'{field}: {reason}; correct that field')


class StoreError(IbisplankError):
    """Base class of errors of the platform's stores."""


class StoreDown(StoreError):
    """The store is unavailable; the operation had no effect.

    Saving a blob is an exception: if the response was lost, it may be saved.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'store is down ({reason}): nothing was written; retry later',
        )


class OutcomeUnknown(StoreError):
    """No conclusive response to a write arrived; it may have taken effect."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'outcome of the write unknown ({reason}): '
            'read the token back before retrying',
        )


class WriteConflict(StoreError):
    """A conditional write found a row at another version than expected.

    Attributes
    ----------
    keys : sequence of str
        Keys whose versions differ from the expected ones.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        self.keys = tuple(keys)
        super().__init__(
            f'changed by another writer: {", ".join(keys)}; '
            'read again and repeat the edit',
        )


class HistoryGone(StoreError):
    """The store has truncated the changes that follow the requested version."""

    def __init__(self, table: str) -> None:
        super().__init__(f'history of {table!r} truncated: list all rows again')


class EditConflict(IbisplankError):
    """An operator's edit conflicts with a concurrent edit."""


class Refused(IbisplankError):
    """A call is refused: the caller gets no answer of a backend server.

    Attributes
    ----------
    status : int
        HTTP status that the caller gets.
    kind : RefusalKind
        Machine-readable reason.
    ran : RunStatus
        Whether the call ran on a backend server.
    """

    def __init__(
        self,
        status: int,
        kind: RefusalKind,
        ran: RunStatus,
        remedy: str,
    ) -> None:
        self.status = status
        self.kind = kind
        self.ran = ran
        super().__init__(f'{kind.value}: {remedy}')


class PeerStreamLost(IbisplankError):
    """A message could not be written to another process."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'stream to a peer lost ({reason}): it is opened again, '
            'look for the end of that peer',
        )


class BackendError(IbisplankError):
    """Base class of failures of one attempt on a backend server."""


class ConnectFailed(BackendError):
    """No connection could be opened; no byte of the request was sent."""


class ConnectTimeout(ConnectFailed):
    """The connection attempt timed out; the server need not be at fault."""


class RestartSuspected(BackendError):
    """The server closed idle connections early; nothing was sent."""


class AttemptUnknown(BackendError):
    """The request may have run, but no complete answer arrived."""


class UnusableAnswer(AttemptUnknown):
    """The server was reached, but sent bytes that are no complete answer.

    Attributes
    ----------
    kind : str
        What it sent, for metrics.
    """

    kind = 'unusable answer'


class GarbledAnswer(UnusableAnswer):
    """The server sent bytes that are no HTTP answer."""

    kind = 'garbled answer'


class OverlongAnswer(UnusableAnswer):
    """The server sent more bytes than this process can hold."""

    kind = 'overlong answer'


class TornAnswer(UnusableAnswer):
    """The answer ended early or stalled, or its length can't be verified."""

    kind = 'torn answer'


class AlienAnswer(UnusableAnswer):
    """The answer names another request, or none."""

    kind = 'alien answer'


class SilentConnection(AttemptUnknown):
    """A read timed out before the head of the answer was complete."""
