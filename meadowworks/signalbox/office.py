"""The timetable's desk in a signalbox: its own box on its disk, letters to the other boxes, proposals.

What may be answered is decided by `timetable.register`; here its letters travel and its writes reach the disk
before a reply leaves.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import AsyncIterator, Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from meadowworks.depot.disk import Disk
from meadowworks.telegraph import post
from meadowworks.telegraph.members import Members
from meadowworks.timetable import register
from meadowworks.timetable.register import (
    Again,
    Ballot,
    Box,
    Chosen,
    Entering,
    Held,
    Letter,
    Overtaken,
    Proposal,
    Reply,
    Seen,
    Whole,
)
from meadowworks.track import logs
from meadowworks.track.errors import NoAnswer
from meadowworks.track.peer import Peer
from meadowworks.track.program import now_ns

LETTER_S = 1.0  # that a letter's reply is waited for
PAUSE_S = 0.05  # before a proposal that another stood in the way of begins anew; longer each time
log = logs.part("table")
T = TypeVar("T")


class Office:
    """`learnt` is called with each version that comes to be known as chosen."""

    def __init__(
        self,
        disk: Disk,
        bootstrap: bool,
        tolerate: int,
        members: Members,
        peers: Callable[[str, int], Peer],
        learnt: Callable[[Held], None],
    ) -> None:
        self.disk, self.tolerate, self.members, self.peers = disk, tolerate, members, peers
        self.learnt = learnt
        self.name, box = disk.load()
        self.box = box or Box(sound=bootstrap, dirty=True)
        self.thread = ThreadPoolExecutor(1)
        self.lock = asyncio.Lock()
        self.numbers = 0
        self.waiting_ns: dict[int, int] = {}  # since when a version is undecided here

    async def begin(self) -> None:
        if self.box.sound:
            await self.save()
            log.info("disk {} holds version {:08x}", self.name[:8], self.box.held.version)
        else:
            log.info("empty disk: entering anew")

    async def save(self) -> None:
        """All that has changed is on the disk when this returns. Raises sqlite3.Error."""
        async with self.lock:
            changed, dirty = set(self.box.changed), self.box.dirty
            if not changed and not dirty:
                return
            self.box.changed -= changed
            self.box.dirty = False
            # A copy: the box may change while the disk writes.
            copy = Box(
                self.box.sound,
                self.box.era,
                self.box.held,
                {
                    v: register.Slot(s.promised, s.accepted, s.content)
                    for v, s in self.box.slots.items()
                    if v in changed
                },
            )
            try:
                await asyncio.get_running_loop().run_in_executor(
                    self.thread, self.disk.save, self.name, copy, changed, dirty
                )
            except BaseException:
                self.box.changed |= changed
                self.box.dirty = self.box.dirty or dirty
                raise

    async def answer(self, letter: Letter) -> Reply:
        """A letter's reply, once it may leave."""
        reply = self.box.answer(letter)
        await self.save()
        return reply

    async def learn(self, version: int, content: bytes) -> None:
        if self.box.sound and self.box.learn(version, content):
            self.learnt(self.box.held)
            log.info("version {:08x} is in force", version)
            await self.save()

    # -- letters to all

    def need(self) -> int:
        return register.need(self.tolerate, 1 + len(self.members.voters(now_ns())))

    async def send(self, letter: Letter, own: bool) -> AsyncIterator[tuple[str, Reply]]:
        """Replies as they come, from the own box too if `own`."""
        body = write_letter(letter)  # mostly a configuration's text
        cards = self.members.voters()

        async def to(host: str, port: int) -> tuple[str, Reply]:
            raw = await self.peers(host, port).call(b"/letter", body, LETTER_S)
            return host, read_letter(raw)  # type: ignore[return-value]

        async def to_own() -> tuple[str, Reply]:
            return self.members.me.host, await self.answer(letter)

        tasks = {asyncio.ensure_future(to(card.host, card.port)) for card in cards}
        if own:
            tasks.add(asyncio.ensure_future(to_own()))
        try:
            while tasks:
                done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    try:
                        yield task.result()
                    except (NoAnswer, *post.SHAPE) as trouble:
                        log.debug("a letter without reply: {}", trouble)
        finally:
            for task in tasks:  # the rest of the letters still go their way
                task.add_done_callback(lambda t: t.cancelled() or t.exception())

    async def propose(self, version: int, content: bytes | None, until_ns: int) -> Chosen | Overtaken | None:
        """The outcome for a version, or none if too few answered in time. With no content, what another has
        begun is finished; then none also if there is nothing to finish."""
        pause, floor = PAUSE_S, 0
        while now_ns() < until_ns and self.box.sound:
            slot = self.box.slots.get(version)
            self.numbers = max(self.numbers, floor, slot.promised.number if slot else 0) + 1
            proposal = Proposal(self.box.era, version, Ballot(self.numbers, self.name), content, self.need())
            for _ in range(2):
                async for who, reply in self.send(proposal.letter(), True):
                    if proposal.heard(who, reply):
                        break
                if proposal.outcome is not None or not proposal.accepting:
                    break
            match proposal.outcome:
                case Chosen(v, chosen):
                    await self.learn(v, chosen)
                    return proposal.outcome
                case Overtaken(held):
                    await self.learn(held.version, held.content)
                    return proposal.outcome
                case Again(era, ballot):
                    if content is None and ballot == register.NONE and era == proposal.era:
                        return None
                    floor = max(floor, ballot.number)
                    self.box.era, self.box.dirty = max(self.box.era, era), True
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(1.0, pause * 2)
        return None

    async def newest(self, until_ns: int) -> Held | None:
        """The highest version that may have been acknowledged: a majority is asked, and what is undecided is
        finished first. None if too few answered in time."""
        while now_ns() < until_ns and self.box.sound:
            seen = await self.enough(register.Look(), Seen)
            if seen is None:
                await asyncio.sleep(PAUSE_S)
                continue
            if max(r.version for r in seen) > self.box.held.version:
                for whole in await self.enough(register.Enter(0), Whole) or []:
                    await self.learn(whole.held.version, whole.held.content)
                continue
            undecided = max(r.undecided for r in seen)
            if undecided <= self.box.held.version:
                return self.box.held
            await self.propose(undecided, None, until_ns)
        return None

    async def enough(self, letter: Letter, kind: type[T]) -> list[T] | None:
        """Replies of a kind from as many boxes as must agree; none if too few answer."""
        need, replies = self.need(), dict[str, T]()
        async for who, reply in self.send(letter, True):
            if isinstance(reply, kind):
                replies[who] = reply
            if len(replies) >= need:
                return [*replies.values()]
        return None

    # -- from time to time

    async def enter(self) -> None:
        """Makes an empty box sound again."""
        while not self.box.sound:
            entering = Entering(self.tolerate + 1)
            done = False
            for _ in range(2):
                enough = False
                async for who, reply in self.send(entering.letter(), False):
                    if entering.heard(who, reply):
                        enough = True
                        break
                if not enough:
                    break
                done = entering.next_round() and entering.era > 0
                if done and entering.replies:
                    break
            if done and entering.replies:
                self.box = entering.box()
                await self.save()
                self.learnt(self.box.held)
                log.info("entered under era {}, with version {:08x}", self.box.era, self.box.held.version)
                return
            await asyncio.sleep(0.3 * random.uniform(0.7, 1.3))

    async def finish(self) -> None:
        """Finishes a version that another has left undecided."""
        version, now = self.box.undecided(), now_ns()
        self.waiting_ns = {v: when for v, when in self.waiting_ns.items() if v == version}
        if not version or not self.box.sound:
            return
        since = self.waiting_ns.setdefault(version, now + int(random.uniform(0, 3e8)))
        if now - since > 400_000_000:
            log.info("finishing version {:08x}", version)
            await self.propose(version, None, now + 1_000_000_000)


def read_letter(body: bytes) -> Letter | Reply:
    """Raises post.SHAPE."""
    try:
        return register.unpack(post.unpack(zlib.decompress(body)))
    except zlib.error as trouble:
        raise post.Garbled(f"no letter: {trouble}") from None


def write_letter(what: Letter | Reply) -> bytes:
    return zlib.compress(post.pack(register.pack(what)), 6)
