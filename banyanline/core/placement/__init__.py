"""Placement on balancers: the homes of flow slots and the owners of upstreams."""

from banyanline.core.placement.ownership import (
    OwnershipTable,
    PreviousOwner,
    UpstreamKey,
    assign_owners,
    key_of,
)
from banyanline.core.placement.slots import (
    SLOTS,
    PreviousHome,
    SlotTable,
    flow_hash,
    slot_of,
)

__all__ = [
    # homes of flows
    "SLOTS",
    "PreviousHome",
    "SlotTable",
    "flow_hash",
    "slot_of",
    # owners of upstreams
    "OwnershipTable",
    "PreviousOwner",
    "UpstreamKey",
    "assign_owners",
    "key_of",
]
