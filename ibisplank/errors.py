"""Exceptions raised by ibisplank; every message names the remedy."""

from collections.abc import Sequence

from ibisplank.ids import RefusalKind, RunStatus


class IbisplankError(Exception):
    """Base of all errors that ibisplank raises on purpose."""


class SettingError(IbisplankError):
    """A flag, environment variable or contract is not usable."""


class UndecodableRow(IbisplankError):
    """A row of the platform's store holds what it can't.

    Attributes
    ----------
    field : str
        Name of the row or field.
    """

    def __init__(self, field: str, reason: str) -> None:
        self.field = field
        super().__init__(f'{field}: {reason}; correct that field')


class StoreError(IbisplankError):
    """Base of errors of the platform's table and object store."""


class StoreDown(StoreError):
    """The store refused the operation; it had no effect."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'store is down ({reason}): nothing was written; retry later',
        )


class OutcomeUnknown(StoreError):
    """The answer to a write was lost; it may or may not have taken effect."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'answer lost ({reason}): read the token back before retrying',
        )


class WriteConflict(StoreError):
    """A conditional write found other versions than it named.

    Attributes
    ----------
    keys : sequence of str
        Keys whose versions differ from those named.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        self.keys = tuple(keys)
        super().__init__(
            f'changed by another writer: {", ".join(keys)}; '
            'read again and repeat the edit',
        )


class HistoryGone(StoreError):
    """The store no longer has the changes after the version named."""

    def __init__(self, table: str) -> None:
        super().__init__(f'history of {table!r} is gone: list it anew')


class EditConflict(IbisplankError):
    """An operator's edit lost against another operator's."""


class Refused(IbisplankError):
    """A call that gets no answer of a backend server.

    Attributes
    ----------
    status : int
        HTTP status for the caller.
    kind : RefusalKind
        Reason in machine-readable form.
    ran : RunStatus
        Whether the call may have run.
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


class BackendError(IbisplankError):
    """Base of failures of one attempt on a backend server."""


class ConnectFailed(BackendError):
    """No byte of the request was sent."""


class ConnectTimeout(ConnectFailed):
    """No connection within the timeout; says nothing of the server."""


class RestartSuspected(BackendError):
    """Kept connections were closed by the server; nothing was sent."""


class AttemptUnknown(BackendError):
    """The request may have run, but no whole answer arrived."""


class TornAnswer(AttemptUnknown):
    """The answer ended before its stated length."""


class AlienAnswer(AttemptUnknown):
    """The answer belongs to another request."""


class SilentConnection(AttemptUnknown):
    """No byte of an answer arrived within the first-byte timeout."""
