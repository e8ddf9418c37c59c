"""Calls that crash backend servers, known to all gateways."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ibisplank.connection import CallCrashes
from ibisplank.gateway._model import ServerKey
from ibisplank.ids import MemberId, ServerId
from ibisplank.process import log_event
from ibisplank.request import MAX_CRASHES, CallDigests, Suspect, Suspects

#: A call that was given up this long before its server ended may have crashed
#: it. An entry is removed after three heartbeats, and read a little later.
SILENCE_VALID_S = 8.0
#: Servers whose silent calls are remembered.
MAX_SILENT_SERVERS = 200


def _drop(message: CallCrashes) -> None:
    """Drop a message; the default until the mesh is set."""


def _drop_reply(member: MemberId, message: CallCrashes) -> None:
    """Drop a reply; the default until the mesh is set."""


@dataclass(frozen=True, slots=True)
class SilentCall:
    """A call to which a server sent nothing until it was given up."""

    digests: CallDigests
    request_id: str
    given_up_at: float


@dataclass(slots=True)
class SuspectCalls:
    """Evidence on calls that crash servers, replicated to all gateways.

    Load pattern: a caller repeats a call that crashes each server that runs
    it, under new ids and at any gateway. The calls that run beside it lose
    their servers as often, but are answered in between, which clears them.

    A caller may come again from another address, so evidence is kept for the
    content alone as well. Any answer clears the content, and an answer to the
    caller itself its call.

    Evidence that is new to a gateway is forwarded to all that it is connected
    to, so that it reaches gateways without a direct connection as well.

    Attributes
    ----------
    send_all : callable
        Sends a message to all connected gateways.
    send : callable
        Sends a message to one gateway.
    """

    clock: Callable[[], float]
    send_all: Callable[[CallCrashes], None] = _drop
    send: Callable[[MemberId, CallCrashes], object] = _drop_reply
    _suspects: Suspects = field(default_factory=Suspects)
    _silent: dict[ServerKey, dict[str, SilentCall]] = field(
        default_factory=dict
    )

    def find(self, digest: str) -> Suspect | None:
        """Return the evidence against a call, None if there is none."""
        return self._suspects.find(digest, self.clock())

    def assess(self, digests: CallDigests) -> Suspect | None:
        """Return the stronger evidence: against the call, or its content."""
        found = (self.find(digests.own), self.find(digests.content))
        suspects = [each for each in found if each is not None]
        return max(suspects, key=Suspect.count_crashes, default=None)

    def record_crash(
        self,
        digests: CallDigests,
        server: ServerId,
        born_ms: int,
        request_id: str,
    ) -> None:
        """Record that a server crashed while it ran a call."""
        run = f'{server}/{born_ms}'
        for digest in (digests.own, digests.content):
            if self._suspects.merge(digest, (run,), (), self.clock()):
                self._announce(digest)
        suspect = self.assess(digests)
        log_event(
            'server crashed under call',
            id=request_id,
            digest=digests.own,
            content=digests.content,
            server=server,
            born=born_ms,
            crashes=suspect.count_crashes() if suspect else 0,
            refused_from=MAX_CRASHES,
        )

    def record_silence(
        self, digests: CallDigests, key: ServerKey, request_id: str
    ) -> None:
        """Record that a call was given up without a sign of the server.

        The server may have crashed without closing its connections, may be cut
        off, or slow. What becomes of it shows which.
        """
        calls = self._silent.setdefault(key, {})
        calls[digests.own] = SilentCall(digests, request_id, self.clock())
        while len(self._silent) > MAX_SILENT_SERVERS:
            self._silent.pop(next(iter(self._silent)))

    def record_end(self, key: ServerKey) -> None:
        """Record that a run of a server has ended, but did not leave."""
        earliest = self.clock() - SILENCE_VALID_S
        server, born_ms = key
        for call in self._silent.pop(key, {}).values():
            if call.given_up_at >= earliest:
                self.record_crash(
                    call.digests, server, born_ms, call.request_id
                )

    def clear(self, digests: CallDigests) -> None:
        """Clear a call that a server has answered.

        Its content is cleared as well, but not the calls of other callers with
        the same content.
        """
        for digest in (digests.own, digests.content):
            suspect = self.find(digest)
            if suspect is not None and suspect.count_crashes():
                self._suspects.merge(digest, (), suspect.crashed, self.clock())
                self._announce(digest)

    def receive(self, member: MemberId, message: CallCrashes) -> None:
        """Merge evidence of another gateway; reply if it lacks some."""
        digest = message.digest
        if self._suspects.merge(
            digest, message.crashed, message.cleared, self.clock()
        ):
            self._announce(digest)
            return
        known = self._make_message(digest)
        if known is not None and _is_larger(known, message):
            self.send(member, known)

    def list_messages(self) -> Iterator[CallCrashes]:
        """Yield all evidence, for a gateway that has just been connected."""
        for digest, _ in list(self._suspects.list_records(self.clock())):
            message = self._make_message(digest)
            if message is not None:
                yield message

    def __len__(self) -> int:
        """Return the number of calls on record."""
        return len(self._suspects)

    def _announce(self, digest: str) -> None:
        message = self._make_message(digest)
        if message is not None:
            self.send_all(message)

    def _make_message(self, digest: str) -> CallCrashes | None:
        suspect = self.find(digest)
        if suspect is None:
            return None
        return CallCrashes(
            digest, tuple(suspect.crashed), tuple(suspect.cleared)
        )


def _is_larger(known: CallCrashes, other: CallCrashes) -> bool:
    """Return whether evidence contains more than other evidence."""
    return len(known.crashed) > len(other.crashed) or len(known.cleared) > len(
        other.cleared
    )
