"""Exploration by several processes, each of which owns the states that fall to it by fingerprint.

After each level, every process sends each other one, by way of the parent, the states that it found and the
other owns. The parent relays these bundles as bytes and ends the exploration by sending empty ones.
"""

from __future__ import annotations

import multiprocessing as mp
import pickle
from collections.abc import Iterable
from dataclasses import dataclass
from multiprocessing.connection import Connection
from types import TracebackType

from meadowworks.modelcheck.liveness import PendingGraph
from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.shard import NO_PARENT, DiscoveredState, Shard, Violation, update_maxima

JOIN_TIMEOUT_S = 1  # a worker whose pipe was closed ends by itself; one that does not is terminated
END_OF_EXPLORATION = b""


@dataclass(frozen=True, slots=True)
class LevelReport:
    """What a worker found in one level: new states of its own, names of properties broken so far."""

    new_states: int
    violated_properties: set[str]


@dataclass(frozen=True, slots=True)
class ShardContents:
    """What a worker's shard knows at the end, without its model, whose functions can't be pickled."""

    visited: dict[int, tuple[int, int]]
    step_numbers: dict[Step, int]
    transitions: int
    violations: list[Violation]
    pending_graph: PendingGraph
    metrics: dict[str, float]


class MultiProcessExplorer:
    """Explores in worker processes, which are started here and ended when the context is left."""

    def __init__(self, model: Model, workers: int, start_indices: tuple[int, ...]) -> None:
        context = mp.get_context("fork")  # models hold functions, which no other way would carry
        self._model = model
        self._pipes: list[Connection] = []
        self._processes = []
        self._violated: set[str] = set()
        for shard_index in range(workers):
            parent_end, worker_end = context.Pipe()
            process = context.Process(
                target=run_worker, args=(model, shard_index, workers, start_indices, worker_end), daemon=True
            )
            process.start()
            worker_end.close()
            self._pipes.append(parent_end)
            self._processes.append(process)

    def explore_level(self) -> int:
        """Visit the next level and return how many states were new."""
        bundles_by_sender = self._receive_bundles()
        for owner, pipe in enumerate(self._pipes):
            for bundles in bundles_by_sender:
                pipe.send_bytes(bundles[owner])
        reports: list[LevelReport] = [pipe.recv() for pipe in self._pipes]
        self._violated.update(*(report.violated_properties for report in reports))
        return sum(report.new_states for report in reports)

    def violated_properties(self) -> set[str]:
        """Return the names of the properties that are broken so far."""
        return self._violated

    def merged_shard(self) -> Shard:
        """End the exploration and return what all workers know in one shard."""
        for pipe in self._pipes:
            self._discard_bundles(pipe)
            for _ in self._pipes:
                pipe.send_bytes(END_OF_EXPLORATION)
        contents: list[ShardContents] = [pickle.loads(pipe.recv_bytes()) for pipe in self._pipes]
        return merge_shards(self._model, contents)

    def _receive_bundles(self) -> list[list[bytes]]:
        return [[pipe.recv_bytes() for _ in self._pipes] for pipe in self._pipes]

    def _discard_bundles(self, pipe: Connection) -> None:
        for _ in self._pipes:
            pipe.recv_bytes()

    def __enter__(self) -> MultiProcessExplorer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for pipe in self._pipes:
            pipe.close()
        for process in self._processes:
            process.join(JOIN_TIMEOUT_S)
            if process.is_alive():
                process.terminate()


def merge_shards(model: Model, contents: list[ShardContents]) -> Shard:
    """Join the contents of all shards, with one numbering of the steps.

    A state's step is numbered by the shard that owns its parent; a start's is the index of the start.
    """
    merged_shard = Shard(model)
    numbers: list[dict[int, int]] = [
        {number: merged_shard.step_number(step) for step, number in part.step_numbers.items()}
        for part in contents
    ]

    def renumbered(parent: int, step_number: int) -> int:
        return step_number if parent == NO_PARENT else numbers[parent % len(contents)][step_number]

    for part, own_numbers in zip(contents, numbers, strict=True):
        for fingerprint, (parent, step_number) in part.visited.items():
            merged_shard.visited[fingerprint] = parent, renumbered(parent, step_number)
        for violation in part.violations:
            violation.step_number = renumbered(violation.parent, violation.step_number)
        merged_shard.violations += part.violations
        merged_shard.transitions += part.transitions
        merged_shard.pending_graph.merge(part.pending_graph, own_numbers)
        update_maxima(merged_shard.metrics, part.metrics)
    return merged_shard


def run_worker(
    model: Model, shard_index: int, workers: int, start_indices: tuple[int, ...], pipe: Connection
) -> None:
    """Explore the states of one shard until the parent ends the exploration or closes the pipe."""
    shard = Shard(model, start_indices=start_indices)
    discovered = shard.initial_states() if shard_index == 0 else []
    sent: set[int] = set()  # fingerprints of others' states: to be sent once is enough
    try:
        while True:
            bundles = _bundles_by_owner(discovered, workers, sent)
            for owner, bundle in enumerate(bundles):
                if owner != shard_index:
                    sent.update(state.fingerprint for state in bundle)
                pipe.send_bytes(_packed(bundle))
            received = [pipe.recv_bytes() for _ in range(workers)]
            if received[0] == END_OF_EXPLORATION:
                pipe.send_bytes(pickle.dumps(_contents_of(shard), pickle.HIGHEST_PROTOCOL))
                return
            for packed in received:
                shard.add_states([DiscoveredState(*fields) for fields in pickle.loads(packed)])
            new_states = len(shard.frontier)
            discovered = shard.expand()
            pipe.send(LevelReport(new_states, {one.property_name for one in shard.violations}))
    except (EOFError, BrokenPipeError):
        return  # the parent has ended early


def _bundles_by_owner(
    discovered: Iterable[DiscoveredState], workers: int, sent: set[int]
) -> list[list[DiscoveredState]]:
    bundles: list[list[DiscoveredState]] = [[] for _ in range(workers)]
    for state in discovered:
        if state.fingerprint not in sent:
            bundles[state.fingerprint % workers].append(state)
    return bundles


def _packed(bundle: Iterable[DiscoveredState]) -> bytes:
    """Pickle plain tuples: states in their own class take several times as long."""
    rows = [(one.fingerprint, one.parent, one.step_number, one.frozen_world) for one in bundle]
    return pickle.dumps(rows, pickle.HIGHEST_PROTOCOL)


def _contents_of(shard: Shard) -> ShardContents:
    return ShardContents(
        shard.visited,
        shard.step_numbers,
        shard.transitions,
        shard.violations,
        shard.pending_graph,
        shard.metrics,
    )
