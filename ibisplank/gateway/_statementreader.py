"""Reads what backend servers state about themselves in their answers."""

from dataclasses import dataclass, field

from ibisplank.connection import Answer
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._headers import HeaderNames, find_header
from ibisplank.gateway._model import ServerEntry, ServerKey
from ibisplank.gateway._statements import parse_retry_after
from ibisplank.process import log_event

LEAVING = b'1'
UNAVAILABLE = 503
#: Servers whose malformed statements have been logged.
MAX_LOGGED = 1000


@dataclass(slots=True)
class StatementReader:
    """Records that a server leaves, or asks to be sent nothing."""

    fleet: Fleet
    header_names: HeaderNames
    _logged: dict[ServerKey, None] = field(default_factory=dict)

    def read(self, entry: ServerEntry, answer: Answer, source: str) -> None:
        """Read the answer of a server.

        Parameters
        ----------
        source : str
            Id of the call, or what else was answered, for the log.
        """
        headers = list(answer.headers)
        leaving = find_header(headers, self.header_names.leaving)
        if leaving is not None and leaving.strip() == LEAVING:
            self.fleet.record_leaving(entry.key, source)
        if answer.status != UNAVAILABLE:
            return
        text = find_header(headers, self.header_names.retry_after)
        if text is None:
            return
        seconds = parse_retry_after(text)
        if seconds is None:
            self._log_malformed(entry, text)
            return
        self._record_quiet(entry, seconds, source)

    def _record_quiet(
        self, entry: ServerEntry, seconds: float, source: str
    ) -> None:
        now = self.fleet.clock()
        if not self.fleet.quiet.record(entry.key, seconds, now):
            return
        log_event(
            'server asked for quiet',
            server=entry.server,
            born=entry.born_ms,
            seconds=seconds,
            returns_in=round(self.fleet.quiet.find_end(entry.key) - now, 3),
            source=source,
        )

    def _log_malformed(self, entry: ServerEntry, text: bytes) -> None:
        if entry.key in self._logged:
            return
        self._logged[entry.key] = None
        while len(self._logged) > MAX_LOGGED:
            self._logged.pop(next(iter(self._logged)))
        log_event(
            'statement of a server ignored',
            server=entry.server,
            retry_after=text.decode('latin-1'),
        )
