"""One register a version: which content a version of the configuration has, and when that is certain.

Two sides, both free of I/O. A `Box` is what one disk holds: it answers a `Proposal`'s letters, and nothing
that it answers may leave before its writes are on the disk. A `Proposal` asks the boxes in two rounds
(single-decree, by ballots); a content is chosen once `need` boxes have accepted it under one ballot, and only
then may it be acknowledged or come into force.

A box whose disk is empty although the system has run before may know of nothing that it promised. It enters
anew: it raises the era at `need` sound boxes, which from then on turn away every proposal that began before,
takes over what they hold, and only then answers proposals itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class Ballot(NamedTuple):
    number: int
    who: str


NONE = Ballot(0, "")


@dataclass(slots=True)
class Slot:
    """A version that may be undecided."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class Held:
    """The highest version that is known to be chosen. Version 0 is none."""

    version: int = 0
    content: bytes = b""


# Letters to a box, and its replies. `era` is the sender's.


@dataclass(frozen=True, slots=True)
class Prepare:
    era: int
    version: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    era: int
    version: int
    ballot: Ballot
    content: bytes


@dataclass(frozen=True, slots=True)
class Enter:
    """A box that enters anew asks for all; `era` 0 asks only which era it is."""

    era: int


@dataclass(frozen=True, slots=True)
class Look:
    """Asks which version is held and which is undecided, without their contents."""


@dataclass(frozen=True, slots=True)
class Seen:
    """The version held, and the highest above it that some proposal was accepted for; 0: none."""

    version: int
    undecided: int


@dataclass(frozen=True, slots=True)
class Promised:
    ballot: Ballot
    accepted: Ballot
    content: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refused:
    """Another ballot stands in the way, or the era has moved on."""

    era: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Past:
    """The version is not above one that is chosen already."""

    held: Held


@dataclass(frozen=True, slots=True)
class Unsound:
    """This box has not entered: it may not be counted."""


@dataclass(frozen=True, slots=True)
class Whole:
    """All that a sound box holds."""

    era: int
    held: Held
    slots: tuple[tuple[int, Ballot, Ballot, bytes], ...]


Letter = Prepare | Accept | Enter | Look
Reply = Promised | Accepted | Refused | Past | Unsound | Whole | Seen


@dataclass(slots=True)
class Box:
    """What one disk holds. `changed` and `dirty` tell the shell what to write before a reply leaves."""

    sound: bool
    era: int = 1
    held: Held = Held()
    slots: dict[int, Slot] = field(default_factory=dict)
    changed: set[int] = field(default_factory=set)  # slots to write
    dirty: bool = False  # era, soundness or held to write

    def answer(self, letter: Letter) -> Reply:
        if not self.sound:
            return Unsound()
        if isinstance(letter, Look):
            return Seen(self.held.version, self.undecided())
        if isinstance(letter, Enter):
            if letter.era > self.era:
                self.era, self.dirty = letter.era, True
            return self.whole()
        if letter.era < self.era:
            return Refused(self.era, NONE)
        if letter.era > self.era:
            self.era, self.dirty = letter.era, True
        if letter.version <= self.held.version:
            return Past(self.held)
        slot = self.slots.get(letter.version) or Slot()
        if letter.ballot < slot.promised:
            return Refused(self.era, slot.promised)
        self.slots[letter.version] = slot
        slot.promised = letter.ballot
        self.changed.add(letter.version)
        if isinstance(letter, Prepare):
            return Promised(letter.ballot, slot.accepted, slot.content)
        slot.accepted, slot.content = letter.ballot, letter.content
        return Accepted(letter.ballot)

    def whole(self) -> Whole:
        slots = tuple((v, s.promised, s.accepted, s.content) for v, s in sorted(self.slots.items()))
        return Whole(self.era, self.held, slots)

    def learn(self, version: int, content: bytes) -> bool:
        """A content is known to be chosen. True if it is newer than what is held."""
        if version <= self.held.version:
            return False
        self.held, self.dirty = Held(version, content), True
        for old in [v for v in self.slots if v <= version]:
            del self.slots[old]
            self.changed.add(old)
        return True

    def undecided(self) -> int:
        """The highest version above the one held that some proposal has been accepted for; 0 if none."""
        return max((v for v, s in self.slots.items() if s.accepted > NONE), default=0)


