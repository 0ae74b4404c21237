"""Exploration by several processes, each of which owns the states whose fingerprints are assigned to it.

In each level, every worker sends one bundle per worker, through the parent: the states that it discovered and
that the other worker owns. The parent relays the bundles as bytes; empty bytes end the exploration.
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

JOIN_TIMEOUT_S = 1  # workers exit when their pipe closes; after the timeout they are terminated
END_OF_EXPLORATION = b""


@dataclass(frozen=True, slots=True)
class LevelReport:
    """The result of one level in a worker: the number of new states, and the properties violated so far."""

    new_states: int
    violated_properties: set[str]


@dataclass(frozen=True, slots=True)
class ShardContents:
    """The contents of a worker's shard without its model, whose functions cannot be pickled."""

    visited: dict[int, tuple[int, int]]
    step_numbers: dict[Step, int]
    transitions: int
    violations: list[Violation]
    pending_graph: PendingGraph
    metrics: dict[str, float]


class MultiProcessExplorer:
    """An explorer with worker processes; leaving the context stops them."""

    def __init__(self, model: Model, workers: int, start_indices: tuple[int, ...]) -> None:
        context = mp.get_context("fork")  # models hold functions that cannot be pickled
        self._model = model
        self._pipes: list[Connection] = []
        self._processes = []
        self._violated_properties: set[str] = set()
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
        """Visit the next level and return the number of new states."""
        bundles_by_sender = self._receive_bundles()
        for owner, pipe in enumerate(self._pipes):
            for bundles in bundles_by_sender:
                pipe.send_bytes(bundles[owner])
        reports: list[LevelReport] = [pipe.recv() for pipe in self._pipes]
        self._violated_properties.update(*(report.violated_properties for report in reports))
        return sum(report.new_states for report in reports)

    def violated_properties(self) -> set[str]:
        """Return the names of the properties violated so far."""
        return self._violated_properties

    def merged_shard(self) -> Shard:
        """End the exploration and merge the contents of all workers into one shard."""
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
    """Merge the contents of all shards and renumber their steps.

    The step number of a state comes from the shard that owns its parent; that of an initial state is the
    index of its world and stays.
    """
    merged_shard = Shard(model)
    merged_numbers: list[dict[int, int]] = [
        {number: merged_shard.step_number(step) for step, number in part.step_numbers.items()}
        for part in contents
    ]

    def renumber(parent: int, step_number: int) -> int:
        return step_number if parent == NO_PARENT else merged_numbers[parent % len(contents)][step_number]

    for part, step_numbers in zip(contents, merged_numbers, strict=True):
        for fingerprint, (parent, step_number) in part.visited.items():
            merged_shard.visited[fingerprint] = parent, renumber(parent, step_number)
        for violation in part.violations:
            violation.step_number = renumber(violation.parent, violation.step_number)
        merged_shard.violations += part.violations
        merged_shard.transitions += part.transitions
        merged_shard.pending_graph.merge(part.pending_graph, step_numbers)
        update_maxima(merged_shard.metrics, part.metrics)
    return merged_shard


def run_worker(
    model: Model, shard_index: int, workers: int, start_indices: tuple[int, ...], pipe: Connection
) -> None:
    """Explore the states of one shard until the parent ends the exploration or closes the pipe."""
    shard = Shard(model, start_indices=start_indices)
    discovered = shard.initial_states() if shard_index == 0 else []
    sent: set[int] = set()  # fingerprints of other shards' states, each sent only once
    try:
        while True:
            bundles = _bundles_by_owner(discovered, workers, sent)
            for owner, bundle in enumerate(bundles):
                if owner != shard_index:
                    sent.update(state.fingerprint for state in bundle)
                pipe.send_bytes(_pickle_bundle(bundle))
            received = [pipe.recv_bytes() for _ in range(workers)]
            if received[0] == END_OF_EXPLORATION:
                pipe.send_bytes(pickle.dumps(_shard_contents(shard), pickle.HIGHEST_PROTOCOL))
                return
            for pickled_bundle in received:
                shard.add_states([DiscoveredState(*fields) for fields in pickle.loads(pickled_bundle)])
            new_states = len(shard.frontier)
            discovered = shard.expand()
            pipe.send(LevelReport(new_states, {violation.property_name for violation in shard.violations}))
    except (EOFError, BrokenPipeError):
        return  # the parent stopped early


def _bundles_by_owner(
    discovered: Iterable[DiscoveredState], workers: int, sent: set[int]
) -> list[list[DiscoveredState]]:
    bundles: list[list[DiscoveredState]] = [[] for _ in range(workers)]
    for state in discovered:
        if state.fingerprint not in sent:
            bundles[state.fingerprint % workers].append(state)
    return bundles


def _pickle_bundle(bundle: Iterable[DiscoveredState]) -> bytes:
    """Pickle states as tuples, which is several times faster than pickling instances."""
    rows = [(state.fingerprint, state.parent, state.step_number, state.frozen_world) for state in bundle]
    return pickle.dumps(rows, pickle.HIGHEST_PROTOCOL)


def _shard_contents(shard: Shard) -> ShardContents:
    return ShardContents(
        shard.visited,
        shard.step_numbers,
        shard.transitions,
        shard.violations,
        shard.pending_graph,
        shard.metrics,
    )
