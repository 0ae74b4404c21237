"""All models and seeded faults, looked up by the names used on the command line."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from meadowworks.modelcheck.model import Model
from meadowworks.modelcheck.models import (
    attempt,
    connection,
    consensus,
    forwarding,
    gossip,
    policy,
    priority_admission,
    quota,
    registry,
    replica,
    replicated_log,
)
from meadowworks.modelcheck.seeded_fault import SeededFault
from meadowworks.modelcheck.seeded_faults.attempt import ATTEMPT_FAULTS
from meadowworks.modelcheck.seeded_faults.connection import CONNECTION_FAULTS
from meadowworks.modelcheck.seeded_faults.consensus import CONSENSUS_FAULTS
from meadowworks.modelcheck.seeded_faults.forwarding import FORWARDING_FAULTS
from meadowworks.modelcheck.seeded_faults.gossip import GOSSIP_FAULTS
from meadowworks.modelcheck.seeded_faults.policy import POLICY_FAULTS
from meadowworks.modelcheck.seeded_faults.priority_admission import PRIORITY_ADMISSION_FAULTS
from meadowworks.modelcheck.seeded_faults.quota import QUOTA_FAULTS
from meadowworks.modelcheck.seeded_faults.registry import REGISTRY_FAULTS
from meadowworks.modelcheck.seeded_faults.replica import REPLICA_FAULTS
from meadowworks.modelcheck.seeded_faults.replicated_log import REPLICATED_LOG_FAULTS
from meadowworks.modelcheck.seeded_faults.upstream import UPSTREAM_FAULTS

MODELS: dict[str, Callable[[bool], Model]] = {  # builders; the argument selects the larger worlds
    "attempt": attempt.model,
    "connection": connection.model,
    "module": policy.model,
    "grants": quota.model,
    "timetable": consensus.model,
    "replica": replica.model,
    "replicated_log": replicated_log.model,
    "carriage": forwarding.model,
    "telegraph": gossip.model,
    "roster": registry.model,
    "priorities": priority_admission.model,
}
SEEDED_FAULTS: tuple[SeededFault, ...] = (  # in the order in which `check` lists them
    *ATTEMPT_FAULTS,
    *CONNECTION_FAULTS,
    *QUOTA_FAULTS,
    *POLICY_FAULTS,
    *CONSENSUS_FAULTS,
    *REPLICA_FAULTS,
    *REPLICATED_LOG_FAULTS,
    *FORWARDING_FAULTS,
    *UPSTREAM_FAULTS,
    *GOSSIP_FAULTS,
    *REGISTRY_FAULTS,
    *PRIORITY_ADMISSION_FAULTS,
)


class UnknownNameError(ValueError):
    """There is no model or seeded fault of the given name."""


def build_model(name: str, large: bool, max_depth: int = 0) -> Model:
    """Build the model of the given name.

    :param max_depth: replaces the model's bound on steps unless it is 0.
    :raises UnknownNameError: if there is no such model.
    """
    if name not in MODELS:
        raise UnknownNameError(f"there is no model {name!r}; choose from {', '.join(MODELS)}")
    model = MODELS[name](large)
    return replace(model, max_depth=max_depth) if max_depth else model


def get_seeded_fault(name: str) -> SeededFault:
    """Return the seeded fault of the given name.

    :raises UnknownNameError: if there is no such fault.
    """
    for fault in SEEDED_FAULTS:
        if fault.name == name:
            return fault
    raise UnknownNameError(f"there is no seeded fault {name!r}")