class Entering:
    """How an empty box becomes sound again: first which era it is, then all that `need` sound boxes hold,
    under a new era."""

    def __init__(self, need: int) -> None:
        self.need = need
        self.era = 0
        self.replies: dict[str, Whole] = {}

    def letter(self) -> Enter:
        return Enter(self.era)

    def heard(self, who: str, reply: Reply) -> bool:
        """True once there are enough replies for this round."""
        if isinstance(reply, Whole) and reply.era >= self.era:
            self.replies[who] = reply
        return len(self.replies) >= self.need

    def next_round(self) -> bool:
        """True when the second round is done and `box` may be taken."""
        if self.era:
            return True
        self.era = max(r.era for r in self.replies.values()) + 1
        self.replies = {}
        return False

    def box(self) -> Box:
        box = Box(sound=True, era=max(self.era, *(r.era for r in self.replies.values())), dirty=True)
        for reply in self.replies.values():
            box.learn(reply.held.version, reply.held.content)
        for reply in self.replies.values():
            for version, promised, accepted, content in reply.slots:
                if version <= box.held.version:
                    continue
                slot = box.slots.setdefault(version, Slot())
                slot.promised = max(slot.promised, promised)
                if accepted > slot.accepted:
                    slot.accepted, slot.content = accepted, content
                box.changed.add(version)
        return box


@dataclass(frozen=True, slots=True)
class Chosen:
    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A version not below this one is chosen already."""

    held: Held


@dataclass(frozen=True, slots=True)
class Again:
    """A higher ballot or era stands in the way: begin anew, above it."""

    era: int
    ballot: Ballot


Outcome = Chosen | Overtaken | Again


class Proposal:
    """One try, under one ballot, to get a content chosen for a version; without a content, to finish what
    another has begun. `need` boxes must agree; a box is counted once, by its name."""

    def __init__(self, era: int, version: int, ballot: Ballot, content: bytes | None, need: int) -> None:
        self.era, self.version, self.ballot = era, version, ballot
        self.content, self.need = content, need
        self.promises: dict[str, Promised] = {}
        self.accepts: set[str] = set()
        self.accepting = False
        self.outcome: Outcome | None = None

    def letter(self) -> Letter:
        if self.accepting:
            assert self.content is not None
            return Accept(self.era, self.version, self.ballot, self.content)
        return Prepare(self.era, self.version, self.ballot)

    def heard(self, who: str, reply: Reply) -> bool:
        """Takes a reply in. True when the next letter is due, or the outcome is there."""
        if self.outcome is not None:
            return False
        match reply:
            case Past(held):
                self.outcome = Overtaken(held)
            case Refused(era, ballot):
                self.outcome = Again(era, ballot)
            case Promised(ballot=ballot) if ballot == self.ballot and not self.accepting:
                self.promises[who] = reply
                if len(self.promises) < self.need:
                    return False
                best = max(self.promises.values(), key=lambda p: p.accepted)
                if best.accepted > NONE:
                    self.content = best.content
                if self.content is None:
                    self.outcome = Again(self.era, NONE)  # nothing to finish among these
                    return True
                self.accepting = True
            case Accepted(ballot) if ballot == self.ballot and self.accepting:
                self.accepts.add(who)
                if len(self.accepts) < self.need:
                    return False
                assert self.content is not None
                self.outcome = Chosen(self.version, self.content)
            case _:
                return False
        return True


def need(tolerate: int, voters: int) -> int:
    """Boxes that must agree: a majority of the `2 x tolerate + 1` that the settings speak of, or of those
    that are there if they are more."""
    return max(tolerate + 1, voters // 2 + 1)


def pack(what: Letter | Reply) -> list[Any]:
    """As plain values for msgpack."""
    name = type(what).__name__
    match what:
        case Whole(era, held, slots):
            return [name, era, held.version, held.content, [list(s) for s in slots]]
        case Past(held):
            return [name, held.version, held.content]
        case _:
            return [
                name,
                *(
                    list(v) if isinstance(v, Ballot) else v
                    for v in (getattr(what, f) for f in what.__dataclass_fields__)
                ),
            ]


def unpack(raw: Any) -> Letter | Reply:
    """Raises ValueError, TypeError or KeyError for what is none."""
    name, *rest = raw
    match name:
        case "Whole":
            slots = tuple((int(v), Ballot(*p), Ballot(*a), bytes(c)) for v, p, a, c in rest[3])
            return Whole(int(rest[0]), Held(int(rest[1]), bytes(rest[2])), slots)
        case "Past":
            return Past(Held(int(rest[0]), bytes(rest[1])))
        case "Prepare":
            return Prepare(int(rest[0]), int(rest[1]), ballot(rest[2]))
        case "Accept":
            return Accept(int(rest[0]), int(rest[1]), ballot(rest[2]), bytes(rest[3]))
        case "Enter":
            return Enter(int(rest[0]))
        case "Promised":
            return Promised(ballot(rest[0]), ballot(rest[1]), bytes(rest[2]))
        case "Accepted":
            return Accepted(ballot(rest[0]))
        case "Refused":
            return Refused(int(rest[0]), ballot(rest[1]))
        case "Unsound":
            return Unsound()
        case "Look":
            return Look()
        case "Seen":
            return Seen(int(rest[0]), int(rest[1]))
    raise ValueError("no letter")


def ballot(raw: Mapping[int, Any] | list[Any]) -> Ballot:
    return Ballot(int(raw[0]), str(raw[1]))
