"""The platform's object store: interface and in-memory implementation."""

from typing import Protocol


class ObjectStore(Protocol):
    """Store of named blobs; the last write wins."""

    async def load(self, name: str) -> bytes | None:
        """Return a blob, or None if it does not exist."""

    async def save(self, name: str, body: bytes) -> None:
        """Write a blob."""


class MemoryObjectStore:
    """In-memory object store."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    async def load(self, name: str) -> bytes | None:
        """Return a blob, or None if it does not exist."""
        return self._blobs.get(name)

    async def save(self, name: str, body: bytes) -> None:
        """Write a blob."""
        self._blobs[name] = body
