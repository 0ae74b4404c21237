"""Memory of the outcomes of recent puts, by which a copy of a put gets the outcome of the first."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Self

from meadowworks.coordination.groups import NO_REVISION
from meadowworks.coordination.record_codec import checked_list

# All releases that run together must have the same limit, or their states would differ.
MAX_REMEMBERED_PUTS = 16_384
PUT_DIGEST_BYTES = 12
NAME_LENGTH_BYTES = 8


@dataclass(frozen=True, slots=True)
class PutOutcome:
    """The revision of a put that took effect, or None if the put was refused."""

    revision: int | None = None


def put_digest(name: str, value: str) -> bytes:
    """Return the digest by which copies of a put are recognized."""
    name_bytes = name.encode()
    # The length prevents "ab" with value "c" from having the digest of "a" with value "bc".
    length = len(name_bytes).to_bytes(NAME_LENGTH_BYTES, "big")
    return blake2b(length + name_bytes + value.encode(), digest_size=PUT_DIGEST_BYTES).digest()


def split_digests(joined: Any) -> list[bytes]:
    """Return digests of puts that follow each other without separators.

    :raises TypeError: if `joined` is not bytes.
    """
    if type(joined) is not bytes:
        raise TypeError(f"digests are a {type(joined).__name__}, expected bytes")
    return [joined[start : start + PUT_DIGEST_BYTES] for start in range(0, len(joined), PUT_DIGEST_BYTES)]


class PutOutcomes:
    """The outcomes of the last puts by digest; the oldest is dropped first, even if copies of it came."""

    def __init__(self) -> None:
        # Plain revisions, 0 for a refused put, as snapshots of full tables must not take long.
        self._revisions: OrderedDict[bytes, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._revisions)

    def find(self, digest: bytes) -> PutOutcome | None:
        """Return the outcome of the first put with this digest, or None if none is remembered."""
        revision = self._revisions.get(digest)
        if revision is None:
            return None
        return PutOutcome(None if revision == NO_REVISION else revision)

    def remember(self, digest: bytes, outcome: PutOutcome) -> None:
        """Add the outcome of a put whose digest is not remembered."""
        self._revisions[digest] = NO_REVISION if outcome.revision is None else outcome.revision
        if len(self._revisions) > MAX_REMEMBERED_PUTS:
            self._revisions.popitem(last=False)

    def to_plain(self) -> list[Any]:
        """Return the outcomes, oldest first, as plain values for msgpack."""
        return [b"".join(self._revisions), list(self._revisions.values())]

    @classmethod
    def from_plain(cls, raw: Any) -> Self:
        """Return the outcomes that `to_plain` listed.

        :raises ValueError, TypeError: if `raw` is not a list of outcomes.
        """
        digests, revisions = checked_list(raw)
        outcomes = cls()
        outcomes._revisions = OrderedDict(zip(split_digests(digests), checked_list(revisions), strict=True))
        if any(type(revision) is not int for revision in outcomes._revisions.values()):
            raise TypeError("remembered put has a revision that is not an integer")
        return outcomes
