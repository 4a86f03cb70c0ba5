"""Fleet membership: failure detector, view of the live hosts, and the lease of this process."""

from banyanline.core.membership.detector import Membership
from banyanline.core.membership.effects import (
    MembershipEffect,
    RevisionSeen,
    SendProbeMessage,
    ViewChanged,
)
from banyanline.core.membership.messages import (
    HostLocation,
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.view import Member, View

__all__ = [
    # the failure detector
    "Membership",
    "MembershipSettings",
    # the view of the fleet
    "Member",
    "MemberStatus",
    "View",
    # effects for the node to carry out
    "MembershipEffect",
    "RevisionSeen",
    "SendProbeMessage",
    "ViewChanged",
    # messages
    "MembershipMessage",
    "MemberUpdate",
    "HostLocation",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
]
