"""Requests during which backend servers died."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from ibisplank.ids import ServerId
from ibisplank.rendezvous import choose_by_hash

SUSPECT_TTL_S = 300.0
MAX_SUSPECTS = 1000
#: Crashes after which a request is refused without a trial.
MAX_CRASHES = 3


class Verdict(Enum):
    """Verdict on a request.

    Attributes
    ----------
    SUSPECT
        A server died while the request ran, perhaps because of another one.
        The request may run only as a trial.
    REFUSED
        A server died during the trial of the request, which may not run again
        until the verdict expires.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(slots=True)
class Suspect:
    """Evidence against one request, and when it expires.

    The sets only grow, so that merging the evidence of several processes
    gives the same result in any order.

    Attributes
    ----------
    refused : bool
        Whether a server died during a trial of the request.
    unnamed : bool
        Whether a server died that the evidence does not name.
    crashed : set of str
        Runs of servers that crashed while they ran the request.
    cleared : set of str
        Those of them that crashed before the request was answered.
    """

    until: float
    refused: bool = False
    unnamed: bool = False
    crashed: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def count_crashes(self) -> int:
        """Return the crashes since the request was last answered."""
        return len(self.crashed - self.cleared)

    def judge(self) -> Verdict:
        """Return the verdict on the request."""
        crashes = self.count_crashes()
        if self.refused or crashes >= MAX_CRASHES:
            return Verdict.REFUSED
        return Verdict.SUSPECT if crashes or self.unnamed else Verdict.CLEAR


class Suspects:
    """Evidence against requests, by the digest of their content."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}

    def record_death(
        self,
        digest: str,
        now: float,
        *,
        trial: bool,
    ) -> None:
        """Record that a backend server died while a request ran.

        Parameters
        ----------
        trial : bool
            Whether the request ran as the only suspect on the server.
        """
        suspect = self._renew(digest, now)
        suspect.unnamed = True
        suspect.refused = suspect.refused or trial

    def merge(
        self,
        digest: str,
        crashed: Iterable[str],
        cleared: Iterable[str],
        now: float,
    ) -> bool:
        """Add evidence on a request; return whether any of it is new."""
        crashed, cleared = set(crashed), set(cleared)
        known = self.find(digest, now)
        if known and crashed <= known.crashed and cleared <= known.cleared:
            return False
        suspect = self._renew(digest, now)
        suspect.crashed |= crashed
        suspect.cleared |= cleared
        return True

    def clear(self, digest: str, now: float) -> bool:
        """Clear a suspect after a good trial; return whether it was one."""
        if self.judge(digest, now) is not Verdict.SUSPECT:
            return False
        self._suspects.pop(digest)
        return True

    def judge(self, digest: str, now: float) -> Verdict:
        """Return the verdict on a request."""
        suspect = self.find(digest, now)
        return Verdict.CLEAR if suspect is None else suspect.judge()

    def find(self, digest: str, now: float) -> Suspect | None:
        """Return the evidence against a request, None if there is none."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.until <= now:
            return None
        return suspect

    def list_records(self, now: float) -> Iterator[tuple[str, Verdict]]:
        """Yield the requests on record with their verdicts."""
        for digest, suspect in self._suspects.items():
            if suspect.until > now:
                yield digest, suspect.judge()

    def __len__(self) -> int:
        """Return the number of requests on record."""
        return len(self._suspects)

    def _renew(self, digest: str, now: float) -> Suspect:
        """Return the record of a request, the last one to be evicted."""
        suspect = self.find(digest, now) or Suspect(now)
        suspect.until = now + SUSPECT_TTL_S
        self._suspects.pop(digest, None)
        self._suspects[digest] = suspect
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.pop(self._choose_evicted(digest))
        return suspect

    def _choose_evicted(self, kept: str) -> str:
        """Return the oldest record, if possible of a request not refused.

        Many servers that die at once leave many suspects.
        """
        for digest, suspect in self._suspects.items():
            if digest != kept and suspect.judge() is not Verdict.REFUSED:
                return digest
        return next(iter(self._suspects))


@dataclass(frozen=True, slots=True)
class CallDigests:
    """Digests that the repeats of a call share.

    Attributes
    ----------
    own : str
        Identifies the call by its content and its caller.
    content : str
        Identifies it by its content, whoever the caller is.
    """

    own: str
    content: str


def digest_request(
    scope: str,
    method: bytes,
    target: bytes,
    body: bytes,
) -> str:
    """Return the digest that identifies equal requests.

    Parameters
    ----------
    scope : str
        What requests have to share to be equal: their service, or their host
        and caller.

    >>> len(digest_request('s', b'GET', b'/', b''))
    32
    """
    digest = xxhash.xxh3_128(scope.encode())
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def choose_trial_server(
    digest: str,
    servers: Iterable[ServerId],
) -> ServerId | None:
    """Return the backend server on which all members try a request.

    >>> choose_trial_server('d', ('a',))
    'a'
    """
    return choose_by_hash(digest, servers)
