"""All seeded faults, a table a model, in the order in which `check` lists them."""

from __future__ import annotations

from meadowworks.modelcheck.fault import SeededFault
from meadowworks.modelcheck.seeded_faults.attempt import ATTEMPT_FAULTS
from meadowworks.modelcheck.seeded_faults.connection import CONNECTION_FAULTS
from meadowworks.modelcheck.seeded_faults.consensus import CONSENSUS_FAULTS
from meadowworks.modelcheck.seeded_faults.forwarding import FORWARDING_FAULTS
from meadowworks.modelcheck.seeded_faults.gossip import GOSSIP_FAULTS
from meadowworks.modelcheck.seeded_faults.policy import POLICY_FAULTS
from meadowworks.modelcheck.seeded_faults.quota import QUOTA_FAULTS
from meadowworks.modelcheck.seeded_faults.registry import REGISTRY_FAULTS
from meadowworks.modelcheck.seeded_faults.replica import REPLICA_FAULTS
from meadowworks.modelcheck.seeded_faults.upstream import UPSTREAM_FAULTS

FAULTS: tuple[SeededFault, ...] = (
    *ATTEMPT_FAULTS,
    *CONNECTION_FAULTS,
    *QUOTA_FAULTS,
    *POLICY_FAULTS,
    *CONSENSUS_FAULTS,
    *REPLICA_FAULTS,
    *FORWARDING_FAULTS,
    *UPSTREAM_FAULTS,
    *GOSSIP_FAULTS,
    *REGISTRY_FAULTS,
)
