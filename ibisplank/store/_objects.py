"""The platform's object store: interface and in-memory twin."""

from typing import Protocol


class ObjectStore(Protocol):
    """Named blobs; the last write wins."""

    async def load(self, name: str) -> bytes | None:
        """Return a blob, or None where there is none."""

    async def save(self, name: str, body: bytes) -> None:
        """Write a blob."""


class MemoryObjectStore:
    """Object store in this process's memory."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    async def load(self, name: str) -> bytes | None:
        """Return a blob, or None where there is none."""
        return self._blobs.get(name)

    async def save(self, name: str, body: bytes) -> None:
        """Write a blob."""
        self._blobs[name] = body
