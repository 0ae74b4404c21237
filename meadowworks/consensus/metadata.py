"""An acceptor's own fields as they are stored, and an acceptor as it is when its process starts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.codec import decode_epoch, encode_epoch
from meadowworks.consensus.values import (
    NO_EPOCH_NUMBER,
    NOTHING_COMMITTED,
    AcceptorSlot,
    CommittedValue,
    Epoch,
)


def acceptor_metadata(acceptor: Acceptor) -> dict[str, Any]:
    """All of an acceptor but its slots and values, by the names under which it is stored."""
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
) -> Acceptor:
    """The acceptor of a disk as it is when its process starts.

    :param metadata: what the disk holds, as `acceptor_metadata` has it; none if the disk is empty.
    :param new_member_id: the id that an empty disk has from now on.
    :param address: host and port at which the other replicas reach this one.
    :param seeds: such addresses of the replicas that form epoch 0.
    :param bootstrap: this is the first start of the whole installation.
    :param voting: the settings let this replica be a member.
    """
    if metadata is None:
        return _new_acceptor(new_member_id, address, seeds, bootstrap, voting)
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
    """The acceptor of an empty disk."""
    epoch, bootstrap_id = Epoch(NO_EPOCH_NUMBER), ""
    founder = bootstrap and address in seeds
    if bootstrap:
        # At the first start all processes have the same seeds in their settings: these are the members of
        # epoch 0, by their addresses, since no disk has a name that the others know.
        epoch = Epoch(0, tuple(sorted((f"@{seed}", seed) for seed in seeds)))
        bootstrap_id = f"@{address}" if founder else ""
    return Acceptor(
        member_id, address, bootstrap_id, voting, epoch=epoch, installed=founder, metadata_changed=True
    )
