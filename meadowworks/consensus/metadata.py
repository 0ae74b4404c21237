"""Stored metadata of an acceptor, and creation of the acceptor at process start."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.codec import decode_epoch, encode_epoch
from meadowworks.consensus.replicated_log import ReplicatedLog
from meadowworks.consensus.values import (
    NO_EPOCH_NUMBER,
    NOTHING_COMMITTED,
    AcceptorSlot,
    CommittedValue,
    Epoch,
)


def acceptor_metadata(acceptor: Acceptor) -> dict[str, Any]:
    """Return the acceptor's fields apart from slots and values, by the names under which they are stored."""
    return {
        "disk": acceptor.member_id,
        "seat": acceptor.bootstrap_id,
        "life": acceptor.incarnation,
        "epoch": encode_epoch(acceptor.epoch),
        "installed": acceptor.installed,
        "sealed": None if acceptor.sealed_by is None else encode_epoch(acceptor.sealed_by),
    }


def load_acceptor(
    metadata: Mapping[str, Any] | None,
    *,
    new_member_id: str,
    address: str,
    seeds: tuple[str, ...],
    bootstrap: bool,
    voting: bool,
    committed: CommittedValue = NOTHING_COMMITTED,
    history: Mapping[int, bytes] | None = None,
    slots: Mapping[int, AcceptorSlot] | None = None,
    log: ReplicatedLog | None = None,
) -> Acceptor:
    """Return the acceptor of a disk at process start.

    :param metadata: the stored metadata, as returned by `acceptor_metadata`; None if the disk is empty.
    :param new_member_id: the id to assign if the disk is empty.
    :param address: host and port at which the other replicas reach this one.
    :param seeds: the addresses of the replicas that form epoch 0.
    :param bootstrap: whether this is the first start of the whole installation.
    :param voting: whether the settings allow this replica to be a member.
    :param log: the stored log, or an empty one if the disk contains none; None to take part in no log.
    """
    if metadata is None:
        acceptor = _new_acceptor(new_member_id, address, seeds, bootstrap, voting)
    else:
        acceptor = _stored_acceptor(metadata, address, voting, committed, history, slots)
    acceptor.log = log
    if log is not None and log.epoch == NO_EPOCH_NUMBER and acceptor.installed:
        # Nothing has been appended by this member, so its empty log is that of a follower which is behind.
        log.epoch, log.metadata_changed = acceptor.epoch.number, True
    return acceptor


def _stored_acceptor(
    metadata: Mapping[str, Any],
    address: str,
    voting: bool,
    committed: CommittedValue,
    history: Mapping[int, bytes] | None,
    slots: Mapping[int, AcceptorSlot] | None,
) -> Acceptor:
    """Return the acceptor of a disk that contains one."""
    sealed = metadata["sealed"]
    return Acceptor(
        str(metadata["disk"]),
        address,
        str(metadata["seat"]),
        voting,
        int(metadata["life"]),
        decode_epoch(metadata["epoch"]),
        bool(metadata["installed"]) and voting,
        None if sealed is None else decode_epoch(sealed),
        committed,
        dict(history or {}),
        dict(slots or {}),
    )


def _new_acceptor(
    member_id: str, address: str, seeds: tuple[str, ...], bootstrap: bool, voting: bool
) -> Acceptor:
    """Return the acceptor of an empty disk."""
    epoch, bootstrap_id = Epoch(NO_EPOCH_NUMBER), ""
    is_seed = bootstrap and address in seeds
    if bootstrap:
        # All processes have the same seeds in their settings at the first start. The seeds are the members of
        # epoch 0 and are identified by address, because the member ids are not yet known to each other.
        epoch = Epoch(0, tuple(sorted((f"@{seed}", seed) for seed in seeds)))
        bootstrap_id = f"@{address}" if is_seed else ""
    return Acceptor(
        member_id, address, bootstrap_id, voting, epoch=epoch, installed=is_seed, metadata_changed=True
    )
