"""What an answer proves of the try that it ends. Source: the users' page on the protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import ANSWERED, DROPPED, UNRUN

PROMISES = (408, 421, 429, 503)  # statuses that promise that a request has not run

Get = Callable[[bytes], bytes | None]  # the value of a header, named in small letters


@dataclass(frozen=True, slots=True)
class Verdict:
    """`state` as `attempts` names it. `sound`: the answer is this request's own and may go to its client.
    `over`: another life answers at the address. `keep`: its line may carry a further request."""

    state: int
    sound: bool = True
    over: bool = False
    keep: bool = True


def proof(status: int, not_run: bool) -> int:
    """What an answer of a backend says of a try, by its status and whether it states that it did not run."""
    if not_run or status == 421:
        return UNRUN
    return DROPPED if status >= 500 or status in PROMISES else ANSWERED


def spoilt(asked: bytes | None, status: int, get: Get, first: bool) -> str | None:
    """Why an answer is not that of the request with the id `asked`, whole; nothing if it is. `first`: its
    line has carried no request before, so a failure that names no request can be no other's."""
    told = get(b"x-request-id")
    if asked is not None and told != asked and (told is not None or status < 300 or not first):
        return "another request's answer"
    if 200 <= status < 300 and get(b"x-backend-seal") is None:
        return "a success without a seal"
    if get(b"content-encoding") not in (None, b"identity"):
        return "an encoded body"
    return None


def judge(asked: bytes | None, life: bytes, status: int, get: Get, first: bool) -> Verdict:
    """What a whole answer on a line to `life` proves; `first`: it is to the line's first request."""
    if spoilt(asked, status, get, first):
        # Guards against a late answer to an earlier request in this one's place, which would be taken for
        # this one's: as its success, or as proof that it did not run.
        return Verdict(DROPPED, sound=False, keep=False)
    if status == 421:
        return Verdict(UNRUN, over=get(b"x-backend-id") != life, keep=False)
    return Verdict(proof(status, get(b"x-not-run") is not None))
